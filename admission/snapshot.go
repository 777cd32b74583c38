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

// The state of a gateway as plain values, for a successor process. Nothing here decides: a restored gateway
// returns the same actions for the same events as the original, see snapshot_test.go.
//
// The state has two parts. There may be a hundred thousand customers, and one hardly changes while it sends
// nothing: each has a CustomerState of its own, which can be copied in advance. The rest (State) is small and
// copied last. Classes and plans are identified by name, as the successor may have other settings.

// State is all that a gateway knows beyond its customers. Times are on the gateway's clock.
type State struct {
	Now          time.Duration
	CeilingStart time.Duration // from when the gateway's parts of ceilings fill, beginning empty
	IsStarted    bool          // it has handled an event or adopted a state
	Random       []byte        // the random source, in its binary form
	LogLines     int           // lines written for the operator so far

	CounterFailures   int  // counter calls lost in a row
	IsBreakerOpen     bool // the circuit breaker of the counter
	NextCounterProbe  time.Duration
	CounterAnsweredAt time.Duration // time of the counter's last answer
	CounterBaseline   time.Duration // latency of the counter while not overloaded
	CallsPerRequest   float64       // counter calls per request, EWMA
	QueryShare        float64       // share of requests that query the counter
	QueryShareAverage float64       // long-term EWMA of QueryShare

	RecheckAt          time.Duration // when held requests are tried again
	RetryBudget        float64       // retries that may be made
	Answers            DecayingCount // good answers of all servers
	TimeoutShare       float64       // share of attempts that time out, EWMA
	MeanLatency        float64       // latency of good answers in seconds, EWMA
	MeanTimeInFlight   float64       // seconds from a request's first attempt to its end, EWMA
	AdmitShare         float64       // share of requests that is admitted
	Classes            []ClassState
	Plans              []PlanState
	Servers            []ServerHealth // in order of name
	Requests           []RequestState // in order of id
	Held               []uint64       // request ids, the oldest first
	Calls              []CallState    // in order of name, those of one name the oldest first
	LiveAttempts       float64        // open attempts
	TopClassShortage   float64        // share of the requests of the class of most worth without a server in time
	TopClassShortageAt time.Duration  // when TopClassShortage was computed
}

// DecayingCount is a count with exponential forgetting.
type DecayingCount struct {
	Count float64
	At    time.Duration // when Count was computed
}

// DemandState is how much was asked and for how long that was observed; both decay.
type DemandState struct {
	Demand   float64       // seconds in which the units asked would have fit: units over capacity
	Observed float64       // seconds of observation
	At       time.Duration // when both were computed
}

// ClassState is the usual latency and frequency of a class.
type ClassState struct {
	Name      string
	Latency   float64       // seconds
	Units     float64       // mean units of the requests of that latency
	DoubtedAt time.Duration // when the latency was last doubted; 0 means never
	Frequency float64       // decaying count of its requests; 0 if the predecessor does not send it
}

// PlanState is what is known of all customers of a plan together.
type PlanState struct {
	Name   string
	Demand DemandState
}

// ServerHealth is a server of the list and what the gateway has seen of it.
type ServerHealth struct {
	Entry              ServerEntry
	StartedAt          time.Duration   // start of its warm-up; 0 means long ago
	RelativeLatency    float64         // latency over the expected latency, EWMA
	Outstanding        []time.Duration // send times of the gateway's open attempts, in order
	LastResponseAt     time.Duration   // last answer, error or rejection
	EjectedUntil       time.Duration   // it gets no requests before
	Failures           int             // ejections since its last good answer
	Errors             int             // errors since its last good answer
	ConnectionFailures int             // lost connections since its last good answer
	RejectShare        float64         // share of its requests that it rejects
	RejectShareAt      time.Duration   // when RejectShare was computed
	RejectLatency      float64         // seconds until a rejection, EWMA
	Throughput         DecayingCount   // good answers to the gateway
}

// WindowCounterState is one count of a customer on the shared counter.
type WindowCounterState struct {
	Length      time.Duration
	Phase       time.Duration // by how much its windows start before multiples of Length
	Window      int64         // number of the present window
	LastTotal   float64       // last total read in this window
	LastTotalAt time.Duration // when it was read, or the start of the window
	Pending     float64       // to be added with the next call
}

