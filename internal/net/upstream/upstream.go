// Package upstream sends upstream requests and probes to the upstream hosts and reads their responses.
//
// A [Pool] owns all connections; each carries one request at a time. Everything runs on the goroutine of one event
// loop; no method may be called from another goroutine, and none blocks. The package never chooses a host and never
// retries: it reports the outcome of each request to its [Sink], and if a connection fails, whether the request may
// have run.
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
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// Sink receives the outcomes of upstream requests and probes. Each one that is started ends with one call, possibly
// within the call that starts it, unless it is cancelled.
type Sink interface {
	// UpstreamEnded reports the outcome of an upstream request. The answer is set if a response was received. Its body
	// may still be in transfer, see [BodyPipe].
	UpstreamEnded(now time.Duration, ref core.Ref, o admission.Outcome, a core.Answer)

	// ProbeEnded reports the outcome of a probe.
	ProbeEnded(now time.Duration, ref core.Ref, o admission.Outcome)
}

// Pool holds the connections to all upstream hosts.
type Pool struct {
	loop   *loop.Loop
	bounds limits.Limits
	log    *slog.Logger
	sink   Sink
	hosts  map[string]*upstreamHost // by name

	active    map[core.Ref]*conn // requests and probes without an outcome
	relays    map[*conn]struct{} // connections whose response body is being relayed
	connCount int                // open connections, idle ones included

	debugEnabled      bool          // the log accepts debug records
	requestsWritten   *uint64       // number of requests written completely, without probes
	dialErrorLoggedAt time.Duration // last time that a failed dial was logged

	resetStats resetStats

	memory       *membudget.Budget // nil: not limited
	relayWindows int               // bytes granted to the pipes of relayed responses

	// predecessorConns is the number of upstream connections that the predecessor process still holds.
	predecessorConns int

	// transfer receives the connections that become idle; nil: no handover.
	transfer func(host string, since time.Duration, fd int)
}

// New returns a pool without hosts that runs on the given loop. SetSink must be called before the first request. The
// pool increments requestsWritten for each request that is written completely, except probes.
func New(l *loop.Loop, bounds limits.Limits, log *slog.Logger, requestsWritten *uint64) *Pool {
	p := &Pool{loop: l, bounds: bounds, log: log, requestsWritten: requestsWritten, hosts: map[string]*upstreamHost{},
		active: map[core.Ref]*conn{}, relays: map[*conn]struct{}{}, debugEnabled: core.DebugEnabled(log)}
	l.After(sweepInterval, p.sweep)
	return p
}

// SetMemory sets the budget that the connections share with others. It is to be called before the first connection.
func (p *Pool) SetMemory(budget *membudget.Budget) { p.memory = budget }

// SetSink sets the receiver of the outcomes.
func (p *Pool) SetSink(s Sink) { p.sink = s }

// dialErrorLogInterval is the minimum time between two log records of a failed dial, for example to an invalid address
// or at the connection limit, since many requests may fail in the same way.
const dialErrorLogInterval = 10 * time.Second

// sweepInterval is the time between two checks of all connections for timeouts.
const sweepInterval = 500 * time.Millisecond

// sweep closes idle connections before the host would, because a request that is written while the host closes is reset
// and may have run. It also fails stalled transfers.
func (p *Pool) sweep() {
	p.loop.After(sweepInterval, p.sweep)
	now := p.loop.Now()
	for _, h := range p.hosts {
		if p.connCount == 0 { // there may be thousands of hosts; skip them all
			break
		}
		expired := 0
		for expired < len(h.idle) && now-h.idle[expired].idleSince+sweepInterval >= p.bounds.UpstreamIdleTimeout {
			expired++
		}
		for _, c := range append([]*conn(nil), h.idle[:expired]...) {
			c.close(errIdleTimeout)
		}
	}
	p.failStalled(now)
}

// OpenConnections returns the number of upstream connections that this process holds, idle ones included.
func (p *Pool) OpenConnections() int { return p.connCount }

// conn is one connection to an upstream host. It is connecting, carries a request, relays a response, or is idle.
type conn struct {
	pool    *Pool
	host    *upstreamHost
	address string // address of the host when the connection was opened
	source  *loop.Source
	parser  *http1.ResponseParser
	memory  membudget.Account

	isConnected bool // the TCP connection is established
	dialTimer   *loop.Timer
	idleSince   time.Duration // end of the previous response, also while the connection is reused

	exchange
}

