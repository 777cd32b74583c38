// Package admission decides for an admission gateway: which requests of which
// customers pass, which server takes them, how long to wait and whether to try
// again. It does no input or output of its own.
//
// The host owns sockets and clock. It builds one [Gateway] with [New], feeds it
// every [Event] through [Gateway.Handle] and carries out the returned actions.
//
// Host contract:
//
//   - One caller at a time. A Gateway has no locks and starts no goroutines.
//   - now is a monotonic reading common to all gateways (windows of the shared
//     counter are cut from it) and never decreases from call to call.
//   - Events are handed over in the order in which they happened; actions are
//     carried out in the order returned, at the time of the call.
//   - The returned slice is reused by the next call to Handle: finish with it,
//     or copy it, before then. Events are not retained, nor are their slices.
//   - Every [Send] is answered by one [AttemptEnded], every [CounterAdd] by one
//     [CounterAnswered], every [Probe] by one [ProbeEnded], every [SetTimer] by one
//     [TimerFired] at or after its time. Answers of one counter name keep order.
//   - An attempt still out at the request's deadline is ended by the host there.
//   - Equal settings, seed and events give equal actions.
package admission

import "time"

// Effect tells how far an attempt may be repeated once it may have run.
type Effect int

const (
	Safe   Effect = iota // may run any number of times
	Keyed                // a group of servers drops repeats for a while
	Unsafe               // must not run twice
)

// Scope is the group of servers that recognises the repeat of a keyed request.
type Scope int

const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class is a kind of request. A Deadline of 0 means none beyond the request's own.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within this time has its full worth
	Deadline      time.Duration
	Worth         float64
	LateWorth     float64 // part of the worth left after the aim
	Effect        Effect
	Scope         Scope
	RepeatWindow  time.Duration // how long a repeat of a keyed request is recognised
	IsStream      bool
	IsRemoved     bool // it was in earlier settings: only requests that came with it still have it
}

// Plan holds the quotas of each customer on it. A zero rate or cap means none.
type Plan struct {
	Name           string
	Rate           float64 // units a second
	Burst          float64 // units the store holds
	MaxInFlight    int     // attempts out at one time
	WorthFactor    float64
	OverQuotaWorth float64 // part of the worth earned beyond the quota
	OverQuotaCost  float64 // part of the worth lost by sending on beyond the quota
	CeilingRate    float64 // hard ceiling, units a second
	CeilingBurst   float64
	CeilingSlack   float64
	IsRemoved      bool // it was in earlier settings
}

// Settings are what a gateway is told at its start.
type Settings struct {
	Gateways int // gateways in the tier
	Index    int // number of this one, from 0
	Zone     string
	Tick     time.Duration // the host's shortest time between events
	Classes  []Class
	Plans    []Plan

	MustSubscribe  bool // server lists come only after Subscribe or FetchList
	HasCounter     bool
	HasBilledUnits bool // true units of a request come with its answer
	CounterTimeout time.Duration
	MaxUnits       int

	MaxAttempts       int
	MaxRetryAfter     time.Duration
	CanSendRetryAfter bool
	CanCancel         bool
	CanProbe          bool
	CanMessagePeers   bool
	CanHedge          bool
	DialTimeout       time.Duration

	// ReportNames are the fields of a load report, in order: inflight, queued, utilization,
	// latency_ms (of service, without waiting), rate, errors, or any other.
	ReportNames        []string
	HasAnswerReports   bool // answers carry load reports
	AnswerSlack        time.Duration
	AskWithin          time.Duration
	DrainGrace         time.Duration
	WarmUpTime         time.Duration // a started server is warm after this
	InitialCapacity    float64       // part of its capacity at its start, or more
	ColdOverloadFactor float64       // sent more than this multiple of its capacity...
	ColdOverloadTime   time.Duration // ...for this long, a cold server falls over
	CrossZoneCost      float64       // price of crossing zones, relative to worth
}

// Event is something that happened, one of the types below.
type Event interface{ isEvent() }

// RequestArrived: a client's request, which now needs one final answer.
type RequestArrived struct {
	ID           uint64
	Class        int // index into Settings.Classes
	Plan         int // index into Settings.Plans
	Customer     uint64
	ExpiresIn    time.Duration
	Units        int
	Gateways     int // gateways through which this customer comes
	FirstGateway int
	IsRetry      bool
	IsWrite      bool
	PriorAttempt *PriorAttempt // of a keyed request: where one with its key may have run, nil if none is known
	IsPartial    bool          // it has not wholly come: its time and its attempts' run from RequestWhole
}

// RequestComplete: a request that was open has wholly come.
type RequestComplete struct{ ID uint64 }

