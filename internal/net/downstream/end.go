package downstream

import (
	"errors"
	"io"
	"math"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// The end of a connection, and of all of them.

// finish ends our side once all is written. The other side is read on for a while: to close on bytes
// not read would reset the connection and could destroy the answer on its way.
func (c *Conn) finish(why closeReason) {
	if c.lingering || c.src.FD() < 0 {
		return
	}
	c.unlist()
	c.traceEnding(why)
	c.lingering, c.since = true, c.s.loop.Now()
	if len(c.out) == 0 {
		c.endSending()
	}
	c.want()
}

func (c *Conn) endSending() {
	if err := loop.CloseWrite(c.src.FD()); err != nil {
		c.drop(closeReason(err.Error()))
		return
	}
	c.s.leaving.push(c)
}

// discard reads what still comes, one read a turn and not without end: a client that sends on and on must not
// hold the loop.
func (c *Conn) discard() {
	n, err := loop.Read(c.src.FD(), c.s.loop.ReadBuffer())
	c.dropped += n
	switch {
	case errors.Is(err, loop.ErrAgain):
	case errors.Is(err, io.EOF) && len(c.out) > 0:
		c.src.SetEvents(loop.Out) // the client has ended its side and still takes the answer
	case err != nil, c.dropped > c.s.lim.MaxLingerBytes && !c.unread, c.dropped > c.s.lim.MaxBodyBytes+c.s.lim.MaxLingerBytes:
		c.drop(closedAfterEnd)
	}
}

// closeRetries and closeEvery are how often and how far apart the last connections are tried to be accepted while the
// machine is short of something. Closed before, the listener would reset them with the requests that they have sent.
const (
	closeRetries = 25
	closeEvery   = 20 * time.Millisecond
)

// CloseListeners takes what still waits to be accepted, then takes no more, and ends idle connections. See Closed.
func (s *Server) CloseListeners() { s.closeListeners(closeRetries) }

// ListenersClosed tells whether no new connections are taken any more.
func (s *Server) ListenersClosed() bool { return s.closed }

func (s *Server) closeListeners(retries int) {
	if s.closed {
		return
	}
	s.acceptAll()
	s.endIdle()
	s.shut = false
	s.acceptAll() // where all places were taken, those that end here make room for whoever still waits
	if s.shut && retries > 0 {
		s.loop.After(closeEvery, func() { s.closeListeners(retries - 1) })
		return
	}
	s.closed = true
	for _, ln := range s.listeners {
		// Another process of this ingress may hold the socket, too. Closed here alone, it would stay in our epoll
		// and be told of for as long as anybody waits to be accepted.
		ln.src.Unwatch()
		ln.src.Close()
	}
	s.endIdle()
}

// endIdle ends the connections on which nothing has come.
func (s *Server) endIdle() {
	for c := range s.conns {
		c.finishUnlessAsked(closedDraining)
	}
}

// finishUnlessAsked ends a connection between requests, unless one has come that was not read yet: that is answered.
func (c *Conn) finishUnlessAsked(why closeReason) {
	if c.busy || c.lingering {
		return
	}
	c.read()
	if !c.busy && !c.lingering && !c.parser.HasMessageStarted() {
		c.finish(why)
	}
}

// acceptAll takes all that waits and there is room for. Where one can't be accepted, it sets shut.
func (s *Server) acceptAll() {
	for _, ln := range s.listeners {
		ln.accept(math.MaxInt)
	}
}

// AbortCloseDelimitedRelays ends the connections whose answers are still on their way and would pass for whole as the process ends.
func (s *Server) AbortCloseDelimitedRelays() {
	for c := range s.conns {
		if c.down != nil && c.down.framing == http1.FramedByClose {
			c.abort()
		}
	}
}
