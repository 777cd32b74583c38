package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// simulation runs a fleet of gateways and its hosts in virtual time. It carries out the actions of the gateways:
// sends, time limits, cancels and timers. A host serves a few requests at a time, and the others wait in its queue.
// Each attempt ends once. Requests have no quota.
type simulation struct {
	drivers        []*driver
	hosts          map[string]*simulatedHost // by name
	now            time.Duration
	events         eventQueue
	sequence       int // last number given to an event or a request
	rng            *rand.Rand
	answeredInTime []int               // by class: requests answered within the latency target, of those counted in arrived
	arrived        []int               // by class: requests that arrived from countedFrom on
	countedFrom    time.Duration       // requests that arrive earlier are not counted
	serverList     ServerList          // the list that all gateways have
	onSend         func(server string) // called for each attempt; nil: not called
	busyGateways   int                 // number of gateways that get four times the requests of each other one
}

// simulatedHost serves as many requests at a time as it has slots.
type simulatedHost struct {
	freeAt  []time.Duration                                   // when each slot is free
	respond func(took time.Duration) (Outcome, time.Duration) // outcome and time, from the service time; nil: OK after it
}

// scheduledEvent is a function that is called at a time of the simulation.
type scheduledEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation returns gateways and warm hosts in three cells of one zone. It starts at one hour, and counts
// requests from two hours on unless a test sets countedFrom.
func newSimulation(t *testing.T, classes []Class, gatewayCount, hostCount, slots int) *simulation {
	sim := &simulation{hosts: map[string]*simulatedHost{}, now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)),
		answeredInTime: make([]int, len(classes)), arrived: make([]int, len(classes)), countedFrom: 2 * time.Hour}
	list := ServerList{Kind: ListFull}
	for i := range hostCount {
		name := fmt.Sprintf("s-%08x", uint32(i+1)*2654435761)
		list.Servers = append(list.Servers, ServerEntry{Name: name, Zone: "a", Cell: i % 3, Size: 1})
		sim.hosts[name] = &simulatedHost{freeAt: make([]time.Duration, slots)}
	}
	for index := range gatewayCount {
		s := testSettings()
		s.Classes, s.Gateways, s.Index = classes, gatewayCount, index
		d := newDriver(t, s)
		d.handle(list)
		sim.drivers = append(sim.drivers, d)
	}
	sim.serverList = list
	return sim
}

// hostNames returns the names of all hosts, in the order of the list.
func (sim *simulation) hostNames() (names []string) {
	for _, e := range sim.serverList.Servers {
		names = append(names, e.Name)
	}
	return names
}

// restartHost restarts a host now and sends the new list to every gateway. While the host warms up, it is as slow
// as the settings allow.
func (sim *simulation) restartHost(name string, s Settings) {
	boot := sim.now
	for i, e := range sim.serverList.Servers {
		if e.Name == name {
			sim.serverList.Servers[i].Boot = boot
		}
	}
	sim.hosts[name].respond = func(took time.Duration) (Outcome, time.Duration) {
		return OK, time.Duration(float64(took) / estimate.WarmUpShare(sim.now, boot, s.WarmUpTime, s.InitialCapacity))
	}
	for index := range sim.drivers {
		list := sim.serverList
		list.Servers = append([]ServerEntry(nil), sim.serverList.Servers...)
		sim.handle(index, list)
	}
}

// schedule plans a call of run.
func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, scheduledEvent{at, sim.sequence, run})
}

// runUntil runs the events before a time, in order, and advances the clock to it.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at < end {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// handle passes an event to a gateway and carries out its actions.
func (sim *simulation) handle(gateway int, ev Event) {
	d := sim.drivers[gateway]
	for _, a := range append([]Action(nil), d.gateway.Handle(sim.now, ev)...) {
		switch a := a.(type) {
		case SetTimer:
			sim.schedule(max(a.At, sim.now), func() { sim.handle(gateway, TimerFired{a.Token}) })
		case Send:
			sim.startAttempt(gateway, a)
		case Cancel:
			sim.endAttempt(gateway, a.ID, a.Attempt, Cancelled)
		}
	}
}

// startAttempt sends a request to a host. The mean service time is an eighth of the latency target. The attempt
// ends with the host's answer, or at its time limit or the request's deadline if that is earlier.
func (sim *simulation) startAttempt(gateway int, send Send) {
	if sim.onSend != nil {
		sim.onSend(send.Server)
	}
	r := sim.drivers[gateway].gateway.requests[send.ID]
	attempt, class, sentAt := len(r.attempts)-1, r.classIndex, sim.now
	host, meanServiceTime := sim.hosts[send.Server], r.class.LatencyTarget/8
	slot := 0
	for i, free := range host.freeAt {
		if free < host.freeAt[slot] {
			slot = i
		}
	}
	outcome, took := OK, time.Duration(float64(meanServiceTime)*(0.5+sim.rng.Float64()))
	if host.respond != nil {
		outcome, took = host.respond(took)
	}
	done := sim.now + took
	if outcome == OK {
		done = max(sim.now, host.freeAt[slot]) + took
		host.freeAt[slot] = done
	}
	sim.schedule(done, func() {
		if outcome == OK && r.attempts[attempt].isLive && r.arrivedAt >= sim.countedFrom && sim.now <= r.due {
			sim.answeredInTime[class]++
		}
		sim.endAttempt(gateway, send.ID, attempt, outcome)
	})
	limit := r.deadline
	if send.Wait > 0 {
		limit = min(limit, sentAt+send.Wait)
	}
	sim.schedule(limit, func() { sim.endAttempt(gateway, send.ID, attempt, TimedOut) })
}

// endAttempt reports the end of an attempt to its gateway, unless it has ended before.
func (sim *simulation) endAttempt(gateway int, id uint64, attempt int, outcome Outcome) {
	r := sim.drivers[gateway].gateway.requests[id]
	if r == nil || !r.attempts[attempt].isLive {
		return
	}
	sim.handle(gateway, AttemptEnded{ID: id, Attempt: attempt, Server: r.attempts[attempt].server.Name,
		Outcome: outcome, Took: sim.now - r.attempts[attempt].sentAt, Done: outcome == OK || r.isDone})
}

// generateLoad makes requests arrive for some time, with exponential intervals: rate is their mean number a
// second over all gateways, shares are the shares of the classes.
func (sim *simulation) generateLoad(duration time.Duration, rate float64, shares []float64) {
	for end := sim.now + duration; sim.now < end; {
		sim.runUntil(sim.now + time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)))
		sample, class := sim.rng.Float64(), 0
		for class < len(shares)-1 && sample >= shares[class] {
			sample -= shares[class]
			class++
		}
		if sim.now >= sim.countedFrom {
			sim.arrived[class]++
		}
		sim.sequence++
		gateway := sim.rng.IntN(len(sim.drivers) + 3*sim.busyGateways)
		if gateway >= len(sim.drivers) {
			gateway = (gateway - len(sim.drivers)) % sim.busyGateways
		}
		sim.handle(gateway, RequestArrived{ID: uint64(sim.sequence), Class: class, Plan: unlimitedPlan,
			Customer: uint64(sim.sequence), Units: 1, Gateways: 1, FirstGateway: gateway,
			ExpiresIn: sim.drivers[0].gateway.settings.Classes[class].Deadline})
	}
}
