package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// A gateway's state as plain values, for a successor process. Nothing here decides: a gateway that was
// restored gives the same actions for the same events as the one that was not, see snapshot_test.go.
//
// The state comes in two parts. Customers may be a hundred thousand and hardly change while they ask
// nothing, so each is a value of its own that can be copied ahead; the rest is small and copied last.
// Classes and plans go by their names, for the successor may have been given other settings.

// State is all that a gateway knows beyond its customers.
type State struct {
	Now, CeilingStart time.Duration
	IsStarted         bool
	Random            []byte
	LogLines          int

	CounterFailures                     int
	IsBreakerOpen                       bool
	NextCounterProbe, CounterAnsweredAt time.Duration
	CounterBaseline                     time.Duration
	CallsPerRequest, QueryShare         float64
	QueryShareAverage                   float64

	RecheckAt                    time.Duration
	RetryBudget                  float64
	Answers                      DecayingCount
	TimeoutShare, MeanLatency    float64
	MeanTimeInFlight, AdmitShare float64
	Classes                      []ClassState
	Plans                        []PlanState
	Servers                      []ServerHealth
	Requests                     []RequestState
	Held                         []uint64
	Calls                        []CallState // of one name in their order
	LiveAttempts                 float64
	TopClassShortage             float64
	TopClassShortageAt           time.Duration
}

// DecayingCount is a count with exponential forgetting.
type DecayingCount struct {
	Count float64
	At    time.Duration
}

// DemandState is what was asked over how long a look.
type DemandState struct {
	Demand, Observed float64
	At               time.Duration
}

// ClassState is a class's usual latency.
type ClassState struct {
	Name           string
	Latency, Units float64
	DoubtedAt      time.Duration // when that last was
	Frequency      float64       // how often, a count that fades
}

// PlanState is what is known of a plan's customers together.
type PlanState struct {
	Name   string
	Demand DemandState
}

// ServerHealth is a server of the list, and how it has answered.
type ServerHealth struct {
	Entry                        ServerEntry
	StartedAt                    time.Duration
	RelativeLatency              float64
	Outstanding                  []time.Duration
	LastResponseAt, EjectedUntil time.Duration
	Failures                     int
	Errors, ConnectionFailures   int
	RejectShare                  float64
	RejectShareAt                time.Duration
	RejectLatency                float64
	Throughput                   DecayingCount
}

// WindowCounterState is one named number a window.
type WindowCounterState struct {
	Length, Phase time.Duration
	Window        int64
	LastTotal     float64
	LastTotalAt   time.Duration
	Pending       float64
}

// CustomerState is one customer's stores and mirrors.
type CustomerState struct {
	ID                                           uint64
	Plan                                         string
	Gateways                                     float64
	QuotaCounter, InFlightCounter, DemandCounter WindowCounterState
	Demand                                       DemandState
	QuotaTokens, CeilingTokens                   float64
	OthersRate, PredictedUsage                   float64
	LastSeen, QuotaTokensAt, CeilingTokensAt     time.Duration
	InFlight                                     int
	InFlightCounted, UnderCapShare               float64
}

// AttemptState is one attempt of a request.
type AttemptState struct {
	Server string
	SentAt time.Duration
	IsLive bool
}

// RequestState is a request that is not over, or of which something is still out.
type RequestState struct {
	ID                            uint64
	Class                         string
	Customer                      uint64
	HasCustomer                   bool
	Plan                          string // the customer's when it came
	Units                         float64
	ArrivedAt, Deadline, Due      time.Duration
	QuotaCounted, InFlightCounted float64
	TokensTaken                   float64
	QuotaWindow                   int64
	SlowStartSample               float64
	IsOverQuota, WasSent, IsDone  bool
	Attempts                      []AttemptState
	PriorServer                   string // a server's name, for those that are known
	PriorZone                     string
	PriorCell                     int
	HasPrior                      bool
	PriorSentAt                   time.Duration
}

// CallState is a counter call not yet answered.
type CallState struct {
	Name                string
	Customer            uint64
	Plan                string
	Counter             int // of the customer: 0 rate, 1 gauge, 2 demand
	Request             uint64
	HasRequest          bool
	Window              int64
	Delta, RequestDelta float64
	RequestIndex        int // its place among the request's calls
}

