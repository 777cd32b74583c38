// Package downstream accepts client connections, reads HTTP requests from them, and writes the responses.
//
// A [Server] owns all listeners and connections. Everything runs on the goroutine of one event loop; no method may be
// called from another goroutine, and none blocks. The package never decides how a request is answered: it passes each
// one to the [Handler] of its listener, which also learns when a connection fails before the response.
package downstream

import (
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// Handler receives the requests of a listener. It answers each one with a single [Conn.Reply] or [Conn.Relay], at once
// or later.
type Handler interface {
	// HandleRequest is called with each request. The body of a streamed request (r.IsStreamed) is still being received.
	HandleRequest(c *Conn, r *http1.Request)

	// HandleClientGone is called when a request is given up before its response is complete: the client has
	// disconnected, or the body of a streamed request is invalid or too slow. In the latter cases HandleMalformed
	// follows. If the response is already being relayed, c.StreamID is 0.
	HandleClientGone(c *Conn)

	// HandleBodyComplete is called when the body of a streamed, unanswered request has been received completely.
	HandleBodyComplete(c *Conn)

	// HandleMalformed is called for input that is not a valid request, or a request that arrives too slowly. status
	// and message are the status code and the text of the error response, which the handler sends with [Conn.Reply].
	HandleMalformed(c *Conn, status int, message string)
}

// Server holds the client connections of all listeners and enforces their common limit.
type Server struct {
	loop      *loop.Loop
	bounds    limits.Limits
	log       *slog.Logger
	listeners []*clientListener
	conns     map[*Conn]struct{}

	// The connections that may be evicted, by state, each list with the first candidate in front.
	newConns  connList // not served yet, and no request begun; oldest first
	receiving connList // part of a request received; longest without input first
	uploading connList // part of a forwarded request body received, and room for more; longest without input first
	idle      connList // served, and no request begun; longest idle first
	lingering connList // last response written and sending side closed; oldest first

	acceptPaused     bool              // the listeners are not polled, at the connection limit or for lack of a resource
	acceptFailed     bool              // an accept has failed since this was last cleared
	draining         bool              // every response closes its connection
	listenersClosed  bool              // no new connections are accepted
	pauseLoggedAt    time.Duration     // last time that an accept pause was logged
	suspended        bool              // no new input is read while another process takes over
	receiver         Receiver          // takes over the connections; nil: no handover
	debugEnabled     bool              // the log accepts debug records
	acceptedTotal    uint64            // connections accepted or adopted since the start
	evictedTotal     uint64            // connections closed to make room for others
	refusedForMemory uint64            // requests refused because there was no memory for them
	uploadWindows    int               // bytes granted to the pipes of request bodies that are forwarded
	memory           *membudget.Budget // nil: not limited
	memoryWaiters    []*Conn           // not read until there is room, longest waiting first
	memoryTimer      *loop.Timer       // calls admitMemoryWaiters; nil: not due
	memoryLoggedAt   time.Duration     // last time that a shortage of memory was logged
	handOverTimer    *loop.Timer       // calls handOverIdle; nil: not due
	predecessorConns int               // client connections that the predecessor process still holds
}

// New returns a server without listeners that runs on the given loop.
func New(l *loop.Loop, bounds limits.Limits, log *slog.Logger) *Server {
	s := &Server{loop: l, bounds: bounds, log: log, conns: map[*Conn]struct{}{}, debugEnabled: core.DebugEnabled(log)}
	l.After(sweepInterval, s.sweep)
	return s
}

// sweepInterval is the time between two checks of all connections for timeouts.
const sweepInterval = 250 * time.Millisecond

// sweep enforces the timeouts of all connections: linger, relay progress, request arrival and idle.
func (s *Server) sweep() {
	s.loop.After(sweepInterval, s.sweep)
	now := s.loop.Now()
	for c := range s.conns {
		switch {
		case c.blockedSince != 0 && now-c.blockedSince > s.bounds.RelayStallTimeout:
			c.disconnect(closedNoProgress)
		case c.lingering:
			if len(c.unsent) == 0 && now-c.phaseSince > c.lingerTimeout() {
				c.close(closedLingerTimeout)
			}
		case c.relay != nil:
		case c.upload != nil && c.isUploadTooSlow(now):
			c.abortUpload()
			c.rejectRequest(408, "request not whole in time")
		case c.memoryWaitSince != 0: // see admitMemoryWaiters
		case s.suspended: // nothing is read, so missing input is not the client's fault
		case c.awaitingResponse:
		case len(c.unsent) > 0: // the next request is not parsed before the response is written
		case c.parser.HasMessageStarted():
			if now-c.phaseSince > s.bounds.RequestTimeout(c.parser.BodyBytesRead()) {
				c.rejectRequest(408, "request not whole in time")
			}
		case !c.wasServed && now-c.openedAt > s.bounds.FirstRequestTimeout, now-c.phaseSince > s.bounds.DownstreamIdleTimeout:
			c.closeIfIdle(closedIdle)
		}
	}
}

// Drain starts the shutdown: every response from now on closes its connection.
func (s *Server) Drain() { s.draining = true }

// IsAccepting reports whether new connections are accepted and read.
func (s *Server) IsAccepting() bool {
	return len(s.listeners) > 0 && !s.suspended && !s.listenersClosed && !s.draining
}

// Counts are totals since the start of the process.
type Counts struct {
	Accepted, Evicted uint64 // connections
	RefusedForMemory  uint64 // requests
}

// Counts returns the totals so far.
func (s *Server) Counts() Counts { return Counts{s.acceptedTotal, s.evictedTotal, s.refusedForMemory} }

// OpenConnections returns the number of client connections that this process holds.
func (s *Server) OpenConnections() int { return len(s.conns) }

// Conn is one client connection. It carries one request at a time; pipelined requests wait in the buffer.
type Conn struct {
	exchange

	server   *Server
	id       uint64 // number of the connection in the log
	source   *loop.Source
	listener *clientListener
	parser   *http1.RequestParser
	unsent   []byte // response bytes that the socket has not taken yet

	memory          membudget.Account
	unsentHeld      int           // size of the buffer that unsent is a part of
	memoryWaitSince time.Duration // since when the connection waits for memory; 0: it does not
	hasBodyRoom     bool          // there is room for the rest of the body that is being received

	// blockedSince is when the client last took bytes of what waits to be written, or when the socket was first full; 0:
	// nothing waits.
	blockedSince time.Duration

	// phaseSince is when the current phase began: idle and the last response written, receiving a request (its first byte),
	// or lingering and all output written.
	phaseSince time.Duration
	openedAt   time.Duration
	lastReadAt time.Duration // last time that bytes were received, or that the connection became idle

	arrivals arrivals // arrival times of the buffered input
	unread   unreadInput

	wasServed      bool // has had a response other than a client error; 429 counts as served
	discardedBytes int  // input bytes discarded while lingering
	overflowBytes  int  // pipelined bytes discarded because they exceeded the buffer
	hasUnreadBody  bool // a request was answered or given up before its body had been received

	closeAfterResponse bool        // the current response is the last one
	lingering          bool        // no more is sent after unsent; input is read and discarded
	parsing            bool        // parseRequests is on the call stack
	parseTimer         *loop.Timer // calls continueParsing in the next turn; nil: not due

	prev, next *Conn     // neighbors in list
	list       *connList // the list that holds the connection; nil: none
}

// exchange is the state of one request on a connection, and of its response. A connection begins each with a new exchange,
// so that nothing of one request affects the next.
type exchange struct {
	// StreamID identifies the stream of the current request. The handler sets it; the response clears it.
	StreamID uint64

	// TraceParent is the traceparent header of the next response; empty: none. The handler sets it.
	TraceParent string

	awaitingResponse bool          // the request is unanswered or its response is being relayed
	arrivedAt        time.Duration // arrival of the last parsed byte of the request
	isHead           bool          // the method is HEAD
	isHTTP10         bool          // the protocol is HTTP/1.0

	upload   *bodyUpload    // the request body that is still being received; nil: none
	bodyPipe *flow.Pipe     // of a streamed request, also when its body has been received; nil: none
	relay    *responseRelay // the response body that is still being relayed; nil: none
}

// Now returns the time of the current loop turn.
func (c *Conn) Now() time.Duration { return c.server.loop.Now() }

// RequestAge returns the time since the current request arrived: its last byte or, if its body is streamed, the last byte
// that was parsed before HandleRequest. The timeout that the client sends with the request runs from then.
func (c *Conn) RequestAge() time.Duration { return max(0, c.Now()-c.arrivedAt) }

// setIdle starts the idle phase after a response, or the time of the request that has begun behind it.
func (c *Conn) setIdle() {
	c.phaseSince = c.server.loop.Now()
	c.lastReadAt = c.phaseSince
	c.parser.ReleaseIdleBuffers()
	c.bodyPipe = nil
	c.updateMemory()
	c.addToEvictionList()
}

// addToEvictionList makes a connection without an unanswered request eligible for eviction, once its last response is
// written.
func (c *Conn) addToEvictionList() {
	switch {
	case len(c.unsent) > 0:
	case c.parser.HasMessageStarted():
		c.server.receiving.push(c)
	case c.wasServed:
		c.server.idle.push(c)
	default:
		c.server.newConns.push(c)
	}
}

// Ready handles the connection's readiness events: it writes, reads, or detects that the client has disconnected. A client
// that has closed its sending side may count as gone whatever of its input is unread; see hasDeparted.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 && !c.flush() {
		return
	}
	if c.lingering {
		c.discardInput()
		return
	}
	switch {
	case events&loop.FullHangup != 0: // unread input is useless, since no response can be sent
		c.disconnect(closedReset)
	case events&loop.ReadHangup != 0 && c.hasDeparted():
		c.endForDepartedClient()
	case c.server.suspended && !c.awaitingResponse: // the process that continues the connection reads its input
	case events&(loop.In|loop.Hangup) != 0:
		c.read()
	}
}

// disconnect closes a connection that is gone or useless to its client, and notifies the handler if a request is
// unanswered.
func (c *Conn) disconnect(reason closeReason) {
	awaitingResponse := c.awaitingResponse
	if c.upload != nil {
		c.upload.pipe.CloseWrite(false)
		c.clearUpload()
	}
	c.close(reason)
	if awaitingResponse {
		c.awaitingResponse = false
		c.listener.handler.HandleClientGone(c)
	}
}

// close closes the socket at once and releases what the connection holds. It does not notify the handler.
func (c *Conn) close(reason closeReason) {
	if c.source.FD() < 0 {
		return
	}
	c.traceClosed(reason)
	c.source.Close()
	c.discardUpload()
	if c.relay != nil {
		c.relay.pipe.CloseRead()
		c.relay = nil
	}
	c.removeFromList()
	c.memory.Set(0)
	delete(c.server.conns, c)
	c.server.resumeAccepting()
}
