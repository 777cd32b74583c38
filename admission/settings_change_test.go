package admission

import (
	"slices"
	"testing"
	"time"
)

// changedSettings returns testSettings with a change. Classes and plans keep their indices.
func changedSettings(change func(*Settings)) Settings {
	s := testSettings()
	s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
	change(&s)
	return s
}

// A class becomes unsafe while one of its requests is in flight: that request may still be repeated, a new one not.
func TestRequestKeepsItsClassAfterSettingsChange(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	d.handle(RequestArrived{ID: 1, Class: 0, ExpiresIn: 2 * time.Second, Units: 1, Customer: 1, Gateways: 1})
	sent := func(id uint64) (n int) {
		for _, a := range d.actions {
			if s, ok := a.(Send); ok && s.ID == id {
				n++
			}
		}
		return n
	}
	if sent(1) != 1 {
		t.Fatalf("request 1 is not sent: %v", d.actions)
	}
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.Classes[0].Effect = Unsafe })})
	d.handle(RequestArrived{ID: 2, Class: 0, ExpiresIn: 2 * time.Second, Units: 1, Customer: 1, Gateways: 1})
	for _, id := range []uint64{1, 2} {
		r := d.gateway.requests[id]
		d.handle(AttemptEnded{ID: id, Server: r.attempts[0].server.Name, Outcome: Broken, Took: ms})
	}
	if sent(1) != 2 || sent(2) != 1 {
		t.Errorf("the earlier request was sent %d times, want 2; the new one %d, want 1", sent(1), sent(2))
	}
}

// A lower limit of attempts applies to requests that are already in flight.
func TestLowerAttemptLimitAppliesAtOnce(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	d.handle(RequestArrived{ID: 1, Class: 0, ExpiresIn: 2 * time.Second, Units: 1, Customer: 1, Gateways: 1})
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.MaxAttempts = 1 })})
	d.actions = nil
	d.handle(AttemptEnded{ID: 1, Server: d.gateway.requests[1].attempts[0].server.Name, Outcome: Broken, Took: ms})
	for _, a := range d.actions {
		if _, isSend := a.(Send); isSend {
			t.Errorf("sent again beyond the new limit of attempts: %v", d.actions)
		}
	}
	if d.gateway.requests[1] != nil {
		t.Error("the request is not finished")
	}
}

// What is known of customers, servers and the counter is kept. Local tokens are cut to a smaller burst, never filled
// up. Invalid settings are ignored.
func TestStateSurvivesSettingsChange(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	c := d.gateway.ensureCustomer(7, quotaPlan, 2, 0)
	c.quotaTokens, c.quotaCounter.window, c.quotaCounter.lastTotal =
		5, d.gateway.customers[7].quotaCounter.windowAt(d.now), 3
	d.gateway.servers["s1"].relativeLatency, d.gateway.classLatency[0].Latency = 3, 0.2
	d.handle(SettingsChanged{changedSettings(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "new", LatencyTarget: ms, Deadline: time.Second, Worth: 1})
		s.Plans[quotaPlan].WorthFactor = 9
	})})
	if got := d.gateway.ensureCustomer(7, quotaPlan, 2, 0); got != c || c.quotaTokens != 5 ||
		c.quotaCounter.lastTotal != 3 || c.plan.WorthFactor != 9 {
		t.Errorf("the customer has changed: %+v", got)
	}
	if d.gateway.servers["s1"].relativeLatency != 3 || d.gateway.classLatency[0].Latency != 0.2 ||
		len(d.gateway.classLatency) != 5 || len(d.gateway.admitExponents) != 5 {
		t.Error("what is known of servers or classes is lost")
	}
	d.handle(SettingsChanged{changedSettings(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "new", IsRemoved: true})
		s.Plans[quotaPlan].Burst = 2
	})})
	if c.quotaTokens != 2 || c.quotaCounter.length != time.Second || c.quotaCounter.lastTotal != 0 {
		t.Errorf("%v local tokens, want 2; windows of %v, want 1s; last total %v, want 0", c.quotaTokens,
			c.quotaCounter.length, c.quotaCounter.lastTotal)
	}
	before := d.gateway.settings.MaxAttempts
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.MaxAttempts, s.Gateways = 1, 0 })})
	if d.gateway.settings.MaxAttempts != before {
		t.Error("invalid settings are applied")
	}
}

