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
	reuseGain   = 0.01 // EWMA weight of one request in the part reset, on kept and on new connections
	reuseMemory = 60.0 // seconds for which that is remembered while nothing is seen
	reuseLoss   = 0.01 // part lost more on kept than on new ones that is worth a handshake, its cost in a request's
	// work: 1 to 2 ms of 100
	reuseSoon = 25 * time.Millisecond // a reset this soon after the writing is the connection's, later the host's
)

// noiseMemory is for how long it is remembered that bytes came which nobody had asked for.
const noiseMemory = time.Minute

// reuse is what was seen of resets.
type reuse struct{ kept, fresh estimate.FadingAverage }

// learn takes in the end of a request: whether it was reset before a byte of its answer came, soon after it was
// written.
func (r *reuse) learn(now time.Duration, kept, reset bool) {
	of := &r.fresh
	if kept {
		of = &r.kept
	}
	of.LearnBool(now, reuseMemory, reuseGain, reset)
}

// risky tells whether kept connections lose so many more than new ones that a handshake costs less.
func (r *reuse) risky(now time.Duration) bool {
	return r.kept.Now(now, reuseMemory)-r.fresh.Now(now, reuseMemory) > reuseLoss
}

// keeps returns the kept connection that a message is to go on, nil: a new one. Where one is passed over as
// risky, the oldest makes room, so that there are no more of them than without. What must not run twice goes on
// none that has just answered: a second answer to the request before may follow, see [conn.fresh].
func (p *Pool) keeps(h *host, m *Message) *conn {
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	if m.AtMostOnce && p.reuse.risky(p.loop.Now()) {
		h.idle[0].close(errRisky)
		return nil
	}
	for i := n - 1; i >= 0; i-- {
		c := h.idle[i]
		if m.AtMostOnce && c.fresh() {
			continue
		}
		if !c.quiet() {
			c.close(errNotQuiet)
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		c.kept = true
		return c
	}
	return nil
}

// fresh tells whether a kept connection's last answer is so new that a second one to the same request may still
// follow, as some have of late. What is said to be served then may be that one: nothing tells the two apart, and
// it is taken for a connection that broke. Where nobody sends second answers a fast host is believed; to have each
// connection rest would cost a handshake wherever the next request waits for the answer before.
func (c *conn) fresh() bool {
	now := c.p.loop.Now()
	return c.p.noisyAt > 0 && now-c.p.noisyAt < noiseMemory && now-c.since < c.p.lim.UpstreamReuseDelay
}

// doubtful ends a connection whose answer may be a second one to the request before.
func (c *conn) doubtful(resp *http1.Response) bool {
	if !c.kept || c.probe || resp.Status != 200 || !c.fresh() {
		return false
	}
	c.wrote = 0 // no reset of the host's
	c.fail(errSecond)
	return true
}

// quiet tells whether nothing has come of a connection at rest, not even its end, which may wait to be read in
// this turn: a request written now would be lost, or what belongs to no request be taken for its answer.
func (c *conn) quiet() bool {
	_, err := loop.Read(c.src.FD(), c.p.loop.ReadBuffer()[:1])
	if err == nil {
		c.p.noisyAt = c.p.loop.Now()
	}
	return errors.Is(err, loop.ErrAgain)
}

// makeRoom closes the connection that has been idle longest.
func (p *Pool) makeRoom() bool {
	var oldest *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].since < oldest.since) {
			oldest = h.idle[0]
		}
	}
	if oldest != nil {
		oldest.close(errForRoom)
	}
	return oldest != nil
}

// rest keeps the connection for the next request.
func (c *conn) rest() {
	c.since = c.p.loop.Now()
	switch {
	case c.p.hosts[c.h.name] != c.h, c.h.leaving, c.addr != c.h.addr:
		c.close(errNotKept)
	case c.p.hand != nil:
		c.give()
	default:
		c.h.idle = append(c.h.idle, c)
	}
}
