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
	loop             *loop.Loop
	bounds           limits.Limits
	log              *slog.Logger
	listeners        []*clientListener
	conns            map[*Conn]struct{}
	newConns         connList // connections that have shown nothing yet, the oldest first
	receiving        connList // those of which part of a request has come, longest without more of it first
	idle             connList // connections between requests, longest idle first
	lingering        connList // those whose answer is all that is left, the oldest first
	acceptPaused     bool     // listeners are not watched: no descriptors
	acceptFailed     bool     // a connection could not be accepted since this was last set to false
	draining         bool
	listenersClosed  bool          // no new connections
	pauseLoggedAt    time.Duration // when the operator was last told of a pause
	suspended        bool          // nobody is read: another process is about to take over
	transfer         func(ConnState, int)
	debugEnabled     bool   // the log takes debug lines
	acceptedTotal    uint64 // connections, from the start
	activeUploads    int    // requests whose bodies are passed on while they come
	predecessorConns int    // connections that another process holds
}

// New returns a server without listeners.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger) *Server {
	s := &Server{loop: l, bounds: lim, log: log, conns: map[*Conn]struct{}{}, debugEnabled: core.Debugs(log)}
	l.After(sweepInterval, s.sweep)
	return s
}

// sweepInterval is how often connections are checked for having been silent too long.
const sweepInterval = 250 * time.Millisecond

func (s *Server) sweep() {
	s.loop.After(sweepInterval, s.sweep)
	now := s.loop.Now()
	for c := range s.conns {
		switch {
		case c.lingering && now-c.phaseSince > c.lingerTimeout():
			c.close(closedLingerTimeout)
		case c.relay != nil:
			if now-c.relay.progressAt > s.bounds.FlowSilence {
				c.disconnect(closedNoProgress)
			}
		case c.upload != nil && c.isUploadTooSlow(now):
			c.abortUpload()
			c.rejectRequest(408, "request not whole in time")
		case s.suspended: // not read, so what it has not shown is not its fault
		case c.awaitingResponse || c.lingering:
		case c.parser.HasMessageStarted():
			if now-c.phaseSince > s.bounds.RequestTime(c.parser.BodyBytesRead()) {
				c.rejectRequest(408, "request not whole in time")
			}
		case !c.wasServed && now-c.openedAt > s.bounds.FirstTime, now-c.phaseSince > s.bounds.DownstreamIdle:
			c.closeIfIdle(closedIdle)
		}
	}
}

// Drain begins the end: every answer from now on closes its connection.
func (s *Server) Drain() { s.draining = true }

// IsAccepting tells whether new connections are taken and read.
func (s *Server) IsAccepting() bool {
	return len(s.listeners) > 0 && !s.suspended && !s.listenersClosed && !s.draining
}

// OpenConnections tells how many are open.
func (s *Server) OpenConnections() int { return len(s.conns) }

// Conn is one client connection. It carries one request at a time; what a client sends ahead waits.
type Conn struct {
	StreamID    uint64 // the front's mark of the request that is being answered
	TraceParent string // traceparent that its answer gives back, empty for none

	server             *Server
	id                 uint64 // in the log
	source             *loop.Source
	listener           *clientListener
	parser             *http1.RequestParser
	unsent             []byte        // not written yet
	phaseSince         time.Duration // idle, or ending; of a request that has begun, its first byte
	openedAt           time.Duration
	lastReadAt         time.Duration  // bytes last came
	arrivals           arrivals       // of what is not parsed yet
	requestArrivedAt   time.Duration  // when the last byte of the present request did
	wasServed          bool           // it has had an answer that is no complaint
	discardedBytes     int            // bytes read after the end
	overflowBytes      int            // of what was sent too far ahead
	hasUnreadBody      bool           // of a request that was answered before it had come
	awaitingResponse   bool           // a request awaits its answer
	isHead             bool           // its method is HEAD
	isHTTP10           bool           // it is of HTTP/1.0
	upload             *bodyUpload    // of the present request's body, nil if it is whole
	relay              *responseRelay // of the present answer's, nil if it was given whole
	closeAfterResponse bool           // close after the present answer
	lingering          bool           // our side has ended; what still comes is read and dropped
	parsing            bool
	prev, next         *Conn // in the list that it is in
	list               *connList
}

// Now is the time of this turn.
func (c *Conn) Now() time.Duration { return c.server.loop.Now() }

// RequestAge is how long ago the present request came: its client's patience began then.
func (c *Conn) RequestAge() time.Duration { return max(0, c.Now()-c.requestArrivedAt) }

func (c *Conn) setIdle() {
	c.phaseSince = c.server.loop.Now()
	c.lastReadAt = c.phaseSince
	c.parser.ReleaseIdleBuffers()
	c.addToEvictionList()
}

// addToEvictionList enters a connection on which nothing is owed among those that may have to make room.
func (c *Conn) addToEvictionList() {
	switch {
	case c.parser.HasMessageStarted():
		c.server.receiving.push(c)
	case c.wasServed:
		c.server.idle.push(c)
	default:
		c.server.newConns.push(c)
	}
}

// Ready reads, writes, or learns that the client has gone.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 && !c.flush() {
		return
	}
	if c.lingering {
		c.discardInput()
		return
	}
	switch {
	case events&loop.HangupOrError != 0: // whatever of it is not read yet
		c.disconnect(closedReset)
	case events&loop.ReadHangup != 0 && c.isUploadBlocked():
		c.closeBlockedUpload()
	case c.server.suspended && !c.awaitingResponse: // what has come is read by whoever goes on with the connection
	case events&(loop.In|loop.Hangup) != 0:
		c.read()
	}
}

// disconnect: the client has closed, or the connection is of no more use to it.
func (c *Conn) disconnect(why closeReason) {
	busy := c.awaitingResponse
	if c.upload != nil {
		c.upload.pipe.CloseWrite(false)
		c.clearUpload()
	}
	c.close(why)
	if busy {
		c.awaitingResponse = false
		c.listener.handler.HandleClientGone(c)
	}
}

func (c *Conn) close(why closeReason) {
	if c.source.FD() < 0 {
		return
	}
	c.traceClosed(why)
	c.source.Close()
	c.discardUpload()
	if c.relay != nil {
		c.relay.pipe.CloseRead()
		c.relay = nil
	}
	c.removeFromList()
	delete(c.server.conns, c)
	c.server.resumeAccepting()
}
