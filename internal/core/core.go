// Package core holds the streams: client requests that are owed one answer each, and
// the upstream requests made for them. It knows no wire and decides nothing: it
// gathers a turn's events, gives them to the decision module in one go and then
// carries out what came back.
package core

import (
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/timerq"
)

type attempt struct {
	AttemptRecord
	live bool
	wait time.Duration // of one sent before its request was whole: from then on; 0: to the deadline
}

type stream struct {
	id          uint64
	key, order  string
	payload     Payload
	owner       Owner
	began, ends time.Duration
	class, plan int
	customer    uint64
	retry       bool
	window      time.Duration // for which a repeat of its key is recognised, as its class said when it came
	trace       Trace
	expires     time.Duration // of one that is open: its time, once it is whole
	open        bool
	closed      bool
	leaving     bool // its client has left, which the module has yet to be told
	released    bool // what no two streams may have at a time is free again
	timedOut    bool // its last upstream request ran out of time
	attempts    []attempt
	live        int
}

type due struct {
	kind  timerKind
	ref   Ref
	token uint64
}

type probe struct {
	host  string
	began time.Duration
}

// Core is owned by the loop's goroutine.
type Core struct {
	decider   Decider
	upstreams Upstreams
	counter   Counter
	cluster   Cluster
	observer  Observer
	figures   *figures.Metrics
	log       *slog.Logger
	margin    time.Duration

	now     time.Duration
	lastID  uint64
	streams map[uint64]*stream
	keys    map[string]struct{} // of the streams
	probes  map[uint64]probe
	open    int // streams not ended
	coming  int // those of them whose requests are not whole
	timers  timerq.Queue[due]
	events  []admission.Event
	spare   []admission.Event
	actions []admission.Action
	leaving []*stream // see stream.leaving
	orders  orders

	debugs   bool             // the log takes debug lines
	reason   admission.Reason // of the end that the module has just ordered
	turning  bool             // actions are being carried out
	held     bool             // the module is given nothing yet
	witness  HandoverObserver
	parking  bool // counter calls wait,
	dropping bool // or are a successor's to make
	parked   []admission.CounterAdd
	theirs   map[uint64]StreamState // of the predecessor
}

// Config holds what a core is built of. Margin is how long before the client's own deadline
// an answer has to be on its way.
type Config struct {
	Decider        Decider
	Upstreams      Upstreams
	Counter        Counter
	Cluster        Cluster
	Observer       Observer         // may be nil
	Metrics        *figures.Metrics // may be nil: nobody reads them
	Log            *slog.Logger
	DeadlineMargin time.Duration
	RepeatWindows  []time.Duration // by class, for which a repeat of its key is recognised; 0: it carries none
}

// New returns a core without streams.
func New(c Config) *Core {
	if c.Metrics == nil {
		c.Metrics = &figures.Metrics{}
	}
	return &Core{decider: c.Decider, upstreams: c.Upstreams, counter: c.Counter, cluster: c.Cluster,
		observer: c.Observer, figures: c.Metrics, log: c.Log, margin: c.DeadlineMargin,
		streams: map[uint64]*stream{}, keys: map[string]struct{}{}, probes: map[uint64]probe{},
		orders: orders{windows: c.RepeatWindows, byKey: map[string]*order{}, places: map[string]place{}},
		theirs: map[uint64]StreamState{}, debugs: DebugEnabled(c.Log)}
}

// Observed tells whether anybody is told of streams' ends, and so whether traces are worth keeping.
func (c *Core) HasObserver() bool { return c.observer != nil }

// OpenStreams tells how many streams are owed an answer.
func (c *Core) OpenStreams() int { return c.open }

// TrackedStreams tells how many are open or have something out still.
func (c *Core) TrackedStreams() int { return len(c.streams) }

// HasPendingEvents tells whether the module has not seen all that has happened.
func (c *Core) HasPendingEvents() bool { return len(c.events) > 0 }

// AdvanceClock sets the time of the turn that begins.
func (c *Core) AdvanceClock(now time.Duration) { c.now = max(c.now, now) }

