// Package admission decides for one gateway of a fleet: which requests of which customers are admitted, which
// server gets them, how long to wait for the answer and whether to try again. A [Gateway] does no input or
// output and reads no clock.
//
// The host is the program that embeds a Gateway; upstream hosts are called servers here. The host owns the
// Gateway, the sockets and the clock. It builds one Gateway with [New], passes every [Event] to
// [Gateway.Handle] and carries out the returned actions.
//
// Host contract:
//
//   - One caller at a time. A Gateway has no locks and starts no goroutines.
//   - now is the time on a monotonic clock that is common to all gateways, as it determines the windows of
//     the shared counter. It never decreases from call to call.
//   - Events are passed in the order in which they happened; actions are carried out in the order returned,
//     at the time of the call.
//   - The returned slice is reused by the next call to Handle: finish with it, or copy it, before then.
//     Events are not retained, nor are their slices.
//   - Every [Send] is answered by one [AttemptEnded], every [CounterAdd] by one [CounterAnswered], every
//     [Probe] by one [ProbeEnded], every [SetTimer] by one [TimerFired] at or after its time. Answers of one
//     counter name keep the order of the calls.
//   - An attempt that is still open at the request's deadline is ended by the host then.
//   - Equal settings, seed and events give equal actions.
//
// Times are durations on the host's monotonic clock. Quotas and ceilings are in units; the host sets the
// units of each request. Worth is in an arbitrary unit that is common to all classes.
//
// Fields marked "not used here" are part of the interface, but no decision of this package depends on them.
package admission

import "time"

// Effect is how often a request may run. It limits repeats once an attempt may have run.
type Effect int

// The effects.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // has a key by which a group of servers drops repeats for a while
	Unsafe               // must not run twice
)

// Scope is the group of servers that recognises the repeat of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class is a kind of request.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within this time has its full worth
	Deadline      time.Duration // 0: none beyond the request's own
	Worth         float64       // worth of an answer in time
	LateWorth     float64       // share of the worth that is left after the latency target
	Effect        Effect
	Scope         Scope
	RepeatWindow  time.Duration // for how long a repeat of a keyed request is recognised
	IsStream      bool          // its answers are streamed: attempts have no time-out and are not cancelled
	IsRemoved     bool          // dropped from the settings: only requests that came before still have it
}

// Plan holds the quotas of each customer on it. A rate or cap of 0 means none.
type Plan struct {
	Name           string
	Rate           float64 // quota, units a second
	Burst          float64 // size of the quota's token bucket, units
	MaxInFlight    int     // requests in flight at one time
	WorthFactor    float64 // factor on the worth of this plan's requests
	OverQuotaWorth float64 // share of the worth that an answer beyond the quota still earns
	OverQuotaCost  float64 // share of the worth that is lost by sending a request beyond the quota
	CeilingRate    float64 // hard ceiling, units a second
	CeilingBurst   float64 // size of the ceiling's token bucket, units
	CeilingSlack   float64 // units by which the ceiling's bucket may be overdrawn
	IsRemoved      bool    // dropped from the settings
}

// Settings configure a gateway. [New] returns an error for counts, times, rates and worths that are out of
// range, but does not check every field.
type Settings struct {
	Gateways int // gateways in the fleet, at least 1
	Index    int // index of this gateway, from 0
	Zone     string
	Tick     time.Duration // the host's shortest time between events
	Classes  []Class       // at least one
	Plans    []Plan

	MustSubscribe  bool          // server lists come only after Subscribe or FetchList
	HasCounter     bool          // there is a shared counter
	HasBilledUnits bool          // the true units of a request come with its answer; not used here
	CounterTimeout time.Duration // time limit of a counter call
	MaxUnits       int           // units of the largest request

	MaxAttempts       int           // attempts of a request; 0: no limit
	LateRetryAfter    time.Duration // advice when any answer would be late; below 100 ms: 100 ms
	CanSendRetryAfter bool          // refusals may carry retry-after advice
	CanCancel         bool          // the host carries out Cancel
	CanProbe          bool          // the host carries out Probe; not used here
	CanMessagePeers   bool          // the host carries out SendPeerMessage; not used here
	CanHedge          bool          // a request may have several open attempts; not used here
	DialTimeout       time.Duration // time limit of connecting to a server; not used here

	// ReportNames are the fields of a load report, in order: inflight, queued, utilization,
	// latency_ms (of service, without waiting), rate, errors, or any other. Not used here.
	ReportNames        []string
	HasAnswerReports   bool          // answers carry load reports; not used here
	AnswerSlack        time.Duration // how long after the deadline a final answer is allowed; not used here
	AskWithin          time.Duration // value of the rule askWithin in the settings document; not used here
	DrainGrace         time.Duration // how long a draining server may still get requests; not used here
	WarmUpTime         time.Duration // a started server has its full capacity after this time
	InitialCapacity    float64       // least share of its capacity that a server has at its start, 0 to 1
	ColdOverloadFactor float64       // load over present capacity at which a cold server fails; not used here
	ColdOverloadTime   time.Duration // time until it fails under such a load; not used here
	CrossZoneCost      float64       // cost of crossing zones, relative to worth
}

