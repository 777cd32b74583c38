package admission

import (
	"testing"
	"time"
)

// However many customers send, no more than the bound are kept. Those that are known go on being served, and under a
// ceiling nobody is forgotten before its tokens have refilled.
func TestCustomersInMemoryAreBounded(t *testing.T) {
	const limit = 1000
	for _, plan := range []int{quotaPlan, ceilingPlan} {
		settings := testSettings()
		settings.HasCounter = false // else open calls would keep all customers active
		d := newDriver(t, settings, "s1")
		d.gateway.SetMaxCustomers(limit)
		refused := 0
		for i := range uint64(10 * limit) {
			d.now += ms
			d.handle(RequestArrived{ID: i + 1, Customer: 1000 + i, Plan: plan, Units: 1, Gateways: 2, ExpiresIn: time.Second})
			for _, a := range d.gateway.actions {
				if r, ok := a.(Refuse); ok && r.Reason == ReasonTooManyCustomers {
					refused++
				}
			}
			d.handle(AttemptEnded{ID: i + 1, Server: "s1", Outcome: OK, Took: ms, Done: true})
			if n := d.gateway.CustomerCount(); n > limit {
				t.Fatalf("%d customers in memory", n)
			}
		}
		if isCeiling := plan == ceilingPlan; isCeiling != (refused > 0) {
			t.Errorf("plan %d: %d refused", plan, refused)
		}
	}
}
