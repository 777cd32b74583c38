package capacity

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The platform's counter, by 6.6 of the operators' brief: the most calls a second of what it states, over two parts.
const (
	counterCallsPerSecond = 1000
	counterParts          = 2
	counterWork           = counterParts * time.Second / counterCallsPerSecond // of a part, for a call
	counterWay            = 1200 * time.Microsecond                            // there and back
)

// counterPart serves its calls in turn.
type counterPart struct{ free time.Duration }

// simulatedCounter adds to names. With no work for a call it never has a queue.
type simulatedCounter struct {
	fleet  *simulatedFleet
	work   time.Duration
	parts  [counterParts]counterPart
	totals map[string]float64
	made   int // calls
	late   int // of these, given up before the answer came
}

// count serves one call: a part works on its calls in turn, on those that were given up, too.
func (c *simulatedCounter) count(_ int, call admission.CounterAdd) (float64, admission.Outcome, time.Duration) {
	name := fnv.New32a()
	_, _ = name.Write([]byte(call.Name)) // it never fails
	part := &c.parts[name.Sum32()%counterParts]
	part.free = max(part.free, c.fleet.now) + c.work
	took := part.free - c.fleet.now + counterWay
	c.made++
	c.totals[call.Name] += call.Delta
	if took > counterLimit {
		c.late++
		return 0, admission.TimedOut, counterLimit
	}
	return c.totals[call.Name], admission.OK, took
}

// Simulated time of a fleet at the counter, and what its servers do meanwhile: nothing here depends on them, so a few
// that answer at once bear the load.
const (
	easeSettle   = 3 * time.Second // until every ingress asks as much as it wants of a counter at ease
	easeMeasure  = 500 * time.Millisecond
	crowdSettle  = 2 * time.Second // until every ingress has found a crowded counter out
	crowdMeasure = 7 * time.Second // over the time in which each asks a lost counter once more
	counterServe = time.Millisecond
	counterHosts = 8
	tenantSpread = 3 // ingresses through which a tenant comes: 2 to 4 by the brief
)

// counterLoad is what a fleet asked of the counter.
type counterLoad struct {
	requests, calls, late float64 // a second
}

// measureCounterAtEase and measureCrowdedCounter drive a fleet before a counter without a queue, and before one that
// bears what the platform's does.
func measureCounterAtEase(ctx context.Context, ingresses int) (counterLoad, error) {
	return measureCounterLoad(ctx, ingresses, 0, easeSettle, easeMeasure)
}

func measureCrowdedCounter(ctx context.Context, ingresses int) (counterLoad, error) {
	return measureCounterLoad(ctx, ingresses, counterWork, crowdSettle, crowdMeasure)
}

// measureCounterLoad drives the decision modules of a whole fleet, each at its rate of the target, before a counter
// that takes so long for a call.
func measureCounterLoad(ctx context.Context, ingresses int, work, settle, measure time.Duration) (counterLoad, error) {
	settings := make([]admission.Settings, ingresses)
	for me := range settings {
		settings[me] = simulatedSettings(ingresses, me, true)
	}
	f, err := newSimulatedFleet(settings, admissionServers(counterHosts))
	if err != nil {
		return counterLoad{}, err
	}
	f.serve = func(int, string) (admission.Outcome, time.Duration) { return admission.OK, counterServe }
	counter := &simulatedCounter{fleet: f, work: work, totals: map[string]float64{}}
	f.count = counter.count
	for me := range ingresses {
		f.arrivals(me, requestsPerIngress, func(random *rand.Rand) admission.RequestArrived {
			return tenantRequest(random, ingresses, me)
		})
	}
	f.run(settle)
	if err := ctx.Err(); err != nil {
		return counterLoad{}, err
	}
	before, requests := *counter, f.nextID
	f.run(measure)
	perSecond := func(n int) float64 { return float64(n) / measure.Seconds() }
	return counterLoad{requests: perSecond(int(f.nextID - requests)), calls: perSecond(counter.made - before.made),
		late: perSecond(counter.late - before.late)}, nil
}

// tenantsPerIngress are those whose first ingress is a given one, half of them on each plan.
const tenantsPerIngress = TargetTenants / TargetIngresses

// tenantRequest makes a request of a tenant that comes through an ingress. Tenants ask by the quota of their plan.
func tenantRequest(random *rand.Rand, ingresses, me int) admission.RequestArrived {
	spread := min(tenantSpread, ingresses)
	first := (me - random.IntN(spread) + ingresses) % ingresses
	plan := planRate
	if random.Float64()*(planRateQuota+planCeilingQuota) > planRateQuota {
		plan = planCeiling
	}
	number := random.IntN(tenantsPerIngress/plans)*plans + plan
	return admission.RequestArrived{Class: classOf(random), Plan: plan, Customer: uint64(number*ingresses + first + 1),
		Gateways: spread, FirstGateway: first}
}