// Event is something that happened: one of the types with an isEvent method.
type Event interface{ isEvent() }

// RequestArrived reports a client's request, which needs one final answer.
type RequestArrived struct {
	ID           uint64 // unique among open requests
	Class        int    // index into Settings.Classes
	Plan         int    // index into Settings.Plans; -1: none
	Customer     uint64
	ExpiresIn    time.Duration // time until its deadline
	Units        int           // less than 1 counts as 1
	Gateways     int           // gateways through which the customer's requests come
	FirstGateway int           // index of the first of them; the others follow, around the end
	IsRetry      bool          // the client has sent it before; not used here
	IsWrite      bool          // not used here
	PriorAttempt *PriorAttempt // for a keyed request: where its key may have run before; nil if unknown
	IsPartial    bool          // its body has not wholly arrived: its times start with RequestComplete
}

// RequestComplete reports that the body of a partial request has wholly arrived.
type RequestComplete struct {
	ID     uint64
	Waited time.Duration // the part of its time that is over, since its last byte was not read at once
}

// PriorAttempt is an attempt, made for another request with the same key, that may have run.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration
}

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. Their numbers are part of the handover's messages.
const (
	OK           Outcome = iota
	Errored              // the server answered with an error; it may have run
	Full                 // rejected by a server without running it
	TimedOut             // no answer in time; it may have run
	Unreachable          // no connection; it did not run
	Broken               // the connection was lost; it may have run
	Cancelled            // cancelled by the gateway; it may have run
	NotSent              // the host did not send it
	OutcomeCount         // number of outcomes
)

