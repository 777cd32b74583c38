// Package upstream holds the connections to upstream hosts and carries out upstream
// requests on them, one at a time on each.
package upstream

import (
	"errors"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Message is what goes to an upstream host as it came.
type Message struct {
	Method, Target string
	Headers        http1.Headers // those that pass on
	Body           []byte
	Rest           *flow.Pipe // the body, in place of Body, where it is still coming; nil: it is not
	Trace          core.Trace // that the upstream host is told of; zero: none
	Once           bool       // it must not run twice: once it may have run, nothing can be done for it
}

// Sink is told how upstream requests end.
type Sink interface {
	UpstreamEnded(now time.Duration, ref core.Ref, o admission.Outcome, a core.Answer)
	ProbeEnded(now time.Duration, ref core.Ref, o admission.Outcome)
}

// Pool holds the connections of all upstream hosts.
type Pool struct {
	loop   *loop.Loop
	lim    limits.Limits
	log    *slog.Logger
	sink   Sink
	hosts  map[string]*host
	out    map[core.Ref]*conn
	relays map[*conn]struct{} // those that pass an answer on
	conns  int
	debugs bool          // the log takes debug lines
	whole  *uint64       // counts requests written whole, probes aside
	told   time.Duration // when the operator was last told of one not opened
	reuse  reuse

	noisyAt time.Duration // when bytes last came that nobody had asked for, 0: never

	elsewhere int // connections that another process of this ingress holds
	hand      func(host string, since time.Duration, fd int)
}

// New returns a pool that knows no hosts. SetSink must follow before the first request.
// whole counts the requests that have been written whole.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, whole *uint64) *Pool {
	p := &Pool{loop: l, lim: lim, log: log, whole: whole, hosts: map[string]*host{}, out: map[core.Ref]*conn{},
		relays: map[*conn]struct{}{}, debugs: core.Debugs(log)}
	l.After(sweepEvery, p.sweep)
	return p
}

// SetSink names who is told of outcomes.
func (p *Pool) SetSink(s Sink) { p.sink = s }

// logEvery: connections that can't be opened, to an address that can't be read or for want of room, are told
// of so often, however many requests meet them.
const logEvery = 10 * time.Second

// sweepEvery is how often idle connections are looked through.
const sweepEvery = 500 * time.Millisecond

// sweep drops connections before the other side would: a request written as it closes is a reset,
// and may have run.
func (p *Pool) sweep() {
	p.loop.After(sweepEvery, p.sweep)
	now := p.loop.Now()
	for _, h := range p.hosts {
		if p.conns == 0 { // of thousands of hosts none need be looked through
			break
		}
		old := 0
		for old < len(h.idle) && now-h.idle[old].since+sweepEvery >= p.lim.UpstreamIdle {
			old++
		}
		for _, c := range append([]*conn(nil), h.idle[:old]...) {
			c.close(errIdle)
		}
	}
	p.silent(now)
}

// Connections tells how many are open.
func (p *Pool) Connections() int { return p.conns }

