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
	loop              *loop.Loop
	bounds            limits.Limits
	log               *slog.Logger
	sink              Sink
	hosts             map[string]*upstreamHost
	active            map[core.Ref]*conn
	relays            map[*conn]struct{} // those that pass an answer on
	connCount         int
	debugEnabled      bool          // the log takes debug lines
	requestsWritten   *uint64       // counts requests written whole, probes aside
	dialErrorLoggedAt time.Duration // when the operator was last told of one not opened
	resetStats        resetStats

	unsolicitedAt time.Duration // when bytes last came that nobody had asked for, 0: never

	predecessorConns int // connections that another process of this ingress holds
	transfer         func(host string, since time.Duration, fd int)
}

// New returns a pool that knows no hosts. SetSink must follow before the first request.
// whole counts the requests that have been written whole.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, whole *uint64) *Pool {
	p := &Pool{loop: l, bounds: lim, log: log, requestsWritten: whole, hosts: map[string]*upstreamHost{}, active: map[core.Ref]*conn{},
		relays: map[*conn]struct{}{}, debugEnabled: core.Debugs(log)}
	l.After(sweepInterval, p.sweep)
	return p
}

// SetSink names who is told of outcomes.
func (p *Pool) SetSink(s Sink) { p.sink = s }

// dialErrorLogInterval: connections that can't be opened, to an address that can't be read or for want of room, are told
// of so often, however many requests meet them.
const dialErrorLogInterval = 10 * time.Second

// sweepInterval is how often idle connections are looked through.
const sweepInterval = 500 * time.Millisecond

// sweep drops connections before the other side would: a request written as it closes is a reset,
// and may have run.
func (p *Pool) sweep() {
	p.loop.After(sweepInterval, p.sweep)
	now := p.loop.Now()
	for _, h := range p.hosts {
		if p.connCount == 0 { // of thousands of hosts none need be looked through
			break
		}
		old := 0
		for old < len(h.idle) && now-h.idle[old].idleSince+sweepInterval >= p.bounds.UpstreamIdle {
			old++
		}
		for _, c := range append([]*conn(nil), h.idle[:old]...) {
			c.close(errIdleTimeout)
		}
	}
	p.failStalled(now)
}

// OpenConnections tells how many are open.
func (p *Pool) OpenConnections() int { return p.connCount }

// conn is one connection.
type conn struct {
	pool            *Pool
	host            *upstreamHost
	address         string // of the host, when it was opened
	source          *loop.Source
	parser          *http1.ResponseParser
	isConnected     bool
	hasRequest      bool
	isProbe         bool
	ref             core.Ref
	message         *Message      // of a request that waits for the connection to come up, nil: none
	deadline        time.Duration // when the time of that request is up
	unsent          []byte        // of the request, not written yet
	idleSince       time.Duration
	isReused        bool          // it has served a request before this one
	writtenAt       time.Duration // the request was whole on it
	dialTimer       *loop.Timer
	bodyProgressAt  time.Duration // the host last took some of body
	body            *flow.Pipe    // of the request, what is not in out yet; nil: nothing
	earlyRelayTimer *loop.Timer   // for an answer of which nobody can tell how long it will be
	relay           *relay        // of the answer, passed on while it comes; nil: it is not
	closeAfterRelay bool          // the connection ends with that
}

// Cancel gives up a request by closing its connection: whatever comes of it reaches nobody. It tells whether
// the request may have run.
func (p *Pool) Cancel(ref core.Ref) (ran bool) {
	c := p.active[ref]
	if c == nil {
		return true
	}
	ran = c.isFullyWritten()
	c.hasRequest = false
	c.detachBody()
	delete(p.active, ref)
	c.close(errCancelled)
	return ran
}

// Withdraw gives up a request that is not wholly written, and so can't have run. It tells whether it did.
func (p *Pool) Withdraw(ref core.Ref) bool {
	if c := p.active[ref]; c == nil || c.isFullyWritten() {
		return false
	}
	p.Cancel(ref)
	return true
}

// isFullyWritten tells whether the request's last byte is written.
func (c *conn) isFullyWritten() bool { return c.isConnected && len(c.unsent) == 0 && c.body == nil }

func (p *Pool) reportOutcome(ref core.Ref, probe bool, o admission.Outcome, a core.Answer) {
	if probe {
		p.sink.ProbeEnded(p.loop.Now(), ref, o)
		return
	}
	p.sink.UpstreamEnded(p.loop.Now(), ref, o, a)
}

// Ready goes on with what the connection was about.
func (c *conn) Ready(events uint32) {
	if !c.isConnected {
		if events&(loop.Out|loop.Hangup) == 0 {
			return
		}
		c.handleConnected()
		return
	}
	if events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
	if events&loop.Out != 0 && c.relay == nil && c.source.FD() >= 0 && (len(c.unsent) > 0 || c.body != nil) {
		c.flush()
	}
}

// fail ends the connection and what was out on it. Before the last byte of a request was written
// it can't have run; after that it may have.
func (c *conn) fail(cause error) {
	if c.relay != nil { // its answer can't be taken back; who takes it can tell that it is not whole
		pipe := c.relay.pipe
		c.clearRelay()
		c.close(cause)
		pipe.CloseWrite(false)
		return
	}
	o := admission.Broken
	switch {
	case errors.Is(cause, errDeadlinePassed): // no fault of the host's
		o = admission.NotSent
	case !c.isFullyWritten():
		o = admission.Unreachable
	}
	busy := c.hasRequest
	c.hasRequest = false
	c.detachBody()
	c.close(cause)
	if busy {
		if now := c.pool.loop.Now(); o == admission.Broken && !c.isProbe && c.parser.Buffered() == 0 && now-c.writtenAt < resetWindow {
			c.pool.resetStats.record(now, c.isReused, true)
		}
		delete(c.pool.active, c.ref)
		c.pool.reportOutcome(c.ref, c.isProbe, o, core.Answer{})
	}
}

func (c *conn) close(cause error) {
	if c.source.FD() < 0 {
		return
	}
	c.traceClosed(cause)
	c.dialTimer.Stop()
	c.earlyRelayTimer.Stop()
	c.source.Close()
	c.pool.connCount--
	for i, o := range c.host.idle {
		if o == c {
			c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
			break
		}
	}
}
