// Package counter calls the shared quota counter over a few pipelined connections.
package counter

import (
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Sink is told how calls end.
type Sink interface {
	CounterCallEnded(admission.CounterAnswered)
}

// Client holds the connections. A name always goes by the same one, so that its answers keep the order
// of its calls; there are many, so that a slow part of the counter holds up few calls of another.
type Client struct {
	loop  *loop.Loop
	lim   limits.Limits
	log   *slog.Logger
	addr  string
	sink  Sink
	conns []*conn
	// retired are connections that still owe answers and take no new calls: to where the counter was before, or beyond
	// the number that there is to be.
	retired []*conn
	turns   map[string][]*call // calls not told, by name
	heard   time.Duration      // the last answer on any connection
	debugs  bool               // the log takes debug lines
	lost    bool               // told to the operator...
	told    time.Duration      // ...at this time

	released func() // told when no connection is left, nil unless they are being given up
}

// New returns a client. SetSink must follow before the first call.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, addr string) *Client {
	c := &Client{loop: l, lim: lim, log: log, addr: addr, turns: map[string][]*call{},
		debugs: core.DebugEnabled(log)}
	c.conns = make([]*conn, lim.CounterConns)
	c.fresh()
	l.After(sweepEvery, c.sweep)
	return c
}

func (c *Client) fresh() {
	c.conns = make([]*conn, max(len(c.conns), 1))
	for i := range c.conns {
		c.conns[i] = &conn{c: c}
	}
}

// SetAddr makes new calls go to another address. Those that are out end where they were made.
func (c *Client) SetAddr(addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for _, k := range c.conns {
		c.retire(k)
	}
	c.fresh()
}

// retire takes a connection out of use: it ends with the calls that are out on it, after CounterMove at the latest. The
// timer is the connection's own, so that however many moves follow each other, none ends what another has retired.
func (c *Client) retire(k *conn) {
	if len(k.calls) == 0 {
		k.close()
		return
	}
	c.retired = append(c.retired, k)
	k.expiry = c.loop.After(c.lim.CounterMoveTimeout, func() { k.fail("the counter has moved") })
}

// SetSink names who is told of answers.
func (c *Client) SetSink(s Sink) { c.sink = s }

// logEvery: a counter that spoils answer after answer is told of so often.
const logEvery = 10 * time.Second

// sweepEvery is how often idle and silent connections are looked for, releaseEvery those that owe nothing.
const (
	sweepEvery   = 500 * time.Millisecond
	releaseEvery = 2 * time.Millisecond
)

func (c *Client) sweep() {
	c.loop.After(sweepEvery, c.sweep)
	now := c.loop.Now()
	for _, k := range c.conns { // the retired ones have an end set
		switch {
		case k.src == nil:
		case len(k.calls) == 0 && now-k.heard > c.lim.CounterIdleTimeout:
			k.close() // before the counter does: a call that crosses its close may have been added
		case len(k.calls) > 0 && now-max(k.heard, k.calls[0].at) > c.lim.CounterSilenceTimeout:
			k.fail("silent")
		default:
			k.unstick()
		}
	}
}

// Add makes one call.
func (c *Client) Add(name string, by float64, keep time.Duration) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	c.conns[h.Sum32()%uint32(len(c.conns))].add(name, by, keep)
}

// answered notes how a call has ended, and tells what is next of its name. The decision module takes the
// answers of a name to be in the order of its calls; a call that ends at once (too many wait), or at a new
// address, must not be taken for one that is still out.
func (c *Client) answered(k *call, o admission.Outcome, total float64) {
	if k.ended {
		return
	}
	k.ended = true
	k.timer.Stop()
	if o == admission.OK && c.lost {
		c.lost = false
		c.log.Info("counter answers again")
	}
	k.news = admission.CounterAnswered{Name: k.name, Total: total, Took: c.loop.Now() - k.at, Outcome: o}
	q := c.turns[k.name]
	for len(q) > 0 && q[0].ended {
		c.sink.CounterCallEnded(q[0].news)
		q = q[1:]
	}
	if len(q) == 0 {
		delete(c.turns, k.name)
		return
	}
	c.turns[k.name] = q
}

