package downstream

import (
	"errors"
	"io"
	"math"
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// closeGracefully closes the sending side once all output is written, and then lingers: input is read for a while,
// because closing a socket with unread input resets the connection and can destroy the response in flight.
func (c *Conn) closeGracefully(reason closeReason) {
	if c.lingering || c.source.FD() < 0 {
		return
	}
	c.removeFromList()
	c.traceClosing(reason)
	c.lingering = true
	c.parser.Reset()
	c.hasBodyRoom, c.memoryWaitSince, c.bodyPipe = false, 0, nil
	if len(c.unsent) == 0 {
		c.shutdownWrite()
	}
	c.updateEvents()
}

// hasDeparted reports whether a client that has closed its sending side counts as gone at once: its request is in progress,
// it does not take its responses, or it has sent more than is buffered. Otherwise what it sent last is read first, as it may
// be a request that is answered at once.
func (c *Conn) hasDeparted() bool {
	return c.awaitingResponse || c.memoryWaitSince != 0 || len(c.unsent) > 0 || c.parser.Buffered() > c.maxBufferedBytes()
}

// endForDepartedClient ends the request of a client that has closed its sending side: it counts as gone at once, not only
// after its remaining input has been read. That input is read and discarded, because closing the socket with unread input
// would reset the connection. A response whose body is still arriving is not finished.
func (c *Conn) endForDepartedClient() {
	if c.relay != nil {
		c.disconnect(closedByClient)
		return
	}
	c.hasUnreadBody = c.hasUnreadBody || c.upload != nil
	if c.upload != nil {
		c.abortUpload()
	} else if c.awaitingResponse {
		c.listener.handler.HandleClientGone(c)
	}
	c.awaitingResponse = false
	c.closeGracefully(closedByClient)
}

// shutdownWrite closes the sending side, and starts the time of lingering. The connection may be evicted from then on.
func (c *Conn) shutdownWrite() {
	c.phaseSince = c.server.loop.Now()
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.close(closeReason(err.Error()))
		return
	}
	c.server.lingering.push(c)
}

// discardInput reads and discards input of a lingering connection. It does one read per turn and closes the connection
// after a maximum of bytes, so that a client that never stops sending can't block the loop. While a response is not
// written completely, such a client is not read, nor is one that has closed its sending side.
func (c *Conn) discardInput() {
	n, err := loop.Read(c.source.FD(), c.server.loop.ReadBuffer())
	c.discardedBytes += n
	isEnd := errors.Is(err, io.EOF) || c.exceedsLingerBytes()
	switch {
	case errors.Is(err, loop.ErrAgain):
	case isEnd && len(c.unsent) > 0:
		c.source.SetEvents(loop.Out)
	case isEnd, err != nil:
		c.close(closedAfterLinger)
	}
}

// exceedsLingerBytes reports whether more input has been discarded than a client may have on its way when it is answered.
func (c *Conn) exceedsLingerBytes() bool {
	limit := c.server.bounds.MaxLingerBytes
	if c.hasUnreadBody {
		limit += c.server.bounds.MaxBodyBytes
	}
	return c.discardedBytes > limit
}

// Closing the listeners is retried while a waiting connection can't be accepted, at the connection limit or because the
// machine lacks a resource. Closing at once would reset the waiting connections together with the requests that they
// have sent.
const (
	maxListenerCloseRetries    = 25
	listenerCloseRetryInterval = 20 * time.Millisecond
)

// CloseListeners accepts the connections that still wait, closes the listeners, and closes idle connections. It may
// take several turns to finish; [Server.ListenersClosed] reports when it has.
func (s *Server) CloseListeners() { s.closeListeners(maxListenerCloseRetries) }

// ListenersClosed reports whether the listeners are closed, so that no new connections are accepted.
func (s *Server) ListenersClosed() bool { return s.listenersClosed }

// closeListeners tries to close the listeners, and reschedules itself up to retries times while an accept fails.
func (s *Server) closeListeners(retries int) {
	if s.listenersClosed {
		return
	}
	s.acceptPending()
	s.closeIdle()
	s.acceptFailed = false
	s.acceptPending() // at the connection limit, the connections closed above make room for waiting ones
	if s.acceptFailed && retries > 0 {
		s.loop.After(listenerCloseRetryInterval, func() { s.closeListeners(retries - 1) })
		return
	}
	s.closeListenerSockets()
	s.closeIdle()
}

// closeListenerSockets closes the listeners, whatever waits there.
func (s *Server) closeListenerSockets() {
	s.listenersClosed = true
	for _, ln := range s.listeners {
		// Another process of this ingress may hold the socket, too. If it were only closed here, it would stay in the
		// epoll set of this process and be reported as ready for as long as any connection waits.
		ln.source.Unwatch()
		ln.source.Close()
	}
}

// closeIdle closes the connections that are idle and have no unread request.
func (s *Server) closeIdle() {
	for c := range s.conns {
		c.closeIfIdle(closedDraining)
	}
}

// closeIfIdle closes a connection that has no request. It reads first: a request that has arrived is answered instead.
func (c *Conn) closeIfIdle(reason closeReason) {
	if c.awaitingResponse || c.lingering || c.memoryWaitSince != 0 {
		return
	}
	c.read()
	if !c.awaitingResponse && !c.lingering && !c.parser.HasMessageStarted() && c.memoryWaitSince == 0 {
		c.closeGracefully(reason)
	}
}

// acceptPending accepts all waiting connections, up to the connection limit. It sets acceptFailed if one can't be
// accepted.
func (s *Server) acceptPending() {
	for _, ln := range s.listeners {
		ln.accept(math.MaxInt)
	}
}
