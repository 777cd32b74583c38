package capacity

import (
	"context"
	"fmt"
)

// Texts of the measurements of replacement.
const (
	dialStandin = "every server that is new in a subset is counted as dialled, which it is once traffic reaches it; 4 of " +
		"the ingresses that start are simulated, whose upstream hosts answer after 50 to 150 ms"
	detectMechanism = "existing: failure detector with gossip, internal/membership/probe.go; leases, internal/controlgroup, run out without anybody's word"
	moveMechanism   = "existing: subsetting by rendezvous hashing, admission/rendezvous: what stays is not dialled anew"
	startMechanism  = "existing: connections dialled by need, internal/net/upstream; missing: a bound on handshakes a second"
)

// Parts of the fleet that fail together.
const (
	rackPart       = 1.0 / 40
	zonePart       = 1.0 / TargetZones
	mostPart       = 0.7
	secondsADay    = 24 * 3600
	serversName    = "servers that are gone"
	ingressesStart = "ingresses that start"
)

// Sizes that end where a measurement takes longer than it may.
func lossSizes() []int { return []int{40, 80, 160, 325} }
func deadSizes() []int { return []int{20, 40, 80, 160} }

// partsOf are one, a rack, a zone, and seven in ten.
func partsOf(all int) []int {
	return []int{1, int(rackPart * float64(all)), (all + TargetZones - 1) / TargetZones, all * 7 / 10}
}

// replacementMeasurers measure machines that fail, restart or are replaced.
func replacementMeasurers() []Measurer {
	var all []Measurer
	for _, some := range [][]Measurer{lossMeasurers(), restartMeasurers(), moveMeasurers()} {
		all = append(all, some...)
	}
	for i := range all {
		all[i].Role = RoleReplacement
	}
	return all
}

// lossMeasurers measure what the survivors of a loss do until they agree on it.
func lossMeasurers() []Measurer {
	var all []Measurer
	for _, event := range []struct {
		name  string
		part  float64
		sizes []int
	}{{"a rack", rackPart, ingressSizes()}, {"a zone", zonePart, lossSizes()}, {"seven in ten", mostPart, lossSizes()}} {
		measure := memoize(func(ctx context.Context, members int) (loss, error) { return measureLoss(ctx, members, event.part) })
		for _, quantity := range []struct {
			name, unit string
			budget     *float64
			value      func(loss) float64
		}{
			{"until all that are left agree", "s", nil, func(l loss) float64 { return l.agreed.Seconds() }},
			{"bytes of a member meanwhile, both ways", "bytes a second", Budget(BudgetControlBytesPerS),
				func(l loss) float64 { return l.bytesPerSecond }},
			{"processor time of a member meanwhile", "% of a core", Budget(100 * BudgetControlCPUShare),
				func(l loss) float64 { return 100 * l.processorShare }},
		} {
			all = append(all, Measurer{Quantity: fmt.Sprintf("%s of the ingresses gone, %s", event.name, quantity.name),
				Unit: quantity.unit, Parameter: "ingresses", Sizes: event.sizes, Target: TargetIngresses, Budget: quantity.budget,
				Standin: memberStandin, Mechanism: detectMechanism, Measure: reading(measure, quantity.value)})
		}
	}
	return all
}

// restartMeasurers measure what waits for restarted ingresses; how long each takes is measured for an ingress's control.
func restartMeasurers() []Measurer {
	return []Measurer{{Quantity: "ingresses without their share on average, one other dead", Unit: "ingresses",
		Parameter: "ingresses, restarts in the proportion of 760 a day to 650", Sizes: deadSizes(), Target: TargetIngresses,
		Standin: memberStandin, Mechanism: shareMechanism, Measure: func(ctx context.Context, size int) (float64, error) {
			cost, err := measureMembership(ctx, size)
			restarts := ReplacementsADay * float64(size) / TargetIngresses
			return cost.restartDead * restarts / secondsADay, err
		}}}
}

// moveMeasurers measure what the loss of servers and the start of ingresses move: connections, and the list.
func moveMeasurers() []Measurer {
	whole := memoize(func(ctx context.Context, servers int) (subsets, error) {
		return rankSubsets(ctx, TargetIngresses, admissionServers(servers))
	})
	moves := memoize(func(ctx context.Context, gone int) (moved, error) {
		ranked, err := whole(ctx, TargetServers)
		if err != nil {
			return moved{}, err
		}
		return measureMoves(ctx, ranked, gone)
	})
	starting := memoize(func(ctx context.Context, servers int) (connectionLoad, error) {
		return measureConnections(ctx, TargetIngresses, servers)
	})
	measurers := []Measurer{
		{Quantity: "servers gone, connections to other servers", Unit: "handshakes", Parameter: serversName, Standin: dialStandin,
			Mechanism: moveMechanism, Measure: reading(moves, func(m moved) float64 { return float64(m.whenGone) })},
		{Quantity: "servers back, connections to them and others", Unit: "handshakes", Parameter: serversName, Standin: dialStandin,
			Mechanism: moveMechanism, Measure: reading(moves, func(m moved) float64 { return float64(m.whenBack) })},
		{Quantity: "servers gone, bytes to a watch in one message", Unit: "bytes", Parameter: serversName,
			Budget:  Budget(BudgetControlBytesPerS * BudgetAverageIntervalSec),
			Standin: listServiceStandin, Mechanism: batchMechanism,
			Measure: func(ctx context.Context, gone int) (float64, error) { return measureZoneReturn(ctx, gone, false) }},
		{Quantity: "ingresses that start, handshakes in their first second", Unit: "handshakes", Parameter: ingressesStart,
			Standin: dialStandin, Mechanism: startMechanism,
			Measure: func(ctx context.Context, started int) (float64, error) {
				load, err := starting(ctx, TargetServers)
				return load.first * float64(started), err
			}},
		{Quantity: "ingresses that start, whole lists", Unit: "MB", Parameter: ingressesStart, Standin: restartStandin, Mechanism: wholeMechanism,
			Measure: func(ctx context.Context, started int) (float64, error) {
				lists, err := measureMassRestart(ctx, started, TargetServers)
				return float64(lists.bytes) / 1e6, err
			}},
	}
	for i := range measurers {
		m := &measurers[i]
		if m.Sizes = partsOf(TargetIngresses); m.Parameter == serversName {
			m.Sizes = partsOf(TargetServers)
		}
		m.Target = float64(m.Sizes[len(m.Sizes)-1])
	}
	return measurers
}

// moved is how many servers are new in the ingresses' subsets, of all together.
type moved struct{ whenGone, whenBack int }

// measureMoves takes servers out of the list, evenly apart, and brings them back.
func measureMoves(ctx context.Context, whole subsets, gone int) (moved, error) {
	part, err := rankSubsets(ctx, len(whole.of), withoutServers(whole.servers, gone))
	if err != nil {
		return moved{}, err
	}
	var all moved
	for me := range whole.of {
		before, after := whole.names(me), part.names(me)
		all.whenGone += notIn(before, after)
		all.whenBack += notIn(after, before)
	}
	return all, nil
}

// notIn is how many of some names are not among others.
func notIn(others, some map[string]bool) (count int) {
	for name := range some {
		if !others[name] {
			count++
		}
	}
	return count
}
