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
	"ferryfront.example/ferryfront/internal/net/membudget"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Message is the content of an upstream request, as received from the client.
type Message struct {
	Method, Target string
	Headers        http1.Headers // the client's headers that are passed on
	Body           []byte
	BodyPipe       *flow.Pipe // replaces Body if the body is still being received; nil: it is not
	Trace          core.Trace // sent as traceparent and tracestate; zero: none
	AtMostOnce     bool       // must not run twice, so it can't be retried once it may have run

	memory membudget.Account
}

// Hold accounts for the message until Release. headBytes is the length of the text that its strings are parts of.
func (m *Message) Hold(budget *membudget.Budget, headBytes int) {
	m.memory = budget.Open()
	m.memory.Set(headBytes + cap(m.Body))
}

// Release ends the accounting for the message, which is not sent any more.
func (m *Message) Release() { m.memory.Set(0) }

// Start sends a request to a host and reports its outcome to the sink. wait is the time left until the deadline of the
// request; the host is told what is left of it when the request is written. payload must be a *Message.
func (p *Pool) Start(ref core.Ref, name string, payload core.Payload, wait time.Duration) {
	m, ok := payload.(*Message)
	if !ok {
		p.log.Error("upstream request without a message", "host", name)
		p.sink.UpstreamEnded(p.loop.Now(), ref, admission.NotSent, core.Answer{})
		return
	}
	p.startRequest(ref, name, m, wait, false)
}

// Probe sends a health check (GET /alive) to a host and reports its outcome to the sink.
func (p *Pool) Probe(ref core.Ref, name string, wait time.Duration) {
	p.startRequest(ref, name, &Message{Method: "GET", Target: "/alive"}, wait, true)
}

// startRequest sends a request or probe on an idle connection once that has rested, or on a new one once that is
// established.
func (p *Pool) startRequest(ref core.Ref, name string, m *Message, wait time.Duration, isProbe bool) {
	h := p.hosts[name]
	if h == nil {
		p.reportOutcome(ref, isProbe, admission.Unreachable, core.Answer{})
		return
	}
	if h.leaving || p.loop.HasStalled() { // the host was chosen before its change was announced, or before a stall
		p.reportOutcome(ref, isProbe, admission.NotSent, core.Answer{})
		return
	}
	if c := p.takeIdle(h, m); c != nil {
		c.assign(exchange{ref: ref, isProbe: isProbe, isReused: true, message: m}, wait)
		c.startRequest()
		return
	}
	c, err := p.dial(h)
	if err != nil {
		if now := p.loop.Now(); p.dialErrorLoggedAt == 0 || now-p.dialErrorLoggedAt > dialErrorLogInterval {
			p.dialErrorLoggedAt = now
			p.log.Warn("upstream connection not opened", "host", name, "error", err)
		}
		p.traceNotOpened(ref, name, err)
		p.reportOutcome(ref, isProbe, dialOutcome(err), core.Answer{})
		return
	}
	c.assign(exchange{ref: ref, isProbe: isProbe, message: m}, wait)
}

// dialOutcome returns the outcome of a request whose connection could not be opened. A shortage of resources on this
// machine is not the host's fault, and the host must not be ejected for it.
func dialOutcome(err error) admission.Outcome {
	if loop.IsOutOfResources(err) {
		return admission.NotSent
	}
	return admission.Unreachable
}

// dial starts to open a connection to a host. At the connection limit, or without a free descriptor, it evicts the
// connection that has been idle longest. The connection fails if it is not established within the dial timeout.
// The error is errPoolExhausted or a system error.
func (p *Pool) dial(host *upstreamHost) (*conn, error) {
	if p.isFull() && !p.evictIdle() {
		return nil, errPoolExhausted
	}
	fd, err := loop.Dial(host.address)
	if loop.IsOutOfDescriptors(err) && p.evictIdle() {
		fd, err = loop.Dial(host.address)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{pool: p, host: host, address: host.address, memory: p.memory.Open(),
		parser: http1.NewResponseParser(p.bounds.MaxHeaderBytes, p.bounds.MaxBodyBytes, p.bounds.MaxBufferedBodyBytes)}
	if c.source, err = p.loop.Watch(fd, loop.Out|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	p.connCount++
	c.source.ServeLast() // connecting only lets a request be written, which other input of the turn may still forbid
	c.dialTimer = p.loop.After(p.bounds.DialTimeout, func() { c.fail(io.ErrNoProgress) })
	return c, nil
}

// assign begins an exchange on the connection, without writing its request. wait is the time left until its deadline.
func (c *conn) assign(e exchange, wait time.Duration) {
	c.exchange = e
	c.hasRequest, c.deadline = true, c.pool.loop.Now()+wait
	c.traceAssigned()
	c.pool.active[c.ref] = c
	if c.message.BodyPipe != nil {
		c.attachBody(c.message.BodyPipe)
	}
}

// encodeRequest encodes the request into unsent. It is called right before the request is written, because the
// Request-Timeout header is the time left until the deadline.
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
	switch {
	case m.BodyPipe != nil:
		c.unsent = http1.AppendRequestHead(make([]byte, 0, requestHeadBytes), m.Method, m.Target, "service.internal", headers,
			m.BodyPipe.ContentLength)
	case len(m.Body) > maxCopiedBody:
		c.unsent = http1.AppendRequestHead(make([]byte, 0, requestHeadBytes), m.Method, m.Target, "service.internal", headers,
			int64(len(m.Body)))
		c.wholeBody = m.Body
	default:
		c.unsent = http1.AppendRequest(make([]byte, 0, requestHeadBytes+len(m.Body)), m.Method, m.Target, "service.internal",
			headers, m.Body)
	}
	c.unsentHeld = cap(c.unsent)
}

// requestHeadBytes is enough for the heads of most requests.
const requestHeadBytes = 512

// maxCopiedBody is the length up to which a body is copied behind its head, to be written in one call.
const maxCopiedBody = 4 << 10

// handleConnected completes the dial and writes the waiting request, unless its deadline has passed.
func (c *conn) handleConnected() {
	if c.pool.loop.HasStalled() { // input of clients and discovery that arrived in the stall is read first, next turn
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

// flush writes as much of the request as is available and the socket takes, and polls for the events it needs next. It
// counts a request, but not a probe, once the last byte is written.
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
		if len(c.unsent) == 0 && len(c.wholeBody) > 0 {
			c.unsent, c.wholeBody, c.unsentHeld = c.wholeBody, nil, 0
			continue
		}
		if len(c.unsent) > 0 {
			c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
			return
		}
		mustFlush, err := c.writeBody()
		if err != nil {
			c.fail(err)
			return
		}
		if !mustFlush {
			break
		}
	}
	if c.body != nil { // more is to be received, or the socket takes no more now
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
	c.unsent, c.unsentHeld = nil, 0
	c.source.SetEvents(loop.In | loop.Hangup)
}
