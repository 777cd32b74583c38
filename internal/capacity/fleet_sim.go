package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/timerq"
)

// Requests of the simulated fleets. Classes, plans and rules are of the middle of what the operators' brief states.
const (
	requestsPerIngress = float64(TargetRequestRate) / TargetIngresses // a second
	serversPerIngress  = float64(TargetServers) / TargetIngresses
	coldFor            = 16 * time.Second // 8.2 of the brief: warm within
	coldFrom           = 0.15             // part of its capacity that a started server has
	tipMultiple        = 2                // sent more than so many times what it can do
	tipTime            = 3 * time.Second  // for so long, it falls over
	counterLimit       = 30 * time.Millisecond
	idleClose          = 15 * time.Second
)

// The plans of the simulated tenants, by index.
const (
	planRate    = iota // a quota alone
	planCeiling        // a quota and a hard ceiling
	plans
)

// Their quotas, in requests a second.
const (
	planRateQuota    = 1.1
	planCeilingQuota = 7.6
)

// simulatedSettings are what the ingress me of a fleet is told.
func simulatedSettings(ingresses, me int, hasCounter bool) admission.Settings {
	class := func(name string, aim, deadline time.Duration, worth float64, effect admission.Effect) admission.Class {
		return admission.Class{Name: name, LatencyTarget: aim, Deadline: deadline, Worth: worth, Effect: effect,
			Scope: admission.ScopeCell, RepeatWindow: 3 * time.Second}
	}
	return admission.Settings{Gateways: ingresses, Index: me, Zone: zoneOf(me), Tick: time.Millisecond,
		Classes: []admission.Class{
			class("stock", 1200*time.Millisecond, 3*time.Second, 3, admission.Safe),
			class("catalogue", 600*time.Millisecond, 2*time.Second, 1, admission.Safe),
			class("order", 1200*time.Millisecond, 3*time.Second, 2, admission.Keyed)},
		Plans: []admission.Plan{
			planRate: {Name: "boutique", Rate: planRateQuota, Burst: 4.9, WorthFactor: 1.2, OverQuotaWorth: 0.1},
			planCeiling: {Name: "distributeur", Rate: planCeilingQuota, Burst: 18, WorthFactor: 1.6, OverQuotaCost: 1, CeilingRate: 17,
				CeilingBurst: 40, CeilingSlack: 4}},
		HasCounter: hasCounter, CounterTimeout: counterLimit, MaxUnits: 2, MaxAttempts: 3, CanCancel: true,
		CanSendRetryAfter: true, LateRetryAfter: 2 * time.Second, DialTimeout: 250 * time.Millisecond,
		AnswerSlack: 16 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		WarmUpTime: coldFor, InitialCapacity: coldFrom, ColdOverloadFactor: tipMultiple, ColdOverloadTime: tipTime, CrossZoneCost: 0.01}
}

// classOf draws the class of a request by the shares that the brief states.
func classOf(random *rand.Rand) int {
	switch x := random.Float64(); {
	case x < 0.48:
		return 0
	case x < 0.85:
		return 1
	default:
		return 2
	}
}

// zoneOf is the zone of an ingress or server by its number.
func zoneOf(number int) string { return string(rune('a' + number%listZones)) }

// admissionServers are listed servers as the decision module is told of them.
func admissionServers(n int) []admission.ServerEntry {
	servers := make([]admission.ServerEntry, n)
	for i, s := range listedServers(n) {
		servers[i] = admission.ServerEntry{Name: s.ID, Zone: s.Zone, Kind: "m2", Cell: s.Cell, Size: 1}
	}
	return servers
}

// attemptKey names an attempt that is out at the servers.
type attemptKey struct {
	id      uint64
	attempt int
}

// simulatedFleet drives ingresses' decision modules in simulated time. Its servers and its counter are functions that
// tell how an attempt or a call ends.
type simulatedFleet struct {
	now      time.Duration
	ingress  map[int]*admission.Gateway
	events   timerq.Queue[func()]
	attempts map[uint64]int      // made for a request that is open
	out      map[attemptKey]bool // not ended yet
	nextID   uint64

	// serve tells how an attempt of an ingress at a server ends, and after how long.
	serve func(ingress int, server string) (admission.Outcome, time.Duration)
	// count adds to the counter and tells how a call ends, and after how long; nil: there is no counter.
	count func(ingress int, call admission.CounterAdd) (total float64, outcome admission.Outcome, took time.Duration)
	// sent is told of each attempt, 0 being a request's first; nil: nobody is.
	sent func(ingress int, server string, attempt int)
}

