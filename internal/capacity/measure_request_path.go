package capacity

import "context"

// tenantSizes, routeSizes and connectionSizes are the sizes of the parameters that only the request path has.
func tenantSizes() []int     { return []int{1000, 4000, 12000, TargetTenants} }
func routeSizes() []int      { return []int{700, 2800, 5500, TargetRoutes} }
func connectionSizes() []int { return []int{64, 128, 256, targetConnections} }

// targetConnections is how many client connections an ingress is to bear. No figure is given for it: about four for
// each request of a second of the peak.
const targetConnections = 512

// Texts of the request path's measurements.
const (
	subsetMechanism    = "existing: subsetting, admission/rendezvous/rendezvous.go"
	pickMechanism      = "existing: subsetting, admission/servers.go; the passes over the whole list for each request could end with the subset"
	tenantMechanism    = "existing: tenants idle for 90 s are forgotten, admission/util.go; at the peak's 126 requests a second an ingress knows less than half of them"
	routeMechanism     = "missing: an index by literal segments (prefix tree); internal/front/routes/routes.go compares all routes of as many segments"
	reloadMechanism    = "existing: read on a goroutine beside the loop, internal/front/openapi/reload.go"
	connectionMap      = "existing: one loop, internal/net/loop/loop.go; a third of the descriptors for clients, internal/limits/limits.go"
	decisionStandin    = "servers answer each request in 5 ms of simulated time, none fails: retries and ejections add to it"
	ingressLoadStandin = "8 hosts of ours answer at once for all names of the list, on loopback: real ones add dials to more addresses, and the network its round trips"
)

// requestPathMeasurers measure an ingress serving requests.
func requestPathMeasurers(environment Environment) []Measurer {
	var all []Measurer
	for _, some := range [][]Measurer{decisionMeasurers(), routeMeasurers(), ingressMeasurers(environment)} {
		all = append(all, some...)
	}
	for i := range all {
		all[i].Role = RoleRequestPath
	}
	return all
}

// decisionMeasurers measure the decision module alone.
func decisionMeasurers() []Measurer {
	byServers := memoize(func(ctx context.Context, servers int) (decisionCost, error) {
		return measureDecision(ctx, servers, decisionTenants)
	})
	byTenants := memoize(func(ctx context.Context, tenants int) (decisionCost, error) {
		return measureDecision(ctx, decisionServers, tenants)
	})
	processor := func(c decisionCost) float64 { return c.microseconds }
	heap := func(c decisionCost) float64 { return c.megabytes }
	return []Measurer{
		{Quantity: "decision module, processor time a request", Unit: "us", Parameter: "servers in the list",
			Sizes: serverSizes(), Target: TargetServers, Standin: decisionStandin, Mechanism: pickMechanism,
			Measure: reading(byServers, processor)},
		{Quantity: "decision module, processor time a request by tenants", Unit: "us", Parameter: "tenants known",
			Sizes: tenantSizes(), Target: TargetTenants, Standin: decisionStandin, Mechanism: tenantMechanism,
			Measure: reading(byTenants, processor)},
		{Quantity: "decision module, heap by tenants", Unit: "MB", Parameter: "tenants known", Sizes: tenantSizes(),
			Target: TargetTenants, Mechanism: tenantMechanism, Measure: reading(byTenants, heap)},
	}
}

// routeMeasurers measure the second front's route table.
func routeMeasurers() []Measurer {
	byRoutes := memoize(measureRoutes)
	all := []Measurer{
		{Quantity: "route lookup, processor time a request", Unit: "us", Mechanism: routeMechanism,
			Measure: reading(byRoutes, func(c routeCost) float64 { return c.lookupMicroseconds })},
		{Quantity: "route table, processor time to load", Unit: "ms", Mechanism: reloadMechanism,
			Measure: reading(byRoutes, func(c routeCost) float64 { return c.loadMilliseconds })},
		{Quantity: "route table, heap", Unit: "MB", Mechanism: reloadMechanism,
			Measure: reading(byRoutes, func(c routeCost) float64 { return c.megabytes })},
	}
	for i := range all {
		all[i].Parameter, all[i].Sizes, all[i].Target = "routes", routeSizes(), TargetRoutes
	}
	return all
}

// ingressMeasurers measure a process of the real binary under load.
func ingressMeasurers(environment Environment) []Measurer {
	byServers := memoize(func(ctx context.Context, servers int) (ingressCost, error) {
		return measureIngress(ctx, environment, servers, loadConnections)
	})
	byConnections := memoize(func(ctx context.Context, connections int) (ingressCost, error) {
		return measureIngress(ctx, environment, loadListed, connections)
	})
	var all []Measurer
	for _, by := range []struct {
		parameter string
		sizes     []int
		target    float64
		mechanism string
		measure   func(context.Context, int) (ingressCost, error)
	}{
		{"servers in the list", serverSizes(), TargetServers, subsetMechanism, byServers},
		{"client connections", connectionSizes(), targetConnections, connectionMap, byConnections},
	} {
		add := func(quantity, unit string, budget *float64, value func(ingressCost) float64) {
			all = append(all, Measurer{Quantity: quantity + " by " + by.parameter, Unit: unit, Parameter: by.parameter,
				Sizes: by.sizes, Target: by.target, Budget: budget, Standin: ingressLoadStandin, Mechanism: by.mechanism,
				Measure: reading(by.measure, value)})
		}
		add("whole process, processor time a request", "us", nil, func(c ingressCost) float64 { return c.processorMicroseconds })
		add("time added, 99th percentile", "ms", Budget(BudgetAddedP99MS), func(c ingressCost) float64 { return c.addedP99 })
		add("whole process, resident memory", "MB", nil, func(c ingressCost) float64 { return c.residentMegabytes })
	}
	return all
}
