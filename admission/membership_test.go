package admission

import (
	"math"
	"testing"
	"time"
)

// newCeilingFleet returns a fleet of four hosts where customers of ceilingPlan have a ceiling only, so that no
// counter is called for them.
func newCeilingFleet(t *testing.T, gateways int) *fleet {
	f := newFleet(t, gateways, 4)
	for _, d := range f.drivers {
		d.gateway.settings.Plans[ceilingPlan] = Plan{Name: "hard", CeilingRate: 18, CeilingBurst: 45, CeilingSlack: 4.5}
	}
	return f
}

// countSentUnderCeiling passes a request of one customer to each gateway but the skipped one (-1: none) every 5 ms,
// and returns how many of them are sent.
func countSentUnderCeiling(f *fleet, from, to time.Duration, skipped int) (sent int) {
	for now := from; now < to; now += 5 * ms {
		for index, d := range f.drivers {
			if index == skipped {
				continue
			}
			f.lastRequestID++
			ev := RequestArrived{ID: f.lastRequestID, Plan: ceilingPlan, Customer: 7, ExpiresIn: time.Second, Units: 1,
				Gateways: len(f.drivers)}
			for _, s := range actionsOf[Send](append([]Action(nil), d.gateway.Handle(now, ev)...)) {
				sent++
				d.gateway.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Outcome: OK, Took: ms, Done: true})
			}
		}
	}
	return sent
}

// changeMembership passes a membership to the gateways with these indices.
func changeMembership(f *fleet, now time.Duration, ev FleetChanged, gateways ...int) {
	for _, index := range gateways {
		f.drivers[index].gateway.Handle(now, ev)
	}
}

// The parts of the present gateways add up to the whole ceiling, whichever gateways are absent.
func TestCeilingPartsOfPresentGatewaysAddUp(t *testing.T) {
	for _, absent := range [][]int{nil, {0}, {2}, {1, 3}, {0, 1, 2}} {
		f := newFleet(t, 4, 4)
		burstSum, rateSum := 0.0, 0.0
		for index, d := range f.drivers {
			d.gateway.Handle(d.now, FleetChanged{Absent: absent})
			c := d.gateway.ensureCustomer(7, ceilingPlan, 4, 1)
			if c.gateways != float64(4-len(absent)) {
				t.Errorf("absent %v: the customer has %v gateways", absent, c.gateways)
			}
			isAbsent := false
			for _, absentIndex := range absent {
				isAbsent = isAbsent || absentIndex == index
			}
			if !isAbsent {
				burstSum, rateSum = burstSum+c.ceilingBurst, rateSum+c.ceilingRate
			}
		}
		p := f.drivers[0].gateway.settings.Plans[ceilingPlan]
		if whole := p.CeilingBurst + usedSlackShare*p.CeilingSlack; math.Abs(burstSum-whole) > 1e-6 ||
			math.Abs(rateSum-p.CeilingRate) > 1e-6 {
			t.Errorf("absent %v: the parts add up to a burst of %v, want %v, and a rate of %v, want %v", absent, burstSum,
				whole, rateSum, p.CeilingRate)
		}
	}
}

// A gateway that the others may count as absent sends nothing under a ceiling. Once it is certain, its part starts
// empty.
func TestUncertainGatewayHasNoPartOfCeiling(t *testing.T) {
	f := newCeilingFleet(t, 2)
	now := f.drivers[0].now
	changeMembership(f, now, FleetChanged{IsUncertain: true}, 0, 1)
	if n := countSentUnderCeiling(f, now+time.Second, now+3*time.Second, -1); n != 0 {
		t.Errorf("uncertain gateways sent %d requests, want 0", n)
	}
	changeMembership(f, now+3*time.Second, FleetChanged{}, 0, 1)
	for index, d := range f.drivers { // a customer whose first request comes now has no tokens saved up either
		if c := d.gateway.ensureCustomer(8, ceilingPlan, 2, 0); c.hasCeilingTokens(now+3*time.Second+ms, 1) {
			t.Errorf("gateway %d has ceiling tokens at once, want an empty part", index)
		}
	}
	if n := countSentUnderCeiling(f, now+3*time.Second, now+5*time.Second, -1); n < 25 || n > 36+5 {
		t.Errorf("%d requests sent in 2 s from empty parts, want 25 to 41: 18 a second", n)
	}
}

// When a gateway is absent, the others send what the ceiling allows, and no more than that at the change. When it
// returns, they have their former parts.
func TestPresentGatewaysTakeOverCeilingOfAbsentOne(t *testing.T) {
	f := newCeilingFleet(t, 3)
	now := f.drivers[0].now
	spent := countSentUnderCeiling(f, now+time.Second, now+20*time.Second, -1) // afterwards the parts are empty
	if spent < 18*17 {
		t.Fatalf("%d requests sent in 19 s, want 18 a second for at least 17 s", spent)
	}
	changeMembership(f, now+20*time.Second, FleetChanged{Absent: []int{2}}, 0, 1)
	n := countSentUnderCeiling(f, now+20*time.Second, now+30*time.Second, 2)
	if n < 18*10-6 || n > 18*10+6 {
		t.Errorf("two gateways sent %d requests in 10 s, want 18 a second", n)
	}
	changeMembership(f, now+30*time.Second, FleetChanged{}, 0, 1)
	if n := countSentUnderCeiling(f, now+30*time.Second, now+40*time.Second, 2); n > 18*10*2/3+6 {
		t.Errorf("two of three gateways sent %d requests in 10 s, want at most two thirds of 18 a second", n)
	}
}

// A customer's gateways are consecutive indices, around the end. Only those of them that are absent reduce their
// number, which is at least 1.
func TestOnlyAbsentGatewaysOfCustomerCount(t *testing.T) {
	members := membership{absent: []int{0, 3}}
	for _, c := range []struct {
		n, first int
		want     float64
	}{{2, 1, 2}, {2, 3, 1}, {4, 2, 2}, {5, 0, 3}, {1, 0, 1}, {9, 4, 3}} {
		if got := members.countFrom(c.n, c.first, 5); got != c.want {
			t.Errorf("%d gateways from index %d: %v present, want %v", c.n, c.first, got, c.want)
		}
	}
	if members.position(4, 2, 5) != 1 || members.position(1, 2, 5) != 2 || (membership{}).position(1, 2, 5) != 4 {
		t.Error("positions", members.position(4, 2, 5), members.position(1, 2, 5), membership{}.position(1, 2, 5))
	}
}
