package capacity

import (
	"context"
	"errors"
	"time"

	"ferryfront.example/ferryfront/internal/net/discovery"
)

// Sizes of the measurements at discovery.
const (
	fanOutServers = 40 // listed while a change is fanned out, whose cost does not depend on it
	fanOutRepeats = 7  // changes, of which the cheapest counts
	zoneWatches   = 4  // that read a zone's return, which costs each the same
	wholeWatchers = 1  // of a mass restart's watches that keep and parse the list: all on one machine would not fit
	wholeRepeats  = 2  // mass restarts, of which the cheaper counts
)

// ingressSizes and serverSizes are the fleet sizes at which most quantities are measured.
func ingressSizes() []int { return []int{40, 160, 325, TargetIngresses} }
func serverSizes() []int  { return []int{200, 800, 2400, TargetServers} }

// zoneServers is how many servers a zone holds at the target: the larger part of an even split.
const zoneServers = (TargetServers + TargetZones - 1) / TargetZones

// Texts of the discovery measurements.
const (
	listServiceStandin = "discovery: a service of ours on one thread that encodes a message once for all watches and " +
		"keeps every change; the real one may encode for each watch, batch changes, and take longer. On loopback the " +
		"sender's processor time holds part of the receivers'"
	restartStandin = listServiceStandin + ". Of the watches one is the ingress's own, the others count bytes only, " +
		"since 650 parsed lists do not fit one machine: an ingress's own parsing is measured by itself"
	deltaMechanism = "existing: delta distribution, internal/net/discovery/discovery.go"
	wholeMechanism = "missing: delta distribution to a restarted ingress (a watch that resumes from the version it " +
		"knows, where discovery keeps the changes since)"
	batchMechanism = "existing: delta distribution, internal/net/discovery/discovery.go; that a zone's changes come in " +
		"one message is up to discovery"
)

// reading turns a measurement of several quantities into a Measure function for one of them.
func reading[T any](measure func(context.Context, int) (T, error), quantity func(T) float64) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		value, err := measure(ctx, size)
		if err != nil {
			return 0, err
		}
		return quantity(value), nil
	}
}

// milliseconds returns a duration as a number.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// discoveryMeasurers measure the fan-out of lists and changes to the ingresses.
func discoveryMeasurers() []Measurer {
	change := memoize(measureFanOut)
	restart := memoize(func(ctx context.Context, watches int) (fanOut, error) {
		return measureMassRestart(ctx, watches, TargetServers)
	})
	list := memoize(func(ctx context.Context, servers int) (fanOut, error) { return measureMassRestart(ctx, 1, servers) })
	together := memoize(func(ctx context.Context, servers int) (float64, error) {
		return measureZoneReturn(ctx, servers, false)
	})
	single := memoize(func(ctx context.Context, servers int) (float64, error) {
		return measureZoneReturn(ctx, servers, true)
	})
	budgetBytes := Budget(BudgetControlBytesPerS * BudgetAverageIntervalSec)
	atBudget := func(bytes float64) float64 { return bytes / BudgetControlBytesPerS }
	measurers := []Measurer{
		{Quantity: "one change, bytes sent by the service", Unit: "bytes", Parameter: "watches", Mechanism: deltaMechanism,
			Measure: reading(change, func(f fanOut) float64 { return float64(f.bytes) })},
		{Quantity: "one change, processor time of the service", Unit: "ms", Parameter: "watches", Mechanism: deltaMechanism,
			Measure: reading(change, func(f fanOut) float64 { return milliseconds(f.cpu) })},
		{Quantity: "one change, until the last watch has it", Unit: "ms", Parameter: "watches", Mechanism: deltaMechanism,
			Measure: reading(change, func(f fanOut) float64 { return milliseconds(f.last) })},
		{Quantity: "mass restart, bytes sent by the service", Unit: "MB", Parameter: "watches", Mechanism: wholeMechanism,
			Standin: restartStandin, Measure: reading(restart, func(f fanOut) float64 { return float64(f.bytes) / 1e6 })},
		{Quantity: "mass restart, processor time of the service", Unit: "ms", Parameter: "watches", Mechanism: wholeMechanism,
			Standin: restartStandin, Measure: reading(restart, func(f fanOut) float64 { return milliseconds(f.cpu) })},
		{Quantity: "mass restart, until all have the whole list", Unit: "ms", Parameter: "watches", Mechanism: wholeMechanism,
			Standin: restartStandin, Measure: reading(restart, func(f fanOut) float64 { return milliseconds(f.last) })},
		{Quantity: "whole list, bytes to a watch", Unit: "bytes", Parameter: "servers", Sizes: serverSizes(),
			Target: TargetServers, Budget: budgetBytes, Mechanism: wholeMechanism,
			Measure: reading(list, func(f fanOut) float64 { return float64(f.bytes) })},
		{Quantity: "whole list, time at the budget's bytes a second", Unit: "s", Parameter: "servers", Sizes: serverSizes(),
			Target: TargetServers, Budget: Budget(BudgetAverageIntervalSec), Mechanism: wholeMechanism,
			Measure: reading(list, func(f fanOut) float64 { return float64(f.bytes) / BudgetControlBytesPerS })},
	}
	for _, zone := range []struct {
		how   string
		bytes func(context.Context, int) (float64, error)
	}{{"in one message", together}, {"one message each", single}} {
		measurers = append(measurers,
			Measurer{Quantity: "zone returns " + zone.how + ", bytes to a watch", Unit: "bytes", Parameter: "servers of the zone",
				Sizes: zoneSizes(), Target: zoneServers, Budget: budgetBytes, Mechanism: batchMechanism,
				Measure: zone.bytes},
			Measurer{Quantity: "zone returns " + zone.how + ", time at the budget's bytes a second", Unit: "s",
				Parameter: "servers of the zone", Sizes: zoneSizes(), Target: zoneServers,
				Budget: Budget(BudgetAverageIntervalSec), Mechanism: batchMechanism, Measure: reading(zone.bytes, atBudget)})
	}
	for i := range measurers {
		m := &measurers[i]
		m.Role = RoleDiscovery
		if m.Standin == "" {
			m.Standin = listServiceStandin
		}
		if m.Parameter == "watches" {
			m.Sizes, m.Target = ingressSizes(), TargetIngresses
		}
	}
	return measurers
}

