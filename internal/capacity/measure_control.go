package capacity

import (
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

// Texts of the measurements at the control machines.
const (
	gossipStandin = "network: simulated time, 5 ms one way, nothing lost but what a member drops by its own bound on messages " +
		"a second"
	logStandin = "three replicas in one process on one disk, over loopback: three machines have a disk each, and the " +
		"network between regions adds its round trip to a commit"
	leaseStandin = "simulated time; commands are applied at once and the check of leadership always succeeds: its messages " +
		"between replicas, sockets and encryption come on top"
	gossipMechanism = "existing: gossip of versions, internal/versions, which needs every member's word; off unless " +
		"configured: replicated log with leases and fan-out over followers, internal/controlgroup, internal/controlserver"
	reachMechanism = "existing, off unless configured: fan-out over followers, internal/controlserver; by gossip every member reports to every other, over the 400 datagrams a second that one takes"
	logMechanism   = "existing library: hashicorp/raft with a store on disk; its group, internal/controlgroup"
	leaseMechanism = "existing: leases of the leader, internal/controlgroup/leader.go"
)

// gossipSizes end where a change still gets into force within the time of the measurement.
func gossipSizes() []int { return []int{20, 40, 80, 160} }

// changeSizes are bytes of a change, the last the most that a document may have.
func changeSizes() []int { return []int{100, documentBytes, 16 << 10, controlgroup.TextMost} }

// controlMachineMeasurers measure the machines set aside for control.
func controlMachineMeasurers() []Measurer {
	var all []Measurer
	for _, some := range [][]Measurer{gossipMeasurers(), logMeasurers(), leaseMeasurers()} {
		all = append(all, some...)
	}
	for i := range all {
		all[i].Role = RoleControlMachines
	}
	return all
}

// gossipMeasurers measure the distribution of settings between ingresses, without a control group.
func gossipMeasurers() []Measurer {
	change := memoize(measureRollout)
	measurers := []Measurer{
		{Quantity: "settings by gossip, messages of the fleet for a change", Unit: "messages",
			Measure: reading(change, func(r rollout) float64 { return float64(r.messages) })},
		{Quantity: "settings by gossip, bytes of the fleet for a change", Unit: "MB",
			Measure: reading(change, func(r rollout) float64 { return float64(r.bytes) / 1e6 })},
		{Quantity: "settings by gossip, processor time of a member for a change", Unit: "ms",
			Budget:  Budget(BudgetControlCPUShare * BudgetAverageIntervalSec * 1e3),
			Measure: reading(change, func(r rollout) float64 { return milliseconds(r.cpu) / float64(r.members) })},
		{Quantity: "settings by gossip, until a change is in force alone", Unit: "s", Budget: Budget(BudgetInForceS),
			Measure: reading(change, func(r rollout) float64 { return r.inForce.Seconds() })},
	}
	for i := range measurers {
		m := &measurers[i]
		m.Sizes, m.Standin, m.Mechanism = gossipSizes(), gossipStandin, gossipMechanism
	}
	measurers = append(measurers, Measurer{Quantity: "settings by gossip, members that a change of 2,000 bytes has not reached after 10 s",
		Unit: "members", Sizes: ingressSizes(), Budget: Budget(0), Standin: gossipStandin, Mechanism: reachMechanism,
		Measure: reading(change, func(r rollout) float64 { return float64(r.without) })})
	for i := range measurers {
		measurers[i].Parameter, measurers[i].Target = "ingresses", TargetIngresses
	}
	return measurers
}

// logMeasurers measure a replicated log on disk.
func logMeasurers() []Measurer {
	bySize := memoize(measureLog)
	inForce := Budget(BudgetInForceS * 1e3)
	measurers := []Measurer{
		{Quantity: "replicated log, commit latency, median", Unit: "ms", Budget: inForce,
			Measure: reading(bySize, func(c logCost) float64 { return milliseconds(c.p50) })},
		{Quantity: "replicated log, commit latency, 99th percentile", Unit: "ms", Budget: inForce,
			Measure: reading(bySize, func(c logCost) float64 { return milliseconds(c.p99) })},
		{Quantity: "replicated log, bytes written to disk by three replicas for a change", Unit: "kB",
			Measure: reading(bySize, func(c logCost) float64 { return c.written / 1e3 })},
		{Quantity: "replicated log, growth of one replica's file for a change", Unit: "kB",
			Measure: reading(bySize, func(c logCost) float64 { return c.growth / 1e3 })},
	}
	for i := range measurers {
		measurers[i].Parameter, measurers[i].Sizes, measurers[i].Target = "bytes of a change", changeSizes(), controlgroup.TextMost
	}
	proposers := []int{1, 4, 16, 64}
	measurers = append(measurers, Measurer{Quantity: "replicated log, changes of 2,000 bytes committed a second", Unit: "changes a second",
		Parameter: "changes proposed at a time", Sizes: proposers, Target: float64(proposers[len(proposers)-1]), Measure: measureLogRate})
	for i := range measurers {
		measurers[i].Standin, measurers[i].Mechanism = logStandin, logMechanism
	}
	return measurers
}

// leaseMeasurers measure the leases of a control group.
func leaseMeasurers() []Measurer {
	leases := memoize(measureLeases)
	measurers := []Measurer{
		{Quantity: "leases, renewals a second at the leader", Unit: "renewals a second",
			Measure: reading(leases, func(c leaseCost) float64 { return c.perSecond })},
		{Quantity: "leases, processor time of the leader for a renewal", Unit: "us",
			Measure: reading(leases, func(c leaseCost) float64 { return float64(c.each) / float64(time.Microsecond) })},
		{Quantity: "leases, processor time of the leader", Unit: "% of a core",
			Measure: reading(leases, func(c leaseCost) float64 { return 100 * c.perSecond * c.each.Seconds() })},
		{Quantity: "leases, bytes of a member", Unit: "bytes a second", Budget: Budget(BudgetControlBytesPerS),
			Measure: reading(leases, func(c leaseCost) float64 { return c.bytes })},
	}
	for i := range measurers {
		m := &measurers[i]
		m.Parameter, m.Sizes, m.Target = "ingresses", ingressSizes(), TargetIngresses
		m.Standin, m.Mechanism = leaseStandin, leaseMechanism
	}
	return measurers
}
