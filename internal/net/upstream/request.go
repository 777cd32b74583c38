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
	p.startRequest(ref, name, m, wait, false)
}

// Probe asks a host whether it is alive.
func (p *Pool) Probe(ref core.Ref, name string, wait time.Duration) {
	p.startRequest(ref, name, &Message{Method: "GET", Target: "/alive"}, wait, true)
}

func (p *Pool) startRequest(ref core.Ref, name string, m *Message, wait time.Duration, probe bool) {
	h := p.hosts[name]
	if h == nil {
		p.reportOutcome(ref, probe, admission.Unreachable, core.Answer{})
		return
	}
	if h.leaving || p.loop.HasStalled() { // it was chosen before that was told, or before the process stood still
		p.reportOutcome(ref, probe, admission.NotSent, core.Answer{})
		return
	}
	if c := p.takeIdle(h, m); c != nil {
		c.assign(ref, probe, m, wait)
		c.encodeRequest()
		c.flush()
		return
	}
	c, err := p.dial(h)
	if err != nil {
		if now := p.loop.Now(); p.dialErrorLoggedAt == 0 || now-p.dialErrorLoggedAt > dialErrorLogInterval {
			p.dialErrorLoggedAt = now
			p.log.Warn("upstream connection not opened", "host", name, "error", err)
		}
		p.traceNotOpened(ref, name, err)
		p.reportOutcome(ref, probe, dialOutcome(err), core.Answer{})
		return
	}
	c.assign(ref, probe, m, wait)
}

// dialOutcome tells what a connection that could not be begun says. What this machine is short of says nothing of the host,
// which must not be ejected for it.
func dialOutcome(err error) admission.Outcome {
	if loop.IsOutOfResources(err) {
		return admission.NotSent
	}
	return admission.Unreachable
}

func (p *Pool) dial(h *upstreamHost) (*conn, error) {
	if p.connCount+p.predecessorConns >= p.bounds.Upstream && !p.evictIdle() {
		return nil, errPoolExhausted
	}
	fd, err := loop.Dial(h.address)
	if loop.IsOutOfDescriptors(err) && p.evictIdle() {
		fd, err = loop.Dial(h.address)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{pool: p, host: h, address: h.address,
		parser: http1.NewResponseParser(p.bounds.HeadBytes, p.bounds.BodyBytes, p.bounds.KeepBytes)}
	if c.source, err = p.loop.Watch(fd, loop.Out|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	p.connCount++
	c.source.ServeLast() // what it brings is no more than that a request can be written
	c.dialTimer = p.loop.After(p.bounds.DialLimit, func() { c.fail(io.ErrNoProgress) })
	return c, nil
}

// assign has the connection carry a request, which is written once it is up.
func (c *conn) assign(ref core.Ref, probe bool, m *Message, wait time.Duration) {
	c.traceAssigned(ref)
	c.hasRequest, c.ref, c.isProbe, c.message, c.deadline = true, ref, probe, m, c.pool.loop.Now()+wait
	c.pool.active[ref] = c
	if m.BodyPipe != nil {
		c.attachBody(m.BodyPipe)
	}
}

// encodeRequest makes the request's bytes. It is done when they can be written: the host is told what is left of the time then.
func (c *conn) encodeRequest() {
	m := c.message
	c.message = nil
	headers := m.Headers
	if !c.isProbe {
		left := c.deadline - c.pool.loop.Now()
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
		c.unsent = http1.AppendRequestHead(b, m.Method, m.Target, "service.internal", headers, m.BodyPipe.ContentLength)
	} else {
		c.unsent = http1.AppendRequest(b, m.Method, m.Target, "service.internal", headers, m.Body)
	}
}

// handleConnected writes the request that waited for the connection, unless its time is up.
func (c *conn) handleConnected() {
	if c.pool.loop.HasStalled() { // what has come of clients and lists meanwhile goes first, in the next turn
		return
	}
	err := loop.DialResult(c.source.FD())
	if err == nil && c.pool.loop.Now() >= c.deadline {
		err = errDeadlinePassed
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.isConnected = true
	c.source.ServeNormally()
	c.dialTimer.Stop()
	c.encodeRequest()
	c.flush()
}

func (c *conn) flush() {
	for {
		n, err := loop.Write(c.source.FD(), c.unsent)
		if c.unsent = c.unsent[n:]; n > 0 {
			c.bodyProgressAt = c.pool.loop.Now()
		}
		if err != nil {
			c.fail(err)
			return
		}
		if len(c.unsent) > 0 {
			c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
			return
		}
		again, err := c.writeBody()
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
		c.source.SetEvents(events)
		return
	}
	if c.unsent != nil && !c.isProbe {
		*c.pool.requestsWritten++
		c.writtenAt = c.pool.loop.Now()
	}
	c.unsent = nil
	c.source.SetEvents(loop.In | loop.Hangup)
}