// call is one call not yet answered by the counter. One that has run out of time is told at once, and
// its place is kept, since its answer still comes before the next one's.
type call struct {
	name  string
	at    time.Duration
	end   int // bytes of the connection's stream after which it is wholly written
	ended bool
	news  admission.CounterAnswered // how, once it has
	timer *loop.Timer
}

type conn struct {
	c             *Client
	src           *loop.Source
	parser        *http1.ResponseParser
	up            bool
	out           []byte
	queued, wrote int // bytes over the connection's life
	calls         []*call
	heard         time.Duration
	dialing       *loop.Timer
	expiry        *loop.Timer // once it is retired
	backoff       time.Duration
	notBefore     time.Duration
}

func (k *conn) add(name string, by float64, keep time.Duration) {
	now := k.c.loop.Now()
	q := &call{name: name, at: now}
	k.c.turns[name] = append(k.c.turns[name], q)
	// A silent counter is not written to without bound: what can't be written was not added.
	if len(k.calls) >= k.c.lim.MaxPendingCounterCalls || !k.open() {
		k.c.answered(q, admission.Unreachable, 0)
		return
	}
	target := append(make([]byte, 0, 96), "/counters/"...)
	target = append(target, name...)
	target = append(target, "?by="...)
	target = strconv.AppendFloat(target, by, 'f', -1, 64)
	target = append(target, "&expire_ms="...)
	target = strconv.AppendInt(target, max(1, int64((keep+time.Millisecond-1)/time.Millisecond)), 10)
	before := len(k.out)
	k.out = http1.AppendRequest(k.out, "POST", string(target), "counter", nil, nil)
	k.queued += len(k.out) - before
	q.end = k.queued
	k.calls = append(k.calls, q)
	q.timer = k.c.loop.After(k.c.lim.CounterCallTimeout, func() {
		k.c.answered(q, admission.TimedOut, 0)
		k.unstick()
	})
	if k.up && before == 0 {
		k.flush()
	}
}

// unstick gives the connection up if it owes answers and has said nothing for CounterStuck while another
// connection to the counter was answered meanwhile: the counter works, and this one waits on an answer that
// can't be read to its end, such as a body shorter than its length. Every call behind that would run out of
// time in turn, and so many lost in a row tell the module that the counter is gone. A counter that is slow
// or silent as a whole is heard on none; those wait for CounterSilence.
func (k *conn) unstick() {
	if k.src == nil || len(k.calls) == 0 {
		return
	}
	since := max(k.heard, k.calls[0].at)
	if k.c.loop.Now()-since > k.c.lim.CounterStuckTimeout && k.c.heard > since {
		k.fail("stuck behind an answer that can't be read")
	}
}

// open begins to connect unless it is connected, or has failed a moment ago.
func (k *conn) open() bool {
	now := k.c.loop.Now()
	if k.src != nil {
		return true
	}
	if now < k.notBefore {
		return false
	}
	fd, err := loop.Dial(k.c.addr)
	if err == nil {
		if k.src, err = k.c.loop.Watch(fd, loop.Out|loop.Hangup, k); err != nil {
			loop.CloseFD(fd)
		}
	}
	if err != nil {
		k.lost(err.Error())
		return false
	}
	k.parser = http1.NewResponseParser(k.c.lim.MaxHeaderBytes, k.c.lim.MaxBufferedBodyBytes, 0)
	k.up, k.out, k.queued, k.wrote, k.heard = false, k.out[:0], 0, 0, now
	k.dialing = k.c.loop.After(k.c.lim.DialTimeout, func() { k.fail("no connection in time") })
	return true
}

