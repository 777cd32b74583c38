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

// attach begins to take a request's body as it comes.
func (c *conn) attach(rest *flow.Pipe) {
	c.body, c.took = rest, c.p.loop.Now()
	rest.OnData = func() {
		if c.up && c.src.FD() >= 0 && len(c.out) == 0 {
			c.flush()
		}
	}
}

// detach lets go of a request's body; another upstream request may go on with it, as long as none of it is gone.
func (c *conn) detach() {
	if c.body != nil {
		c.body.OnData = nil
		c.body = nil
	}
}

// draw writes what has come of the body, or puts it into out where it goes in chunks. It tells whether out is to be
// written again; if not, more of the body has to come first, or the host has to take some, or it is whole.
func (c *conn) draw() (again bool, err error) {
	if c.body == nil {
		return false, nil
	}
	b := c.body.Bytes()
	if c.body.ContentLength >= 0 {
		n, err := loop.Write(c.src.FD(), b)
		if n > 0 {
			c.took = c.p.loop.Now()
		}
		c.body.Consume(n)
		if c.body.IsComplete() {
			c.detach()
		}
		return false, err
	}
	if len(b) == 0 && !c.body.IsComplete() {
		return false, nil
	}
	c.out = http1.AppendChunk(make([]byte, 0, len(b)+24), b)
	c.body.Consume(len(b))
	if c.body.IsComplete() {
		c.out = http1.AppendLastChunk(c.out)
		c.detach()
	}
	return true, nil
}

// relay is the body of an answer that is passed on.
type relay struct {
	pipe  *flow.Pipe
	moved time.Duration // when the host last gave some, or there was no room for it
}

// open passes an answer on of which more comes. For its stream that is the answer; the connection goes on with it.
func (c *conn) open(resp *http1.Response) {
	if c.doubtful(resp) {
		return
	}
	ref := c.ref
	c.early.Stop()
	delete(c.p.out, ref)
	pipe := flow.New(c.p.lim.RelayWindow(len(c.p.relays)), resp.ContentLength)
	c.relay = &relay{pipe: pipe, moved: c.p.loop.Now()}
	c.closes = resp.Close || len(c.out) > 0 || c.body != nil
	c.detach()
	c.p.relays[c] = struct{}{}
	pipe.OnFreeSpace = func() {
		if pipe.IsReadClosed() {
			c.unrelay()
			c.close(errTakerLeft)
			return
		}
		c.watch()
	}
	pipe.Append(resp.Body)
	c.parser.ReleaseBodyBuffers()
	c.p.ended(ref, c.probe, outcome(resp), core.Answer{ContentType: resp.Headers.Get("Content-Type"), Rest: pipe})
	if c.relay != nil {
		c.pull()
	}
}

// pull moves on what has come of the answer.
func (c *conn) pull() {
	b, whole, err := c.parser.NextBodyPart()
	if err != nil {
		c.fail(err)
		return
	}
	r := c.relay
	r.moved = c.p.loop.Now()
	r.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if whole && c.relay == r {
		c.relayed()
		return
	}
	c.watch()
}

// watch reads on where there is room.
func (c *conn) watch() {
	if c.relay == nil || c.src.FD() < 0 {
		return
	}
	if c.relay.pipe.FreeSpace() == 0 {
		c.src.SetEvents(0) // a reset is told all the same
		return
	}
	c.src.SetEvents(loop.In | loop.Hangup)
}

// relayed ends an answer that has come whole. The connection is free for the next request.
func (c *conn) relayed() {
	pipe := c.relay.pipe
	c.unrelay()
	if c.closes || c.parser.Buffered() > 0 {
		c.close(errLastAnswer)
	} else {
		c.rest()
	}
	pipe.CloseWrite(true)
	c.parser.ReleaseIdleBuffers()
}

func (c *conn) unrelay() {
	c.relay.pipe.OnFreeSpace = nil
	c.relay, c.busy = nil, false
	delete(c.p.relays, c)
}

// silent gives up what makes no progress: a host that gives nothing of an answer it has begun, or takes nothing of a
// request's body.
func (p *Pool) silent(now time.Duration) {
	for c := range p.relays {
		if c.relay.pipe.FreeSpace() == 0 {
			c.relay.moved = now
		} else if now-c.relay.moved > p.lim.RelayStallTimeout {
			c.fail(errSilent)
		}
	}
	for _, c := range p.out {
		if c.body == nil || len(c.out) == 0 && len(c.body.Bytes()) == 0 { // whole, or its client is waited for, which has a time of its own
			c.took = now
		} else if c.up && now-c.took > p.lim.RelayStallTimeout {
			c.fail(errSilent)
		}
	}
}
