package upstream

import (
	"errors"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Whether a kept connection is good enough for a request that must not run twice. A host, or what stands before
// it, may drop kept connections without a word: the next request on one is reset, and nobody can tell whether it
// ran. One that may be repeated loses little by it. One that must never run twice is lost, for the price of a
// handshake. So what became of requests on kept and on new connections is watched, and while kept ones lose
// visibly more, such requests go on new ones.

const (
	resetRateWeight   = 0.01 // EWMA weight of one request in the part reset, on kept and on new connections
	resetRateMemory   = 60.0 // seconds for which that is remembered while nothing is seen
	maxExtraResetRate = 0.01 // part lost more on kept than on new ones that is worth a handshake, its cost in a request's
	// work: 1 to 2 ms of 100
	resetWindow = 25 * time.Millisecond // a reset this soon after the writing is the connection's, later the host's
)

// unsolicitedMemory is for how long it is remembered that bytes came which nobody had asked for.
const unsolicitedMemory = time.Minute

// resetStats is what was seen of resets.
type resetStats struct{ reusedConns, newConns estimate.FadingAverage }

// record takes in the end of a request: whether it was reset before a byte of its answer came, soon after it was
// written.
func (r *resetStats) record(now time.Duration, kept, reset bool) {
	of := &r.newConns
	if kept {
		of = &r.reusedConns
	}
	of.LearnBool(now, resetRateMemory, resetRateWeight, reset)
}

// isReuseRisky tells whether kept connections lose so many more than new ones that a handshake costs less.
func (r *resetStats) isReuseRisky(now time.Duration) bool {
	return r.reusedConns.Now(now, resetRateMemory)-r.newConns.Now(now, resetRateMemory) > maxExtraResetRate
}

// takeIdle returns the kept connection that a message is to go on, nil: a new one. Where one is passed over as
// risky, the oldest makes room, so that there are no more of them than without. What must not run twice goes on
// none that has just answered: a second answer to the request before may follow, see [conn.fresh].
func (p *Pool) takeIdle(h *upstreamHost, m *Message) *conn {
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	if m.AtMostOnce && p.resetStats.isReuseRisky(p.loop.Now()) {
		h.idle[0].close(errReuseRisky)
		return nil
	}
	for i := n - 1; i >= 0; i-- {
		c := h.idle[i]
		if m.AtMostOnce && c.mayReceiveDuplicate() {
			continue
		}
		if !c.isQuiet() {
			c.close(errUnexpectedInput)
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		c.isReused = true
		return c
	}
	return nil
}

// mayReceiveDuplicate tells whether a kept connection's last answer is so new that a second one to the same request may still
// follow, as some have of late. What is said to be served then may be that one: nothing tells the two apart, and
// it is taken for a connection that broke. Where nobody sends second answers a fast host is believed; to have each
// connection rest would cost a handshake wherever the next request waits for the answer before.
func (c *conn) mayReceiveDuplicate() bool {
	now := c.pool.loop.Now()
	return c.pool.unsolicitedAt > 0 && now-c.pool.unsolicitedAt < unsolicitedMemory && now-c.idleSince < c.pool.bounds.UpstreamRest
}

// failPossibleDuplicate ends a connection whose answer may be a second one to the request before.
func (c *conn) failPossibleDuplicate(resp *http1.Response) bool {
	if !c.isReused || c.isProbe || resp.Status != 200 || !c.mayReceiveDuplicate() {
		return false
	}
	c.writtenAt = 0 // no reset of the host's
	c.fail(errPossibleDuplicate)
	return true
}

// isQuiet tells whether nothing has come of a connection at rest, not even its end, which may wait to be read in
// this turn: a request written now would be lost, or what belongs to no request be taken for its answer.
func (c *conn) isQuiet() bool {
	_, err := loop.Read(c.source.FD(), c.pool.loop.ReadBuffer()[:1])
	if err == nil {
		c.pool.unsolicitedAt = c.pool.loop.Now()
	}
	return errors.Is(err, loop.ErrAgain)
}

// evictIdle closes the connection that has been idle longest.
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

// keepIdle keeps the connection for the next request.
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
