package admission

import (
	"slices"
	"testing"
	"time"
)

// changedSettings are settings with another change each, at the same places.
func changedSettings(change func(*Settings)) Settings {
	s := testSettings()
	s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
	change(&s)
	return s
}

// A class becomes stricter while a request of it is out: that request may still be tried again, a new one not.
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
		t.Fatalf("not sent: %v", d.actions)
	}
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.Classes[0].Effect = Unsafe })})
	d.handle(RequestArrived{ID: 2, Class: 0, ExpiresIn: 2 * time.Second, Units: 1, Customer: 1, Gateways: 1})
	for _, id := range []uint64{1, 2} {
		r := d.g.requests[id]
		d.handle(AttemptEnded{ID: id, Server: r.attempts[0].server.Name, Outcome: Broken, Took: ms})
	}
	if sent(1) != 2 || sent(2) != 1 {
		t.Errorf("the old one was sent %d times, the new one %d", sent(1), sent(2))
	}
}

func TestLowerAttemptLimitAppliesAtOnce(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2")
	d.handle(RequestArrived{ID: 1, Class: 0, ExpiresIn: 2 * time.Second, Units: 1, Customer: 1, Gateways: 1})
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.MaxAttempts = 1 })})
	d.actions = nil
	d.handle(AttemptEnded{ID: 1, Server: d.g.requests[1].attempts[0].server.Name, Outcome: Broken, Took: ms})
	for _, a := range d.actions {
		if _, isSend := a.(Send); isSend {
			t.Errorf("sent again beyond the attempts allowed now: %v", d.actions)
		}
	}
	if d.g.requests[1] != nil {
		t.Error("the request has no end")
	}
}

// What is known of customers, servers and the counter goes on; a smaller store is cut, never filled up.
func TestStateSurvivesSettingsChange(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	c := d.g.ensureCustomer(7, quotaPlan, 2, 0)
	c.quotaTokens, c.quotaCounter.window, c.quotaCounter.lastTotal = 5, d.g.customers[7].quotaCounter.windowAt(d.now), 3
	d.g.servers["s1"].relativeLatency, d.g.classLatency[0].Latency = 3, 0.2
	d.handle(SettingsChanged{changedSettings(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "new", LatencyTarget: ms, Deadline: time.Second, Worth: 1})
		s.Plans[quotaPlan].WorthFactor = 9
	})})
	if got := d.g.ensureCustomer(7, quotaPlan, 2, 0); got != c || c.quotaTokens != 5 || c.quotaCounter.lastTotal != 3 || c.plan.WorthFactor != 9 {
		t.Errorf("the customer has %+v", got)
	}
	if d.g.servers["s1"].relativeLatency != 3 || d.g.classLatency[0].Latency != 0.2 || len(d.g.classLatency) != 5 || len(d.g.admitExponents) != 5 {
		t.Error("what is known of servers and classes is lost")
	}
	d.handle(SettingsChanged{changedSettings(func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "new", IsRemoved: true})
		s.Plans[quotaPlan].Burst = 2
	})})
	if c.quotaTokens != 2 || c.quotaCounter.length != time.Second || c.quotaCounter.lastTotal != 0 {
		t.Errorf("store %v, window %v, seen %v", c.quotaTokens, c.quotaCounter.length, c.quotaCounter.lastTotal)
	}
	before := d.g.settings.MaxAttempts
	d.handle(SettingsChanged{changedSettings(func(s *Settings) { s.MaxAttempts, s.Gateways = 1, 0 })})
	if d.g.settings.MaxAttempts != before {
		t.Error("settings that can't be worked with are taken")
	}
}

// Settings that follow each other quickly change the length of the counter's windows each time. A total of a window that
// has just begun shows little, and must not let in anew what a ceiling's windows may show: until those of the former
// length are over it shows nothing.
func TestTotalsAdmitNothingWhileWindowLengthsChange(t *testing.T) {
	s := changedSettings(func(s *Settings) {
		s.Gateways, s.MaxUnits = 40, 1
		s.Plans = append(s.Plans, Plan{Name: "joint", Rate: 4, Burst: 8, CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 1, OverQuotaCost: 1})
	})
	totalsPlan := len(s.Plans) - 1
	d := newDriver(t, s, "s1")
	isAdmitted := func(id uint64) bool {
		d.advance(ms)
		d.handle(RequestArrived{ID: id, Class: 0, Plan: totalsPlan, ExpiresIn: time.Second, Units: 1, Customer: 9, Gateways: 40})
		for _, a := range d.takeActions() {
			if k, ok := a.(CounterAdd); ok {
				d.handle(CounterAnswered{Name: k.Name, Total: k.Delta, Took: ms, Outcome: OK})
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
	// some tells whether any of many requests was let in: which of them ask the counter is a matter of chance.
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
		t.Fatal("a total that shows room lets nobody in")
	}
	for i := range 4 {
		s.Plans = slices.Clone(s.Plans)
		s.Plans[totalsPlan].Burst = 8 + float64(i+1)
		d.handle(SettingsChanged{s})
		d.takeActions()
		if isAnyAdmitted() {
			t.Fatalf("let in after %d changes, within the former window", i+1)
		}
	}
	d.advance(s.Plans[totalsPlan].windowLength())
	if !isAnyAdmitted() {
		t.Error("nobody is let in once the windows are of one length")
	}
}

// A server that restarts after its clock was set back says an earlier start than before; it is cold all the same.
func TestServerRestartWithEarlierBootTime(t *testing.T) {
	d := newDriver(t, testSettings())
	announceBoot := func(boot time.Duration) {
		d.handle(ServerList{Kind: ListChanges, Servers: []ServerEntry{{Name: "s1", Zone: "a", Size: 1, Boot: boot}}})
	}
	announceBoot(d.now - time.Minute)
	if share := d.g.capacityShare(d.g.servers["s1"]); share != 1 {
		t.Fatalf("warmth %v a minute after its start", share)
	}
	d.g.servers["s1"].failures = 3
	announceBoot(d.now - 2*time.Minute)
	if s := d.g.servers["s1"]; s.failures != 0 || s.startedAt != d.now-2*time.Minute {
		t.Errorf("not taken for a restart: %+v", s)
	}
	announceBoot(0)
	if s := d.g.servers["s1"]; s.startedAt != d.now-2*time.Minute {
		t.Error("that its start is long ago is no restart")
	}
}
