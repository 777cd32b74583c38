package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// Room for those who connect where all places are taken.

// makeRoom closes the connection that is worth least: one that is ending, or else the one that has been silent
// longest. So who writes slowly is kept as long as it writes. One that has shown nothing yet counts as silent for
// longer than it was; one that had an answer goes only while most places are held by such as had one: the usual
// clients' are new ones soon, and the next wait until there is room. A server may close any of these.
func (s *Server) makeRoom() bool {
	if c := s.leaving.first; c != nil {
		c.drop(closedForRoom)
		return true
	}
	for range roomTries {
		c := s.leastWorth()
		if c == nil {
			return false
		}
		c.read() // what it has asked meanwhile is answered
		if c.src.FD() < 0 {
			return true
		}
		if c.in != nil && c.moved < s.loop.Now() {
			c.finish(closedForRoom)
			c.drop(closedForRoom)
			return true
		}
	}
	return false
}

// roomTries is how many connections may turn out not to be silent before the search for one gives up.
const roomTries = 8

// leastWorth is the connection to be closed first among those on which nothing is owed, nil: none may be.
func (s *Server) leastWorth() *Conn {
	now := s.loop.Now()
	var c *Conn
	longest := time.Duration(0)
	look := func(l *list, weight time.Duration) {
		if f := l.first; f != nil && now-f.moved > s.lim.EvictionGrace && weight*(now-f.moved) > longest {
			c, longest = f, weight*(now-f.moved)
		}
	}
	look(&s.fresh, shownNothing)
	look(&s.begun, 1)
	if s.fresh.n+s.begun.n <= s.lim.MaxDownstreamConns/2 {
		look(&s.idle, hadAnswer)
	}
	return c
}

// How many times its silence counts of a connection that has never shown a byte, and of one that owes us nothing;
// of one that is writing a request it counts once.
const (
	shownNothing = 4
	hadAnswer    = 2
)

// pause leaves new connections in the kernel's queue until one of the present ones closes.
func (s *Server) pause(why string) {
	s.shut = true
	if s.paused {
		return
	}
	s.paused = true
	if now := s.loop.Now(); s.toldAt == 0 || now-s.toldAt > logEvery {
		s.toldAt = now
		s.log.Warn("accepting paused", "connections", len(s.conns), "cause", why)
	}
	for _, ln := range s.listeners {
		ln.src.SetEvents(0)
	}
	s.loop.After(s.lim.EvictionGrace, s.resume)
}

// logEvery: a flood that pauses accepting again and again is told of so often.
const logEvery = 10 * time.Second

func (s *Server) resume() {
	if s.paused && !s.closed && !s.held {
		s.paused = false
		s.listen()
	}
}

// listen watches the listeners again.
func (s *Server) listen() {
	for _, ln := range s.listeners {
		ln.watched = s.loop.Now()
		ln.src.SetEvents(loop.In)
	}
}
