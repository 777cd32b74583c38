// Package upstream holds the connections to upstream hosts and carries out upstream
// requests on them, one at a time on each.
package upstream

import (
	"errors"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

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
		relays: map[*conn]struct{}{}, debugs: core.DebugEnabled(log)}
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
		for old < len(h.idle) && now-h.idle[old].since+sweepEvery >= p.lim.UpstreamIdleTimeout {
			old++
		}
		for _, c := range append([]*conn(nil), h.idle[:old]...) {
			c.close(errIdle)
		}
	}
	p.silent(now)
}

// OpenConnections tells how many are open.
func (p *Pool) OpenConnections() int { return p.conns }

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

// fail ends the connection and what was out on it. Before the last byte of a request was written
// it can't have run; after that it may have.
func (c *conn) fail(cause error) {
	if c.relay != nil { // its answer can't be taken back; who takes it can tell that it is not whole
		pipe := c.relay.pipe
		c.unrelay()
		c.close(cause)
		pipe.CloseWrite(false)
		return
	}
	o := admission.Broken
	switch {
	case errors.Is(cause, errLate): // no fault of the host's
		o = admission.NotSent
	case !c.whole():
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