// Settings that change often may change the length of the counter's windows each time. The total of a new window
// starts at 0, so totals would admit the ceiling's share of a window once for each change. They must admit nothing
// until the windows of the former length are over.
func TestTotalsAdmitNothingWhileWindowLengthsChange(t *testing.T) {
	s := changedSettings(func(s *Settings) {
		s.Gateways, s.MaxUnits = 40, 1
		s.Plans = append(s.Plans, Plan{Name: "joint", Rate: 4, Burst: 8, CeilingRate: 8, CeilingBurst: 16,
			CeilingSlack: 1, OverQuotaCost: 1})
	})
	totalsPlan := len(s.Plans) - 1
	d := newDriver(t, s, "s1")
	isAdmitted := func(id uint64) bool {
		d.advance(ms)
		d.handle(RequestArrived{ID: id, Class: 0, Plan: totalsPlan, ExpiresIn: time.Second, Units: 1, Customer: 9,
			Gateways: 40})
		for _, a := range d.takeActions() {
			if add, ok := a.(CounterAdd); ok {
				d.handle(CounterAnswered{Name: add.Name, Total: add.Delta, Took: ms, Outcome: OK})
			}
		}
		for _, a := range d.takeActions() {
			if _, isSend := a.(Send); isSend {
				d.handle(AttemptEnded{ID: id, Server: "s1", Outcome: OK, Took: ms, Done: true})
				d.takeActions()
				return true
			}
		}
		return false
	}
	// Only a random sample of the requests queries the counter, so many are tried.
	lastID := uint64(1)
	isAnyAdmitted := func() bool {
		for range 60 {
			if lastID++; isAdmitted(lastID) {
				return true
			}
		}
		return false
	}
	if !isAnyAdmitted() {
		t.Fatal("no request is admitted by a total under the ceiling")
	}
	for i := range 4 {
		s.Plans = slices.Clone(s.Plans)
		s.Plans[totalsPlan].Burst = 8 + float64(i+1)
		d.handle(SettingsChanged{s})
		d.takeActions()
		if isAnyAdmitted() {
			t.Fatalf("a request is admitted after %d changes, within the former window", i+1)
		}
	}
	d.advance(s.Plans[totalsPlan].windowLength())
	if !isAnyAdmitted() {
		t.Error("no request is admitted after the former windows are over")
	}
}

// A server that restarts after its clock was set back reports an earlier start than before. It is cold all the same.
// A start of 0 means long ago, and is no restart.
func TestServerRestartWithEarlierBootTime(t *testing.T) {
	d := newDriver(t, testSettings())
	announceBoot := func(boot time.Duration) {
		d.handle(ServerList{Kind: ListChanges, Servers: []ServerEntry{{Name: "s1", Zone: "a", Size: 1, Boot: boot}}})
	}
	announceBoot(d.now - time.Minute)
	if share := d.gateway.capacityShare(d.gateway.servers["s1"]); share != 1 {
		t.Fatalf("capacity share %v a minute after the start, want 1", share)
	}
	d.gateway.servers["s1"].failures = 3
	announceBoot(d.now - 2*time.Minute)
	if s := d.gateway.servers["s1"]; s.failures != 0 || s.startedAt != d.now-2*time.Minute {
		t.Errorf("an earlier start is not taken for a restart: %+v", s)
	}
	announceBoot(0)
	if s := d.gateway.servers["s1"]; s.startedAt != d.now-2*time.Minute {
		t.Error("a start of 0 is taken for a restart")
	}
}
