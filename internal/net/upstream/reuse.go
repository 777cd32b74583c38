package upstream

import (
	"errors"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
	"ferryfront.example/ferryfront/internal/net/http1"
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

// unsolicitedMemory is how long duplicate responses are expected after unsolicited bytes on an idle connection.
const unsolicitedMemory = time.Minute

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
// message, it closes the oldest idle connection, so that the number of connections does not grow. A connection on which a
// duplicate response may still arrive is used only at the connection limit, and never for an at-most-once message.
func (p *Pool) takeIdle(h *upstreamHost, m *Message) *conn {
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	if m.AtMostOnce && p.resetStats.isReuseRisky(p.loop.Now()) {
		h.idle[0].close(errReuseRisky)
		return nil
	}
	skipsResting := m.AtMostOnce || !p.isFull()
	for i := n - 1; i >= 0; i-- {
		c := h.idle[i]
		if skipsResting && c.mayReceiveDuplicate() {
			continue
		}
		if !c.isQuiet() {
			c.close(errUnexpectedInput)
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		return c
	}
	return nil
}

// mayReceiveDuplicate reports whether a duplicate of the previous response may still arrive, because that is younger than
// UpstreamReuseDelay. It could not be distinguished from the response to the next request, and each later response of the
// connection would then be taken for that of the request after its own. On a connection that rests instead, a duplicate is
// unsolicited and closes it. Resting costs a connection for each request that comes in that time, and no further handshake
// once there are as many.
func (c *conn) mayReceiveDuplicate() bool {
	return c.pool.loop.Now()-c.idleSince < c.pool.bounds.UpstreamReuseDelay
}

// expectsDuplicates reports whether the pool has received unsolicited bytes within unsolicitedMemory.
func (p *Pool) expectsDuplicates() bool {
	return p.unsolicitedAt > 0 && p.loop.Now()-p.unsolicitedAt < unsolicitedMemory
}

// isFull reports whether a new connection could be opened only in place of another one.
func (p *Pool) isFull() bool { return p.connCount+p.predecessorConns >= p.bounds.MaxUpstreamConns }

// failPossibleDuplicate fails the request if its successful response may be a duplicate of the previous one. It reports
// whether it did. It matters at the connection limit, where connections don't rest. Without unsolicited bytes lately, a
// response that follows so soon is trusted.
func (c *conn) failPossibleDuplicate(resp *http1.Response) bool {
	if !c.isReused || c.isProbe || resp.Status != 200 || !c.pool.expectsDuplicates() || !c.mayReceiveDuplicate() {
		return false
	}
	c.writtenAt = 0 // keeps fail from recording a reset
	c.fail(errPossibleDuplicate)
	return true
}

// isQuiet reports whether an idle connection has no unread input, neither bytes nor the end of the stream, which may be
// waiting in this turn. Otherwise a request written now would be lost, or the unsolicited bytes be taken for its
// response.
func (c *conn) isQuiet() bool {
	_, err := loop.Read(c.source.FD(), c.pool.loop.ReadBuffer()[:1])
	if err == nil {
		c.pool.unsolicitedAt = c.pool.loop.Now()
	}
	return errors.Is(err, loop.ErrAgain)
}

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
