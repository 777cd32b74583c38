package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// evictOne closes one connection to make room for a new one, and reports whether it did. HTTP allows a server to close
// any connection that is eligible.
//
// It chooses a lingering connection if there is one, else the one that has been silent for the longest weighted time,
// so that a slow client keeps its connection as long as it writes. Idle connections that have been served are eligible
// only while new and receiving ones are at most half of the connection limit. Otherwise a flood of new connections would
// evict those of regular clients, which would then have to connect anew like the flood. Further clients wait in the
// kernel's queue instead.
func (s *Server) evictOne() bool {
	if c := s.lingering.first; c != nil {
		s.evictedTotal++
		c.close(closedEvicted)
		return true
	}
	for range maxEvictionTries {
		c := s.evictionCandidate()
		if c == nil {
			return false
		}
		c.read() // a request that has arrived meanwhile is answered
		if c.source.FD() < 0 {
			return true
		}
		if c.list == &s.uploading && c.lastReadAt < s.loop.Now() {
			s.evictedTotal++
			c.disconnect(closedEvicted)
			return true
		}
		if c.list != nil && c.lastReadAt < s.loop.Now() {
			s.evictedTotal++
			c.closeGracefully(closedEvicted)
			c.close(closedEvicted)
			return true
		}
	}
	return false
}

// maxEvictionTries is the number of candidates that may turn out not to be silent before evictOne gives up.
const maxEvictionTries = 8

// evictionCandidate returns the eligible connection with the longest weighted silence, or nil if none has been silent
// for longer than EvictionGrace, or UploadEvictionGrace in a body that is forwarded. A connection with an unanswered request
// that has been received is not eligible.
func (s *Server) evictionCandidate() *Conn {
	now := s.loop.Now()
	var candidate *Conn
	longest := time.Duration(0)
	consider := func(l *connList, weight, grace time.Duration) {
		if c := l.first; c != nil && now-c.lastReadAt > grace && weight*(now-c.lastReadAt) > longest {
			candidate, longest = c, weight*(now-c.lastReadAt)
		}
	}
	consider(&s.newConns, newConnWeight, s.bounds.EvictionGrace)
	consider(&s.receiving, 1, s.bounds.EvictionGrace)
	consider(&s.uploading, 1, s.bounds.UploadEvictionGrace)
	if s.newConns.length+s.receiving.length <= s.bounds.MaxDownstreamConns/2 {
		consider(&s.idle, servedConnWeight, s.bounds.EvictionGrace)
	}
	return candidate
}

// Factors by which evictionCandidate multiplies the time that a connection has been silent. For a connection that is
// sending a request the factor is 1.
const (
	newConnWeight    = 4 // not served yet, and no request begun
	servedConnWeight = 2 // served, and no request begun
)

// pauseAccepting leaves new connections in the kernel's queue until a connection closes or EvictionGrace has passed. The
// cause is only logged.
func (s *Server) pauseAccepting(cause string) {
	s.acceptFailed = true
	if s.acceptPaused {
		return
	}
	s.acceptPaused = true
	if now := s.loop.Now(); s.pauseLoggedAt == 0 || now-s.pauseLoggedAt > pauseLogInterval {
		s.pauseLoggedAt = now
		s.log.Warn("accepting paused", "connections", len(s.conns), "cause", cause)
	}
	for _, ln := range s.listeners {
		ln.source.SetEvents(0)
	}
	s.loop.After(s.bounds.EvictionGrace, s.resumeAccepting)
}

// pauseLogInterval is the minimum time between two log records of a pause, since a flood causes many pauses.
const pauseLogInterval = 10 * time.Second

// resumeAccepting ends a pause, unless the server is suspended or its listeners are closed.
func (s *Server) resumeAccepting() {
	if s.acceptPaused && !s.listenersClosed && !s.suspended {
		s.acceptPaused = false
		s.watchListeners()
	}
}

// watchListeners polls the listeners again.
func (s *Server) watchListeners() {
	for _, ln := range s.listeners {
		ln.armedPoll = s.loop.PollCount()
		ln.source.SetEvents(loop.In)
	}
}