// Arrive opens a stream and returns its id, which is the core's own. It returns 0 and opens none where a
// stream with the same key or order is open, or something of it is still out: upstream hosts would take one
// for a second copy of the other.
func (c *Core) StartStream(now time.Duration, r Request) uint64 {
	c.AdvanceClock(now)
	window := c.orders.window(r.Class)
	if window == 0 {
		r.IdempotencyKey = ""
	}
	c.orders.expire(c.now)
	c.callOff(r.IdempotencyKey)
	if r.IdempotencyKey != "" && c.orders.open(r.IdempotencyKey) {
		c.traceTurnedDown(r, "its idempotency key is open")
		c.tally(r.Class, Failed) // the front answers with an error
		return 0
	}
	if r.RequestID != "" {
		if _, taken := c.keys[r.RequestID]; taken {
			c.traceTurnedDown(r, "its id is open")
			c.tally(r.Class, Failed)
			return 0
		}
		c.keys[r.RequestID] = struct{}{}
	}
	c.lastID++
	ev := r.RequestArrived
	ev.ID = c.lastID
	ev.ExpiresIn = max(0, ev.ExpiresIn-c.margin)
	if r.IdempotencyKey != "" {
		ev.PriorAttempt = c.orders.earlier(r.IdempotencyKey, c.now)
		c.orders.begin(r.IdempotencyKey, ev.ID)
	}
	s := &stream{id: ev.ID, key: r.RequestID, order: r.IdempotencyKey, payload: r.Payload, owner: r.Owner, began: c.now, ends: c.now + ev.ExpiresIn,
		class: ev.Class, plan: ev.Plan, customer: ev.Customer, retry: ev.IsRetry, window: window,
		trace: r.Trace}
	c.streams[s.id] = s
	c.open++
	if r.IsIncomplete {
		s.open, s.expires, s.ends = true, ev.ExpiresIn, c.now+openMost
		c.coming++
	} else {
		c.runOut(s)
	}
	c.traceArrived(s, ev.ExpiresIn)
	c.events = append(c.events, ev)
	return s.id
}

// UpstreamEnded takes the outcome of an upstream request. The first good answer is the stream's.
func (c *Core) UpstreamEnded(now time.Duration, ref Ref, o admission.Outcome, a Answer) {
	c.AdvanceClock(now)
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].live {
		drop(a)
		return
	}
	t := &s.attempts[ref.Attempt]
	t.live, t.Outcome, t.Took = false, o, c.now-t.Began
	c.traceAttemptEnded(s, ref, t.Host, o, t.Took)
	s.live--
	s.timedOut = o == admission.TimedOut
	if o == admission.OK && !s.closed {
		c.end(s, End{Kind: Served, Answer: a})
	} else {
		drop(a)
	}
	if s.order != "" && unran(o) {
		c.orders.unran(s.order, t.Host, t.Began)
	}
	ev := admission.AttemptEnded{ID: s.id, Attempt: ref.Attempt, Server: t.Host, Outcome: o, Took: t.Took, Done: s.closed,
		Billed: a.Billed, NotReplayable: gone(s.payload)}
	c.events = append(c.events, ev)
	if c.witness != nil {
		c.witness.AttemptEnded(ev, c.now)
	}
	c.forget(s)
}

// ProbeEnded takes the outcome of a probe.
func (c *Core) ProbeEnded(now time.Duration, ref Ref, o admission.Outcome) {
	c.AdvanceClock(now)
	if p, ok := c.probes[ref.Stream]; ok {
		delete(c.probes, ref.Stream)
		c.events = append(c.events, admission.ProbeEnded{Server: p.host, Took: c.now - p.began, Outcome: o})
	}
}

// Counted takes the answer to a counter call.
func (c *Core) CounterCallEnded(ev admission.CounterAnswered) {
	c.events = append(c.events, ev)
	if c.observer != nil {
		c.observer.CounterAnswered(ev.Outcome, ev.Took)
	}
}

// List takes discovery's news.
func (c *Core) ServerListReceived(ev admission.ServerList) {
	c.orders.list(ev)
	c.events = append(c.events, ev)
}
