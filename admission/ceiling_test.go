package admission

import (
	"testing"
	"time"
)

// A gateway never sends more than its part of a ceiling, neither without a counter nor when the counter loses its
// data.
func TestCeilingHoldsWithoutCounterAndAfterRestart(t *testing.T) {
	for _, hasCounter := range []bool{true, false} {
		s := testSettings()
		s.HasCounter = hasCounter
		s.Plans[ceilingPlan].MaxInFlight, s.MaxUnits = 0, 2
		d := newDriver(t, s, "s1", "s2", "s3", "s4", "s5", "s6")
		p := s.Plans[ceilingPlan]
		start, usedUnits := d.now, 0.0
		for id := uint64(1); id < 3000; id++ {
			d.advance(5 * ms)
			d.arrive(id, 0, ceilingPlan, 2)
			for _, add := range actionsOf[CounterAdd](d.actions) {
				d.handle(CounterAnswered{Name: add.Name, Total: 0, Took: ms, Outcome: OK}) // a counter that keeps losing its data
			}
			for _, a := range actionsOf[Send](d.takeActions()) {
				usedUnits += 2
				d.endAttempt(a.ID, 0, a.Server, OK)
			}
			// A previous process may have used the whole part, so without a counter it starts empty. A counter
			// that has lost its data admits this gateway's part of the ceiling's burst once, and no more.
			limit := p.CeilingRate / 2 * (d.now - start).Seconds()
			if hasCounter {
				limit += (p.CeilingBurst + p.CeilingSlack) / 2
			}
			if usedUnits > limit+1e-6 {
				t.Fatalf("sent %v units, the gateway's part of the ceiling allows %v", usedUnits, limit)
			}
		}
		if usedUnits < 20 {
			t.Fatalf("sent only %v units", usedUnits)
		}
	}
}

// A gateway's part of a ceiling fills from the start of the gateway, as a previous process may have used it up,
// and not from the first request of the customer: otherwise each customer's first request would be refused at
// every gateway.
func TestFirstRequestOfCustomerFindsCeilingTokens(t *testing.T) {
	s := testSettings()
	s.HasCounter = false
	d := newDriver(t, s, "s1")
	d.advance(time.Duration(s.Plans[ceilingPlan].CeilingBurst / s.Plans[ceilingPlan].CeilingRate * float64(time.Second)))
	d.arrive(1, 0, ceilingPlan, 2)
	onlyAction[Send](d)
}
