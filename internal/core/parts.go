package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// What the core works with: the parts around it, and what passes between them.

// Decider is the decision module.
type Decider interface {
	Handle(now time.Duration, ev admission.Event) []admission.Action
}

// Ref names an upstream request: the stream and the number among its own.
type Ref struct {
	Stream  uint64
	Attempt int
}

// Payload is what a stream carries to its upstream host. The core does not look into it. One of which a part may be
// gone once it was sent has a method Gone, which tells so.
type Payload any

func gone(p Payload) bool {
	g, ok := p.(interface{ Gone() bool })
	return ok && g.Gone()
}

// Upstreams carries out upstream requests. Each started one ends with one call of
// [Core.UpstreamEnded], unless it was cancelled; ending within Start is fine.
type Upstreams interface {
	Start(ref Ref, host string, p Payload, wait time.Duration)
	Cancel(ref Ref) (ran bool)   // gives one up; it may have run unless it was not wholly written
	Withdraw(ref Ref) (was bool) // gives one up only if it can't have run
	Probe(ref Ref, host string, wait time.Duration)
	CloseIdle(host string)
}

// Counter carries out counter calls; each ends with one call of [Core.CounterCallEnded].
type Counter interface {
	Add(name string, by float64, keep time.Duration)
}

// Cluster is asked for the whole list.
type Cluster interface{ Refetch() }

// Answer is what an upstream host answered.
type Answer struct {
	Body        []byte
	ContentType string
	Rest        any // what comes after Body, nil: nothing. The core does not look into it
	Billed int // true units that the upstream host charged, where units settle afterwards; 0: not told
}

// EndKind tells how a stream ended.
type EndKind int

const (
	Served     EndKind = iota // with an upstream host's answer
	Refused                   // by the module: trying again is harmless
	Failed                    // by the module: nothing is promised of the effect
	Expired                   // by the module, after an upstream request ran out of time; or by nobody in time
	ClientLeft                // its client went away
)

// End is the one end of a stream.
type End struct {
	Kind        EndKind
	Answer      Answer
	RetryAfter  time.Duration
	HasAttempts bool // an upstream request was made for it
	// OnRelayed is set where the answer's body is still coming: it is to be told whether the client got all of it. It is
	// not called for a client that leaves.
	OnRelayed func(whole bool)
}

// Owner is the front's side of a stream. It is told the end once, unless the client left.
type Owner interface{ End(e End) }

// Trace is where a stream stands in a trace; zero where nobody observes.
type Trace struct {
	tracecontext.Context
	Span tracecontext.SpanID // of the stream; its upstream requests' follow from it
}

// Request is what a front knows of a client's request.
type Request struct {
	admission.RequestArrived        // all but the ID
	RequestID                string // upstream hosts know it by this: no two that are out share one; empty: none
	IdempotencyKey           string // its idempotency key, where its class has them
	Trace                    Trace
	Payload                  Payload
	Owner                    Owner
	IsIncomplete             bool // part of it is still to come: its time runs from Whole
}

// StreamRecord is what an observer is told of an ended stream.
type StreamRecord struct {
	Class, Plan int
	Customer    uint64
	IsRetry     bool // as its client marks it
	Trace       Trace
	Kind        EndKind
	Began       time.Duration
	Took        time.Duration
	Attempts    []AttemptRecord
}

// AttemptRecord is one upstream request of a stream.
type AttemptRecord struct {
	Host    string
	Began   time.Duration
	Took    time.Duration // 0 while it is out
	Outcome admission.Outcome
}

// Observer is told of what has happened. It must return at once.
type Observer interface {
	StreamEnded(StreamRecord)
	CounterAnswered(admission.Outcome, time.Duration)
}
