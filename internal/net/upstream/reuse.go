package upstream

import (
	"errors"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// This file decides whether a request may use an idle connection. A host, or a proxy in front of it, may drop idle
// connections silently. The next request on such a connection is reset, and it is not known whether it ran. A request
// that may be repeated loses little by that. A request that must run at most once fails, which a new connection would
// have prevented for the cost of a handshake. So the pool compares the reset rates of reused and of new connections.
// While reused ones are reset visibly more often, at-most-once requests use new ones.

const (
	// resetRateWeight is the EWMA weight of one request in a reset rate.
	resetRateWeight = 0.01

	// resetRateMemory is the time constant, in seconds, with which a reset rate decays without requests.
	resetRateMemory = 60.0

	// maxExtraResetRate is the difference of the reset rates from which on a handshake is the smaller cost. It is the
	// cost of a handshake relative to the work of a request: 1 to 2 ms of 100 ms.
	maxExtraResetRate = 0.01

	// resetWindow is the time after the request is written within which a reset is attributed to the connection. A
	// later one is attributed to the host.
	resetWindow = 25 * time.Millisecond
)

// resetStats holds the rates, from 0 to 1, of requests that are reset on reused and on newly dialed connections.
type resetStats struct{ reused, dialed estimate.FadingAverage }

// record adds the outcome of a request: whether its connection was reset within resetWindow after the request was
// written and before a byte of the response arrived.
func (r *resetStats) record(now time.Duration, reused, reset bool) {
	rate := &r.dialed
	if reused {
		rate = &r.reused
	}
	rate.LearnBool(now, resetRateMemory, resetRateWeight, reset)
}

// isReuseRisky reports whether reused connections are reset so much more often than new ones that a handshake costs
// less.
func (r *resetStats) isReuseRisky(now time.Duration) bool {
	return r.reused.Now(now, resetRateMemory)-r.dialed.Now(now, resetRateMemory) > maxExtraResetRate
}

// takeIdle returns the idle connection that a message is to use, or nil for a new one. If reuse is too risky for the
// message, it closes the oldest idle connection, so that the number of connections does not grow. Of the connections that
// have rested it takes the one used last; if none has, the one that has rested longest.
func (p *Pool) takeIdle(h *upstreamHost, m *Message) *conn {
	if len(h.idle) > 0 && m.AtMostOnce && p.resetStats.isReuseRisky(p.loop.Now()) {
		h.idle[0].close(errReuseRisky)
		return nil
	}
	for len(h.idle) > 0 {
		i := len(h.idle) - 1
		for i > 0 && h.idle[i].restTime() > 0 {
			i--
		}
		c := h.idle[i]
		if !c.isQuiet() {
			c.close(errUnexpectedInput)
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		return c
	}
	return nil
}

// restTime returns for how long a duplicate of the previous response may still arrive. It could not be distinguished from
// the response to the next request, and each later response of the connection would then be taken for that of the request
// after its own. So the next request is not written before that time is over, and a duplicate is unsolicited.
func (c *conn) restTime() time.Duration {
	return max(0, c.idleSince+c.pool.bounds.UpstreamReuseDelay-c.pool.loop.Now())
}

// startRequest writes the request of a reused connection, which was quiet just now, at once or when it has rested.
func (c *conn) startRequest() {
	if rest := c.restTime(); rest > 0 {
		c.restTimer = c.pool.loop.After(rest, c.resumeRequest)
		return
	}
	c.encodeRequest()
	c.flush()
}

// resumeRequest writes the request of a connection that has rested, unless the request's deadline has passed or the
// connection has received something meanwhile.
func (c *conn) resumeRequest() {
	switch {
	case c.pool.loop.HasStalled(): // input that arrived in the stall is read first, next turn
		c.restTimer = c.pool.loop.After(time.Microsecond, c.resumeRequest)
	case c.pool.loop.Now() >= c.deadline:
		c.fail(errDeadlinePassed)
	case !c.isQuiet():
		c.moveRequest()
	default:
		c.encodeRequest()
		c.flush()
	}
}

// isResting reports whether the current request waits until the connection has rested.
func (c *conn) isResting() bool { return c.isConnected && c.message != nil }

// moveRequest closes a connection that has received bytes or the end of the stream while it rested, and starts its request
// on another one.
func (c *conn) moveRequest() {
	e := c.exchange
	c.hasRequest = false
	c.detachBody()
	delete(c.pool.active, e.ref)
	c.close(errUnexpectedInput)
	c.pool.startRequest(e.ref, c.host.name, e.message, e.deadline-c.pool.loop.Now(), e.isProbe)
}

// isQuiet reports whether an idle connection has no unread input, neither bytes nor the end of the stream, which may be
// waiting in this turn. Otherwise a request written now would be lost, or the unsolicited bytes be taken for its
// response.
func (c *conn) isQuiet() bool {
	_, err := loop.Read(c.source.FD(), c.pool.loop.ReadBuffer()[:1])
	return errors.Is(err, loop.ErrAgain)
}

// isFull reports whether a new connection could be opened only in place of another one.
func (p *Pool) isFull() bool { return p.connCount+p.predecessorConns >= p.bounds.MaxUpstreamConns }

// evictIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince < oldest.idleSince) {
			oldest = h.idle[0]
		}
	}
	if oldest != nil {
		oldest.close(errEvicted)
	}
	return oldest != nil
}

// keepIdle keeps the connection for the next request, hands it over, or closes it if its host is leaving, has moved or
// was removed.
func (c *conn) keepIdle() {
	c.idleSince = c.pool.loop.Now()
	switch {
	case c.pool.hosts[c.host.name] != c.host, c.host.leaving, c.address != c.host.address:
		c.close(errHostChanged)
	case c.pool.transfer != nil:
		c.handOver()
	default:
		c.host.idle = append(c.host.idle, c)
	}
}
