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

// closeGracefully ends our side once all is written. The other side is read on for a while: to close on bytes
// not read would reset the connection and could destroy the answer on its way.
func (c *Conn) closeGracefully(why closeReason) {
	if c.lingering || c.source.FD() < 0 {
		return
	}
	c.removeFromList()
	c.traceClosing(why)
	c.lingering, c.phaseSince = true, c.server.loop.Now()
	if len(c.unsent) == 0 {
		c.shutdownWrite()
	}
	c.updateEvents()
}

func (c *Conn) shutdownWrite() {
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.close(closeReason(err.Error()))
		return
	}
	c.server.lingering.push(c)
}

// discardInput reads what still comes, one read a turn and not without end: a client that sends on and on must not
// hold the loop.
func (c *Conn) discardInput() {
	n, err := loop.Read(c.source.FD(), c.server.loop.ReadBuffer())
	c.discardedBytes += n
	switch {
	case errors.Is(err, loop.ErrAgain):
	case errors.Is(err, io.EOF) && len(c.unsent) > 0:
		c.source.SetEvents(loop.Out) // the client has ended its side and still takes the answer
	case err != nil, c.discardedBytes > c.server.bounds.LingerBytes && !c.hasUnreadBody, c.discardedBytes > c.server.bounds.BodyBytes+c.server.bounds.LingerBytes:
		c.close(closedAfterLinger)
	}
}

// maxCloseRetries and closeRetryInterval are how often and how far apart the last connections are tried to be accepted while the
// machine is short of something. Closed before, the listener would reset them with the requests that they have sent.
const (
	maxCloseRetries    = 25
	closeRetryInterval = 20 * time.Millisecond
)

// CloseListeners takes what still waits to be accepted, then takes no more, and ends idle connections. See Closed.
func (s *Server) CloseListeners() { s.closeListeners(maxCloseRetries) }

// ListenersClosed tells whether no new connections are taken any more.
func (s *Server) ListenersClosed() bool { return s.listenersClosed }

func (s *Server) closeListeners(retries int) {
	if s.listenersClosed {
		return
	}
	s.acceptPending()
	s.closeIdle()
	s.acceptFailed = false
	s.acceptPending() // where all places were taken, those that end here make room for whoever still waits
	if s.acceptFailed && retries > 0 {
		s.loop.After(closeRetryInterval, func() { s.closeListeners(retries - 1) })
		return
	}
	s.listenersClosed = true
	for _, ln := range s.listeners {
		// Another process of this ingress may hold the socket, too. Closed here alone, it would stay in our epoll
		// and be told of for as long as anybody waits to be accepted.
		ln.source.Unwatch()
		ln.source.Close()
	}
	s.closeIdle()
}

// closeIdle ends the connections on which nothing has come.
func (s *Server) closeIdle() {
	for c := range s.conns {
		c.closeIfIdle(closedDraining)
	}
}

// closeIfIdle ends a connection between requests, unless one has come that was not read yet: that is answered.
func (c *Conn) closeIfIdle(why closeReason) {
	if c.awaitingResponse || c.lingering {
		return
	}
	c.read()
	if !c.awaitingResponse && !c.lingering && !c.parser.HasMessageStarted() {
		c.closeGracefully(why)
	}
}

// acceptPending takes all that waits and there is room for. Where one can't be accepted, it sets shut.
func (s *Server) acceptPending() {
	for _, ln := range s.listeners {
		ln.accept(math.MaxInt)
	}
}

// AbortCloseDelimitedRelays ends the connections whose answers are still on their way and would pass for whole as the process ends.
func (s *Server) AbortCloseDelimitedRelays() {
	for c := range s.conns {
		if c.relay != nil && c.relay.framing == http1.FramedByClose {
			c.abortRelay()
		}
	}
}
