package upstream

import (
	"io"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Requests, from the choice of a connection to the last byte that is written.

// Message is what goes to an upstream host as it came.
type Message struct {
	Method, Target string
	Headers        http1.Headers // those that pass on
	Body           []byte
	BodyPipe       *flow.Pipe // the body, in place of Body, where it is still coming; nil: it is not
	Trace          core.Trace // that the upstream host is told of; zero: none
	AtMostOnce     bool       // it must not run twice: once it may have run, nothing can be done for it
}

// Start sends a request to a host.
func (p *Pool) Start(ref core.Ref, name string, payload core.Payload, wait time.Duration) {
	m, ok := payload.(*Message)
	if !ok {
		p.log.Error("upstream request without a message", "host", name)
		p.sink.UpstreamEnded(p.loop.Now(), ref, admission.NotSent, core.Answer{})
		return
	}
	p.start(ref, name, m, wait, false)
}

// Probe asks a host whether it is alive.
func (p *Pool) Probe(ref core.Ref, name string, wait time.Duration) {
	p.start(ref, name, &Message{Method: "GET", Target: "/alive"}, wait, true)
}

func (p *Pool) start(ref core.Ref, name string, m *Message, wait time.Duration, probe bool) {
	h := p.hosts[name]
	if h == nil {
		p.ended(ref, probe, admission.Unreachable, core.Answer{})
		return
	}
	if h.leaving || p.loop.HasStalled() { // it was chosen before that was told, or before the process stood still
		p.ended(ref, probe, admission.NotSent, core.Answer{})
		return
	}
	if c := p.keeps(h, m); c != nil {
		c.begin(ref, probe, m, wait)
		c.compose()
		c.flush()
		return
	}
	c, err := p.dial(h)
	if err != nil {
		if now := p.loop.Now(); p.told == 0 || now-p.told > logEvery {
			p.told = now
			p.log.Warn("upstream connection not opened", "host", name, "error", err)
		}
		p.traceNotOpened(ref, name, err)
		p.ended(ref, probe, dialOutcome(err), core.Answer{})
		return
	}
	c.begin(ref, probe, m, wait)
}

// dialOutcome tells what a connection that could not be begun says. What this machine is short of says nothing of the host,
// which must not be ejected for it.
func dialOutcome(err error) admission.Outcome {
	if loop.IsOutOfResources(err) {
		return admission.NotSent
	}
	return admission.Unreachable
}

func (p *Pool) dial(h *host) (*conn, error) {
	if p.conns+p.elsewhere >= p.lim.MaxUpstreamConns && !p.makeRoom() {
		return nil, errFull
	}
	fd, err := loop.Dial(h.addr)
	if loop.IsOutOfDescriptors(err) && p.makeRoom() {
		fd, err = loop.Dial(h.addr)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{p: p, h: h, addr: h.addr,
		parser: http1.NewResponseParser(p.lim.MaxHeaderBytes, p.lim.MaxBodyBytes, p.lim.MaxBufferedBodyBytes)}
	if c.src, err = p.loop.Watch(fd, loop.Out|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	p.conns++
	c.src.ServeLast() // what it brings is no more than that a request can be written
	c.dialing = p.loop.After(p.lim.DialTimeout, func() { c.fail(io.ErrNoProgress) })
	return c, nil
}

// begin has the connection carry a request, which is written once it is up.
func (c *conn) begin(ref core.Ref, probe bool, m *Message, wait time.Duration) {
	c.traceBegun(ref)
	c.busy, c.ref, c.probe, c.message, c.ends = true, ref, probe, m, c.p.loop.Now()+wait
	c.p.out[ref] = c
	if m.BodyPipe != nil {
		c.attach(m.BodyPipe)
	}
}

// compose makes the request's bytes. It is done when they can be written: the host is told what is left of the time then.
func (c *conn) compose() {
	m := c.message
	c.message = nil
	headers := m.Headers
	if !c.probe {
		left := c.ends - c.p.loop.Now()
		headers = append(headers[:len(headers):len(headers)],
			http1.Header{Name: "Request-Timeout", Value: strconv.FormatInt(max(1, left.Milliseconds()), 10) + "m"})
	}
	if t := m.Trace; t.Valid() {
		headers = append(headers, http1.Header{Name: "traceparent",
			Value: string(tracecontext.AppendParent(nil, t.Trace, t.Span.Try(c.ref.Attempt), t.Sampled))})
		if t.State != "" {
			headers = append(headers, http1.Header{Name: "tracestate", Value: t.State})
		}
	}
	b := make([]byte, 0, 512+len(m.Body))
	if m.BodyPipe != nil {
		c.out = http1.AppendRequestHead(b, m.Method, m.Target, "service.internal", headers, m.BodyPipe.ContentLength)
	} else {
		c.out = http1.AppendRequest(b, m.Method, m.Target, "service.internal", headers, m.Body)
	}
}

// connected writes the request that waited for the connection, unless its time is up.
func (c *conn) connected() {
	if c.p.loop.HasStalled() { // what has come of clients and lists meanwhile goes first, in the next turn
		return
	}
	err := loop.DialResult(c.src.FD())
	if err == nil && c.p.loop.Now() >= c.ends {
		err = errLate
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.up = true
	c.src.ServeNormally()
	c.dialing.Stop()
	c.compose()
	c.flush()
}

func (c *conn) flush() {
	for {
		n, err := loop.Write(c.src.FD(), c.out)
		if c.out = c.out[n:]; n > 0 {
			c.took = c.p.loop.Now()
		}
		if err != nil {
			c.fail(err)
			return
		}
		if len(c.out) > 0 {
			c.src.SetEvents(loop.In | loop.Out | loop.Hangup)
			return
		}
		again, err := c.draw()
		if err != nil {
			c.fail(err)
			return
		}
		if !again {
			break
		}
	}
	if c.body != nil { // more comes, or the host has yet to take some
		events := uint32(loop.In | loop.Hangup)
		if len(c.body.Bytes()) > 0 {
			events |= loop.Out
		}
		c.src.SetEvents(events)
		return
	}
	if c.out != nil && !c.probe {
		*c.p.whole++
		c.wrote = c.p.loop.Now()
	}
	c.out = nil
	c.src.SetEvents(loop.In | loop.Hangup)
}