// conn is one connection.
type conn struct {
	p       *Pool
	h       *host
	addr    string // of the host, when it was opened
	src     *loop.Source
	parser  *http1.ResponseParser
	up      bool
	busy    bool
	probe   bool
	ref     core.Ref
	message *Message      // of a request that waits for the connection to come up, nil: none
	ends    time.Duration // when the time of that request is up
	out     []byte        // of the request, not written yet
	since   time.Duration
	kept    bool          // it has served a request before this one
	wrote   time.Duration // the request was whole on it
	dialing *loop.Timer
	took    time.Duration // the host last took some of body
	body    *flow.Pipe    // of the request, what is not in out yet; nil: nothing
	early   *loop.Timer   // for an answer of which nobody can tell how long it will be
	relay   *relay        // of the answer, passed on while it comes; nil: it is not
	closes  bool          // the connection ends with that
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
	if h.leaving || p.loop.Stalled() { // it was chosen before that was told, or before the process stood still
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
	if loop.OutOfResources(err) {
		return admission.NotSent
	}
	return admission.Unreachable
}

func (p *Pool) dial(h *host) (*conn, error) {
	if p.conns+p.elsewhere >= p.lim.Upstream && !p.makeRoom() {
		return nil, errFull
	}
	fd, err := loop.Dial(h.addr)
	if loop.OutOfDescriptors(err) && p.makeRoom() {
		fd, err = loop.Dial(h.addr)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{p: p, h: h, addr: h.addr,
		parser: http1.NewResponseParser(p.lim.HeadBytes, p.lim.BodyBytes, p.lim.KeepBytes)}
	if c.src, err = p.loop.Watch(fd, loop.Out|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	p.conns++
	c.src.Last() // what it brings is no more than that a request can be written
	c.dialing = p.loop.After(p.lim.DialLimit, func() { c.fail(io.ErrNoProgress) })
	return c, nil
}

// Cancel gives up a request by closing its connection: whatever comes of it reaches nobody. It tells whether
// the request may have run.
func (p *Pool) Cancel(ref core.Ref) (ran bool) {
	c := p.out[ref]
	if c == nil {
		return true
	}
	ran = c.whole()
	c.busy = false
	c.detach()
	delete(p.out, ref)
	c.close(errGivenUp)
	return ran
}

// Withdraw gives up a request that is not wholly written, and so can't have run. It tells whether it did.
func (p *Pool) Withdraw(ref core.Ref) bool {
	if c := p.out[ref]; c == nil || c.whole() {
		return false
	}
	p.Cancel(ref)
	return true
}

// whole tells whether the request's last byte is written.
func (c *conn) whole() bool { return c.up && len(c.out) == 0 && c.body == nil }

func (p *Pool) ended(ref core.Ref, probe bool, o admission.Outcome, a core.Answer) {
	if probe {
		p.sink.ProbeEnded(p.loop.Now(), ref, o)
		return
	}
	p.sink.UpstreamEnded(p.loop.Now(), ref, o, a)
}

// begin has the connection carry a request, which is written once it is up.
func (c *conn) begin(ref core.Ref, probe bool, m *Message, wait time.Duration) {
	c.traceBegun(ref)
	c.busy, c.ref, c.probe, c.message, c.ends = true, ref, probe, m, c.p.loop.Now()+wait
	c.p.out[ref] = c
	if m.Rest != nil {
		c.attach(m.Rest)
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
	if m.Rest != nil {
		c.out = http1.AppendOpenRequest(b, m.Method, m.Target, "service.internal", headers, m.Rest.Length)
	} else {
		c.out = http1.AppendRequest(b, m.Method, m.Target, "service.internal", headers, m.Body)
	}
}

// Ready goes on with what the connection was about.
func (c *conn) Ready(events uint32) {
	if !c.up {
		if events&(loop.Out|loop.Hangup) == 0 {
			return
		}
		c.connected()
		return
	}
	if events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
	if events&loop.Out != 0 && c.relay == nil && c.src.FD() >= 0 && (len(c.out) > 0 || c.body != nil) {
		c.flush()
	}
}

// connected writes the request that waited for the connection, unless its time is up.
func (c *conn) connected() {
	if c.p.loop.Stalled() { // what has come of clients and lists meanwhile goes first, in the next turn
		return
	}
	err := loop.Dialled(c.src.FD())
	if err == nil && c.p.loop.Now() >= c.ends {
		err = errLate
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.up = true
	c.src.Usual()
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
			c.src.Want(loop.In | loop.Out | loop.Hangup)
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
		if len(c.body.Next()) > 0 {
			events |= loop.Out
		}
		c.src.Want(events)
		return
	}
	if c.out != nil && !c.probe {
		*c.p.whole++
		c.wrote = c.p.loop.Now()
	}
	c.out = nil
	c.src.Want(loop.In | loop.Hangup)
}

func (c *conn) read() {
	buf := c.p.loop.Buf()
	for {
		if c.relay != nil { // no more than there is room for
			buf = buf[:min(len(buf), max(1, c.relay.pipe.Room()))]
		}
		n, err := loop.Read(c.src.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) && c.relay != nil && c.parser.EndsHere() {
				c.closes = true
				c.relayed()
				return
			}
			if errors.Is(err, io.EOF) && c.busy && c.relay == nil && len(c.out) == 0 {
				// That it was cut off there can't be told from an answer without a length that ends as it must.
				if resp := c.parser.End(); resp != nil {
					c.answer(resp)
					return
				}
			}
			c.fail(err)
			return
		}
		if !c.busy { // bytes that nobody asked for
			c.p.noisyAt = c.p.loop.Now()
			c.close(errNotQuiet)
			return
		}
		if c.relay != nil { // the others have their turns
			d := c.parser.Direct(buf[:n])
			c.relay.pipe.Put(buf[:d])
			if c.relay == nil { // its client has left with that
				return
			}
			if d < n {
				c.parser.Feed(buf[d:n])
			}
			c.pull()
			return
		}
		c.parser.Feed(buf[:n])
		resp, err := c.parser.Next()
		switch {
		case err != nil:
			c.fail(err)
			return
		case resp != nil && resp.Open:
			c.open(resp)
			return
		case resp != nil:
			c.answer(resp)
			return
		case c.early == nil && c.parser.Unbounded():
			// What is so short that its last byte counts is soon here; of what is long the first bytes count.
			c.early = c.p.loop.After(c.p.lim.FlowEarly, func() {
				if resp := c.parser.Early(); resp != nil && c.busy && c.src.FD() >= 0 {
					c.open(resp)
				}
			})
		}
		if n < len(buf) {
			return
		}
	}
}

// answer takes a whole response. An answer that came before its request was whole, or with more
// behind it, leaves a connection that can't be trusted with the next one.
func (c *conn) answer(resp *http1.Response) {
	ref, probe := c.ref, c.probe
	if c.doubtful(resp) {
		return
	}
	if !probe {
		c.p.reuse.learn(c.p.loop.Now(), c.kept, false)
	}
	c.busy = false
	c.early.Stop()
	c.early = nil
	delete(c.p.out, ref)
	answer := core.Answer{Body: resp.Body, ContentType: resp.Headers.Get("Content-Type"), Billed: billed(resp)}
	if resp.Close || len(c.out) > 0 || c.body != nil || c.parser.Buffered() > 0 {
		c.detach()
		c.close(errLastAnswer)
	} else {
		c.rest()
	}
	c.p.ended(ref, probe, outcome(resp), answer)
	c.parser.Rest()
}

// billed reads the true units of a good answer from X-Units-Charged: a whole number from 1 up, else 0,
// which tells nothing.
func billed(r *http1.Response) int {
	if r.Status != 200 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(r.Headers.Get("X-Units-Charged")))
	if err != nil || n < 1 {
		return 0
	}
	return n
}

// outcome tells what a response says of its request.
func outcome(r *http1.Response) admission.Outcome {
	switch {
	case r.Status == 200:
		return admission.OK
	case (r.Status == 503 || r.Status == 504) && r.Headers.Get("Not-Started") == "1":
		return admission.Full
	}
	return admission.Errored
}

// fail ends the connection and what was out on it. Before the last byte of a request was written
// it can't have run; after that it may have.
func (c *conn) fail(cause error) {
	if c.relay != nil { // its answer can't be taken back; who takes it can tell that it is not whole
		pipe := c.relay.pipe
		c.unrelay()
		c.close(cause)
		pipe.End(false)
		return
	}
	o := admission.Broken
	if !c.whole() {
		o = admission.Unreachable
	}
	busy := c.busy
	c.busy = false
	c.detach()
	c.close(cause)
	if busy {
		if now := c.p.loop.Now(); o == admission.Broken && !c.probe && c.parser.Buffered() == 0 && now-c.wrote < reuseSoon {
			c.p.reuse.learn(now, c.kept, true)
		}
		delete(c.p.out, c.ref)
		c.p.ended(c.ref, c.probe, o, core.Answer{})
	}
}

func (c *conn) close(cause error) {
	if c.src.FD() < 0 {
		return
	}
	c.traceClosed(cause)
	c.dialing.Stop()
	c.early.Stop()
	c.src.Close()
	c.p.conns--
	for i, o := range c.h.idle {
		if o == c {
			c.h.idle = append(c.h.idle[:i], c.h.idle[i+1:]...)
			break
		}
	}
}
