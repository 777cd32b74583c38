package upstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// Gone reports whether part of a forwarded body has been written to a host, or encoded for it. That part is not kept, so
// the message can't be sent again.
func (m *Message) Gone() bool { return m.BodyPipe != nil && m.BodyPipe.HasConsumed() }

// RelayedBody returns the pipe with the body of an answer that is being relayed, or nil if the answer is complete.
func RelayedBody(a core.Answer) *flow.Pipe {
	p, _ := a.Rest.(*flow.Pipe)
	return p
}

// attachBody makes the connection the reader of a request body that is still being received.
func (c *conn) attachBody(pipe *flow.Pipe) {
	c.body, c.bodyProgressAt = pipe, c.pool.loop.Now()
	pipe.OnData = func() {
		if c.isConnected && c.message == nil && c.source.FD() >= 0 && !c.hasUnwritten() {
			c.flush()
		}
	}
}

// detachBody stops reading the request body. Another upstream request may send it if none of it has been consumed.
func (c *conn) detachBody() {
	if c.body != nil {
		c.body.OnData = nil
		c.body = nil
	}
}

// writeBody writes the available part of a request body of known length, or encodes that of a body of unknown length as
// a chunk into unsent. It reports whether unsent must be written. If not, the body is complete, more of it has to be
// received, or the socket takes no more.
func (c *conn) writeBody() (mustFlush bool, err error) {
	if c.body == nil {
		return false, nil
	}
	b := c.body.Bytes()
	if c.body.ContentLength >= 0 {
		n, err := loop.Write(c.source.FD(), b)
		if n > 0 {
			c.bodyProgressAt = c.pool.loop.Now()
		}
		c.body.Consume(n)
		if c.body.IsComplete() {
			c.detachBody()
		}
		return false, err
	}
	if len(b) == 0 && !c.body.IsComplete() {
		return false, nil
	}
	b = b[:min(len(b), maxChunkBytes)]
	c.unsent = http1.AppendChunk(make([]byte, 0, len(b)+24), b)
	c.body.Consume(len(b))
	if c.body.IsComplete() {
		c.unsent = http1.AppendLastChunk(c.unsent)
		c.detachBody()
	}
	c.unsentHeld = cap(c.unsent)
	return true, nil
}

// maxChunkBytes bounds a chunk, of which an encoded copy is held until the host has taken it.
const maxChunkBytes = 16 << 10

// relay is a response body that is forwarded while it is being received.
type relay struct {
	pipe       *flow.Pipe
	progressAt time.Duration // last time that the host sent bytes, or that the pipe was full
}

// startRelay reports the outcome of a request whose response body is still being received, together with a pipe into
// which the connection goes on moving the body. If the reader closes the pipe, the connection is closed.
func (c *conn) startRelay(resp *http1.Response) {
	c.traceRelayStarted(len(resp.Body))
	ref := c.ref
	c.earlyRelayTimer.Stop()
	delete(c.pool.active, ref)
	pipe := flow.New(c.pool.relayWindow(), resp.ContentLength)
	c.relay = &relay{pipe: pipe, progressAt: c.pool.loop.Now()}
	c.closeAfterRelay = resp.Close || c.hasUnwritten() || c.body != nil
	c.detachBody()
	c.pool.relays[c] = struct{}{}
	c.pool.relayWindows += pipe.Window()
	pipe.OnFreeSpace = func() {
		if pipe.IsReadClosed() {
			c.clearRelay()
			c.close(errClientGone)
			return
		}
		c.updateRelayEvents()
	}
	pipe.Append(resp.Body)
	c.parser.ReleaseBodyBuffers()
	c.pool.reportOutcome(ref, c.isProbe, responseOutcome(resp),
		core.Answer{ContentType: resp.Headers.Get("Content-Type"), Rest: pipe, Billed: chargedUnits(resp)})
	if c.relay != nil {
		c.pumpRelay()
	}
}

// relayWindow returns the window of a further response body.
func (p *Pool) relayWindow() int {
	if p.memory.Level(0) != membudget.Ample {
		return p.bounds.RelayWindow(p.bounds.MaxRelayBufferBytes)
	}
	return p.bounds.RelayWindow(p.relayWindows)
}

// pumpRelay moves received bytes of the response body into the pipe.
func (c *conn) pumpRelay() {
	b, complete, err := c.parser.NextBodyPart()
	if err != nil {
		c.fail(err)
		return
	}
	r := c.relay
	r.progressAt = c.pool.loop.Now()
	r.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if complete && c.relay == r {
		c.finishRelay()
		return
	}
	c.updateRelayEvents()
}

// updateRelayEvents polls for input while the pipe has space.
func (c *conn) updateRelayEvents() {
	if c.relay == nil || c.source.FD() < 0 {
		return
	}
	if c.relay.pipe.FreeSpace() == 0 {
		c.source.SetEvents(0) // a reset is reported all the same
		return
	}
	c.source.SetEvents(loop.In | loop.Hangup)
}

// finishRelay ends a relay whose body is complete. The connection becomes idle if it can be reused.
func (c *conn) finishRelay() {
	pipe := c.relay.pipe
	c.clearRelay()
	if c.closeAfterRelay || c.parser.Buffered() > 0 {
		c.close(errNotReusable)
	} else {
		c.keepIdle()
	}
	pipe.CloseWrite(true)
	c.parser.ReleaseIdleBuffers()
}

// clearRelay detaches the pipe of the relay from the connection.
func (c *conn) clearRelay() {
	c.pool.relayWindows -= c.relay.pipe.Window()
	c.relay.pipe.OnFreeSpace = nil
	c.relay, c.hasRequest = nil, false
	delete(c.pool.relays, c)
}

// failStalled fails transfers that make no progress for RelayStallTimeout: the host sends nothing more of a relayed
// response body, or takes nothing more of a request whose body is still being received or written.
func (p *Pool) failStalled(now time.Duration) {
	for c := range p.relays {
		if c.relay.pipe.FreeSpace() == 0 {
			c.relay.progressAt = now
		} else if now-c.relay.progressAt > p.bounds.RelayStallTimeout {
			c.fail(errNoProgress)
		}
	}
	for _, c := range p.active {
		// Either no body is left to read, or the client has to send more of it, for which downstream has a timeout.
		if c.body == nil || !c.hasUnwritten() && len(c.body.Bytes()) == 0 {
			c.bodyProgressAt = now
		} else if c.isConnected && now-c.bodyProgressAt > p.bounds.RelayStallTimeout {
			c.fail(errNoProgress)
		}
	}
}