func (d decaying) state() DecayingCount    { return DecayingCount{d.n, d.at} }
func (d DecayingCount) decaying() decaying { return decaying{d.Count, d.At} }
func (e evidence) state() DemandState      { return DemandState{e.asked, e.span, e.at} }
func (s DemandState) evidence() evidence   { return evidence{s.Demand, s.Observed, s.At} }

func (l *ledger) state() WindowCounterState {
	return WindowCounterState{l.span, l.phase, l.window, l.seen, l.seenAt, l.fold}
}

// put takes over a ledger's count. Windows of another length share no count with ours: then it begins anew.
func (l *ledger) put(s WindowCounterState) {
	if s.Length == l.span {
		l.phase, l.window, l.seen, l.seenAt, l.fold = s.Phase, s.Window, s.LastTotal, s.LastTotalAt, s.Pending
	}
}

func (c *customer) ledgers() [3]*ledger { return [3]*ledger{&c.rate, &c.gauge, &c.demand} }

// CustomerCount tells how many customers are.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// Customers returns the ids of those seen since a time, in no order.
func (g *Gateway) Customers(since time.Duration) []uint64 {
	var ids []uint64
	for id, c := range g.customers {
		if c.used >= since {
			ids = append(ids, id)
		}
	}
	return ids
}

