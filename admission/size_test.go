package admission

import (
	"fmt"
	"testing"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// The guards of the day Ldd5a98 and of what came after it, one small test each.

// largeFleetSettings are settings of a large fleet with plans that lose by sends beyond their quotas.
func largeFleetSettings() Settings {
	s := testSettings()
	s.Gateways = 400
	s.Plans[quotaPlan].OverQuotaCost, s.Plans[quotaPlan].WorthFactor = 1, 1
	s.Plans[inFlightPlan].OverQuotaCost, s.Plans[inFlightPlan].WorthFactor = 1, 1
	return s
}

// observeTotal has the desk learn one total of a customer, at a part of its window, and returns its estimate.
func (d *driver) observeTotal(customer uint64, windowShare, total float64) float64 {
	c := d.g.ensureCustomer(customer, quotaPlan, 300, 0)
	counter := &c.quotaCounter
	d.now += counter.length - counter.elapsed(d.now) + time.Duration(windowShare*float64(counter.length))
	d.g.now = d.now
	d.g.rollWindow(c, counter)
	d.g.learnDemand(c, counter, &counterCall{customer: c, counter: counter, window: counter.window, delta: 1}, total+1)
	return d.g.demandRatio(c)
}

func TestOneEarlyTotalCountsLessThanWindow(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	lowDemand, _ := d.observeTotal(1, 0.9, 2), d.g
	earlyDemand := d.observeTotal(2, 0.02, 2) // two units in a fiftieth of a window: by itself a demand of 12 times the quota
	if earlyDemand > 4 {
		t.Errorf("one early total makes a customer ask %.1f times what fits", earlyDemand)
	}
	for range 4 {
		lowDemand = d.observeTotal(1, 0.9, 2)
	}
	highDemand := 0.0
	for range 4 {
		highDemand = d.observeTotal(3, 0.9, 40)
	}
	if lowDemand > 0.6 || highDemand < 3 {
		t.Errorf("a calm customer is taken to ask %.2f, a heavy one %.2f of what fits", lowDemand, highDemand)
	}
}

func TestFirstCounterAnswerRaisesQueryShareLittle(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	before := d.g.queryShare
	d.g.counterSucceeded(ms)
	if d.g.queryShare > before+2*queryShareGain {
		t.Errorf("the part that asks went from %.2f to %.2f with one answer", before, d.g.queryShare)
	}
}

func TestCrowdedCounterIsQueriedForCostliestPlan(t *testing.T) {
	s := largeFleetSettings()
	s.Plans[inFlightPlan].OverQuotaCost, s.Plans[inFlightPlan].OverQuotaWorth = 0, 0.3
	d := newDriver(t, s, "s1")
	d.g.queryShare = 0.3
	if costlyPlanShare, cheapPlanShare := d.g.planQueryShare(quotaPlan), d.g.planQueryShare(inFlightPlan); costlyPlanShare != 0.3 || cheapPlanShare >= 0.2 {
		t.Errorf("asks for %.2f of the dear plan's requests, %.2f of the cheap one's", costlyPlanShare, cheapPlanShare)
	}
	d.g.queryShare = 1
	if cheap := d.g.planQueryShare(inFlightPlan); cheap != 1 {
		t.Errorf("a counter with room is asked for %.2f", cheap)
	}
}

func TestInitialRetryBudgetIsBoundedOverFleet(t *testing.T) {
	s := largeFleetSettings()
	sum := 0.0
	for range s.Gateways {
		sum += newDriver(t, s, "s1").g.retryBudget
	}
	if sum > initialFleetRetries+1e-6 {
		t.Errorf("%d gateways start with %.0f retries", s.Gateways, sum)
	}
}

// countSent sends requests that all end one way and returns how many of the last hundred were sent on.
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
		t.Fatalf("%d of 100 sent on while answers are prompt", n)
	}
	if n := d.countSent(OK, 450*ms); n > 30 {
		t.Errorf("%d of 100 sent on though all answers are late", n)
	}
	if n := d.countSent(OK, 50*ms); n < 50 {
		t.Errorf("%d of 100 sent on after answers were prompt again", n)
	}
}

func TestFewLostAnswersDoNotThrottle(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	r := &request{class: &d.g.settings.Classes[0], arrivedAt: d.now, due: d.now + 500*ms}
	endAttempts := func(o Outcome, n int) {
		for range n {
			s := &server{}
			d.g.learnFromAttempt(&attempt{server: s, sentAt: d.now}, r, AttemptEnded{Outcome: o, Took: 60 * ms})
		}
	}
	for range 20 {
		endAttempts(OK, 3)
		endAttempts(TimedOut, 1)
	}
	if d.g.admitShare < 0.9 {
		t.Errorf("admits %.2f with a quarter of the answers lost", d.g.admitShare)
	}
	endAttempts(TimedOut, 40)
	if d.g.admitShare > 0.3 {
		t.Errorf("admits %.2f with no answer at all", d.g.admitShare)
	}
}

