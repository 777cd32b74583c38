package admission

import (
	"testing"
	"time"
)

// With the breaker open, each unit is charged for both gateways of the customer. The first answer to a probe
// closes the breaker.
func TestLostCounterLimitsToOwnShareUntilRecovery(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3", "s4")
	sent := 0
	id := uint64(0)
	for range breakerThreshold {
		id++
		d.arrive(id, 0, quotaPlan, 1)
		got := d.takeActions()
		for _, add := range actionsOf[CounterAdd](got) {
			d.handle(CounterAnswered{Name: add.Name, Outcome: Unreachable})
		}
		sent += len(actionsOf[Send](got)) + len(actionsOf[Send](d.takeActions()))
		if d.gateway.queryShare = 1; d.gateway.isBreakerOpen { // every request queries the counter
			break
		}
	}
	if !d.gateway.isBreakerOpen {
		t.Fatal("the breaker is closed")
	}
	for range 20 {
		id++
		d.arrive(id, 0, quotaPlan, 1)
		sent += len(actionsOf[Send](d.actions))
		requireNone[CounterAdd](d)
		d.takeActions()
	}
	// Three are charged one unit each, the others two of the other five units, the last of them overdrawn.
	if sent < 2 || sent > 6 {
		t.Fatalf("sent %d of a burst of 8, with half of it as own share, want 2 to 6", sent)
	}
	d.advance(counterProbeInterval + ms)
	d.arrive(99, 0, quotaPlan, 1)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 4, Took: 2 * ms, Outcome: OK})
	if d.gateway.isBreakerOpen {
		t.Fatal("the breaker is still open after an answer")
	}
}

// At a gateway whose equal share is less than one request, a lost counter must not cause all requests to be
// refused, nor all to be admitted: it admits about the share that fitted by the last totals.
func TestLostCounterAtSparseGatewayAdmitsShareThatFits(t *testing.T) {
	for _, isOverQuota := range []bool{false, true} {
		s := testSettings()
		s.Gateways, s.Plans[quotaPlan].OverQuotaCost = 100, 1
		d := newDriver(t, s, "s1", "s2", "s3", "s4")
		requestAndEnd := func(id uint64) []Action {
			d.advance(5 * time.Second)
			d.gateway.queryShare = 1
			d.handle(RequestArrived{ID: id, Class: 0, Plan: quotaPlan, Customer: 5, ExpiresIn: time.Second, Units: 1,
				Gateways: 80})
			for i, a := range d.actions {
				if add, ok := a.(CounterAdd); ok && !d.gateway.isBreakerOpen {
					total := 1.0
					if isOverQuota && id%4 > 0 { // a quarter of the requests arrive before the window's quota is used up
						total = 30
					}
					d.actions = append(d.actions[:i:i], d.actions[i+1:]...)
					d.handle(CounterAnswered{Name: add.Name, Total: total, Took: ms})
					break
				}
			}
			got := d.takeActions()
			for _, x := range actionsOf[Send](got) {
				d.endAttempt(x.ID, 0, x.Server, OK)
			}
			d.takeActions()
			return got
		}
		for id := uint64(1); id <= 40; id++ {
			requestAndEnd(id)
		}
		d.gateway.isBreakerOpen, d.gateway.nextCounterProbe = true, 24*time.Hour
		sent := 0
		for id := uint64(100); id < 200; id++ {
			sent += len(actionsOf[Send](requestAndEnd(id)))
		}
		if !isOverQuota && sent < 95 || isOverQuota && (sent < 5 || sent > 60) {
			t.Errorf("over quota %v: %d of 100 admitted without a counter", isOverQuota, sent)
		}
	}
}

// A counter that is far away answers every call slowly, without being overloaded: all requests still query it,
// and its answers close the breaker. A counter that takes longer than it used to is overloaded.
func TestDistantCounterIsNotTakenForOverloaded(t *testing.T) {
	s := testSettings()
	s.Gateways = 1
	d := newDriver(t, s, "s1")
	id := uint64(0)
	queryCounter := func(outcome Outcome, took time.Duration) {
		id++
		d.handle(RequestArrived{ID: id, Plan: quotaPlan, Customer: id, ExpiresIn: time.Second, Units: 1, Gateways: 2})
		for _, add := range actionsOf[CounterAdd](d.takeActions()) {
			d.advance(took)
			d.handle(CounterAnswered{Name: add.Name, Total: add.Delta, Took: took, Outcome: outcome})
		}
	}
	const baseline = 40 * ms // half of the time limit of a call
	for range 50 {
		queryCounter(OK, baseline)
	}
	if d.gateway.queryShare < 1 {
		t.Fatalf("only a share of %v of the requests query a distant counter", d.gateway.queryShare)
	}
	for range 100 { // fewer and fewer requests query the counter
		queryCounter(TimedOut, s.CounterTimeout)
	}
	if !d.gateway.isBreakerOpen {
		t.Fatal("the breaker is closed")
	}
	d.advance(2 * counterProbeInterval)
	queryCounter(OK, baseline) // the probe that is due is made, however small the query share
	if d.gateway.isBreakerOpen {
		t.Fatal("the breaker is still open after an answer")
	}
	d.gateway.queryShare = 1
	queryCounter(OK, 3*baseline)
	if d.gateway.queryShare >= 1 {
		t.Fatal("the query share does not fall when the counter is overloaded")
	}
}

// While the counter is lost, a gateway that seldom queried it before predicts the use through other gateways from
// the last totals. Charging each of its own units for every gateway would refuse a customer that comes almost
// only through this one.
func TestPredictedUseHoldsThroughOutage(t *testing.T) {
	s := testSettings()
	s.Plans[quotaPlan].Rate, s.Plans[quotaPlan].Burst = 10, 20
	run := func(queryShareAverage float64) (sent int) {
		d := newDriver(t, s, "s1", "s2", "s3")
		c := d.gateway.ensureCustomer(5, quotaPlan, 2, 0)
		c.othersRate = 1
		for id := uint64(1); id <= 160; id++ { // eight requests a second for 20 s
			d.gateway.isBreakerOpen, d.gateway.nextCounterProbe, d.gateway.queryShareAverage =
				true, d.now+time.Hour, queryShareAverage
			d.advance(125 * ms)
			d.arrive(id, 0, quotaPlan, 1)
			for _, send := range actionsOf[Send](d.takeActions()) {
				sent++
				d.endAttempt(id, 0, send.Server, OK)
				d.takeActions()
			}
		}
		return sent
	}
	if predicted, unpredicted := run(0), run(1); predicted < 150 || unpredicted > 130 {
		t.Fatalf("of 160 requests within the quota %d are sent with prediction and %d without", predicted, unpredicted)
	}
}