// ActiveCustomers returns the ids of those of whom a request or a counter call is open. A customer that is not among
// them changes only when it asks.
func (g *Gateway) ActiveCustomers() []uint64 {
	open := map[uint64]bool{}
	for _, r := range g.requests {
		if r.cust != nil {
			open[r.cust.id] = true
		}
	}
	for _, q := range g.calls {
		for _, k := range q {
			open[k.c.id] = true
		}
	}
	ids := make([]uint64, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	return ids
}

// Customer returns one customer's state; it may have been forgotten meanwhile.
func (g *Gateway) Customer(id uint64) (CustomerState, bool) {
	c := g.customers[id]
	if c == nil {
		return CustomerState{}, false
	}
	return CustomerState{ID: id, Plan: c.plan.Name, Gateways: c.doors, QuotaCounter: c.rate.state(), InFlightCounter: c.gauge.state(),
		DemandCounter: c.demand.state(), Demand: c.press.state(), QuotaTokens: c.level, CeilingTokens: c.hard, OthersRate: c.take, PredictedUsage: c.taken,
		LastSeen: c.used, QuotaTokensAt: c.levelAt, CeilingTokensAt: c.hardAt, InFlight: c.out, InFlightCounted: c.reg, UnderCapShare: c.fit}, true
}

// PutCustomer enters a customer, or replaces what was entered of it before. Stores are cut to what its plan
// holds now. One whose plan is gone is left out: it begins anew should it ever ask.
func (g *Gateway) PutCustomer(s CustomerState) {
	index := g.plan(s.Plan)
	if index < 0 {
		return
	}
	delete(g.customers, s.ID)
	c := g.customer(s.ID, index, int(s.Gateways), 0)
	c.dealt = false // its first door comes with its next request
	p := c.plan
	c.doors, c.press, c.fit = s.Gateways, s.Demand.evidence(), s.UnderCapShare
	c.level, c.levelAt, c.take, c.taken = min(s.QuotaTokens, p.Burst), s.QuotaTokensAt, s.OthersRate, s.PredictedUsage
	c.hard, c.hardAt = s.CeilingTokens, s.CeilingTokensAt // it is cut to what its part holds at the next look
	c.used, c.out, c.reg = s.LastSeen, s.InFlight, s.InFlightCounted
	c.rate.put(s.QuotaCounter)
	c.gauge.put(s.InFlightCounter)
	c.demand.put(s.DemandCounter)
}

// State returns all but the customers. Equal gateways give equal states: lists are in order.
func (g *Gateway) State() (State, error) {
	random, err := g.source.MarshalBinary()
	if err != nil {
		return State{}, fmt.Errorf("state: random source: %w", err)
	}
	st := State{Now: g.now, CeilingStart: g.began, IsStarted: g.started, Random: random, LogLines: g.logs,
		CounterFailures: g.failures, IsBreakerOpen: g.open, NextCounterProbe: g.nextProbe, CounterAnsweredAt: g.answeredAt, CounterBaseline: g.ease,
		CallsPerRequest: g.callRate, QueryShare: g.askShare, QueryShareAverage: g.asked, RecheckAt: g.holdAt, RetryBudget: g.budget,
		Answers: g.served.state(), TimeoutShare: g.unheard, MeanLatency: g.usual, MeanTimeInFlight: g.outFor, AdmitShare: g.admit,
		LiveAttempts: g.live, TopClassShortage: g.short.Value, TopClassShortageAt: g.short.At}
	for i, c := range g.s.Classes {
		st.Classes = append(st.Classes, ClassState{c.Name, g.stats[i].Latency, g.stats[i].Units, g.stats[i].DoubtedAt, g.mix[i]})
	}
	for i, p := range g.s.Plans {
		st.Plans = append(st.Plans, PlanState{p.Name, g.press[i].state()})
	}
	for _, s := range g.ring {
		st.Servers = append(st.Servers, ServerHealth{Entry: s.ServerEntry, StartedAt: s.coldAt, RelativeLatency: s.resp,
			Outstanding: slices.Clone(s.out), LastResponseAt: s.heard, EjectedUntil: s.ejected, Failures: s.bad, Errors: s.errors, ConnectionFailures: s.broken,
			RejectShare: s.turned.Value, RejectShareAt: s.turned.At, RejectLatency: s.turnTook, Throughput: s.thru.state()})
	}
	for _, r := range g.requests {
		st.Requests = append(st.Requests, r.state())
	}
	slices.SortFunc(st.Requests, func(a, b RequestState) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range g.held {
		st.Held = append(st.Held, r.id)
	}
	for name, q := range g.calls {
		for _, k := range q {
			st.Calls = append(st.Calls, k.state(name))
		}
	}
	slices.SortStableFunc(st.Calls, func(a, b CallState) int { return strings.Compare(a.Name, b.Name) })
	return st, nil
}

func (r *request) state() RequestState {
	s := RequestState{ID: r.id, Class: r.class.Name, HasCustomer: r.cust != nil, Units: r.units, ArrivedAt: r.at,
		Deadline: r.deadline, Due: r.due, QuotaCounted: r.inRate, InFlightCounted: r.inGauge, TokensTaken: r.drawn, QuotaWindow: r.rateWindow,
		SlowStartSample: r.lot, IsOverQuota: r.over, WasSent: r.sent, IsDone: r.done, HasPrior: r.maybe != nil, PriorSentAt: r.maybeAt}
	if r.cust != nil {
		s.Customer, s.Plan = r.cust.id, r.cust.plan.Name
	}
	for _, t := range r.tries {
		s.Attempts = append(s.Attempts, AttemptState{t.s.Name, t.at, t.live})
	}
	if r.maybe != nil {
		s.PriorServer, s.PriorZone, s.PriorCell = r.maybe.Name, r.maybe.Zone, r.maybe.Cell
	}
	return s
}

func (k *call) state(name string) CallState {
	s := CallState{Name: name, Customer: k.c.id, Plan: k.c.plan.Name, Window: k.window, Delta: k.by, RequestDelta: k.own}
	for i, l := range k.c.ledgers() {
		if l == k.l {
			s.Counter = i
		}
	}
	if k.r != nil {
		s.Request, s.HasRequest, s.RequestIndex = k.r.id, true, slices.Index(k.r.calls, k)
	}
	return s
}

// Restore takes over a state, on a gateway that has had its customers put and no event yet. What the settings
// do not know any more (a class, a plan) is left out.
func (g *Gateway) Restore(st State) error {
	source := &rand.PCG{}
	if err := source.UnmarshalBinary(st.Random); err != nil {
		return fmt.Errorf("state: random source: %w", err)
	}
	g.source, g.rng = source, rand.New(source)
	g.now, g.began, g.started, g.logs = st.Now, st.CeilingStart, st.IsStarted, st.LogLines
	g.failures, g.open, g.nextProbe, g.answeredAt, g.ease = st.CounterFailures, st.IsBreakerOpen, st.NextCounterProbe, st.CounterAnsweredAt, st.CounterBaseline
	g.callRate, g.askShare, g.asked, g.holdAt, g.budget = st.CallsPerRequest, st.QueryShare, st.QueryShareAverage, st.RecheckAt, st.RetryBudget
	g.served, g.unheard, g.usual, g.outFor = st.Answers.decaying(), st.TimeoutShare, st.MeanLatency, st.MeanTimeInFlight
	g.admit, g.live, g.short = st.AdmitShare, st.LiveAttempts, estimate.FadingAverage{Value: st.TopClassShortage, At: st.TopClassShortageAt}
	for _, c := range st.Classes {
		if i := g.class(c.Name); i >= 0 {
			g.stats[i] = estimate.LatencyModel{Latency: c.Latency, Units: c.Units, DoubtedAt: c.DoubtedAt}
			if c.Frequency > 0 { // else it is of a process that did not tell
				g.mix[i] = c.Frequency
			}
		}
	}
	for _, p := range st.Plans {
		if i := g.plan(p.Name); i >= 0 {
			g.press[i] = p.Demand.evidence()
		}
	}
	g.servers, g.ring, g.order = map[string]*server{}, nil, nil
	for _, s := range st.Servers {
		own := &server{ServerEntry: s.Entry, coldAt: s.StartedAt, resp: s.RelativeLatency, out: slices.Clone(s.Outstanding), heard: s.LastResponseAt,
			ejected: s.EjectedUntil, bad: s.Failures, errors: s.Errors, broken: s.ConnectionFailures,
			turned: estimate.FadingAverage{Value: s.RejectShare, At: s.RejectShareAt}, turnTook: s.RejectLatency, thru: s.Throughput.decaying()}
		g.servers[s.Entry.Name] = own
		g.ring = append(g.ring, own)
	}
	g.rank()
	for _, s := range st.Requests {
		g.resumeRequest(s)
	}
	for _, id := range st.Held {
		r := g.requests[id]
		if r == nil { // over already, and its place not yet looked at
			r = &request{id: id, done: true}
		}
		g.held = append(g.held, r)
	}
	g.resumeCalls(st.Calls)
	return nil
}

func (g *Gateway) class(name string) int {
	return slices.IndexFunc(g.s.Classes, func(c Class) bool { return c.Name == name })
}

func (g *Gateway) plan(name string) int {
	return slices.IndexFunc(g.s.Plans, func(p Plan) bool { return p.Name == name })
}

// server returns one of the list, or for one that is not in it yet, or not any more, what an outcome is owed to.
func (g *Gateway) server(name string) *server {
	if s := g.servers[name]; s != nil {
		return s
	}
	return &server{ServerEntry: ServerEntry{Name: name, State: Gone}, resp: 1}
}

func (g *Gateway) resumeRequest(s RequestState) {
	ci := g.class(s.Class)
	if ci < 0 {
		return
	}
	r := &request{id: s.ID, class: &g.s.Classes[ci], ci: ci, units: s.Units, at: s.ArrivedAt, deadline: s.Deadline, due: s.Due,
		inRate: s.QuotaCounted, inGauge: s.InFlightCounted, drawn: s.TokensTaken, rateWindow: s.QuotaWindow, lot: s.SlowStartSample, over: s.IsOverQuota,
		sent: s.WasSent, done: s.IsDone, maybeAt: s.PriorSentAt}
	if s.HasCustomer {
		r.cust = g.onPlan(s.Customer, s.Plan)
	}
	for _, t := range s.Attempts {
		if r.tries = append(r.tries, attempt{g.server(t.Server), t.SentAt, t.IsLive}); t.IsLive {
			r.live++
		}
	}
	if s.HasPrior {
		if r.maybe = g.servers[s.PriorServer]; r.maybe == nil {
			r.maybe = &server{ServerEntry: ServerEntry{Name: s.PriorServer, Zone: s.PriorZone, Cell: s.PriorCell}}
		}
	}
	g.requests[s.ID] = r
}

// onPlan returns a customer if it is still on a plan. One that has changed began anew with that, and what was
// open of its former plan touches none of its present stores.
func (g *Gateway) onPlan(id uint64, plan string) *customer {
	if c := g.customers[id]; c != nil && c.plan.Name == plan {
		return c
	}
	return nil
}

func (g *Gateway) resumeCalls(calls []CallState) {
	for _, s := range calls {
		c := g.onPlan(s.Customer, s.Plan)
		if c == nil || s.Counter < 0 || s.Counter > 2 {
			continue
		}
		k := &call{c: c, l: c.ledgers()[s.Counter], window: s.Window, by: s.Delta, own: s.RequestDelta}
		if r := g.requests[s.Request]; s.HasRequest && r != nil {
			k.r = r
			for len(r.calls) <= s.RequestIndex {
				r.calls = append(r.calls, nil)
			}
			r.calls[s.RequestIndex] = k
		}
		g.calls[s.Name] = append(g.calls[s.Name], k)
	}
	for _, r := range g.requests {
		r.calls = slices.DeleteFunc(r.calls, func(k *call) bool { return k == nil })
	}
}
