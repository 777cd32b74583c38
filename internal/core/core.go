// Package core tracks streams, which are clients' requests that are owed one answer each, and the upstream requests made
// for them. It knows no wire protocol and decides nothing: each turn of the event loop it passes the events that have
// occurred to the decision module and then carries out the actions that the module returned.
package core

import (
	"log/slog"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/timerq"
)

// probe is a pending health probe of a host.
type probe struct {
	host      string
	startedAt time.Duration
}

// Core tracks the streams of one process. It has no locks: all methods are called by the goroutine of the event loop.
// Times are readings of the loop's clock.
type Core struct {
	decider        Decider
	upstreams      Upstreams
	counter        Counter
	cluster        Cluster
	observer       Observer // may be nil
	metrics        *figures.Metrics
	log            *slog.Logger
	deadlineMargin time.Duration

	now              time.Duration
	lastID           uint64 // last id given to a stream or probe
	streams          map[uint64]*stream
	requestIDs       map[string]struct{} // of the tracked streams and the predecessor's
	probes           map[uint64]probe
	openStreams      int // streams that have not ended
	partialStreams   int // open streams whose request has not fully arrived
	timers           timerq.Queue[timer]
	events           []admission.Event // for the module's next turn
	spareEvents      []admission.Event // the previous turn's slice, reused
	actions          []admission.Action
	abandonedStreams []*stream // abandoned since the last turn; see stream.isClientLeftPending
	isClosed         bool      // no upstream request is made any more; see Close
	lateStreams      []*stream // started since the last turn, to be ended without the module
	idempotencyKeys  keyTable
	ranRequests      ranTable

	isDebugEnabled       bool
	endReason            admission.Reason // of the end that the module has just ordered, for the debug log
	isExecuting          bool             // actions are being carried out
	isHeld               bool             // turns are stopped until Restore
	handoverObserver     HandoverObserver // nil unless a handover is in progress
	defersCounterCalls   bool             // counter calls are collected in deferredCounterCalls
	dropsCounterCalls    bool             // counter calls are left to the successor
	deferredCounterCalls []admission.CounterAdd
	predecessorStreams   map[uint64]StreamState // the predecessor's streams that have not finished
	predecessorRan       map[uint64]struct{}    // those of them of which an attempt that has ended may have run
}

// Config holds the dependencies and settings of a Core.
type Config struct {
	Decider   Decider
	Upstreams Upstreams
	Counter   Counter
	Cluster   Cluster
	Observer  Observer         // may be nil
	Metrics   *figures.Metrics // may be nil
	Log       *slog.Logger
	// DeadlineMargin is how long before the client's own deadline a stream must be answered.
	DeadlineMargin time.Duration
	// RepeatWindows holds for each class how long upstream hosts drop a repeat of an idempotency key. 0: the class has no
	// keys.
	RepeatWindows []time.Duration
	// MaxKeys bounds the idempotency keys that are remembered; 0: no bound. A request with a further one is refused.
	MaxKeys int
}

// New returns a core without streams.
func New(config Config) *Core {
	if config.Metrics == nil {
		config.Metrics = &figures.Metrics{}
	}
	return &Core{decider: config.Decider, upstreams: config.Upstreams, counter: config.Counter, cluster: config.Cluster,
		observer: config.Observer, metrics: config.Metrics, log: config.Log, deadlineMargin: config.DeadlineMargin,
		streams: map[uint64]*stream{}, requestIDs: map[string]struct{}{}, probes: map[uint64]probe{},
		idempotencyKeys: keyTable{repeatWindows: config.RepeatWindows, maxEntries: config.MaxKeys, entries: map[string]*keyEntry{},
			hostLocations: map[string]location{}},
		predecessorStreams: map[uint64]StreamState{}, predecessorRan: map[uint64]struct{}{}, isDebugEnabled: DebugEnabled(config.Log)}
}

// HasObserver reports whether ended streams are observed, and so whether Request.Trace is used.
func (c *Core) HasObserver() bool { return c.observer != nil }

// OpenStreams returns the number of streams that are owed an answer.
func (c *Core) OpenStreams() int { return c.openStreams }

// TrackedStreams returns the number of streams that are open or have pending upstream requests.
func (c *Core) TrackedStreams() int { return len(c.streams) }

// CompleteRequests returns the number of open streams whose request has fully arrived.
func (c *Core) CompleteRequests() int { return c.openStreams - c.partialStreams }

// HasPendingEvents reports whether there are events that the module has not seen.
func (c *Core) HasPendingEvents() bool { return len(c.events) > 0 }

// AdvanceClock sets the core's time to now, unless that would set it back.
func (c *Core) AdvanceClock(now time.Duration) { c.now = max(c.now, now) }

// SetCounter replaces the counter for all further calls.
func (c *Core) SetCounter(counter Counter) { c.counter = counter }

// UpdateSettings passes new settings to the module and takes their repeat windows for new streams. Streams that are open
// keep the window they started with.
func (c *Core) UpdateSettings(now time.Duration, settings admission.Settings) {
	c.AdvanceClock(now)
	c.idempotencyKeys.repeatWindows = RepeatWindows(settings.Classes)
	c.events = append(c.events, admission.SettingsChanged{Settings: settings})
}

// Enqueue adds an event that belongs to no stream behind the pending events.
func (c *Core) Enqueue(ev admission.Event) { c.events = append(c.events, ev) }

// EnqueueFirst adds an event in front of all pending ones, including those left over from the last turn. It serves events
// that withdraw something, such as a share of a budget, which the module must not use any more for the pending events.
func (c *Core) EnqueueFirst(ev admission.Event) { c.events = slices.Insert(c.events, 0, ev) }

// ProbeEnded reports the outcome of a health probe. It ignores a probe that has already ended.
func (c *Core) ProbeEnded(now time.Duration, ref Ref, outcome admission.Outcome) {
	c.AdvanceClock(now)
	if p, ok := c.probes[ref.Stream]; ok {
		delete(c.probes, ref.Stream)
		c.events = append(c.events, admission.ProbeEnded{Server: p.host, Took: c.now - p.startedAt, Outcome: outcome})
	}
}

// CounterCallEnded reports the result of a counter call.
func (c *Core) CounterCallEnded(ev admission.CounterAnswered) {
	c.events = append(c.events, ev)
	if c.observer != nil {
		c.observer.CounterAnswered(ev.Outcome, ev.Took)
	}
}

// ServerListReceived reports a host list, or changes of it, from discovery.
func (c *Core) ServerListReceived(ev admission.ServerList) {
	c.idempotencyKeys.updateLocations(ev)
	c.events = append(c.events, ev)
}
