// Package downstream holds the client side: listeners and client connections.
package downstream

import (
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Handler is given the requests of its listener. It answers each with one [Conn.Reply], at once or later.
type Handler interface {
	HandleRequest(c *Conn, r *http1.Request)
	HandleClientGone(c *Conn)   // the client of an unanswered request has gone
	HandleBodyComplete(c *Conn) // the body of a request that was open has come to its end
	HandleMalformed(c *Conn, status int, what string)
}

// Server holds all client connections, of every front, and their common bound.
type Server struct {
	loop      *loop.Loop
	lim       limits.Limits
	log       *slog.Logger
	listeners []*listener
	conns     map[*Conn]struct{}
	fresh     list // connections that have shown nothing yet, the oldest first
	begun     list // those of which part of a request has come, longest without more of it first
	idle      list // connections between requests, longest idle first
	leaving   list // those whose answer is all that is left, the oldest first
	paused    bool // listeners are not watched: no descriptors
	shut      bool // a connection could not be accepted since this was last set to false
	draining  bool
	closed    bool          // no new connections
	toldAt    time.Duration // when the operator was last told of a pause
	held      bool          // nobody is read: another process is about to take over
	hand      func(ConnState, int)
	debugs    bool   // the log takes debug lines
	accepted  uint64 // connections, from the start
	uploads   int    // requests whose bodies are passed on while they come
	elsewhere int    // connections that another process holds
}

// New returns a server without listeners.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger) *Server {
	s := &Server{loop: l, lim: lim, log: log, conns: map[*Conn]struct{}{}, debugs: core.DebugEnabled(log)}
	l.After(sweepEvery, s.sweep)
	return s
}

// sweepEvery is how often connections are checked for having been silent too long.
const sweepEvery = 250 * time.Millisecond

func (s *Server) sweep() {
	s.loop.After(sweepEvery, s.sweep)
	now := s.loop.Now()
	for c := range s.conns {
		switch {
		case c.lingering && now-c.since > c.lingerTime():
			c.drop(closedLingered)
		case c.down != nil:
			if now-c.down.moved > s.lim.RelayStallTimeout {
				c.gone(closedNoProgress)
			}
		case c.up != nil && c.slow(now):
			c.cut()
			c.malformed(408, "request not whole in time")
		case s.held: // not read, so what it has not shown is not its fault
		case c.busy || c.lingering:
		case c.parser.HasMessageStarted():
			if now-c.since > s.lim.RequestTimeout(c.parser.BodyBytesRead()) {
				c.malformed(408, "request not whole in time")
			}
		case !c.served && now-c.opened > s.lim.FirstRequestTimeout, now-c.since > s.lim.DownstreamIdleTimeout:
			c.finishUnlessAsked(closedIdle)
		}
	}
}

// Drain begins the end: every answer from now on closes its connection.
func (s *Server) Drain() { s.draining = true }

// IsAccepting tells whether new connections are taken and read.
func (s *Server) IsAccepting() bool {
	return len(s.listeners) > 0 && !s.held && !s.closed && !s.draining
}

// OpenConnections tells how many are open.
func (s *Server) OpenConnections() int { return len(s.conns) }

// Conn is one client connection. It carries one request at a time; what a client sends ahead waits.
type Conn struct {
	StreamID    uint64 // the front's mark of the request that is being answered
	TraceParent string // traceparent that its answer gives back, empty for none

	s          *Server
	number     uint64 // in the log
	src        *loop.Source
	ln         *listener
	parser     *http1.RequestParser
	out        []byte        // not written yet
	since      time.Duration // idle, or ending; of a request that has begun, its first byte
	opened     time.Duration
	moved      time.Duration // bytes last came
	arrivals   arrivals      // of what is not parsed yet
	came       time.Duration // when the last byte of the present request did
	served     bool          // it has had an answer that is no complaint
	dropped    int           // bytes read after the end
	dumped     int           // of what was sent too far ahead
	unread     bool          // of a request that was answered before it had come
	busy       bool          // a request awaits its answer
	head       bool          // its method is HEAD
	old        bool          // it is of HTTP/1.0
	up         *upload       // of the present request's body, nil if it is whole
	down       *download     // of the present answer's, nil if it was given whole
	last       bool          // close after the present answer
	lingering  bool          // our side has ended; what still comes is read and dropped
	parsing    bool
	prev, next *Conn // in the list that it is in
	in         *list
}

// Now is the time of this turn.
func (c *Conn) Now() time.Duration { return c.s.loop.Now() }

// RequestAge is how long ago the present request came: its client's patience began then.
func (c *Conn) RequestAge() time.Duration { return max(0, c.Now()-c.came) }

func (c *Conn) setIdle() {
	c.since = c.s.loop.Now()
	c.moved = c.since
	c.parser.ReleaseIdleBuffers()
	c.list()
}

// list enters a connection on which nothing is owed among those that may have to make room.
func (c *Conn) list() {
	switch {
	case c.parser.HasMessageStarted():
		c.s.begun.push(c)
	case c.served:
		c.s.idle.push(c)
	default:
		c.s.fresh.push(c)
	}
}

// Ready reads, writes, or learns that the client has gone.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 && !c.flush() {
		return
	}
	if c.lingering {
		c.discard()
		return
	}
	switch {
	case events&loop.HangupOrError != 0: // whatever of it is not read yet
		c.gone(closedReset)
	case events&loop.ReadHangup != 0 && c.stuck():
		c.left()
	case c.s.held && !c.busy: // what has come is read by whoever goes on with the connection
	case events&(loop.In|loop.Hangup) != 0:
		c.read()
	}
}

// gone: the client has closed, or the connection is of no more use to it.
func (c *Conn) gone(why closeReason) {
	busy := c.busy
	if c.up != nil {
		c.up.pipe.CloseWrite(false)
		c.noUpload()
	}
	c.drop(why)
	if busy {
		c.busy = false
		c.ln.front.HandleClientGone(c)
	}
}

func (c *Conn) drop(why closeReason) {
	if c.src.FD() < 0 {
		return
	}
	c.traceClosed(why)
	c.src.Close()
	c.dropUpload()
	if c.down != nil {
		c.down.pipe.CloseRead()
		c.down = nil
	}
	c.unlist()
	delete(c.s.conns, c)
	c.s.resume()
}
