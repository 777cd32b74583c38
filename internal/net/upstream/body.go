package upstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Bodies that are passed on while they come: requests' to the host, answers' from it.

// Gone tells whether part of the body has been written and is held nowhere any more: such a message can't be sent
// again.
func (m *Message) Gone() bool { return m.BodyPipe != nil && m.BodyPipe.HasConsumed() }

// BodyPipe is what still comes of an answer.
func BodyPipe(a core.Answer) *flow.Pipe {
	p, _ := a.Rest.(*flow.Pipe)
	return p
}

// attachBody begins to take a request's body as it comes.
func (c *conn) attachBody(rest *flow.Pipe) {
	c.body, c.bodyProgressAt = rest, c.pool.loop.Now()
	rest.OnData = func() {
		if c.isConnected && c.source.FD() >= 0 && len(c.unsent) == 0 {
			c.flush()
		}
	}
}

// detachBody lets go of a request's body; another upstream request may go on with it, as long as none of it is gone.
func (c *conn) detachBody() {
	if c.body != nil {
		c.body.OnData = nil
		c.body = nil
	}
}

// writeBody writes what has come of the body, or puts it into out where it goes in chunks. It tells whether out is to be
// written again; if not, more of the body has to come first, or the host has to take some, or it is whole.
func (c *conn) writeBody() (again bool, err error) {
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
	c.unsent = http1.AppendChunk(make([]byte, 0, len(b)+24), b)
	c.body.Consume(len(b))
	if c.body.IsComplete() {
		c.unsent = http1.AppendLastChunk(c.unsent)
		c.detachBody()
	}
	return true, nil
}

// relay is the body of an answer that is passed on.
type relay struct {
	pipe       *flow.Pipe
	progressAt time.Duration // when the host last gave some, or there was no room for it
}

// startRelay passes an answer on of which more comes. For its stream that is the answer; the connection goes on with it.
func (c *conn) startRelay(resp *http1.Response) {
	if c.failPossibleDuplicate(resp) {
		return
	}
	ref := c.ref
	c.earlyRelayTimer.Stop()
	delete(c.pool.active, ref)
	pipe := flow.New(c.pool.bounds.Window(len(c.pool.relays)), resp.ContentLength)
	c.relay = &relay{pipe: pipe, progressAt: c.pool.loop.Now()}
	c.closeAfterRelay = resp.Close || len(c.unsent) > 0 || c.body != nil
	c.detachBody()
	c.pool.relays[c] = struct{}{}
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
	c.pool.reportOutcome(ref, c.isProbe, responseOutcome(resp), core.Answer{ContentType: resp.Headers.Get("Content-Type"), Rest: pipe})
	if c.relay != nil {
		c.pumpRelay()
	}
}

// pumpRelay moves on what has come of the answer.
func (c *conn) pumpRelay() {
	b, whole, err := c.parser.NextBodyPart()
	if err != nil {
		c.fail(err)
		return
	}
	r := c.relay
	r.progressAt = c.pool.loop.Now()
	r.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if whole && c.relay == r {
		c.finishRelay()
		return
	}
	c.updateRelayEvents()
}

// updateRelayEvents reads on where there is room.
func (c *conn) updateRelayEvents() {
	if c.relay == nil || c.source.FD() < 0 {
		return
	}
	if c.relay.pipe.FreeSpace() == 0 {
		c.source.SetEvents(0) // a reset is told all the same
		return
	}
	c.source.SetEvents(loop.In | loop.Hangup)
}

// finishRelay ends an answer that has come whole. The connection is free for the next request.
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

func (c *conn) clearRelay() {
	c.relay.pipe.OnFreeSpace = nil
	c.relay, c.hasRequest = nil, false
	delete(c.pool.relays, c)
}

// failStalled gives up what makes no progress: a host that gives nothing of an answer it has begun, or takes nothing of a
// request's body.
func (p *Pool) failStalled(now time.Duration) {
	for c := range p.relays {
		if c.relay.pipe.FreeSpace() == 0 {
			c.relay.progressAt = now
		} else if now-c.relay.progressAt > p.bounds.FlowSilence {
			c.fail(errNoProgress)
		}
	}
	for _, c := range p.active {
		if c.body == nil || len(c.unsent) == 0 && len(c.body.Bytes()) == 0 { // whole, or its client is waited for, which has a time of its own
			c.bodyProgressAt = now
		} else if c.isConnected && now-c.bodyProgressAt > p.bounds.FlowSilence {
			c.fail(errNoProgress)
		}
	}
}