// CustomerState is what is known of one customer. Quantities are in units of its plan, times on the gateway's
// clock.
type CustomerState struct {
	ID              uint64
	Plan            string
	Gateways        float64 // present gateways through which it comes
	QuotaCounter    WindowCounterState
	InFlightCounter WindowCounterState
	DemandCounter   WindowCounterState
	ObservedDemand  DemandState // through all gateways, relative to what fits
	QuotaTokens     float64     // the local tokens: units left of the quota; may be negative
	CeilingTokens   float64     // units left in the gateway's part of the ceiling
	OthersRate      float64     // units a second used through other gateways
	PredictedUsage  float64     // units predicted for other gateways since the last total
	LastSeen        time.Duration
	QuotaTokensAt   time.Duration // when QuotaTokens was computed
	CeilingTokensAt time.Duration // when CeilingTokens was computed
	InFlight        int           // requests sent from the gateway that have not ended
	InFlightCounted float64       // the gateway's part of the in-flight counter, including open calls
	UnderCapShare   float64       // share of recent totals that were under the in-flight cap, EWMA
}

// AttemptState is one attempt of a request.
type AttemptState struct {
	Server string
	SentAt time.Duration
	IsLive bool // it has not ended
}

// RequestState is a request that is not answered or has an open attempt.
type RequestState struct {
	ID              uint64
	Class           string
	Customer        uint64
	HasCustomer     bool
	Plan            string // the customer's plan when the request arrived
	Units           float64
	ArrivedAt       time.Duration
	Deadline        time.Duration
	Due             time.Duration // an answer after it is late
	QuotaCounted    float64       // its units on the quota counter, including open calls
	InFlightCounted float64       // its count on the in-flight counter, including open calls
	TokensTaken     float64       // local tokens taken for it
	QuotaWindow     int64         // the quota window of QuotaCounted
	SlowStartSample float64       // in [0,1): selects the one cold server that may take its next attempt
	IsOverQuota     bool          // a total showed it to be over its quota or in-flight cap
	WasSent         bool          // it has had an attempt
	IsDone          bool          // its final answer is given
	Attempts        []AttemptState
	PriorServer     string // where it may have run first, if HasPrior
	PriorZone       string
	PriorCell       int
	HasPrior        bool
	PriorSentAt     time.Duration
}

// CallState is a counter call that is not answered.
type CallState struct {
	Name         string // its name on the shared counter
	Customer     uint64
	Plan         string
	Counter      int // which counter of the customer: 0 quota, 1 in-flight, 2 demand
	Request      uint64
	HasRequest   bool // a request waits for the answer
	Window       int64
	Delta        float64 // what the call adds
	RequestDelta float64 // the request's part of Delta
	RequestIndex int     // position among the calls that the request waits for
}

func (e eventRate) state() DecayingCount       { return DecayingCount{e.count, e.at} }
func (d DecayingCount) eventRate() eventRate   { return eventRate{d.Count, d.At} }
func (e demandEstimate) state() DemandState    { return DemandState{e.demand, e.observed, e.at} }
func (s DemandState) estimate() demandEstimate { return demandEstimate{s.Demand, s.Observed, s.At} }

func (c *windowCounter) state() WindowCounterState {
	return WindowCounterState{c.length, c.phase, c.window, c.lastTotal, c.lastTotalAt, c.pending}
}

// restore takes over a state, unless its windows have another length: then the counts can't be compared, and
// this counter starts empty.
func (c *windowCounter) restore(s WindowCounterState) {
	if s.Length == c.length {
		c.phase, c.window, c.lastTotal, c.lastTotalAt, c.pending = s.Phase, s.Window, s.LastTotal, s.LastTotalAt, s.Pending
	}
}

// counters returns the customer's counters in the order of CallState.Counter.
func (c *customer) counters() [3]*windowCounter {
	return [3]*windowCounter{&c.quotaCounter, &c.inFlightCounter, &c.demandCounter}
}

// CustomerCount returns the number of customers in memory.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// Customers returns the ids of the customers that have sent a request since a time, in no order.
func (g *Gateway) Customers(since time.Duration) []uint64 {
	var ids []uint64
	for id, c := range g.customers {
		if c.lastSeen >= since {
			ids = append(ids, id)
		}
	}
	return ids
}