var outcomeNames = [OutcomeCount]string{"ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "not_sent"}

// String returns the name of an outcome in logs and telemetry, "unknown" for no outcome.
func (o Outcome) String() string {
	if o < 0 || o >= OutcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// AttemptEnded reports how a Send ended.
type AttemptEnded struct {
	ID            uint64
	Attempt       int // number of the attempt, from 0
	Server        string
	Outcome       Outcome
	Took          time.Duration
	Done          bool      // the request has its final answer
	Billed        int       // true units; 0: unknown
	Used          int       // not used here
	Report        []float64 // load report, in the order of Settings.ReportNames; not used here
	NotReplayable bool      // a part of the request is no longer held: it can't be sent again
}

// StreamOpened reports that the answer of a streamed request has begun. No decision depends on it.
type StreamOpened struct {
	ID      uint64
	Attempt int
	Server  string
	Took    time.Duration
}

// ClientLeft reports that the client has left: the request needs no answer any more.
type ClientLeft struct{ ID uint64 }

// ListKind is what a ServerList contains.
type ListKind int

// The kinds of lists.
const (
	ListChanges ListKind = iota // only the servers that changed
	ListFull                    // all servers
	ListCached                  // all servers as known before a restart, possibly outdated
	ListFailed                  // a request for the list failed; the old list stays
)

// ServerState is discovery's view of a server.
type ServerState int

// The states of a server. Their numbers are part of the handover's messages.
const (
	Up       ServerState = iota
	Draining             // it gets no new requests
	Gone
)

// ServerEntry is one server of a list.
type ServerEntry struct {
	Name  string // unique
	Zone  string
	Kind  string // type of its machine; not used here
	Cell  int    // group of servers within which repeats may be recognised, see Scope
	State ServerState
	Size  float64       // not used here
	Boot  time.Duration // time of its last start; 0: long ago
}

// ServerList reports a list, or changes of it, from discovery.
type ServerList struct {
	Kind    ListKind
	Version uint64 // not used here
	Servers []ServerEntry
}

// TimerFired reports that a timer is due.
type TimerFired struct{ Token uint64 }

// CounterAnswered reports the answer to one CounterAdd.
type CounterAnswered struct {
	Name    string
	Total   float64 // of all gateways, after the addition
	Took    time.Duration
	Outcome Outcome
}

// ProbeEnded reports the answer to one Probe. No decision depends on it.
type ProbeEnded struct {
	Server  string
	Took    time.Duration
	Outcome Outcome
	Report  []float64 // load report, in the order of Settings.ReportNames; not used here
}

// PeerMessage reports a message of another gateway. No decision depends on it.
type PeerMessage struct {
	From    int // index of the gateway
	Payload []byte
}

func (RequestArrived) isEvent()  {}
func (RequestComplete) isEvent() {}
func (AttemptEnded) isEvent()    {}
func (StreamOpened) isEvent()    {}
func (ClientLeft) isEvent()      {}
func (ServerList) isEvent()      {}
func (TimerFired) isEvent()      {}
func (CounterAnswered) isEvent() {}
func (ProbeEnded) isEvent()      {}
func (PeerMessage) isEvent()     {}

// Action is something that the host is to do: one of the types with an isAction method.
type Action interface{ isAction() }

// Send starts an attempt. The attempts of a request are numbered from 0.
type Send struct {
	ID     uint64
	Server string
	Wait   time.Duration // time limit; 0: until the client leaves
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Refuse is the final answer "refused": it does no harm if the client tries again.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // 0: no advice
	Reason     Reason
}

// Fail is the final answer "failed": the request may have run, so a retry may be unsafe.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Reason explains to the operator why a request was refused or failed. Nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonOverQuota     Reason = "over its quota or ceiling"
	ReasonLoadShed      Reason = "load shedding: answers are late"
	ReasonDeadline      Reason = "the deadline leaves no time for an attempt"
	ReasonAttemptsSpent Reason = "no attempts are left, or its body can't be sent again"
	ReasonNotRepeatable Reason = "it may have run and must not be repeated"
	ReasonNoServer      Reason = "no upstream host can take it"
	ReasonTooSlow       Reason = "no upstream host would answer in time"
	ReasonRetryBudget   Reason = "the retry budget is spent, or its latency target has passed"
	ReasonOverCeiling   Reason = "over this ingress's share of its ceiling"

	ReasonTooManyCustomers Reason = "no memory for a further customer"
)

// SetTimer asks for a TimerFired at the time At.
type SetTimer struct {
	Token uint64
	At    time.Duration
}

// CounterAdd adds Delta to a number on the shared counter, and asks for its total. The counter drops the
// number when the time TTL has passed since its creation.
type CounterAdd struct {
	Name  string
	Delta float64
	TTL   time.Duration
}

// Probe asks a server whether it runs. A Gateway returns none yet.
type Probe struct{ Server string }

// CloseIdle closes idle connections to a server. A Gateway returns none yet.
type CloseIdle struct{ Server string }

// SendPeerMessage sends a short message to one gateway, or to all if To is -1. A Gateway returns none yet.
type SendPeerMessage struct {
	To      int
	Payload []byte
}

// Subscribe asks discovery for changes from now on, or to stop sending them.
type Subscribe struct{ On bool }

// FetchList asks discovery for the whole list. A Gateway returns none yet.
type FetchList struct{}

// Log is a line for the operator.
type Log struct{ Text string }

func (Send) isAction()            {}
func (Cancel) isAction()          {}
func (Refuse) isAction()          {}
func (Fail) isAction()            {}
func (SetTimer) isAction()        {}
func (CounterAdd) isAction()      {}
func (Probe) isAction()           {}
func (CloseIdle) isAction()       {}
func (SendPeerMessage) isAction() {}
func (Subscribe) isAction()       {}
func (FetchList) isAction()       {}
func (Log) isAction()             {}
