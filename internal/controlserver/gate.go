package controlserver

import "sync"

// votingGate keeps a replica out of elections after its start, until its log is known to have all that it had
// acknowledged before. A disk may have lost the last writes, be an old copy or be new: then this replica's vote could
// make a leader of one that lacks a committed entry. The gate opens when a leader has brought this replica up to date,
// or when the others have told how long their logs are: then votes go to none whose log is older than that.
type votingGate struct {
	mu    sync.Mutex
	open  bool
	floor position // votes go to no log that is older
	ready chan struct{}
}

func newVotingGate() *votingGate { return &votingGate{ready: make(chan struct{})} }

// refuses tells whether a candidate whose log ends at a position gets no vote, this replica itself included.
func (g *votingGate) refuses(candidate position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.open || candidate.less(g.floor)
}

// passed tells whether the gate has nothing left to refuse.
func (g *votingGate) passed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open && g.floor == position{}
}

// caughtUp opens the gate wholly: a leader has brought this replica up to date.
func (g *votingGate) caughtUp() { g.openAt(position{}) }

// openAt opens the gate to logs that are not older than the position.
func (g *votingGate) openAt(floor position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.floor = floor
	if !g.open {
		g.open = true
		close(g.ready)
	}
}

// isOpen tells whether this replica takes part in elections.
func (g *votingGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}
