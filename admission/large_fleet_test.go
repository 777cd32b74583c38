package admission

import (
	"fmt"
	"testing"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Rules that bound what all gateways of a large fleet do together, and estimates from the few observations that
// one gateway of many has.

// largeFleetSettings returns testSettings for 400 gateways, where a request that is sent beyond its quota or in-flight
// cap costs as much as its worth.
func largeFleetSettings() Settings {
	s := testSettings()
	s.Gateways = 400
	s.Plans[quotaPlan].OverQuotaCost, s.Plans[quotaPlan].WorthFactor = 1, 1
	s.Plans[inFlightPlan].OverQuotaCost, s.Plans[inFlightPlan].WorthFactor = 1, 1
	return s
}

// observeTotal advances to a share of the customer's next counter window, in which the counter's total is the given
// one. It returns the estimated demand as a multiple of what fits the quota.
func (d *driver) observeTotal(customer uint64, windowShare, total float64) float64 {
	c := d.gateway.ensureCustomer(customer, quotaPlan, 300, 0)
	counter := &c.quotaCounter
	d.now += counter.length - counter.elapsed(d.now) + time.Duration(windowShare*float64(counter.length))
	d.gateway.now = d.now
	d.gateway.rollWindow(c, counter)
	d.gateway.learnDemand(c, counter, &counterCall{customer: c, counter: counter, window: counter.window, delta: 1},
		total+1)
	return d.gateway.demandRatio(c)
}

func TestOneEarlyTotalCountsLessThanWindow(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	lowDemand, _ := d.observeTotal(1, 0.9, 2), d.gateway
	// Two units in a fiftieth of a window: taken alone, a demand of 12 times the quota.
	earlyDemand := d.observeTotal(2, 0.02, 2)
	if earlyDemand > 4 {
		t.Errorf("after one early total the demand is %.1f times what fits, want at most 4", earlyDemand)
	}
	for range 4 {
		lowDemand = d.observeTotal(1, 0.9, 2)
	}
	highDemand := 0.0
	for range 4 {
		highDemand = d.observeTotal(3, 0.9, 40)
	}
	if lowDemand > 0.6 || highDemand < 3 {
		t.Errorf("the low demand is %.2f times what fits, want at most 0.6; the high one %.2f, want at least 3",
			lowDemand, highDemand)
	}
}

// One answer of the counter at the start must not make all gateways query it at once.
func TestFirstCounterAnswerRaisesQueryShareLittle(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	before := d.gateway.queryShare
	d.gateway.counterSucceeded(ms)
	if d.gateway.queryShare > before+2*queryShareGain {
		t.Errorf("the query share rose from %.2f to %.2f with one answer", before, d.gateway.queryShare)
	}
}

// An overloaded counter is queried most for the plan where a wrong decision costs most. A counter that takes all
// calls is queried for every plan.
func TestOverloadedCounterIsQueriedForCostliestPlan(t *testing.T) {
	s := largeFleetSettings()
	s.Plans[inFlightPlan].OverQuotaCost, s.Plans[inFlightPlan].OverQuotaWorth = 0, 0.3
	d := newDriver(t, s, "s1")
	d.gateway.queryShare = 0.3
	if costlyPlanShare, cheapPlanShare := d.gateway.planQueryShare(quotaPlan),
		d.gateway.planQueryShare(inFlightPlan); costlyPlanShare != 0.3 || cheapPlanShare >= 0.2 {
		t.Errorf("%.2f of the costly plan's requests query the counter, want 0.3; %.2f of the cheap one's, want less than 0.2",
			costlyPlanShare, cheapPlanShare)
	}
	d.gateway.queryShare = 1
	if cheap := d.gateway.planQueryShare(inFlightPlan); cheap != 1 {
		t.Errorf("%.2f of the cheap plan's requests query a counter that takes all calls, want 1", cheap)
	}
}

func TestInitialRetryBudgetIsBoundedOverFleet(t *testing.T) {
	s := largeFleetSettings()
	sum := 0.0
	for range s.Gateways {
		sum += newDriver(t, s, "s1").gateway.retryBudget
	}
	if sum > initialFleetRetries+1e-6 {
		t.Errorf("%d gateways start with %.0f retries", s.Gateways, sum)
	}
}

// countSent makes 400 requests arrive, whose attempts all end with an outcome and a latency. It returns how many of
// the last hundred were sent.
func (d *driver) countSent(outcome Outcome, took time.Duration) (sent int) {
	for id := uint64(1); id <= 400; id++ {
		d.advance(20 * ms)
		d.arrive(1000*uint64(d.now/time.Millisecond)+id, 0, unlimitedPlan, 1)
		for _, x := range actionsOf[Send](d.takeActions()) {
			if id > 300 {
				sent++
			}
			now := d.now
			d.handle(AttemptEnded{ID: x.ID, Server: x.Server, Outcome: outcome, Took: took, Done: true})
			d.now = now
		}
		d.takeActions()
	}
	return sent
}

func TestLateAnswersThrottleAdmission(t *testing.T) {
	servers := make([]string, 40)
	for i := range servers {
		servers[i] = fmt.Sprintf("s%d", i)
	}
	d := newDriver(t, largeFleetSettings(), servers...)
	if n := d.countSent(OK, 50*ms); n < 95 {
		t.Fatalf("%d of 100 requests sent while answers are prompt", n)
	}
	if n := d.countSent(OK, 450*ms); n > 30 {
		t.Errorf("%d of 100 requests sent although all answers are late", n)
	}
	if n := d.countSent(OK, 50*ms); n < 50 {
		t.Errorf("%d of 100 requests sent after answers were prompt again", n)
	}
}

func TestFewLostAnswersDoNotThrottle(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	r := &request{class: &d.gateway.settings.Classes[0], arrivedAt: d.now, due: d.now + 500*ms}
	endAttempts := func(o Outcome, n int) {
		for range n {
			s := &server{}
			d.gateway.learnFromAttempt(&attempt{server: s, sentAt: d.now}, r, AttemptEnded{Outcome: o, Took: 60 * ms})
		}
	}
	for range 20 {
		endAttempts(OK, 3)
		endAttempts(TimedOut, 1)
	}
	if d.gateway.admitShare < 0.9 {
		t.Errorf("the admit share is %.2f with a quarter of the answers lost", d.gateway.admitShare)
	}
	endAttempts(TimedOut, 40)
	if d.gateway.admitShare > 0.3 {
		t.Errorf("the admit share is %.2f with no answer at all", d.gateway.admitShare)
	}
}

// Where no retry is possible, an attempt has a time limit at the latency target, unless late answers have worth.
func TestAttemptEndsWhenItsAnswerIsWorthless(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.gateway.retryBudget = 0
	d.arrive(1, 0, unlimitedPlan, 1)
	if x := onlyAction[Send](d); x.Wait != 500*ms {
		t.Errorf("the time limit is %v, but an answer has no worth after 500 ms", x.Wait)
	}
	d.advance(500 * ms)
	d.handle(AttemptEnded{ID: 1, Server: "s1", Outcome: TimedOut, Took: 500 * ms})
	if refusal := onlyAction[Refuse](d); refusal.RetryAfter != time.Second {
		t.Errorf("refused after its latency target with a retry-after of %v, want 1s", refusal.RetryAfter)
	}
	s := largeFleetSettings()
	s.Classes[0].LateWorth = 0.2
	d = newDriver(t, s, "s1")
	d.gateway.retryBudget = 0
	d.arrive(1, 0, unlimitedPlan, 1)
	if x := onlyAction[Send](d); x.Wait != 0 {
		t.Errorf("the time limit is %v although late answers have worth, want none", x.Wait)
	}
}

func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.gateway.classLatency[0] = estimate.LatencyModel{Latency: 0.3, Units: 1}
	d.handle(RequestArrived{ID: 1, Class: 0, Plan: unlimitedPlan, Customer: 5, ExpiresIn: 200 * ms, Units: 1, Gateways: 2})
	requireNone[Send](d)
	onlyAction[Refuse](d)
}

