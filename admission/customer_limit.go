package admission

import (
	"slices"
	"time"
)

// The customers that are kept in memory are bounded, since clients choose their ids. A customer that is
// forgotten starts anew with full local tokens. The quota counter still has what it used in this window. A
// ceiling's tokens are nowhere else: under a ceiling only customers whose tokens have refilled are forgotten.

const (
	// Share of the bound that is left after customers were forgotten, so that searches are rare.
	keptCustomerShare = 0.75
	// Interval between two searches, and the advice to a customer that is refused meanwhile.
	customerRoomInterval = 100 * time.Millisecond
)

// SetMaxCustomers bounds the customers in memory. 0: no bound.
func (g *Gateway) SetMaxCustomers(n int) { g.maxCustomers = n }

// hasCustomerRoom reports whether a request of a customer can be taken: it is known, or there is room for it.
func (g *Gateway) hasCustomerRoom(id uint64) bool {
	if g.maxCustomers == 0 || len(g.customers) < g.maxCustomers || g.customers[id] != nil {
		return true
	}
	if g.now >= g.nextCustomerSearch {
		g.nextCustomerSearch = g.now + customerRoomInterval
		g.forgetIdleCustomers(int(float64(g.maxCustomers) * keptCustomerShare))
	}
	return len(g.customers) < g.maxCustomers
}

// forgetIdleCustomers drops the customers that have been idle longest, down to the given number if it can.
func (g *Gateway) forgetIdleCustomers(kept int) {
	active := map[uint64]bool{}
	for _, id := range g.ActiveCustomers() {
		active[id] = true
	}
	var idle []*customer
	for id, c := range g.customers {
		if !active[id] && c.inFlight == 0 && g.mayForget(c) {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *customer) int {
		if a.lastSeen != b.lastSeen {
			return int(a.lastSeen - b.lastSeen)
		}
		return int(int64(a.id) - int64(b.id)) // ids are below 2^33
	})
	for _, c := range idle[:min(len(idle), max(0, len(g.customers)-kept))] {
		delete(g.customers, c.id)
	}
}

// mayForget reports whether an idle customer would start anew with no more ceiling tokens than it has.
func (g *Gateway) mayForget(c *customer) bool {
	return c.plan.CeilingRate <= 0 || c.isCeilingSplit && c.hasCeilingTokens(g.now, c.ceilingBurst)
}
