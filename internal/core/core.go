// Package core holds the streams: client requests that are owed one answer each, and
// the upstream requests made for them. It knows no wire and decides nothing: it
// gathers a turn's events, gives them to the decision module in one go and then
// carries out what came back.
package core

import (
	"fmt"
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

type timerKind int

const (
	moduleTimer timerKind = iota
	waitOver              // of an upstream request
	deadline              // of a stream: upstream requests end here
	overdue               // of a stream that nobody answered
	probeOver
	windowOver // of a repeat: it is not begun any more
)

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
	figures   *figures.Figures
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
	witness  Witness
	parking  bool // counter calls wait,
	dropping bool // or are a successor's to make
	parked   []admission.CounterAdd
	theirs   map[uint64]OpenStream // of the predecessor
}

// Config holds what a core is built of. Margin is how long before the client's own deadline
// an answer has to be on its way.
type Config struct {
	Decider   Decider
	Upstreams Upstreams
	Counter   Counter
	Cluster   Cluster
	Observer  Observer         // may be nil
	Figures   *figures.Figures // may be nil: nobody reads them
	Log       *slog.Logger
	Margin    time.Duration
	Windows   []time.Duration // by class, for which a repeat of its key is recognised; 0: it carries none
}

// New returns a core without streams.
func New(c Config) *Core {
	if c.Figures == nil {
		c.Figures = &figures.Figures{}
	}
	return &Core{decider: c.Decider, upstreams: c.Upstreams, counter: c.Counter, cluster: c.Cluster,
		observer: c.Observer, figures: c.Figures, log: c.Log, margin: c.Margin,
		streams: map[uint64]*stream{}, keys: map[string]struct{}{}, probes: map[uint64]probe{},
		orders: orders{windows: c.Windows, byKey: map[string]*order{}, places: map[string]place{}},
		theirs: map[uint64]OpenStream{}, debugs: Debugs(c.Log)}
}

// Observed tells whether anybody is told of streams' ends, and so whether traces are worth keeping.
func (c *Core) Observed() bool { return c.observer != nil }

// Open tells how many streams are owed an answer.
func (c *Core) Open() int { return c.open }

// Streams tells how many are open or have something out still.
func (c *Core) Streams() int { return len(c.streams) }

// Pending tells whether the module has not seen all that has happened.
func (c *Core) Pending() bool { return len(c.events) > 0 }

// Tick sets the time of the turn that begins.
func (c *Core) Tick(now time.Duration) { c.now = max(c.now, now) }

// Arrive opens a stream and returns its id, which is the core's own. It returns 0 and opens none where a
// stream with the same key or order is open, or something of it is still out: upstream hosts would take one
// for a second copy of the other.
func (c *Core) Arrive(now time.Duration, r Request) uint64 {
	c.Tick(now)
	window := c.orders.window(r.Class)
	if window == 0 {
		r.Order = ""
	}
	c.orders.expire(c.now)
	c.callOff(r.Order)
	if r.Order != "" && c.orders.open(r.Order) {
		c.traceTurnedDown(r, "its idempotency key is open")
		c.tally(r.Class, Failed) // the front answers with an error
		return 0
	}
	if r.Key != "" {
		if _, taken := c.keys[r.Key]; taken {
			c.traceTurnedDown(r, "its id is open")
			c.tally(r.Class, Failed)
			return 0
		}
		c.keys[r.Key] = struct{}{}
	}
	c.lastID++
	ev := r.RequestArrived
	ev.ID = c.lastID
	ev.ExpiresIn = max(0, ev.ExpiresIn-c.margin)
	if r.Order != "" {
		ev.Earlier = c.orders.earlier(r.Order, c.now)
		c.orders.begin(r.Order, ev.ID)
	}
	s := &stream{id: ev.ID, key: r.Key, order: r.Order, payload: r.Payload, owner: r.Owner, began: c.now, ends: c.now + ev.ExpiresIn,
		class: ev.Class, plan: ev.Plan, customer: ev.Customer, retry: ev.Retry, window: window,
		trace: r.Trace}
	c.streams[s.id] = s
	c.open++
	if r.Open {
		s.open, s.expires, s.ends = true, ev.ExpiresIn, c.now+openMost
		c.coming++
	} else {
		c.runOut(s)
	}
	c.traceArrived(s, ev.ExpiresIn)
	c.events = append(c.events, ev)
	return s.id
}

// Leave tells that a stream's client has gone.
func (c *Core) Leave(now time.Duration, id uint64) {
	c.Tick(now)
	if s := c.streams[id]; s != nil && !s.closed {
		s.owner = nil
		c.leave(s, Left)
	}
}

// leave ends a stream that nobody waits for any more. What waits for its connection is not sent on, whatever the
// module makes of attempts that are out.
func (c *Core) leave(s *stream, kind EndKind) {
	s.leaving = true
	c.leaving = append(c.leaving, s)
	c.end(s, End{Kind: kind})
	c.events = append(c.events, admission.ClientLeft{ID: s.id})
	for i := range s.attempts {
		c.withdraw(Ref{s.id, i})
	}
}