func TestClientDepartureFreesServerAndSlot(t *testing.T) {
	d := newDriver(t, testSettings(), "s1")
	d.arrive(1, 0, inFlightPlan, 1)
	add := onlyAction[CounterAdd](d)
	d.handle(CounterAnswered{Name: add.Name, Total: add.Delta, Took: 2 * ms})
	onlyAction[Send](d)
	d.handle(ClientLeft{ID: 1})
	cancel := onlyAction[Cancel](d)
	d.endAttempt(cancel.ID, cancel.Attempt, "s1", Cancelled)
	if c := d.gateway.customers[5]; c.inFlight != 0 || c.inFlightCounted != 0 {
		t.Errorf("still %d requests in flight, and %v on the in-flight counter", c.inFlight, c.inFlightCounted)
	}
	requireNone[Send](d)
}

// The demand that fits an in-flight cap follows from the mean time in flight. It must include requests that are
// never answered.
func TestMeanTimeInFlightIncludesTimeouts(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1", "s2", "s3", "s4")
	d.gateway.retryBudget = 0
	for id := uint64(1); id <= 60; id++ {
		d.gateway.retryBudget = 0
		d.arrive(id, 0, unlimitedPlan, 1)
		for _, x := range actionsOf[Send](d.takeActions()) {
			d.advance(500 * ms)
			d.handle(AttemptEnded{ID: x.ID, Server: x.Server, Outcome: TimedOut, Took: 500 * ms})
			d.takeActions()
		}
		d.advance(10 * time.Second) // until ejections have ended
	}
	if d.gateway.meanTimeInFlight < 0.2 {
		t.Errorf("the mean time in flight is %.2f s, but all requests were in flight for 0.5 s", d.gateway.meanTimeInFlight)
	}
}

