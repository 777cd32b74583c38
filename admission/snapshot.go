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

func (d eventRate) state() DecayingCount       { return DecayingCount{d.count, d.at} }
func (d DecayingCount) eventRate() eventRate   { return eventRate{d.Count, d.At} }
func (e demandEstimate) state() DemandState    { return DemandState{e.demand, e.observed, e.at} }
func (s DemandState) estimate() demandEstimate { return demandEstimate{s.Demand, s.Observed, s.At} }

func (l *windowCounter) state() WindowCounterState {
	return WindowCounterState{l.length, l.phase, l.window, l.lastTotal, l.lastTotalAt, l.pending}
}

// restore takes over a ledger's count. Windows of another length share no count with ours: then it begins anew.
func (l *windowCounter) restore(s WindowCounterState) {
	if s.Length == l.length {
		l.phase, l.window, l.lastTotal, l.lastTotalAt, l.pending = s.Phase, s.Window, s.LastTotal, s.LastTotalAt, s.Pending
	}
}

func (c *customer) counters() [3]*windowCounter {
	return [3]*windowCounter{&c.quotaCounter, &c.inFlightCounter, &c.demandCounter}
}

// CustomerCount tells how many customers are.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// Customers returns the ids of those seen since a time, in no order.
func (g *Gateway) Customers(since time.Duration) []uint64 {
	var ids []uint64
	for id, c := range g.customers {
		if c.lastSeen >= since {
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
		if r.customer != nil {
			open[r.customer.id] = true
		}
	}
	for _, q := range g.counterCalls {
		for _, k := range q {
			open[k.customer.id] = true
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
	return CustomerState{ID: id, Plan: c.plan.Name, Gateways: c.gateways, QuotaCounter: c.quotaCounter.state(), InFlightCounter: c.inFlightCounter.state(),
		DemandCounter: c.demandCounter.state(), Demand: c.observedDemand.state(), QuotaTokens: c.quotaTokens, CeilingTokens: c.ceilingTokens, OthersRate: c.othersRate, PredictedUsage: c.predictedUsage,
		LastSeen: c.lastSeen, QuotaTokensAt: c.quotaTokensAt, CeilingTokensAt: c.ceilingTokensAt, InFlight: c.inFlight, InFlightCounted: c.inFlightCounted, UnderCapShare: c.underCapShare}, true
}

// PutCustomer enters a customer, or replaces what was entered of it before. Stores are cut to what its plan
// holds now. One whose plan is gone is left out: it begins anew should it ever ask.
func (g *Gateway) PutCustomer(s CustomerState) {
	index := g.planIndex(s.Plan)
	if index < 0 {
		return
	}
	delete(g.customers, s.ID)
	c := g.ensureCustomer(s.ID, index, int(s.Gateways), 0)
	c.isCeilingSplit = false // its first door comes with its next request
	p := c.plan
	c.gateways, c.observedDemand, c.underCapShare = s.Gateways, s.Demand.estimate(), s.UnderCapShare
	c.quotaTokens, c.quotaTokensAt, c.othersRate, c.predictedUsage = min(s.QuotaTokens, p.Burst), s.QuotaTokensAt, s.OthersRate, s.PredictedUsage
	c.ceilingTokens, c.ceilingTokensAt = s.CeilingTokens, s.CeilingTokensAt // it is cut to what its part holds at the next look
	c.lastSeen, c.inFlight, c.inFlightCounted = s.LastSeen, s.InFlight, s.InFlightCounted
	c.quotaCounter.restore(s.QuotaCounter)
	c.inFlightCounter.restore(s.InFlightCounter)
	c.demandCounter.restore(s.DemandCounter)
}

// State returns all but the customers. Equal gateways give equal states: lists are in order.
func (g *Gateway) State() (State, error) {
	random, err := g.source.MarshalBinary()
	if err != nil {
		return State{}, fmt.Errorf("state: random source: %w", err)
	}
	st := State{Now: g.now, CeilingStart: g.ceilingStart, IsStarted: g.isStarted, Random: random, LogLines: g.logLines,
		CounterFailures: g.counterFailures, IsBreakerOpen: g.isBreakerOpen, NextCounterProbe: g.nextCounterProbe, CounterAnsweredAt: g.counterAnsweredAt, CounterBaseline: g.counterBaseline,
		CallsPerRequest: g.callsPerRequest, QueryShare: g.queryShare, QueryShareAverage: g.queryShareAverage, RecheckAt: g.recheckAt, RetryBudget: g.retryBudget,
		Answers: g.answers.state(), TimeoutShare: g.timeoutShare, MeanLatency: g.meanLatency, MeanTimeInFlight: g.meanTimeInFlight, AdmitShare: g.admitShare,
		LiveAttempts: g.liveAttempts, TopClassShortage: g.topClassShortage.Value, TopClassShortageAt: g.topClassShortage.At}
	for i, c := range g.settings.Classes {
		st.Classes = append(st.Classes, ClassState{c.Name, g.classLatency[i].Latency, g.classLatency[i].Units, g.classLatency[i].DoubtedAt, g.classMix[i]})
	}
	for i, p := range g.settings.Plans {
		st.Plans = append(st.Plans, PlanState{p.Name, g.planDemand[i].state()})
	}
	for _, s := range g.serversByName {
		st.Servers = append(st.Servers, ServerHealth{Entry: s.ServerEntry, StartedAt: s.startedAt, RelativeLatency: s.relativeLatency,
			Outstanding: slices.Clone(s.outstanding), LastResponseAt: s.lastResponseAt, EjectedUntil: s.ejectedUntil, Failures: s.failures, Errors: s.errors, ConnectionFailures: s.connectionFailures,
			RejectShare: s.rejectShare.Value, RejectShareAt: s.rejectShare.At, RejectLatency: s.rejectLatency, Throughput: s.throughput.state()})
	}
	for _, r := range g.requests {
		st.Requests = append(st.Requests, r.state())
	}
	slices.SortFunc(st.Requests, func(a, b RequestState) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range g.held {
		st.Held = append(st.Held, r.id)
	}
	for name, q := range g.counterCalls {
		for _, k := range q {
			st.Calls = append(st.Calls, k.state(name))
		}
	}
	slices.SortStableFunc(st.Calls, func(a, b CallState) int { return strings.Compare(a.Name, b.Name) })
	return st, nil
}

func (r *request) state() RequestState {
	s := RequestState{ID: r.id, Class: r.class.Name, HasCustomer: r.customer != nil, Units: r.units, ArrivedAt: r.arrivedAt,
		Deadline: r.deadline, Due: r.due, QuotaCounted: r.quotaCounted, InFlightCounted: r.inFlightCounted, TokensTaken: r.tokensTaken, QuotaWindow: r.quotaWindow,
		SlowStartSample: r.slowStartSample, IsOverQuota: r.isOverQuota, WasSent: r.wasSent, IsDone: r.isDone, HasPrior: r.priorServer != nil, PriorSentAt: r.priorSentAt}
	if r.customer != nil {
		s.Customer, s.Plan = r.customer.id, r.customer.plan.Name
	}
	for _, t := range r.attempts {
		s.Attempts = append(s.Attempts, AttemptState{t.server.Name, t.sentAt, t.isLive})
	}
	if r.priorServer != nil {
		s.PriorServer, s.PriorZone, s.PriorCell = r.priorServer.Name, r.priorServer.Zone, r.priorServer.Cell
	}
	return s
}

func (k *counterCall) state(name string) CallState {
	s := CallState{Name: name, Customer: k.customer.id, Plan: k.customer.plan.Name, Window: k.window, Delta: k.delta, RequestDelta: k.requestDelta}
	for i, l := range k.customer.counters() {
		if l == k.counter {
			s.Counter = i
		}
	}
	if k.request != nil {
		s.Request, s.HasRequest, s.RequestIndex = k.request.id, true, slices.Index(k.request.pendingCalls, k)
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
	g.now, g.ceilingStart, g.isStarted, g.logLines = st.Now, st.CeilingStart, st.IsStarted, st.LogLines
	g.counterFailures, g.isBreakerOpen, g.nextCounterProbe, g.counterAnsweredAt, g.counterBaseline = st.CounterFailures, st.IsBreakerOpen, st.NextCounterProbe, st.CounterAnsweredAt, st.CounterBaseline
	g.callsPerRequest, g.queryShare, g.queryShareAverage, g.recheckAt, g.retryBudget = st.CallsPerRequest, st.QueryShare, st.QueryShareAverage, st.RecheckAt, st.RetryBudget
	g.answers, g.timeoutShare, g.meanLatency, g.meanTimeInFlight = st.Answers.eventRate(), st.TimeoutShare, st.MeanLatency, st.MeanTimeInFlight
	g.admitShare, g.liveAttempts, g.topClassShortage = st.AdmitShare, st.LiveAttempts, estimate.FadingAverage{Value: st.TopClassShortage, At: st.TopClassShortageAt}
	for _, c := range st.Classes {
		if i := g.classIndex(c.Name); i >= 0 {
			g.classLatency[i] = estimate.LatencyModel{Latency: c.Latency, Units: c.Units, DoubtedAt: c.DoubtedAt}
			if c.Frequency > 0 { // else it is of a process that did not tell
				g.classMix[i] = c.Frequency
			}
		}
	}
	for _, p := range st.Plans {
		if i := g.planIndex(p.Name); i >= 0 {
			g.planDemand[i] = p.Demand.estimate()
		}
	}
	g.servers, g.serversByName, g.preferred = map[string]*server{}, nil, nil
	for _, s := range st.Servers {
		own := &server{ServerEntry: s.Entry, startedAt: s.StartedAt, relativeLatency: s.RelativeLatency, outstanding: slices.Clone(s.Outstanding), lastResponseAt: s.LastResponseAt,
			ejectedUntil: s.EjectedUntil, failures: s.Failures, errors: s.Errors, connectionFailures: s.ConnectionFailures,
			rejectShare: estimate.FadingAverage{Value: s.RejectShare, At: s.RejectShareAt}, rejectLatency: s.RejectLatency, throughput: s.Throughput.eventRate()}
		g.servers[s.Entry.Name] = own
		g.serversByName = append(g.serversByName, own)
	}
	g.rankServers()
	for _, s := range st.Requests {
		g.restoreRequest(s)
	}
	for _, id := range st.Held {
		r := g.requests[id]
		if r == nil { // over already, and its place not yet looked at
			r = &request{id: id, isDone: true}
		}
		g.held = append(g.held, r)
	}
	g.restoreCalls(st.Calls)
	return nil
}

func (g *Gateway) classIndex(name string) int {
	return slices.IndexFunc(g.settings.Classes, func(c Class) bool { return c.Name == name })
}

func (g *Gateway) planIndex(name string) int {
	return slices.IndexFunc(g.settings.Plans, func(p Plan) bool { return p.Name == name })
}

// serverOrStub returns one of the list, or for one that is not in it yet, or not any more, what an outcome is owed to.
func (g *Gateway) serverOrStub(name string) *server {
	if s := g.servers[name]; s != nil {
		return s
	}
	return &server{ServerEntry: ServerEntry{Name: name, State: Gone}, relativeLatency: 1}
}

func (g *Gateway) restoreRequest(s RequestState) {
	ci := g.classIndex(s.Class)
	if ci < 0 {
		return
	}
	r := &request{id: s.ID, class: &g.settings.Classes[ci], classIndex: ci, units: s.Units, arrivedAt: s.ArrivedAt, deadline: s.Deadline, due: s.Due,
		quotaCounted: s.QuotaCounted, inFlightCounted: s.InFlightCounted, tokensTaken: s.TokensTaken, quotaWindow: s.QuotaWindow, slowStartSample: s.SlowStartSample, isOverQuota: s.IsOverQuota,
		wasSent: s.WasSent, isDone: s.IsDone, priorSentAt: s.PriorSentAt}
	if s.HasCustomer {
		r.customer = g.customerOnPlan(s.Customer, s.Plan)
	}
	for _, t := range s.Attempts {
		if r.attempts = append(r.attempts, attempt{g.serverOrStub(t.Server), t.SentAt, t.IsLive}); t.IsLive {
			r.liveAttempts++
		}
	}
	if s.HasPrior {
		if r.priorServer = g.servers[s.PriorServer]; r.priorServer == nil {
			r.priorServer = &server{ServerEntry: ServerEntry{Name: s.PriorServer, Zone: s.PriorZone, Cell: s.PriorCell}}
		}
	}
	g.requests[s.ID] = r
}

// customerOnPlan returns a customer if it is still on a plan. One that has changed began anew with that, and what was
// open of its former plan touches none of its present stores.
func (g *Gateway) customerOnPlan(id uint64, plan string) *customer {
	if c := g.customers[id]; c != nil && c.plan.Name == plan {
		return c
	}
	return nil
}

func (g *Gateway) restoreCalls(calls []CallState) {
	for _, s := range calls {
		c := g.customerOnPlan(s.Customer, s.Plan)
		if c == nil || s.Counter < 0 || s.Counter > 2 {
			continue
		}
		k := &counterCall{customer: c, counter: c.counters()[s.Counter], window: s.Window, delta: s.Delta, requestDelta: s.RequestDelta}
		if r := g.requests[s.Request]; s.HasRequest && r != nil {
			k.request = r
			for len(r.pendingCalls) <= s.RequestIndex {
				r.pendingCalls = append(r.pendingCalls, nil)
			}
			r.pendingCalls[s.RequestIndex] = k
		}
		g.counterCalls[s.Name] = append(g.counterCalls[s.Name], k)
	}
	for _, r := range g.requests {
		r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(k *counterCall) bool { return k == nil })
	}
}