// zoneSizes are parts of a zone, and all of it.
func zoneSizes() []int {
	return []int{zoneServers / 7, zoneServers / 3, zoneServers * 2 / 3, zoneServers}
}

// fanOut is the cost at discovery of one change that goes to all watches.
type fanOut struct {
	usage
	last time.Duration // until the last watch has it
}

// orCheaper takes the lower costs of f, the least of the repeats so far, and one more.
func (f fanOut) orCheaper(one fanOut, repeats int) fanOut {
	if repeats == 0 {
		return one
	}
	return fanOut{usage{min(f.cpu, one.cpu), one.bytes}, min(f.last, one.last)}
}

// measureFanOut sends changes of one server to so many watches.
func measureFanOut(ctx context.Context, watches int) (least fanOut, err error) {
	servers := listedServers(fanOutServers)
	err = withWatches(ctx, servers, watches, 0, func(s *listService, w *listWatches) error {
		for i := range fanOutRepeats {
			changed := servers[:1]
			changed[0].State = []string{"Terminating", "Ready"}[i%2]
			before, began := s.spent(), time.Now()
			if err := w.await(ctx, s.publish(changed)); err != nil {
				return err
			}
			took := time.Since(began)
			one := fanOut{s.spent().since(before), took}
			least = least.orCheaper(one, i)
		}
		return nil
	})
	return least, err
}

// measureMassRestart has so many watches ask for the whole list of so many servers at one instant. Time runs from
// the first connection.
func measureMassRestart(ctx context.Context, watches, servers int) (least fanOut, err error) {
	watchers := min(watches, wholeWatchers)
	listed := listedServers(servers)
	for i := range wholeRepeats {
		var one fanOut
		err := withWatches(ctx, listed, watchers, watches-watchers, func(s *listService, w *listWatches) error {
			one = fanOut{s.spent(), time.Since(w.opened)}
			return nil
		})
		if err != nil {
			return least, err
		}
		least = least.orCheaper(one, i)
	}
	return least, nil
}

// measureZoneReturn is what one watch is sent when so many servers come back: in one message, or one message each.
func measureZoneReturn(ctx context.Context, servers int, oneByOne bool) (bytesAWatch float64, err error) {
	returned := listedServers(servers)
	for i := range returned {
		returned[i].Started = time.Now().UnixMilli()
	}
	err = withWatches(ctx, listedServers(fanOutServers), zoneWatches, 0, func(s *listService, w *listWatches) error {
		before := s.spent()
		size := servers
		if oneByOne {
			size = 1
		}
		var version uint64
		for at := 0; at < servers; at += size {
			version = s.publish(returned[at : at+size])
		}
		if err := w.await(ctx, version); err != nil {
			return err
		}
		bytesAWatch = float64(s.spent().since(before).bytes) / zoneWatches
		return nil
	})
	return bytesAWatch, err
}

// withWatches calls f once so many watchers and readers have the whole list of these servers, and ends them then.
func withWatches(ctx context.Context, servers []listServer, watchers, readers int,
	f func(*listService, *listWatches) error) (err error) {
	s, err := newListService(servers)
	if err != nil {
		return err
	}
	w, err := openWatches(s, watchers, readers, len(watchHead)+len(s.whole), discovery.List{})
	if err != nil {
		return errors.Join(err, s.close())
	}
	defer func() { err = errors.Join(err, s.close(), w.close()) }()
	if err := w.await(ctx, 1); err != nil {
		return err
	}
	return f(s, w)
}
