package capacity

import (
	"context"
	"slices"
)

// Sizes of parameters that only the control of an ingress has.
func zoneChangeSizes() []int { return []int{128, 256, 512, zoneServers} }
func balancedSizes() []int   { return []int{200, 400, 800, 1600} } // at which all subsets of 650 ingresses are balanced
func classSizes() []int      { return []int{20, 60, 120, TargetServices} }

// Budgets of what an event may take, averages over 10 s.
const (
	budgetEventMS    = BudgetControlCPUShare * BudgetAverageIntervalSec * 1e3
	budgetEventBytes = BudgetControlBytesPerS * BudgetAverageIntervalSec
	budgetMemoryMB   = BudgetControlMemoryMB
	budgetMemoryKB   = BudgetControlMemoryMB * 1e3
	budgetRestartS   = 1.0 // until a restarted member has its share, 90th percentile, as accepted by the operators
)

// Texts of the control measurements.
const (
	wholeListMechanism = "missing: delta distribution to a restarted ingress, and subsetting of the list itself"
	listHeapMechanism  = "existing: internal/net/discovery/discovery.go; missing: subsetting of the list itself"
	rankMechanism      = "existing: subsetting, admission/rendezvous/rendezvous.go"
	zoneRankMechanism  = "missing: batching of changes that come one by one; admission/servers.go ranks anew for each"
	settingsMechanism  = "existing: the whole document to each member, internal/versions/versions.go; the pieces hold 64 KB at most"
	underMechanism     = "existing: internal/config/with_shared.go, which reads other settings without the list known from before the start"
	failureDetector    = "existing: failure detector in the manner of SWIM, internal/membership/probe.go"
	shareMechanism     = "existing, off unless configured: share lease, internal/controlgroup; without it internal/membership/share.go waits for a word of every member, or a round of all for one that is dead"
	fanOutMechanism    = "existing, off unless configured: fan-out over followers, internal/controlserver; without it internal/versions/versions.go has every member report to every other"
	allReportMechanism = "existing, off unless configured: lease and quorum, internal/controlgroup; without it internal/versions/versions.go waits for the report of every member that has not left"
	memberStandin      = "a simulated network, 5 ms a way, that loses nothing but what a member drops over 400 datagrams a second, and no sockets: a real one adds a system call a message, and loss prolongs waits. The caches of one machine hold the state of all members: processor time is rather too high"
	versionsStandin    = memberStandin + ". Documents of 2 KB"
)

// ingressControlMeasurers measure an ingress following the control plane.
func ingressControlMeasurers() []Measurer {
	all := slices.Concat(listMeasurers(), subsetMeasurers(), settingsMeasurers(), membershipMeasurers(), versionsMeasurers())
	for i := range all {
		all[i].Role = RoleIngressControl
	}
	return all
}

// listMeasurers measure what the list of servers costs.
func listMeasurers() []Measurer {
	listBytes := func(_ context.Context, servers int) (float64, error) {
		return float64(len(wholeListMessage(servers))), nil
	}
	changeBytes := func(_ context.Context, servers int) (float64, error) {
		return float64(len(appendListMessage(nil, 2, false, listedServers(servers)[servers-1:]))), nil
	}
	all := []Measurer{
		{Quantity: "whole list, bytes", Unit: "bytes", Budget: Budget(budgetEventBytes), Mechanism: wholeListMechanism, Measure: listBytes},
		{Quantity: "change of one server, bytes", Unit: "bytes", Budget: Budget(budgetEventBytes),
			Mechanism: deltaMechanism, Measure: changeBytes},
		{Quantity: "whole list, processor time to parse", Unit: "ms", Budget: Budget(budgetEventMS),
			Mechanism: wholeListMechanism, Measure: measureParse},
		{Quantity: "list in all parts, heap", Unit: "MB", Budget: Budget(budgetMemoryMB), Mechanism: listHeapMechanism, Measure: measureListHeap},
	}
	for i := range all {
		all[i].Parameter, all[i].Sizes, all[i].Target = "servers in the list", serverSizes(), TargetServers
	}
	return all
}

// subsetMeasurers measure the ranking of servers by 650 ingresses, and how even the subsets come out.
func subsetMeasurers() []Measurer {
	spread := memoize(measureSubsets)
	all := []Measurer{
		{Quantity: "one change, processor time to rank", Unit: "ms", Budget: Budget(budgetEventMS), Mechanism: rankMechanism, Measure: measureRanking},
		{Quantity: "one change, processor time to rank while subsets are balanced", Unit: "ms", Sizes: balancedSizes(),
			Budget: Budget(budgetEventMS), Mechanism: rankMechanism, Measure: measureRanking},
		{Quantity: "subsets that hold a server, most", Unit: "subsets", Mechanism: balanceMechanism,
			Measure: reading(spread, func(s subsetSpread) float64 { return s.most })},
		{Quantity: "subsets that hold a server, least", Unit: "subsets", Mechanism: balanceMechanism,
			Measure: reading(spread, func(s subsetSpread) float64 { return s.least })},
		{Quantity: "servers in no subset", Unit: "servers", Mechanism: balanceMechanism,
			Measure: reading(spread, func(s subsetSpread) float64 { return s.none })},
		{Quantity: "a zone's changes one by one, processor time to rank", Unit: "ms", Parameter: "changes of a list of 7,200",
			Sizes: zoneChangeSizes(), Target: zoneServers, Budget: Budget(budgetEventMS), Mechanism: zoneRankMechanism,
			Measure: measureZoneRanking},
	}
	for i := range all {
		if all[i].Parameter == "" {
			all[i].Parameter, all[i].Target = "servers in the list", TargetServers
		}
		if all[i].Sizes == nil {
			all[i].Sizes = serverSizes()
		}
	}
	return all
}