// ActiveCustomers returns the ids of the customers that have an open request or counter call, in no order. Any
// other customer changes only when it sends a request.
func (g *Gateway) ActiveCustomers() []uint64 {
	active := map[uint64]bool{}
	for _, r := range g.requests {
		if r.customer != nil {
			active[r.customer.id] = true
		}
	}
	for _, queue := range g.counterCalls {
		for _, call := range queue {
			active[call.customer.id] = true
		}
	}
	ids := make([]uint64, 0, len(active))
	for id := range active {
		ids = append(ids, id)
	}
	return ids
}

// Customer returns the state of one customer, and false if it has been dropped.
func (g *Gateway) Customer(id uint64) (CustomerState, bool) {
	c := g.customers[id]
	if c == nil {
		return CustomerState{}, false
	}
	return CustomerState{ID: id, Plan: c.plan.Name, Gateways: c.gateways, QuotaCounter: c.quotaCounter.state(),
		InFlightCounter: c.inFlightCounter.state(), DemandCounter: c.demandCounter.state(),
		ObservedDemand: c.observedDemand.state(), QuotaTokens: c.quotaTokens, CeilingTokens: c.ceilingTokens,
		OthersRate: c.othersRate, PredictedUsage: c.predictedUsage, LastSeen: c.lastSeen,
		QuotaTokensAt: c.quotaTokensAt, CeilingTokensAt: c.ceilingTokensAt, InFlight: c.inFlight,
		InFlightCounted: c.inFlightCounted, UnderCapShare: c.underCapShare}, true
}

// PutCustomer adds a customer with a state, or replaces it. Its tokens are cut to what its plan allows now. A
// customer whose plan no longer exists is left out, and starts anew if it sends a request.
func (g *Gateway) PutCustomer(s CustomerState) {
	index := g.planIndex(s.Plan)
	if index < 0 {
		return
	}
	delete(g.customers, s.ID)
	c := g.ensureCustomer(s.ID, index, int(s.Gateways), 0)
	c.isCeilingSplit = false // its first gateway is known with its next request
	p := c.plan
	c.gateways, c.observedDemand, c.underCapShare = s.Gateways, s.ObservedDemand.estimate(), s.UnderCapShare
	c.quotaTokens, c.quotaTokensAt, c.othersRate, c.predictedUsage =
		min(s.QuotaTokens, p.Burst), s.QuotaTokensAt, s.OthersRate, s.PredictedUsage
	c.ceilingTokens, c.ceilingTokensAt = s.CeilingTokens, s.CeilingTokensAt // cut to the part at the next check
	c.lastSeen, c.inFlight, c.inFlightCounted = s.LastSeen, s.InFlight, s.InFlightCounted
	c.quotaCounter.restore(s.QuotaCounter)
	c.inFlightCounter.restore(s.InFlightCounter)
	c.demandCounter.restore(s.DemandCounter)
}

