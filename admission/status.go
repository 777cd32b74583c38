package admission

import "time"

// Figures for operators. Nothing here decides.

// AvoidedServers returns how many servers of the list get no requests now: those that drain, are ejected or
// silent, or are down.
func (g *Gateway) AvoidedServers(now time.Duration) (n int) {
	g.now = max(g.now, now)
	for _, s := range g.serversByName {
		if s.State == Draining || s.State == Up && (g.isSuspect(s) || s.connectionFailures >= downThreshold) {
			n++
		}
	}
	return n
}