func TestAttemptEndsWhenItsAnswerIsWorthless(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.g.retryBudget = 0
	d.arrive(1, 0, unlimitedPlan, 1)
	if x := onlyAction[Send](d); x.Wait != 500*ms {
		t.Errorf("waits %v for an answer that is worth nothing after 500 ms", x.Wait)
	}
	d.advance(500 * ms)
	d.handle(AttemptEnded{ID: 1, Server: "s1", Outcome: TimedOut, Took: 500 * ms})
	if refusal := onlyAction[Refuse](d); refusal.RetryAfter != time.Second {
		t.Errorf("given up on after its aim, told to come back after %v", refusal.RetryAfter)
	}
	s := largeFleetSettings()
	s.Classes[0].LateWorth = 0.2
	d = newDriver(t, s, "s1")
	d.g.retryBudget = 0
	d.arrive(1, 0, unlimitedPlan, 1)
	if x := onlyAction[Send](d); x.Wait != 0 {
		t.Errorf("waits only %v though late answers are worth something", x.Wait)
	}
}

func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.g.classLatency[0] = estimate.LatencyModel{Latency: 0.3, Units: 1}
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
	if c := d.g.customers[5]; c.inFlight != 0 || c.inFlightCounted != 0 {
		t.Errorf("still counts %d out and %v on the gauge", c.inFlight, c.inFlightCounted)
	}
	requireNone[Send](d)
}

func TestMeanTimeInFlightIncludesTimeouts(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1", "s2", "s3", "s4")
	d.g.retryBudget = 0
	for id := uint64(1); id <= 60; id++ {
		d.g.retryBudget = 0
		d.arrive(id, 0, unlimitedPlan, 1)
		for _, x := range actionsOf[Send](d.takeActions()) {
			d.advance(500 * ms)
			d.handle(AttemptEnded{ID: x.ID, Server: x.Server, Outcome: TimedOut, Took: 500 * ms})
			d.takeActions()
		}
		d.advance(10 * time.Second) // ejections end
	}
	if d.g.meanTimeInFlight < 0.2 {
		t.Errorf("a request is taken to be out for %.2f s, all were for 0.5", d.g.meanTimeInFlight)
	}
}

func TestQueryingRequestIsDecidedByItsOwnUnits(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	d.g.queryShare = 0.05 // an asked request stands for ten that did not ask, more than the burst
	for id := uint64(1); ; id++ {
		d.handle(RequestArrived{ID: id, Class: 0, Plan: quotaPlan, Customer: id, ExpiresIn: time.Second, Units: 1, Gateways: 300})
		got := d.takeActions()
		adds := actionsOf[CounterAdd](got)
		if len(adds) == 0 {
			for _, x := range actionsOf[Send](got) {
				d.endAttempt(x.ID, 0, x.Server, OK)
			}
			d.takeActions()
			continue
		}
		if adds[0].Delta <= d.g.settings.Plans[quotaPlan].Burst {
			t.Fatalf("adds only %v", adds[0].Delta)
		}
		d.handle(CounterAnswered{Name: adds[0].Name, Total: adds[0].Delta, Took: ms})
		onlyAction[Send](d)
		if demand := d.g.demandRatio(d.g.customers[id]); demand > initialQuotaDemand {
			t.Errorf("alone in its window, a request makes its customer ask %.2f of what fits", demand)
		}
		return
	}
}

func TestObservedDemandLastsThroughOutage(t *testing.T) {
	d := newDriver(t, largeFleetSettings(), "s1")
	for range 4 {
		d.observeTotal(3, 0.9, 40)
	}
	d.g.isBreakerOpen = true
	d.g.now += time.Minute
	if demand := d.g.demandRatio(d.g.customers[3]); demand < 3 {
		t.Errorf("after a minute without a counter a heavy customer is taken to ask %.2f of what fits", demand)
	}
}

func TestCeilingKeepsAMargin(t *testing.T) {
	s := testSettings()
	s.MaxUnits = 1
	p := s.Plans[ceilingPlan]
	sum := 0.0
	for range 7 { // doors of one customer, all asked for all they can give
		d := newDriver(t, s, "s1")
		c := d.g.ensureCustomer(5, ceilingPlan, 2, 0)
		d.g.now += time.Hour
		for c.hasCeilingTokens(d.g.now, 0.5) {
			c.ceilingTokens -= 0.5
			sum += 0.5
		}
	}
	if limit := 7. / 2 * (p.CeilingBurst + p.CeilingSlack); sum > limit-0.1 {
		t.Errorf("doors take %.1f, the rule is broken at %.1f", sum, limit)
	}
}

func TestAllGatewaysTogetherDoNotOverloadServers(t *testing.T) {
	s := largeFleetSettings()
	var servers []string
	for i := range 100 {
		servers = append(servers, fmt.Sprintf("s%02d", i))
	}
	d := newDriver(t, s, servers...)
	for id := uint64(1); id <= 200; id++ { // a flood at a cold start, nothing answered yet
		d.arrive(id, 0, unlimitedPlan, 1)
	}
	if n := len(actionsOf[Send](d.actions)); float64(n*s.Gateways) > 1.4*minServerAttempts*float64(len(servers)) {
		t.Errorf("%d gateways may have %d attempts each out at %d servers", s.Gateways, n, len(servers))
	}
}
