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
	isPending bool
	timeout   time.Duration // of one sent before its request was whole: from then on; 0: to the deadline
}

type stream struct {
	id                        uint64
	requestID, idempotencyKey string
	payload                   Payload
	owner                     Owner
	startedAt, deadline       time.Duration
	class, plan               int
	customer                  uint64
	isRetry                   bool
	repeatWindow              time.Duration // for which a repeat of its key is recognised, as its class said when it came
	trace                     Trace
	timeout                   time.Duration // of one that is open: its time, once it is whole
	isIncomplete              bool
	isClosed                  bool
	isLeaveUnreported         bool // its client has left, which the module has yet to be told
	isReleased                bool // what no two streams may have at a time is free again
	hasTimedOut               bool // its last upstream request ran out of time
	attempts                  []attempt
	pendingAttempts           int
}

type timer struct {
	kind  timerKind
	ref   Ref
	token uint64
}

type probe struct {
	host      string
	startedAt time.Duration
}

// Core is owned by the loop's goroutine.
type Core struct {
	decider        Decider
	upstreams      Upstreams
	counter        Counter
	cluster        Cluster
	observer       Observer
	metrics        *figures.Metrics
	log            *slog.Logger
	deadlineMargin time.Duration

	now               time.Duration
	lastID            uint64
	streams           map[uint64]*stream
	requestIDs        map[string]struct{} // of the streams
	probes            map[uint64]probe
	openStreams       int // streams not ended
	incompleteStreams int // those of them whose requests are not whole
	timers            timerq.Queue[timer]
	events            []admission.Event
	spareEvents       []admission.Event
	actions           []admission.Action
	unreportedLeaves  []*stream // see stream.leaving
	idempotencyKeys   keyTable

	isDebugEnabled     bool             // the log takes debug lines
	endReason          admission.Reason // of the end that the module has just ordered
	isExecuting        bool             // actions are being carried out
	isHeld             bool             // the module is given nothing yet
	handoverObserver   HandoverObserver
	parksCounterCalls  bool // counter calls wait,
	dropsCounterCalls  bool // or are a successor's to make
	parkedCounterCalls []admission.CounterAdd
	predecessorStreams map[uint64]StreamState // of the predecessor
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
		observer: c.Observer, metrics: c.Metrics, log: c.Log, deadlineMargin: c.DeadlineMargin,
		streams: map[uint64]*stream{}, requestIDs: map[string]struct{}{}, probes: map[uint64]probe{},
		idempotencyKeys:    keyTable{repeatWindows: c.RepeatWindows, entries: map[string]*keyEntry{}, hostLocations: map[string]location{}},
		predecessorStreams: map[uint64]StreamState{}, isDebugEnabled: DebugEnabled(c.Log)}
}

// Observed tells whether anybody is told of streams' ends, and so whether traces are worth keeping.
func (c *Core) HasObserver() bool { return c.observer != nil }

// OpenStreams tells how many streams are owed an answer.
func (c *Core) OpenStreams() int { return c.openStreams }

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
	window := c.idempotencyKeys.repeatWindow(r.Class)
	if window == 0 {
		r.IdempotencyKey = ""
	}
	c.idempotencyKeys.removeExpired(c.now)
	c.cancelDisconnectedStream(r.IdempotencyKey)
	if r.IdempotencyKey != "" && c.idempotencyKeys.hasOpenStream(r.IdempotencyKey) {
		c.logRequestRejected(r, "its idempotency key is open")
		c.countEnd(r.Class, Failed) // the front answers with an error
		return 0
	}
	if r.RequestID != "" {
		if _, taken := c.requestIDs[r.RequestID]; taken {
			c.logRequestRejected(r, "its id is open")
			c.countEnd(r.Class, Failed)
			return 0
		}
		c.requestIDs[r.RequestID] = struct{}{}
	}
	c.lastID++
	ev := r.RequestArrived
	ev.ID = c.lastID
	ev.ExpiresIn = max(0, ev.ExpiresIn-c.deadlineMargin)
	if r.IdempotencyKey != "" {
		ev.Earlier = c.idempotencyKeys.earlierAttempt(r.IdempotencyKey, c.now)
		c.idempotencyKeys.openStream(r.IdempotencyKey, ev.ID)
	}
	s := &stream{id: ev.ID, requestID: r.RequestID, idempotencyKey: r.IdempotencyKey, payload: r.Payload, owner: r.Owner, startedAt: c.now, deadline: c.now + ev.ExpiresIn,
		class: ev.Class, plan: ev.Plan, customer: ev.Customer, isRetry: ev.Retry, repeatWindow: window,
		trace: r.Trace}
	c.streams[s.id] = s
	c.openStreams++
	if r.IsIncomplete {
		s.isIncomplete, s.timeout, s.deadline = true, ev.ExpiresIn, c.now+maxIncompleteDuration
		c.incompleteStreams++
	} else {
		c.setDeadlineTimers(s)
	}
	c.logRequestStarted(s, ev.ExpiresIn)
	c.events = append(c.events, ev)
	return s.id
}

// UpstreamEnded takes the outcome of an upstream request. The first good answer is the stream's.
func (c *Core) UpstreamEnded(now time.Duration, ref Ref, o admission.Outcome, a Answer) {
	c.AdvanceClock(now)
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].isPending {
		discardAnswer(a)
		return
	}
	t := &s.attempts[ref.Attempt]
	t.isPending, t.Outcome, t.Took = false, o, c.now-t.Began
	c.logAttemptEnded(s, ref, t.Host, o, t.Took)
	s.pendingAttempts--
	s.hasTimedOut = o == admission.TimedOut
	if o == admission.OK && !s.isClosed {
		c.closeStream(s, End{Kind: Served, Answer: a})
	} else {
		discardAnswer(a)
	}
	if s.idempotencyKey != "" && neverRan(o) {
		c.idempotencyKeys.clearAttempt(s.idempotencyKey, t.Host, t.Began)
	}
	ev := admission.AttemptEnded{ID: s.id, Attempt: ref.Attempt, Server: t.Host, Outcome: o, Took: t.Took, Done: s.isClosed,
		Billed: a.Billed, Gone: isPayloadGone(s.payload)}
	c.events = append(c.events, ev)
	if c.handoverObserver != nil {
		c.handoverObserver.AttemptEnded(ev, c.now)
	}
	c.removeIfFinished(s)
}

// ProbeEnded takes the outcome of a probe.
func (c *Core) ProbeEnded(now time.Duration, ref Ref, o admission.Outcome) {
	c.AdvanceClock(now)
	if p, ok := c.probes[ref.Stream]; ok {
		delete(c.probes, ref.Stream)
		c.events = append(c.events, admission.ProbeEnded{Server: p.host, Took: c.now - p.startedAt, Outcome: o})
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
	c.idempotencyKeys.updateLocations(ev)
	c.events = append(c.events, ev)
}