// fleetEpoch is when the simulated time begins; the module takes time 0 for long ago.
const fleetEpoch = time.Hour

// newSimulatedFleet builds the ingresses that have these settings, which all know the servers.
func newSimulatedFleet(settings []admission.Settings, servers []admission.ServerEntry) (*simulatedFleet, error) {
	f := &simulatedFleet{now: fleetEpoch, ingress: map[int]*admission.Gateway{}, attempts: map[uint64]int{},
		out: map[attemptKey]bool{}}
	f.serve = func(int, string) (admission.Outcome, time.Duration) { return admission.OK, 100 * time.Millisecond }
	for _, s := range settings {
		g, err := admission.New(s, uint64(s.Index))
		if err != nil {
			return nil, fmt.Errorf("ingress %d: %w", s.Index, err)
		}
		f.ingress[s.Index] = g
		f.deliver(s.Index, admission.ServerList{Kind: admission.ListFull, Version: 1, Servers: servers})
	}
	return f, nil
}

// after calls fn so much later.
func (f *simulatedFleet) after(d time.Duration, fn func()) { f.events.Push(f.now+d, fn) }

// run lets time pass.
func (f *simulatedFleet) run(d time.Duration) {
	for end := f.now + d; ; {
		at, ok := f.events.Next()
		if !ok || at > end {
			f.now = end
			return
		}
		f.now = max(f.now, at)
		event, _ := f.events.Pop(at)
		event()
	}
}

// request has a request arrive at an ingress.
func (f *simulatedFleet) request(me int, ev admission.RequestArrived) {
	f.nextID++
	ev.ID, ev.Units, ev.ExpiresIn = f.nextID, 1, 2*time.Second
	f.attempts[ev.ID] = 0
	f.deliver(me, ev)
}

// deliver hands an event to an ingress and carries out its actions.
func (f *simulatedFleet) deliver(me int, ev admission.Event) {
	for _, action := range slices.Clone(f.ingress[me].Handle(f.now, ev)) {
		switch a := action.(type) {
		case admission.Send:
			f.send(me, a)
		case admission.Cancel:
			f.end(me, admission.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: admission.Cancelled})
		case admission.CounterAdd:
			f.add(me, a)
		case admission.SetTimer:
			f.events.Push(a.At, func() { f.deliver(me, admission.TimerFired{Token: a.Token}) })
		case admission.Refuse:
			delete(f.attempts, a.ID)
		case admission.Fail:
			delete(f.attempts, a.ID)
		}
	}
}

// send carries out an attempt.
func (f *simulatedFleet) send(me int, a admission.Send) {
	key := attemptKey{a.ID, f.attempts[a.ID]}
	f.attempts[a.ID]++
	f.out[key] = true
	if f.sent != nil {
		f.sent(me, a.Server, key.attempt)
	}
	outcome, took := f.serve(me, a.Server)
	if a.Wait > 0 && took > a.Wait {
		outcome, took = admission.TimedOut, a.Wait
	}
	f.after(took, func() {
		f.end(me, admission.AttemptEnded{ID: a.ID, Attempt: key.attempt, Server: a.Server, Outcome: outcome, Took: took,
			Done: outcome == admission.OK})
	})
}

// end tells how an attempt ended, once.
func (f *simulatedFleet) end(me int, ev admission.AttemptEnded) {
	key := attemptKey{ev.ID, ev.Attempt}
	if !f.out[key] {
		return
	}
	delete(f.out, key)
	if ev.Done {
		delete(f.attempts, ev.ID)
	}
	f.deliver(me, ev)
}

// add carries out a call to the counter.
func (f *simulatedFleet) add(me int, call admission.CounterAdd) {
	total, outcome, took := f.count(me, call)
	f.after(took, func() {
		f.deliver(me, admission.CounterAnswered{Name: call.Name, Total: total, Took: took, Outcome: outcome})
	})
}

// arrivals has requests arrive at an ingress, at random instants, as long as the fleet runs. Next makes each.
func (f *simulatedFleet) arrivals(me int, perSecond float64, next func(*rand.Rand) admission.RequestArrived) {
	random := rand.New(rand.NewPCG(uint64(me), 0x61727276))
	var arrive func()
	wait := func() { f.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), arrive) }
	arrive = func() {
		f.request(me, next(random))
		wait()
	}
	wait()
}