// exchange is the state of one request or probe on a connection, and of its response. A connection begins each with a new
// exchange, so that nothing of one request affects the next.
type exchange struct {
	hasRequest bool // the response is not complete
	isReused   bool // the connection was idle before this exchange

	isProbe   bool
	ref       core.Ref
	message   *Message      // request that is encoded once the connection is established and has rested; nil: none
	restTimer *loop.Timer   // starts a request that waits until the connection has rested
	deadline  time.Duration // in loop time
	unsent    []byte        // encoded request bytes that the socket has not taken yet
	wholeBody []byte        // a body that is held whole, to be written after unsent

	unsentHeld int           // size of the buffer that unsent is a part of; 0 while it is part of the message
	writtenAt  time.Duration // when the request was written completely

	bodyProgressAt time.Duration // last time that the host took request bytes, or that there were none to write
	body           *flow.Pipe    // part of the request body that is not in unsent yet; nil: none

	earlyRelayTimer *loop.Timer // relays an incomplete response of unknown length; nil until its head is complete
	relay           *relay      // response body that is being relayed; nil: none
	closeAfterRelay bool        // the connection can't be reused after the relay
}

// Cancel gives up a request by closing its connection; its outcome is not reported. It returns whether the request may
// have run, which is true also if ref is unknown.
func (p *Pool) Cancel(ref core.Ref) (mayHaveRun bool) {
	c := p.active[ref]
	if c == nil {
		return true
	}
	mayHaveRun = c.isFullyWritten()
	c.hasRequest = false
	c.detachBody()
	delete(p.active, ref)
	c.close(errCancelled)
	return mayHaveRun
}

// Withdraw cancels a request that is not completely written and so can't have run. It reports whether it did.
func (p *Pool) Withdraw(ref core.Ref) bool {
	if c := p.active[ref]; c == nil || c.isFullyWritten() {
		return false
	}
	p.Cancel(ref)
	return true
}

// isFullyWritten reports whether the last byte of the request is written.
func (c *conn) isFullyWritten() bool {
	return c.isConnected && c.message == nil && len(c.unsent) == 0 && len(c.wholeBody) == 0 && c.body == nil
}

// hasUnwritten reports whether request bytes wait until the socket takes them.
func (c *conn) hasUnwritten() bool { return len(c.unsent) > 0 || len(c.wholeBody) > 0 }

// updateMemory accounts for what the connection holds. Pipes count for the client's connection.
func (c *conn) updateMemory() { c.memory.Set(c.parser.HeldBytes() + c.unsentHeld) }

// reportOutcome passes the outcome of a request or probe to the sink.
func (p *Pool) reportOutcome(ref core.Ref, isProbe bool, o admission.Outcome, a core.Answer) {
	if isProbe {
		p.sink.ProbeEnded(p.loop.Now(), ref, o)
		return
	}
	p.sink.UpstreamEnded(p.loop.Now(), ref, o, a)
}

// Ready handles the connection's readiness events: it completes the dial, reads, or writes.
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
	if events&loop.Out != 0 && c.relay == nil && c.source.FD() >= 0 && (c.hasUnwritten() || c.body != nil) {
		c.flush()
	}
	if c.source.FD() >= 0 {
		c.updateMemory()
	}
}

// fail closes the connection and reports the outcome of its request. A request can't have run before its last byte was
// written and ends as Unreachable; after that it may have run and ends as Broken. If its deadline passed before it was
// written, it ends as NotSent. For a relayed response, whose outcome is already reported, the body is marked as
// truncated.
func (c *conn) fail(cause error) {
	if c.relay != nil {
		pipe := c.relay.pipe
		c.clearRelay()
		c.close(cause)
		pipe.CloseWrite(false)
		return
	}
	o := admission.Broken
	switch {
	case errors.Is(cause, errDeadlinePassed): // not the host's fault
		o = admission.NotSent
	case !c.isFullyWritten():
		o = admission.Unreachable
	}
	hasRequest := c.hasRequest
	c.hasRequest = false
	c.detachBody()
	c.close(cause)
	if hasRequest {
		if now := c.pool.loop.Now(); o == admission.Broken && !c.isProbe && c.parser.Buffered() == 0 &&
			now-c.writtenAt < resetWindow {
			c.pool.resetStats.record(now, c.isReused, true)
		}
		delete(c.pool.active, c.ref)
		c.pool.reportOutcome(c.ref, c.isProbe, o, core.Answer{})
	}
}

// close closes the socket and removes the connection from the pool. It reports no outcome.
func (c *conn) close(cause error) {
	if c.source.FD() < 0 {
		return
	}
	c.traceClosed(cause)
	c.dialTimer.Stop()
	c.restTimer.Stop()
	c.earlyRelayTimer.Stop()
	c.source.Close()
	c.memory.Set(0)
	c.pool.connCount--
	for i, o := range c.host.idle {
		if o == c {
			c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
			break
		}
	}
}