// Ready goes on with what the connection was about.
func (k *conn) Ready(events uint32) {
	if !k.up {
		if err := loop.DialResult(k.src.FD()); err != nil {
			k.fail(err.Error())
			return
		}
		k.up, k.backoff = true, 0
		k.dialing.Stop()
		k.flush()
		return
	}
	if events&(loop.In|loop.Hangup) != 0 {
		k.read()
	}
	if events&loop.Out != 0 && k.src != nil && len(k.out) > 0 {
		k.flush()
	}
}

func (k *conn) flush() {
	n, err := loop.Write(k.src.FD(), k.out)
	k.wrote += n
	k.out = k.out[:copy(k.out, k.out[n:])]
	if err != nil {
		k.fail(err.Error())
		return
	}
	if len(k.out) > 0 {
		k.src.SetEvents(loop.In | loop.Out | loop.Hangup)
		return
	}
	k.src.SetEvents(loop.In | loop.Hangup)
}

func (k *conn) read() {
	buf := k.c.loop.ReadBuffer()
	n, err := loop.Read(k.src.FD(), buf)
	if err == loop.ErrAgain {
		return
	}
	if err != nil {
		if len(k.calls) == 0 { // it may close an idle connection
			k.close()
			return
		}
		k.fail(err.Error())
		return
	}
	k.parser.Feed(buf[:n])
	for {
		resp, err := k.parser.Next()
		if err != nil {
			k.fail(err.Error())
			return
		}
		if resp == nil {
			return
		}
		if len(k.calls) == 0 {
			k.fail("an answer nobody asked for")
			return
		}
		q := k.calls[0]
		k.calls = k.calls[1:]
		k.heard, k.c.heard = k.c.loop.Now(), k.c.loop.Now()
		o, total := result(resp)
		k.c.answered(q, o, total)
		// After an answer that makes no sense, what follows can't be told apart from the rest of it.
		if resp.Close || o == admission.TimedOut {
			k.fail("the counter's answer ends the connection")
			return
		}
	}
}

// result reads an answer. One that makes no sense may have been added.
func result(r *http1.Response) (admission.Outcome, float64) {
	switch r.Status {
	case 200:
		total, err := strconv.ParseFloat(string(r.Body), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return admission.TimedOut, 0
		}
		return admission.OK, total
	case 503:
		return admission.Full, 0
	case 400, 404:
		return admission.Errored, 0
	}
	return admission.TimedOut, 0
}

// fail ends the connection and its calls. One that was not wholly written was not added; any other may
// have been, or may yet be, as with one that ran out of time.
func (k *conn) fail(why string) {
	if k.c.debugs {
		k.c.log.Debug("counter connection closed", "cause", why, "calls", len(k.calls), "up", k.up)
	}
	calls, wrote := k.calls, k.wrote
	k.close()
	if len(calls) > 0 || !k.up {
		k.lost(why)
	}
	for _, q := range calls {
		if q.end > wrote {
			k.c.answered(q, admission.Unreachable, 0)
		} else {
			k.c.answered(q, admission.TimedOut, 0)
		}
	}
}

func (k *conn) lost(why string) {
	k.backoff = min(max(2*k.backoff, k.c.lim.InitialBackoff), k.c.lim.MaxBackoff)
	k.notBefore = k.c.loop.Now() + k.backoff
	if now := k.c.loop.Now(); !k.c.lost && (k.c.told == 0 || now-k.c.told > logEvery) {
		k.c.lost, k.c.told = true, now
		k.c.log.Warn("counter connection lost", "cause", why)
	}
}

func (k *conn) close() {
	k.dialing.Stop()
	k.expiry.Stop()
	k.src.Close()
	k.src, k.calls, k.out = nil, nil, nil
	if i := slices.Index(k.c.retired, k); i >= 0 {
		k.c.retired = slices.Delete(k.c.retired, i, i+1)
	}
}
