package admission

import "time"

// What operators are told of the module. Nothing here decides.

// AvoidedServers tells how many servers of the list get nothing now: those that drain, are ejected, silent or away.
func (g *Gateway) AvoidedServers(now time.Duration) (n int) {
	g.now = max(g.now, now)
	for _, s := range g.serversByName {
		if s.State == Draining || s.State == Up && (g.isSuspect(s) || s.connectionFailures >= downThreshold) {
			n++
		}
	}
	return n
}