// Abandon ends every stream that is still open, for there is no time left to wait for its answer.
func (c *Core) Abandon(now time.Duration) {
	c.Tick(now)
	for _, s := range c.streams {
		if !s.closed {
			c.leave(s, Expired)
		}
	}
}

// UpstreamEnded takes the outcome of an upstream request. The first good answer is the stream's.
func (c *Core) UpstreamEnded(now time.Duration, ref Ref, o admission.Outcome, a Answer) {
	c.Tick(now)
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
		Billed: a.Billed, Gone: gone(s.payload)}
	c.events = append(c.events, ev)
	if c.witness != nil {
		c.witness.AttemptEnded(ev, c.now)
	}
	c.forget(s)
}

// ProbeEnded takes the outcome of a probe.
func (c *Core) ProbeEnded(now time.Duration, ref Ref, o admission.Outcome) {
	c.Tick(now)
	if p, ok := c.probes[ref.Stream]; ok {
		delete(c.probes, ref.Stream)
		c.events = append(c.events, admission.ProbeEnded{Server: p.host, Took: c.now - p.began, Outcome: o})
	}
}

// Counted takes the answer to a counter call.
func (c *Core) Counted(ev admission.CounterAnswered) {
	c.events = append(c.events, ev)
	if c.observer != nil {
		c.observer.CounterAnswered(ev.Outcome, ev.Took)
	}
}

// List takes discovery's news.
func (c *Core) List(ev admission.ServerList) {
	c.orders.list(ev)
	c.events = append(c.events, ev)
}

// Turn fires what is due, gives the turn's events to the module in one go and carries out the
// actions. It returns when it needs the next turn, 0 for never.
func (c *Core) Turn(now time.Duration) time.Duration {
	c.Tick(now)
	if c.held {
		return 0
	}
	for {
		d, ok := c.timers.Pop(c.now)
		if !ok {
			break
		}
		c.fire(d)
	}
	events := c.events
	c.events, c.spare = c.spare[:0], events
	leaving := c.leaving
	c.leaving = nil
	c.actions = c.actions[:0]
	for _, ev := range events {
		c.handle(ev)
	}
	clear(events)
	c.Do(c.actions)
	c.told(leaving)
	if len(c.events) > 0 { // carrying out has brought news
		return c.now
	}
	c.timers.Skip(c.matters)
	next, _ := c.timers.Next()
	return next
}

// matters tells whether a timer can still do something. Most streams end long before their deadlines,
// and a turn for nothing costs as much as one for a request.
func (c *Core) matters(d due) bool {
	switch d.kind {
	case waitOver, windowOver:
		s := c.streams[d.ref.Stream]
		return s != nil && s.attempts[d.ref.Attempt].live
	case deadline, overdue:
		return c.streams[d.ref.Stream] != nil
	case probeOver:
		_, ok := c.probes[d.ref.Stream]
		return ok
	}
	return true
}

// handle runs the module on one event. A fault in it must not take the other streams along; the one
// that met it is still answered, at its deadline.
func (c *Core) handle(ev admission.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module failed", "event", fmt.Sprintf("%T", ev), "fault", fmt.Sprint(r))
		}
	}()
	c.actions = append(c.actions, c.decider.Handle(c.now, ev)...)
}

func (c *Core) fire(d due) {
	switch d.kind {
	case moduleTimer:
		c.events = append(c.events, admission.TimerFired{Token: d.token})
	case probeOver:
		if _, ok := c.probes[d.ref.Stream]; ok {
			c.upstreams.Cancel(d.ref)
			c.ProbeEnded(c.now, d.ref, admission.TimedOut)
		}
	case waitOver:
		c.stop(d.ref, admission.TimedOut)
	case windowOver:
		c.withdraw(d.ref)
	case deadline:
		if s := c.streams[d.ref.Stream]; s != nil {
			for i := range s.attempts {
				c.stop(Ref{s.id, i}, admission.TimedOut)
			}
		}
	case overdue:
		// The module answers every stream by its deadline. Should it not, the client still gets its one
		// answer, and that is no refusal: the module has ordered none.
		if s := c.streams[d.ref.Stream]; s != nil && !s.closed {
			c.log.Error("stream unanswered at its deadline", "stream", s.id)
			c.leave(s, Expired)
		}
	}
}

// stop gives up an upstream request that is out. Its connection is closed before the module hears
// of it, so that a further one is never a second copy. One that was not wholly written can't have run.
func (c *Core) stop(ref Ref, o admission.Outcome) {
	s := c.streams[ref.Stream]
	if s == nil || ref.Attempt < 0 || ref.Attempt >= len(s.attempts) || !s.attempts[ref.Attempt].live {
		return
	}
	if ran := c.upstreams.Cancel(ref); !ran && o == admission.TimedOut {
		o = admission.Unreachable
	} else if !ran {
		o = admission.NotSent
	}
	c.UpstreamEnded(c.now, ref, o, Answer{})
}

