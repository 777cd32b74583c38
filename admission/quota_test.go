package admission

import (
	"testing"
	"time"
)

func TestRequestQueriesCounterThenIsSent(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, quotaPlan, 3)
	requireNone[Send](d)
	add := onlyAction[CounterAdd](d)
	if add.Delta != 3 || add.TTL <= 0 {
		t.Fatalf("counter call %+v, want Delta 3 and a positive TTL", add)
	}
	d.handle(CounterAnswered{Name: add.Name, Total: 3, Took: 2 * ms, Outcome: OK})
	if s := onlyAction[Send](d); s.ID != 1 || s.Server != "s1" {
		t.Fatalf("sent %+v", s)
	}
}

func TestOverQuotaRetryAfterIsWindowEnd(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, quotaPlan, 3)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 11, Took: 2 * ms, Outcome: OK})
	requireNone[Send](d)
	counter := d.gateway.customers[5].quotaCounter
	refusal := onlyAction[Refuse](d)
	if counter.length != 4*time.Second || counter.windowAt(d.now+refusal.RetryAfter) != counter.window+1 ||
		counter.windowAt(d.now+refusal.RetryAfter-1) != counter.window {
		t.Fatalf("retry after %v is not the end of the customer's window of %v", refusal.RetryAfter, counter.length)
	}
	// The units of the refused request are taken back with the next call of that name.
	d.gateway.callsPerRequest = 0 // so that the next request queries the counter
	d.arrive(2, 0, quotaPlan, 1)
	if next := onlyAction[CounterAdd](d); next.Name != add.Name || next.Delta != 1-3 {
		t.Fatalf("next call %+v after %+v, want the same name and the refused units taken back", next, add)
	}
}

func TestBilledUnitsAreAddedWithNextCall(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, quotaPlan, 3)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 3, Took: 2 * ms, Outcome: OK})
	d.advance(50 * ms)
	d.handle(AttemptEnded{ID: 1, Server: "s1", Outcome: OK, Took: 50 * ms, Done: true, Billed: 5})
	d.takeActions()
	d.arrive(2, 0, quotaPlan, 1)
	if next := onlyAction[CounterAdd](d); next.Delta != 1+2 {
		t.Fatalf("next call adds %v, want 1 and the 2 units that were billed beyond the request's 3", next.Delta)
	}
}

// A burst at the end of one counter window must not be repeated at the start of the next, whose count is 0.
func TestNoDoubleAllowanceAtWindowEdge(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	window := 4 * time.Second
	d.now = window*1000 - 10*ms
	d.arrive(1, 0, quotaPlan, 8)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 8, Took: 2 * ms, Outcome: OK})
	onlyAction[Send](d)
	d.gateway.callsPerRequest = 0 // so that the next request queries the counter
	d.advance(20 * ms)            // a new window, whose count starts at 0
	d.arrive(2, 0, quotaPlan, 8)
	for _, add := range actionsOf[CounterAdd](d.takeActions()) {
		total := add.Delta
		if add.Delta == 0 {
			total = 8
		}
		d.handle(CounterAnswered{Name: add.Name, Total: total, Took: 2 * ms, Outcome: OK})
	}
	requireNone[Send](d)
	onlyAction[Refuse](d)
}

func TestWaitForSilentCounterIsBounded(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, quotaPlan, 1)
	timer := onlyAction[SetTimer](d)
	if timer.At > d.now+counterWait {
		t.Fatalf("waits %v for the counter, longer than counterWait", timer.At-d.now)
	}
	d.now = timer.At
	d.handle(TimerFired{Token: timer.Token})
	onlyAction[Send](d)
}

// A total without the earlier units shows that the counter has lost its data. What was used before still counts.
func TestCounterDataLossGrantsNoQuota(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, quotaPlan, 8)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 8, Took: 2 * ms, Outcome: OK})
	d.takeActions()
	d.gateway.callsPerRequest = 0 // so that the next request queries the counter
	d.arrive(2, 0, quotaPlan, 4)
	add = onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: 4, Took: 2 * ms, Outcome: OK})
	requireNone[Send](d)
	onlyAction[Refuse](d)
}

