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
	now := s.loop.Now()
	c, longest := s.leaving.first, time.Duration(0)
	if c != nil {
		c.drop()
		return true
	}
	look := func(l *list, weight time.Duration) {
		if f := l.first; f != nil && now-f.moved > s.lim.FreshTime && weight*(now-f.moved) > longest {
			c, longest = f, weight*(now-f.moved)
		}
	}
	look(&s.fresh, shownNothing)
	look(&s.begun, 1)
	if s.fresh.n+s.begun.n <= s.lim.Downstream/2 {
		look(&s.idle, hadAnswer)
	}
	if c == nil {
		return false
	}
	c.finish()
	c.drop()
	return true
}

// How many times its silence counts of a connection that has never shown a byte, and of one that owes us nothing;
// of one that is writing a request it counts once.
const (
	shownNothing = 4
	hadAnswer    = 2
)

// pause leaves new connections in the kernel's queue until one of the present ones closes.
func (s *Server) pause(why string) {
	if s.paused {
		return
	}
	s.paused = true
	if now := s.loop.Now(); s.toldAt == 0 || now-s.toldAt > logEvery {
		s.toldAt = now
		s.log.Warn("accepting paused", "connections", len(s.conns), "cause", why)
	}
	for _, ln := range s.listeners {
		ln.src.Want(0)
	}
	s.loop.After(s.lim.FreshTime, s.resume)
}

// logEvery: a flood that pauses accepting again and again is told of so often.
const logEvery = 10 * time.Second

func (s *Server) resume() {
	if s.paused && !s.closed && !s.held {
		s.paused = false
		for _, ln := range s.listeners {
			ln.src.Want(loop.In)
		}
	}
}
