package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// Room for those who connect where all places are taken.

// evictOne closes the connection that is worth least: one that is ending, or else the one that has been silent
// longest. So who writes slowly is kept as long as it writes. One that has shown nothing yet counts as silent for
// longer than it was; one that had an answer goes only while most places are held by such as had one: the usual
// clients' are new ones soon, and the next wait until there is room. A server may close any of these.
func (s *Server) evictOne() bool {
	if c := s.lingering.first; c != nil {
		c.close(closedEvicted)
		return true
	}
	for range maxEvictionTries {
		c := s.evictionCandidate()
		if c == nil {
			return false
		}
		c.read() // what it has asked meanwhile is answered
		if c.source.FD() < 0 {
			return true
		}
		if c.list != nil && c.lastReadAt < s.loop.Now() {
			c.closeGracefully(closedEvicted)
			c.close(closedEvicted)
			return true
		}
	}
	return false
}

// maxEvictionTries is how many connections may turn out not to be silent before the search for one gives up.
const maxEvictionTries = 8

// evictionCandidate is the connection to be closed first among those on which nothing is owed, nil: none may be.
func (s *Server) evictionCandidate() *Conn {
	now := s.loop.Now()
	var c *Conn
	longest := time.Duration(0)
	look := func(l *connList, weight time.Duration) {
		if f := l.first; f != nil && now-f.lastReadAt > s.bounds.FreshTime && weight*(now-f.lastReadAt) > longest {
			c, longest = f, weight*(now-f.lastReadAt)
		}
	}
	look(&s.newConns, newConnWeight)
	look(&s.receiving, 1)
	if s.newConns.length+s.receiving.length <= s.bounds.Downstream/2 {
		look(&s.idle, servedConnWeight)
	}
	return c
}

// How many times its silence counts of a connection that has never shown a byte, and of one that owes us nothing;
// of one that is writing a request it counts once.
const (
	newConnWeight    = 4
	servedConnWeight = 2
)

// pauseAccepting leaves new connections in the kernel's queue until one of the present ones closes.
func (s *Server) pauseAccepting(why string) {
	s.acceptFailed = true
	if s.acceptPaused {
		return
	}
	s.acceptPaused = true
	if now := s.loop.Now(); s.pauseLoggedAt == 0 || now-s.pauseLoggedAt > pauseLogInterval {
		s.pauseLoggedAt = now
		s.log.Warn("accepting paused", "connections", len(s.conns), "cause", why)
	}
	for _, ln := range s.listeners {
		ln.source.SetEvents(0)
	}
	s.loop.After(s.bounds.FreshTime, s.resumeAccepting)
}

// pauseLogInterval: a flood that pauses accepting again and again is told of so often.
const pauseLogInterval = 10 * time.Second

func (s *Server) resumeAccepting() {
	if s.acceptPaused && !s.listenersClosed && !s.suspended {
		s.acceptPaused = false
		s.watchListeners()
	}
}

// watchListeners watches the listeners again.
func (s *Server) watchListeners() {
	for _, ln := range s.listeners {
		ln.armedAt = s.loop.Now()
		ln.source.SetEvents(loop.In)
	}
}