func TestInFlightCapIsEnforced(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3")
	total := 0.0
	answerCalls := func() {
		for _, add := range actionsOf[CounterAdd](d.takeActions()) {
			total += add.Delta
			d.handle(CounterAnswered{Name: add.Name, Total: total, Took: 2 * ms, Outcome: OK})
		}
	}
	for id := uint64(1); id <= 2; id++ {
		d.arrive(id, 0, inFlightPlan, 1)
		answerCalls()
		onlyAction[Send](d)
	}
	d.arrive(3, 0, inFlightPlan, 1)
	answerCalls()
	requireNone[Send](d)
	answerCalls()
	d.advance(40 * ms)
	d.endAttempt(1, 0, d.gateway.requests[1].attempts[0].server.Name, OK)
	answerCalls()
	if total != 1 {
		t.Fatalf("the in-flight counter is at %v with one request in flight", total)
	}
	d.arrive(4, 0, inFlightPlan, 1)
	answerCalls()
	onlyAction[Send](d)
}

func TestNoCounterCallsWithoutCounter(t *testing.T) {
	s := testSettings()
	s.HasCounter = false
	for plan := range s.Plans {
		d := newDriver(t, s, "s1", "s2")
		for id := uint64(1); id < 40; id++ {
			d.advance(5 * ms)
			d.arrive(id, 0, plan, 1)
		}
		requireNone[CounterAdd](d)
	}
}

// Where the counter takes few calls, most requests are decided by the local tokens. What the other gateways use
// between two totals must be predicted, or each gateway would use the whole quota by itself.
func TestUseThroughOtherGatewaysIsPredicted(t *testing.T) {
	s := testSettings()
	s.Plans[quotaPlan].Rate, s.Plans[quotaPlan].Burst = 10, 20
	run := func(queryShareAverage float64) (sent int) {
		d := newDriver(t, s, "s1", "s2", "s3")
		counterName, total, id := "", 0.0, uint64(0)
		for step := range 600 { // 30 s: ten requests a second arrive here, five units a second are used elsewhere
			d.advance(50 * ms)
			d.gateway.queryShareAverage, d.gateway.queryShare = queryShareAverage, 0
			total += 0.25
			if step%20 == 0 { // one request a second queries the counter
				d.gateway.queryShare = 1
			}
			if step%2 == 1 {
				continue
			}
			id++
			d.arrive(id, 0, quotaPlan, 1)
			for range 2 {
				actions := d.takeActions()
				for _, add := range actionsOf[CounterAdd](actions) {
					if counterName != add.Name { // a new window
						counterName, total = add.Name, 5*d.gateway.customers[5].quotaCounter.elapsed(d.now).Seconds()
					}
					total += add.Delta
					d.handle(CounterAnswered{Name: counterName, Total: total, Took: 2 * ms, Outcome: OK})
				}
				for _, send := range actionsOf[Send](actions) {
					sent++
					d.endAttempt(send.ID, 0, send.Server, OK)
				}
			}
		}
		return sent
	}
	unpredicted, predicted := run(1), run(0)
	// Five a second and the burst are left for this gateway.
	if predicted < 120 || predicted > 180 || unpredicted < predicted+20 {
		t.Fatalf("of 300 requests %d are sent with prediction and %d without", predicted, unpredicted)
	}
}

// Where the counter takes few calls, they are made for customers that have used much of their local tokens since
// the last total, and not for those far from their quota. Where the counter takes all calls, every request
// queries it.
func TestCustomersNearQuotaQueryFirst(t *testing.T) {
	s := testSettings()
	s.Plans[quotaPlan].Rate, s.Plans[quotaPlan].Burst = 10, 100
	countQueries := func(queryShare, usedUnits float64) (queries int) {
		d := newDriver(t, s, "s1", "s2")
		for id := uint64(1); id <= 200; id++ {
			d.gateway.queryShareAverage, d.gateway.queryShare = queryShare, queryShare
			c := d.gateway.ensureCustomer(5, quotaPlan, 2, 0)
			d.gateway.rollWindow(c, &c.quotaCounter)
			c.quotaTokens, c.quotaTokensAt, c.quotaCounter.pending = 100-usedUnits, d.now, usedUnits
			d.arrive(id, 0, quotaPlan, 1)
			if queries += len(actionsOf[CounterAdd](d.actions)); len(actionsOf[Send](d.takeActions())) > 0 {
				d.endAttempt(id, 0, "s1", OK)
				d.endAttempt(id, 0, "s2", OK)
				d.takeActions()
			}
		}
		return queries
	}
	if farFromQuota, nearQuota := countQueries(0.2, 1), countQueries(0.2, 60); nearQuota < 3*farFromQuota ||
		nearQuota < 100 {
		t.Fatalf("%d counter calls far from the quota, %d near it", farFromQuota, nearQuota)
	}
	if n := countQueries(1, 1); n != 200 {
		t.Fatalf("%d of 200 requests query a counter that takes all calls", n)
	}
}