// settingsMeasurers measure what a version of the settings costs its taker.
func settingsMeasurers() []Measurer {
	byClasses := memoize(func(ctx context.Context, classes int) (settingsCost, error) { return measureSettings(ctx, classes, 1) })
	byServers := memoize(func(ctx context.Context, servers int) (settingsCost, error) {
		return measureSettings(ctx, settingsClasses, servers)
	})
	processor := func(c settingsCost) float64 { return c.milliseconds }
	return []Measurer{
		{Quantity: "version of the settings, bytes", Unit: "bytes", Parameter: "classes", Sizes: classSizes(), Target: TargetServices,
			Budget: Budget(budgetEventBytes), Mechanism: settingsMechanism,
			Measure: reading(byClasses, func(c settingsCost) float64 { return c.bytes })},
		{Quantity: "version of the settings, processor time to take", Unit: "ms", Parameter: "classes", Sizes: classSizes(),
			Target: TargetServices, Budget: Budget(budgetEventMS), Mechanism: underMechanism, Measure: reading(byClasses, processor)},
		{Quantity: "version of the settings, processor time to take by known list", Unit: "ms",
			Parameter: "servers in the list known before the start", Sizes: serverSizes(), Target: TargetServers,
			Budget: Budget(budgetEventMS), Mechanism: underMechanism, Measure: reading(byServers, processor)},
	}
}

// membershipMeasurers measure the failure detector, and the share that waits for it.
func membershipMeasurers() []Measurer {
	fleet := memoize(measureMembership)
	all := []Measurer{
		{Quantity: "membership, messages sent", Unit: "a second", Mechanism: failureDetector,
			Measure: reading(fleet, func(c membershipCost) float64 { return c.messagesPerSecond })},
		{Quantity: "membership, bytes sent and received", Unit: "bytes a second", Budget: Budget(BudgetControlBytesPerS),
			Mechanism: failureDetector, Measure: reading(fleet, func(c membershipCost) float64 { return c.bytesPerSecond })},
		{Quantity: "membership, processor time", Unit: "share of a core", Budget: Budget(BudgetControlCPUShare), Mechanism: failureDetector,
			Measure: reading(fleet, func(c membershipCost) float64 { return c.processorShare })},
		{Quantity: "membership, heap", Unit: "KB", Budget: Budget(budgetMemoryKB), Mechanism: failureDetector,
			Measure: reading(fleet, func(c membershipCost) float64 { return c.heapKilobytes })},
		{Quantity: "restarted member may use its share, all others alive", Unit: "s", Budget: Budget(budgetRestartS),
			Mechanism: shareMechanism, Measure: reading(fleet, func(c membershipCost) float64 { return c.restartSeconds })},
		{Quantity: "restarted member may use its share, one other dead", Unit: "s", Budget: Budget(budgetRestartS),
			Mechanism: shareMechanism, Measure: reading(fleet, func(c membershipCost) float64 { return c.restartDead })},
	}
	for i := range all {
		all[i].Parameter, all[i].Sizes, all[i].Target, all[i].Standin = "ingresses", ingressSizes(), TargetIngresses, memberStandin
	}
	return all
}

// versionsMeasurers measure one change of the settings that spreads by gossip.
func versionsMeasurers() []Measurer {
	beside := func(dead int) func(context.Context, int) (rollout, error) {
		return memoize(func(ctx context.Context, members int) (rollout, error) {
			return measureRolloutBeside(ctx, members, dead)
		})
	}
	alive, dead := beside(0), beside(1)
	seconds := func(r rollout) float64 { return r.inForce.Seconds() }
	all := []Measurer{
		{Quantity: "one change by gossip, messages sent by a member", Unit: "messages", Mechanism: fanOutMechanism,
			Measure: reading(alive, func(r rollout) float64 { return r.each(float64(r.messages)) })},
		{Quantity: "one change by gossip, messages dropped by a member over 400 a second", Unit: "messages", Mechanism: fanOutMechanism,
			Measure: reading(alive, func(r rollout) float64 { return r.each(float64(r.dropped)) })},
		{Quantity: "one change by gossip, sent and received by a member", Unit: "KB", Budget: Budget(budgetEventBytes / 1e3),
			Mechanism: fanOutMechanism, Measure: reading(alive, func(r rollout) float64 { return r.each(2 * float64(r.bytes) / 1e3) })},
		{Quantity: "one change by gossip, processor time of a member", Unit: "ms", Budget: Budget(budgetEventMS),
			Mechanism: fanOutMechanism, Measure: reading(alive, func(r rollout) float64 { return r.each(milliseconds(r.cpu)) })},
		{Quantity: "versions by gossip, heap", Unit: "KB", Budget: Budget(budgetMemoryKB), Mechanism: fanOutMechanism,
			Measure: reading(alive, func(r rollout) float64 { return r.each(r.heap / 1e3) })},
		{Quantity: "change alone in force by gossip, all alive", Unit: "s", Budget: Budget(BudgetInForceS), Cap: gossipMost.Seconds(),
			Mechanism: allReportMechanism, Measure: reading(alive, seconds)},
		{Quantity: "change alone in force by gossip, one dead", Unit: "s", Budget: Budget(BudgetInForceS), Cap: gossipMost.Seconds(),
			Mechanism: allReportMechanism, Measure: reading(dead, seconds)},
	}
	for i := range all {
		all[i].Parameter, all[i].Sizes, all[i].Target, all[i].Standin = "ingresses", ingressSizes(), TargetIngresses, versionsStandin
	}
	return all
}

// each is the part of one member in what all did.
func (r rollout) each(of float64) float64 { return of / float64(r.members) }