// At a sparse gateway a call also counts for the requests that do not query, which may be more than the burst. The
// request that queries must be decided by its own units only.
func TestQueryingRequestIsDecidedByItsOwnUnits(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.gateway.queryShare = 0.05 // a request that queries also counts for ten that do not, more than the burst
	for id := uint64(1); ; id++ {
		d.handle(RequestArrived{ID: id, Class: 0, Plan: quotaPlan, Customer: id, ExpiresIn: time.Second, Units: 1,
			Gateways: 300})
		got := d.takeActions()
		adds := actionsOf[CounterAdd](got)
		if len(adds) == 0 {
			for _, x := range actionsOf[Send](got) {
				d.endAttempt(x.ID, 0, x.Server, OK)
			}
			d.takeActions()
			continue
		}
		if adds[0].Delta <= d.gateway.settings.Plans[quotaPlan].Burst {
			t.Fatalf("the call adds only %v, want more than the burst", adds[0].Delta)
		}
		d.handle(CounterAnswered{Name: adds[0].Name, Total: adds[0].Delta, Took: ms})
		onlyAction[Send](d)
		if demand := d.gateway.demandRatio(d.gateway.customers[id]); demand > initialQuotaDemand {
			t.Errorf("after the only request in its window the demand is %.2f times what fits", demand)
		}
		return
	}
}

// While the breaker is open, the last observed demand of a customer is not forgotten.
func TestObservedDemandLastsThroughOutage(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	for range 4 {
		d.observeTotal(3, 0.9, 40)
	}
	d.gateway.isBreakerOpen = true
	d.gateway.now += time.Minute
	if demand := d.gateway.demandRatio(d.gateway.customers[3]); demand < 3 {
		t.Errorf("after a minute without a counter the demand is %.2f times what fits, want at least 3", demand)
	}
}

// Full parts of all gateways stay below the ceiling's burst and slack, as clocks differ and values are rounded.
func TestCeilingKeepsAMargin(t *testing.T) {
	s := testSettings()
	s.MaxUnits = 1
	p := s.Plans[ceilingPlan]
	sum := 0.0
	for range 7 { // gateways of one customer that each use up their full part
		d := newDriver(t, s, "s1")
		c := d.gateway.ensureCustomer(5, ceilingPlan, 2, 0)
		d.gateway.now += time.Hour
		for c.hasCeilingTokens(d.gateway.now, 0.5) {
			c.ceilingTokens -= 0.5
			sum += 0.5
		}
	}
	if limit := 7. / 2 * (p.CeilingBurst + p.CeilingSlack); sum > limit-0.1 {
		t.Errorf("the gateways take %.1f units, the limit of the ceiling is %.1f", sum, limit)
	}
}

func TestAllGatewaysTogetherDoNotOverloadServers(t *testing.T) {
	s := largeFleetSettings()
	var servers []string
	for i := range 100 {
		servers = append(servers, fmt.Sprintf("s%02d", i))
	}
	d := newDriver(t, s, servers...)
	for id := uint64(1); id <= 200; id++ { // an overload at the start, before any answer
		d.arrive(id, 0, unlimitedPlan, 1)
	}
	if n := len(actionsOf[Send](d.actions)); float64(n*s.Gateways) > 1.4*minServerAttempts*float64(len(servers)) {
		t.Errorf("%d gateways may have %d open attempts each at %d servers", s.Gateways, n, len(servers))
	}
}
