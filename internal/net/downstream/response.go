package downstream

import (
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Reply answers the current request with a complete response. It does nothing if the connection is closed or has no
// unanswered request.
func (c *Conn) Reply(status int, h http1.Headers, body []byte) {
	if c.source.FD() < 0 || !c.awaitingResponse {
		return
	}
	c.awaitingResponse, c.StreamID = false, 0
	h = c.withTraceParent(h)
	if c.upload != nil { // the rest of the request is read and discarded
		c.closeAfterResponse = true
		c.discardUpload()
	}
	c.wasServed = c.wasServed || status < 400 || status == 429 || status >= 500
	c.closeAfterResponse = c.closeAfterResponse || c.server.draining
	b := make([]byte, 0, responseHeadBytes+len(body))
	if !c.write(http1.AppendResponse(b, status, h, body, c.closeAfterResponse, c.isHead)) {
		return
	}
	c.finishResponse()
}

// responseHeadBytes is enough for the heads of most responses.
const responseHeadBytes = 256

// withTraceParent returns the headers with the traceparent header of the response added, if there is one.
func (c *Conn) withTraceParent(h http1.Headers) http1.Headers {
	if c.TraceParent != "" {
		h = append(h[:len(h):len(h)], http1.Header{Name: "traceparent", Value: c.TraceParent})
		c.TraceParent = ""
	}
	return h
}

// finishResponse continues after a response has been written or buffered: it closes the connection, hands it over, or
// processes the next request.
func (c *Conn) finishResponse() {
	if c.closeAfterResponse {
		c.closeGracefully(closedAfterResponse)
		return
	}
	c.setIdle()
	switch {
	case c.server.receiver != nil && !c.parsing:
		c.handOverOrWait()
	case c.server.suspended:
		c.updateEvents()
	case c.server.listenersClosed: // the response may have begun before the drain, without announcing the end
		c.closeIfIdle(closedDraining)
	case c.parser.Buffered() > 0 && !c.unread.isDrained && !c.parsing:
		c.parseNextTurn()
	case c.parser.Buffered() > 0:
		c.parseRequests()
	}
}

// write sends what the socket takes and keeps the rest, so that b belongs to the connection. It reports whether the
// connection is still open.
func (c *Conn) write(b []byte) bool {
	if len(c.unsent) > 0 {
		c.unsent = append(c.unsent, b...)
		c.unsentHeld = cap(c.unsent)
		return true
	}
	n, err := loop.Write(c.source.FD(), b)
	if err != nil {
		c.disconnect(closeReason(err.Error()))
		return false
	}
	if n < len(b) {
		c.unsent, c.unsentHeld = b[n:], cap(b)
		c.recordWrite(n)
		c.updateEvents()
	}
	return true
}

// flush sends buffered output, and continues a relay, a graceful close or the idle phase once all of it is sent. It
// reports whether the connection is still open.
func (c *Conn) flush() bool {
	n, err := loop.Write(c.source.FD(), c.unsent)
	if err != nil {
		c.disconnect(closeReason(err.Error()))
		return false
	}
	c.unsent = c.unsent[n:]
	c.recordWrite(n)
	if len(c.unsent) == 0 {
		c.unsent, c.unsentHeld = nil, 0
		switch {
		case c.lingering:
			c.shutdownWrite()
		case c.relay != nil:
			c.pumpRelay()
		case n > 0 && !c.awaitingResponse:
			c.startIdleTime()
			c.parseRequests()
		}
		if c.source.FD() < 0 {
			return false
		}
	}
	c.updateEvents()
	return true
}

// startIdleTime starts the idle phase of a connection whose last response has just been written, or the time for the rest of
// a request that has begun meanwhile.
func (c *Conn) startIdleTime() {
	c.phaseSince = c.server.loop.Now()
	if !c.parser.HasMessageStarted() {
		c.lastReadAt = c.phaseSince
	}
	c.addToEvictionList()
}

// hasUnwritten reports whether output waits until the socket takes it.
func (c *Conn) hasUnwritten() bool {
	return len(c.unsent) > 0 || c.relay != nil && len(c.relay.pipe.Bytes()) > 0
}

// recordWrite updates blockedSince after the socket has taken n bytes of output.
func (c *Conn) recordWrite(n int) {
	switch {
	case !c.hasUnwritten():
		c.blockedSince = 0
	case n > 0 || c.blockedSince == 0:
		c.blockedSince = c.server.loop.Now()
	}
}