// State returns all but the customers. Equal gateways have equal states, as lists are in a fixed order. It
// fails only if the random source can't be written.
func (g *Gateway) State() (State, error) {
	random, err := g.source.MarshalBinary()
	if err != nil {
		return State{}, fmt.Errorf("state: random source: %w", err)
	}
	st := State{Now: g.now, CeilingStart: g.ceilingStart, IsStarted: g.isStarted, Random: random,
		LogLines: g.logLines, CounterFailures: g.counterFailures, IsBreakerOpen: g.isBreakerOpen,
		NextCounterProbe: g.nextCounterProbe, CounterAnsweredAt: g.counterAnsweredAt,
		CounterBaseline: g.counterBaseline, CallsPerRequest: g.callsPerRequest, QueryShare: g.queryShare,
		QueryShareAverage: g.queryShareAverage, RecheckAt: g.recheckAt, RetryBudget: g.retryBudget,
		Answers: g.answers.state(), TimeoutShare: g.timeoutShare, MeanLatency: g.meanLatency,
		MeanTimeInFlight: g.meanTimeInFlight, AdmitShare: g.admitShare, LiveAttempts: g.liveAttempts,
		TopClassShortage: g.topClassShortage.Value, TopClassShortageAt: g.topClassShortage.At}
	for i, c := range g.settings.Classes {
		st.Classes = append(st.Classes, ClassState{c.Name, g.classLatency[i].Latency, g.classLatency[i].Units,
			g.classLatency[i].DoubtedAt, g.classMix[i]})
	}
	for i, p := range g.settings.Plans {
		st.Plans = append(st.Plans, PlanState{p.Name, g.planDemand[i].state()})
	}
	for _, s := range g.serversByName {
		st.Servers = append(st.Servers, ServerHealth{Entry: s.ServerEntry, StartedAt: s.startedAt,
			RelativeLatency: s.relativeLatency, Outstanding: slices.Clone(s.outstanding),
			LastResponseAt: s.lastResponseAt, EjectedUntil: s.ejectedUntil, Failures: s.failures, Errors: s.errors,
			ConnectionFailures: s.connectionFailures, RejectShare: s.rejectShare.Value,
			RejectShareAt: s.rejectShare.At, RejectLatency: s.rejectLatency, Throughput: s.throughput.state()})
	}
	for _, r := range g.requests {
		st.Requests = append(st.Requests, r.state())
	}
	slices.SortFunc(st.Requests, func(a, b RequestState) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range g.held {
		st.Held = append(st.Held, r.id)
	}
	for name, queue := range g.counterCalls {
		for _, call := range queue {
			st.Calls = append(st.Calls, call.state(name))
		}
	}
	slices.SortStableFunc(st.Calls, func(a, b CallState) int { return strings.Compare(a.Name, b.Name) })
	return st, nil
}

func (r *request) state() RequestState {
	s := RequestState{ID: r.id, Class: r.class.Name, HasCustomer: r.customer != nil, Units: r.units,
		ArrivedAt: r.arrivedAt, Deadline: r.deadline, Due: r.due, QuotaCounted: r.quotaCounted,
		InFlightCounted: r.inFlightCounted, TokensTaken: r.tokensTaken, QuotaWindow: r.quotaWindow,
		SlowStartSample: r.slowStartSample, IsOverQuota: r.isOverQuota, WasSent: r.wasSent, IsDone: r.isDone,
		HasPrior: r.priorServer != nil, PriorSentAt: r.priorSentAt}
	if r.customer != nil {
		s.Customer, s.Plan = r.customer.id, r.customer.plan.Name
	}
	for _, a := range r.attempts {
		s.Attempts = append(s.Attempts, AttemptState{a.server.Name, a.sentAt, a.isLive})
	}
	if r.priorServer != nil {
		s.PriorServer, s.PriorZone, s.PriorCell = r.priorServer.Name, r.priorServer.Zone, r.priorServer.Cell
	}
	return s
}

// state returns the state of a call to the counter of this name.
func (call *counterCall) state(name string) CallState {
	s := CallState{Name: name, Customer: call.customer.id, Plan: call.customer.plan.Name, Window: call.window,
		Delta: call.delta, RequestDelta: call.requestDelta}
	for i, counter := range call.customer.counters() {
		if counter == call.counter {
			s.Counter = i
		}
	}
	if call.request != nil {
		s.Request, s.HasRequest, s.RequestIndex = call.request.id, true, slices.Index(call.request.pendingCalls, call)
	}
	return s
}

// Restore takes over a state. The gateway must have its customers and must not have handled an event. Classes
// and plans that the settings no longer have are left out. It fails, and changes nothing, if the random source
// can't be read.
func (g *Gateway) Restore(st State) error {
	source := &rand.PCG{}
	if err := source.UnmarshalBinary(st.Random); err != nil {
		return fmt.Errorf("state: random source: %w", err)
	}
	g.source, g.rng = source, rand.New(source)
	g.now, g.ceilingStart, g.isStarted, g.logLines = st.Now, st.CeilingStart, st.IsStarted, st.LogLines
	g.counterFailures, g.isBreakerOpen, g.nextCounterProbe, g.counterAnsweredAt, g.counterBaseline =
		st.CounterFailures, st.IsBreakerOpen, st.NextCounterProbe, st.CounterAnsweredAt, st.CounterBaseline
	g.callsPerRequest, g.queryShare, g.queryShareAverage, g.recheckAt, g.retryBudget =
		st.CallsPerRequest, st.QueryShare, st.QueryShareAverage, st.RecheckAt, st.RetryBudget
	g.answers, g.timeoutShare, g.meanLatency, g.meanTimeInFlight =
		st.Answers.eventRate(), st.TimeoutShare, st.MeanLatency, st.MeanTimeInFlight
	g.admitShare, g.liveAttempts, g.topClassShortage = st.AdmitShare, st.LiveAttempts,
		estimate.FadingAverage{Value: st.TopClassShortage, At: st.TopClassShortageAt}
	for _, c := range st.Classes {
		if i := g.classIndex(c.Name); i >= 0 {
			g.classLatency[i] = estimate.LatencyModel{Latency: c.Latency, Units: c.Units, DoubtedAt: c.DoubtedAt}
			if c.Frequency > 0 { // 0 is from a predecessor that does not send it
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
		restored := &server{ServerEntry: s.Entry, startedAt: s.StartedAt, relativeLatency: s.RelativeLatency,
			outstanding: slices.Clone(s.Outstanding), lastResponseAt: s.LastResponseAt,
			ejectedUntil: s.EjectedUntil, failures: s.Failures, errors: s.Errors,
			connectionFailures: s.ConnectionFailures,
			rejectShare:        estimate.FadingAverage{Value: s.RejectShare, At: s.RejectShareAt},
			rejectLatency:      s.RejectLatency, throughput: s.Throughput.eventRate()}
		g.servers[s.Entry.Name] = restored
		g.serversByName = append(g.serversByName, restored)
	}
	g.rankServers()
	for _, s := range st.Requests {
		g.restoreRequest(s)
	}
	for _, id := range st.Held {
		r := g.requests[id]
		if r == nil { // it has ended but is still in the queue
			r = &request{id: id, isDone: true}
		}
		g.held = append(g.held, r)
	}
	g.restoreCalls(st.Calls)
	return nil
}

// classIndex returns the index of a class by name, or -1.
func (g *Gateway) classIndex(name string) int {
	return slices.IndexFunc(g.settings.Classes, func(c Class) bool { return c.Name == name })
}

// planIndex returns the index of a plan by name, or -1.
func (g *Gateway) planIndex(name string) int {
	return slices.IndexFunc(g.settings.Plans, func(p Plan) bool { return p.Name == name })
}

// serverOrStub returns a server by name. For one that is not in the list, or no longer, it returns a stub that
// can take the outcomes of attempts.
func (g *Gateway) serverOrStub(name string) *server {
	if s := g.servers[name]; s != nil {
		return s
	}
	return &server{ServerEntry: ServerEntry{Name: name, State: Gone}, relativeLatency: 1}
}

// restoreRequest adds a request of a restored state, unless its class no longer exists.
func (g *Gateway) restoreRequest(s RequestState) {
	index := g.classIndex(s.Class)
	if index < 0 {
		return
	}
	r := &request{id: s.ID, class: &g.settings.Classes[index], classIndex: index, units: s.Units,
		arrivedAt: s.ArrivedAt, deadline: s.Deadline, due: s.Due, quotaCounted: s.QuotaCounted,
		inFlightCounted: s.InFlightCounted, tokensTaken: s.TokensTaken, quotaWindow: s.QuotaWindow,
		slowStartSample: s.SlowStartSample, isOverQuota: s.IsOverQuota, wasSent: s.WasSent, isDone: s.IsDone,
		priorSentAt: s.PriorSentAt}
	if s.HasCustomer {
		r.customer = g.customerOnPlan(s.Customer, s.Plan)
	}
	for _, saved := range s.Attempts {
		if r.attempts = append(r.attempts, attempt{g.serverOrStub(saved.Server), saved.SentAt, saved.IsLive}); saved.IsLive {
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

// customerOnPlan returns a customer if it is still on this plan, else nil. A customer that has changed its plan
// has started anew: what is open from the former plan must not change its present tokens.
func (g *Gateway) customerOnPlan(id uint64, plan string) *customer {
	if c := g.customers[id]; c != nil && c.plan.Name == plan {
		return c
	}
	return nil
}

// restoreCalls adds the counter calls of a restored state, each at its position among the calls of its request.
func (g *Gateway) restoreCalls(calls []CallState) {
	for _, s := range calls {
		c := g.customerOnPlan(s.Customer, s.Plan)
		if c == nil || s.Counter < 0 || s.Counter > 2 {
			continue
		}
		call := &counterCall{customer: c, counter: c.counters()[s.Counter], window: s.Window, delta: s.Delta,
			requestDelta: s.RequestDelta}
		if r := g.requests[s.Request]; s.HasRequest && r != nil {
			call.request = r
			for len(r.pendingCalls) <= s.RequestIndex {
				r.pendingCalls = append(r.pendingCalls, nil)
			}
			r.pendingCalls[s.RequestIndex] = call
		}
		g.counterCalls[s.Name] = append(g.counterCalls[s.Name], call)
	}
	for _, r := range g.requests {
		r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(call *counterCall) bool { return call == nil })
	}
}
