package admission

import (
	"math"
	"testing"
	"time"
)

// newCeilingFleet is one whose customers have a ceiling and nothing else, and so need no counter.
func newCeilingFleet(t *testing.T, gateways int) *fleet {
	f := newFleet(t, gateways, 4)
	for _, d := range f.gateways {
		d.g.settings.Plans[ceilingPlan] = Plan{Name: "hard", CeilingRate: 18, CeilingBurst: 45, CeilingSlack: 4.5}
	}
	return f
}

// countSentUnderCeiling is how many requests of one customer the doors of a fleet but skip send on, asked without end.
func countSentUnderCeiling(f *fleet, from, to time.Duration, skipped int) (sent int) {
	for now := from; now < to; now += 5 * ms {
		for index, d := range f.gateways {
			if index == skipped {
				continue
			}
			f.lastRequestID++
			ev := RequestArrived{ID: f.lastRequestID, Plan: ceilingPlan, Customer: 7, ExpiresIn: time.Second, Units: 1, Gateways: len(f.gateways)}
			for _, s := range actionsOf[Send](append([]Action(nil), d.g.Handle(now, ev)...)) {
				sent++
				d.g.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Outcome: OK, Took: ms, Done: true})
			}
		}
	}
	return sent
}

func changeMembership(f *fleet, now time.Duration, ev FleetChanged, gateways ...int) {
	for _, index := range gateways {
		f.gateways[index].g.Handle(now, ev)
	}
}

// Of a ceiling's store, the parts of the doors that are there add up to the whole, whoever is out and however many.
func TestCeilingPartsOfPresentGatewaysAddUp(t *testing.T) {
	for _, absent := range [][]int{nil, {0}, {2}, {1, 3}, {0, 1, 2}} {
		f := newFleet(t, 4, 4)
		burstSum, rateSum := 0.0, 0.0
		for me, d := range f.gateways {
			d.g.Handle(d.now, FleetChanged{Absent: absent})
			c := d.g.ensureCustomer(7, ceilingPlan, 4, 1)
			if c.gateways != float64(4-len(absent)) {
				t.Errorf("out %v: %v doors", absent, c.gateways)
			}
			isAbsent := false
			for _, index := range absent {
				isAbsent = isAbsent || index == me
			}
			if !isAbsent {
				burstSum, rateSum = burstSum+c.ceilingBurst, rateSum+c.ceilingRate
			}
		}
		p := f.gateways[0].g.settings.Plans[ceilingPlan]
		if whole := p.CeilingBurst + usedSlackShare*p.CeilingSlack; math.Abs(burstSum-whole) > 1e-6 || math.Abs(rateSum-p.CeilingRate) > 1e-6 {
			t.Errorf("out %v: parts %v of %v, filled at %v of %v", absent, burstSum, whole, rateSum, p.CeilingRate)
		}
	}
}

// A gateway that others may count out sends nothing on under a ceiling until it is sure, and then its part.
func TestUncertainGatewayHasNoPartOfCeiling(t *testing.T) {
	f := newCeilingFleet(t, 2)
	now := f.gateways[0].now
	changeMembership(f, now, FleetChanged{IsUncertain: true}, 0, 1)
	if n := countSentUnderCeiling(f, now+time.Second, now+3*time.Second, -1); n != 0 {
		t.Errorf("%d sent by unsure gateways", n)
	}
	changeMembership(f, now+3*time.Second, FleetChanged{}, 0, 1)
	for index, d := range f.gateways { // nor has it saved up a part meanwhile, for a customer that it meets now
		if c := d.g.ensureCustomer(8, ceilingPlan, 2, 0); c.hasCeilingTokens(now+3*time.Second+ms, 1) {
			t.Errorf("gateway %d has a part at once", index)
		}
	}
	if n := countSentUnderCeiling(f, now+3*time.Second, now+5*time.Second, -1); n < 25 || n > 36+5 {
		t.Errorf("%d sent in 2 s at 18 a second, from empty stores", n)
	}
}

// When one has left, the others send on what the ceiling allows, and no more in the moment of the change.
func TestPresentGatewaysTakeOverCeilingOfAbsentOne(t *testing.T) {
	f := newCeilingFleet(t, 3)
	now := f.gateways[0].now
	spent := countSentUnderCeiling(f, now+time.Second, now+20*time.Second, -1) // the stores are empty
	if spent < 18*17 {
		t.Fatalf("%d sent in 19 s", spent)
	}
	changeMembership(f, now+20*time.Second, FleetChanged{Absent: []int{2}}, 0, 1)
	n := countSentUnderCeiling(f, now+20*time.Second, now+30*time.Second, 2)
	if n < 18*10-6 || n > 18*10+6 {
		t.Errorf("%d sent by two doors in 10 s at 18 a second", n)
	}
	changeMembership(f, now+30*time.Second, FleetChanged{}, 0, 1)
	if n := countSentUnderCeiling(f, now+30*time.Second, now+40*time.Second, 2); n > 18*10*2/3+6 {
		t.Errorf("%d sent by two of three doors in 10 s", n)
	}
}

// A customer's set goes round the numbers; only those of the set that are out count.
func TestOnlyAbsentGatewaysOfCustomerCount(t *testing.T) {
	members := membership{absent: []int{0, 3}}
	for _, c := range []struct {
		n, first int
		want     float64
	}{{2, 1, 2}, {2, 3, 1}, {4, 2, 2}, {5, 0, 3}, {1, 0, 1}, {9, 4, 3}} {
		if got := members.countFrom(c.n, c.first, 5); got != c.want {
			t.Errorf("%d from %d: %v, want %v", c.n, c.first, got, c.want)
		}
	}
	if members.position(4, 2, 5) != 1 || members.position(1, 2, 5) != 2 || (membership{}).position(1, 2, 5) != 4 {
		t.Error("places", members.position(4, 2, 5), members.position(1, 2, 5), membership{}.position(1, 2, 5))
	}
}