// PriorAttempt is an attempt, made for another request with the same key, that may have run.
type PriorAttempt struct {
	Server, Zone string
	Cell         int
	SentAt       time.Duration
}

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome int

const (
	OK           Outcome = iota
	Errored              // the server gave an error; may have run
	Full                 // turned away unseen
	TimedOut             // no answer in time; may have run
	Unreachable          // no connection; never ran
	Broken               // connection lost; may have run
	Cancelled            // called off; may have run
	NotSent              // never left
	OutcomeCount         // number of outcomes
)

var outcomeNames = [OutcomeCount]string{"ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "not_sent"}

// String names an outcome in logs and telemetry.
func (o Outcome) String() string {
	if o < 0 || o >= OutcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// AttemptEnded: the outcome of one Send. Done marks a request that has finished.
type AttemptEnded struct {
	ID            uint64
	Attempt       int
	Server        string
	Outcome       Outcome
	Took          time.Duration
	Done          bool
	Billed        int // true units, 0 if not told
	Used          int
	Report        []float64
	NotReplayable bool // part of the request is held nowhere any more: it can't be sent again
}

// StreamOpened: the answer of a streamed request has begun.
type StreamOpened struct {
	ID      uint64
	Attempt int
	Server  string
	Took    time.Duration
}

// ClientLeft: the client has gone; nothing more is owed.
type ClientLeft struct{ ID uint64 }

// ListKind tells what a ServerList brings.
type ListKind int

const (
	ListChanges ListKind = iota
	ListFull
	ListCached // complete, but possibly old: what was known before a restart
	ListFailed // an ask failed, the old list stays
)

// ServerState is discovery's view of a server.
type ServerState int

const (
	Up ServerState = iota
	Draining
	Gone
)

// ServerEntry is one server of a list.
type ServerEntry struct {
	Name  string
	Zone  string
	Kind  string
	Cell  int
	State ServerState
	Size  float64
	Boot  time.Duration // clock at its last start, 0: long ago
}

// ServerList: discovery's news.
type ServerList struct {
	Kind    ListKind
	Version uint64
	Servers []ServerEntry
}

// TimerFired: a timer set earlier is due.
type TimerFired struct{ Token uint64 }

// CounterAnswered: the answer to one CounterAdd.
type CounterAnswered struct {
	Name    string
	Total   float64
	Took    time.Duration
	Outcome Outcome
}

// ProbeEnded: the answer to one Probe.
type ProbeEnded struct {
	Server  string
	Took    time.Duration
	Outcome Outcome
	Report  []float64
}

// PeerMessage: another gateway sent this.
type PeerMessage struct {
	From    int
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

// Action is something the host is to do, one of the types below.
type Action interface{ isAction() }

// Send starts an attempt; attempts of a request are numbered from 0. A Wait of 0
// means until the client gives up.
type Send struct {
	ID     uint64
	Server string
	Wait   time.Duration
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Refuse is the final answer "no": trying again does no harm.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // 0: no advice
	Reason     Reason
}

// Fail is the final answer "failed": nothing is promised of the effect.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Reason tells the operator why a request was refused or failed. Nothing is decided by it.
type Reason string

// The reasons.
const (
	ReasonOverQuota     Reason = "over its quota or ceiling"
	ReasonLoadShed      Reason = "shed: answers come late"
	ReasonDeadline      Reason = "no time is left for an attempt"
	ReasonAttemptsSpent Reason = "all attempts are spent, or its body can't be sent again"
	ReasonNotRepeatable Reason = "it may have run, and may not be repeated"
	ReasonNoServer      Reason = "no upstream host can take it"
	ReasonTooSlow       Reason = "no upstream host would answer in time"
	ReasonRetryBudget   Reason = "the retry budget is spent, or its aim is over"
	ReasonOverCeiling   Reason = "over this ingress's share of its ceiling"
)

// SetTimer asks for a TimerFired at the clock time At.
type SetTimer struct {
	Token uint64
	At    time.Duration
}

// CounterAdd adds By to a named shared number, forgotten Keep after it is made.
type CounterAdd struct {
	Name  string
	Delta float64
	TTL   time.Duration
}

// Probe asks a server whether it runs.
type Probe struct{ Server string }

// CloseIdle closes idle connections to a server.
type CloseIdle struct{ Server string }

// SendPeerMessage sends a short message to one gateway, or to all (To = -1).
type SendPeerMessage struct {
	To      int
	Payload []byte
}

// Subscribe asks discovery for changes from now on.
type Subscribe struct{ On bool }

// FetchList asks discovery for the whole list.
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
