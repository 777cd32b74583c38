package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings for two gateways with a counter, classes of every effect and plans of every kind. A
// test changes what it is about. Tests give classes by their index: 0 safe, 1 keyed, 2 unsafe, 3 keyed in its zone.
func testSettings() Settings {
	return Settings{
		Gateways: 2, Zone: "a", Tick: 2 * ms,
		Classes: []Class{
			{Name: "safe", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: Safe},
			{Name: "keyed", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: Keyed,
				RepeatWindow: 300 * ms},
			{Name: "unsafe", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: Unsafe},
			{Name: "zoned", LatencyTarget: 900 * ms, Deadline: 2 * time.Second, Worth: 1, Effect: Keyed,
				Scope: ScopeZone, RepeatWindow: 5 * time.Second},
		},
		Plans: []Plan{
			{Name: "free"},
			{Name: "rate", Rate: 2, Burst: 8},
			{Name: "open", MaxInFlight: 2},
			{Name: "both", Rate: 2, Burst: 8, MaxInFlight: 2},
			{Name: "hard", Rate: 1000, Burst: 4000, CeilingRate: 4, CeilingBurst: 16, CeilingSlack: 4},
		},
		HasCounter: true, HasBilledUnits: true, CounterTimeout: 80 * ms, MaxUnits: 8, MaxAttempts: 4,
		LateRetryAfter: time.Second, CanSendRetryAfter: true, CanCancel: true, DialTimeout: 250 * ms,
		AnswerSlack: 16 * ms, DrainGrace: 250 * ms, WarmUpTime: 10 * time.Second, InitialCapacity: 0.2,
		ColdOverloadFactor: 3, ColdOverloadTime: time.Second,
	}
}

// Indices of the plans of testSettings.
const (
	unlimitedPlan = iota
	quotaPlan
	inFlightPlan
	quotaAndInFlightPlan
	ceilingPlan
)

// driver passes events to one gateway, on a clock that only the test advances, and records its actions.
type driver struct {
	t       *testing.T
	gateway *Gateway
	now     time.Duration
	actions []Action // since the last takeActions
}

// newDriver returns a driver of a new gateway that has been given a list of these servers, all in its zone. The
// clock starts at one hour.
func newDriver(t *testing.T, s Settings, servers ...string) *driver {
	t.Helper()
	g, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, gateway: g, now: time.Hour}
	list := ServerList{Kind: ListCached}
	for _, n := range servers {
		list.Servers = append(list.Servers, ServerEntry{Name: n, Zone: "a", Size: 1})
	}
	d.handle(list)
	d.takeActions()
	return d
}

// handle passes an event at the present time and records the actions.
func (d *driver) handle(ev Event) {
	d.actions = append(d.actions, d.gateway.Handle(d.now, ev)...)
}

// advance moves the clock on.
func (d *driver) advance(by time.Duration) { d.now += by }

// takeActions returns the recorded actions and forgets them.
func (d *driver) takeActions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// arrive passes a new request of customer 5, who comes through two gateways.
func (d *driver) arrive(id uint64, class, plan int, units int) {
	d.handle(RequestArrived{ID: id, Class: class, Plan: plan, Customer: 5,
		ExpiresIn: d.gateway.settings.Classes[class].Deadline, Units: units, Gateways: 2})
}

// actionsOf returns the actions of one type, in order.
func actionsOf[A Action](actions []Action) []A {
	var all []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			all = append(all, a)
		}
	}
	return all
}

// onlyAction takes the recorded actions and returns the only one of its type. It fails the test if there is not
// exactly one.
func onlyAction[A Action](d *driver) A {
	d.t.Helper()
	actions := d.takeActions()
	matching := actionsOf[A](actions)
	if len(matching) != 1 {
		d.t.Fatalf("want one %T, got %d in %#v", *new(A), len(matching), actions)
	}
	return matching[0]
}

// requireNone fails the test if an action of the type is recorded. The recorded actions stay.
func requireNone[A Action](d *driver) {
	d.t.Helper()
	if matching := actionsOf[A](d.actions); len(matching) > 0 {
		d.t.Fatalf("want no %T, got %#v", *new(A), matching)
	}
}

// endAttempt reports the end of an attempt after 50 ms. With OK the request is answered.
func (d *driver) endAttempt(id uint64, attempt int, server string, outcome Outcome) {
	d.handle(AttemptEnded{ID: id, Attempt: attempt, Server: server, Outcome: outcome, Took: 50 * ms, Done: outcome == OK})
}