func (c *Core) do(a admission.Action) {
	switch a := a.(type) {
	case admission.Send:
		c.send(a)
	case admission.Cancel:
		c.stop(Ref{a.ID, a.Attempt}, admission.Cancelled)
	case admission.Refuse:
		if s := c.streams[a.ID]; s != nil && !s.closed {
			c.reason = a.Reason
			c.end(s, End{Kind: Refused, RetryAfter: a.RetryAfter})
		}
	case admission.Fail:
		if s := c.streams[a.ID]; s != nil && !s.closed {
			kind := Failed
			if s.timedOut {
				kind = Expired
			}
			c.reason = a.Reason
			c.end(s, End{Kind: kind})
		}
	case admission.SetTimer:
		c.timers.Push(a.At, due{kind: moduleTimer, token: a.Token})
	case admission.CounterAdd:
		switch {
		case c.dropping:
		case c.parking:
			c.parked = append(c.parked, a)
		default:
			c.counter.Add(a.Name, a.By, a.Keep)
		}
	case admission.Probe:
		c.lastID++
		ref := Ref{Stream: c.lastID}
		c.probes[ref.Stream] = probe{a.Server, c.now}
		c.timers.Push(c.now+probeLimit, due{kind: probeOver, ref: ref})
		c.upstreams.Probe(ref, a.Server, probeLimit)
	case admission.CloseIdle:
		c.upstreams.CloseIdle(a.Server)
	case admission.FetchList:
		c.cluster.Refetch()
	case admission.Subscribe: // the watch is always on
	case admission.Log:
		c.log.Info("decision", "text", a.Text)
	default:
		c.log.Error("action not carried out", "action", fmt.Sprintf("%T", a))
	}
}

// probeLimit is for a probe, which no request waits for.
const probeLimit = time.Second

func (c *Core) send(a admission.Send) {
	s := c.streams[a.ID]
	if s == nil {
		c.log.Error("send for an unknown stream", "stream", a.ID)
		return
	}
	ref := Ref{s.id, len(s.attempts)}
	s.attempts = append(s.attempts, attempt{AttemptRecord: AttemptRecord{Host: a.Server, Began: c.now}, live: true})
	s.live++
	if c.witness != nil {
		c.witness.Sent(s.id, a.Server, c.now)
	}
	if s.closed || c.now >= s.ends || a.Wait < 0 || gone(s.payload) {
		c.UpstreamEnded(c.now, ref, admission.NotSent, Answer{})
		return
	}
	if s.order != "" {
		if until := c.orders.sent(s.order, a.Server, c.now, s.window); until > 0 {
			c.timers.Push(until-c.margin, due{kind: windowOver, ref: ref})
		}
	}
	wait := s.ends - c.now
	c.traceSend(s, ref, a.Server, wait)
	if s.open {
		s.attempts[ref.Attempt].wait, wait = a.Wait, s.expires
	} else if a.Wait > 0 && a.Wait < wait {
		wait = a.Wait
		c.timers.Push(c.now+wait, due{kind: waitOver, ref: ref})
	}
	c.upstreams.Start(ref, a.Server, s.payload, wait)
}

// end closes a stream, once.
func (c *Core) end(s *stream, e End) {
	s.closed = true
	c.traceEnd(s, e.Kind)
	c.reason = ""
	c.open--
	if s.open {
		c.coming--
	}
	e.Sent = len(s.attempts) > 0
	if class := s.class; e.Answer.Rest != nil {
		e.Relayed = func(whole bool) { c.relayed(class, whole) }
	} else {
		c.tally(class, e.Kind)
	}
	owner := s.owner
	s.owner = nil
	if owner != nil {
		owner.End(e)
	}
	if c.observer != nil {
		rec := Record{Class: s.class, Plan: s.plan, Customer: s.customer, Retry: s.retry, Trace: s.trace, Kind: e.Kind, Began: s.began, Took: c.now - s.began}
		for _, t := range s.attempts {
			rec.Attempts = append(rec.Attempts, t.AttemptRecord)
		}
		c.observer.StreamEnded(rec)
	}
	c.forget(s)
}

// told forgets streams of whose clients' leaving the module was told among the turn's events. Before that it may send one on
// by an event that came earlier, and each send is answered.
func (c *Core) told(leaving []*stream) {
	for _, s := range leaving {
		s.leaving = false
		c.forget(s)
	}
}

// forget lets go of a stream of which nothing is owed or out any more.
func (c *Core) forget(s *stream) {
	if !s.closed || s.live > 0 {
		return
	}
	c.release(s)
	if !s.leaving {
		delete(c.streams, s.id)
	}
}

// release frees what no two streams may have at a time.
func (c *Core) release(s *stream) {
	if s.released {
		return
	}
	s.released, s.payload = true, nil
	delete(c.keys, s.key)
	if s.order != "" {
		c.orders.end(s.order, s.id)
	}
	if c.witness != nil {
		c.witness.Done(s.id, c.now)
	}
}
