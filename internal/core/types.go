package core

import (
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Decider is the decision module. The returned slice is valid until the next call.
type Decider interface {
	Handle(now time.Duration, ev admission.Event) []admission.Action
}

// Ref identifies an upstream request by its stream and its index among the stream's attempts, from 0. A health probe has
// an id of its own in Stream, which no stream has, and the Attempt 0.
type Ref struct {
	Stream  uint64
	Attempt int
}

// Payload is the request that a stream sends to its upstream host. The core does not read it. If sending it may consume a
// part of it, as with a body that is relayed and not kept, it has a method Gone() bool that reports whether that has
// happened. Such a payload can't be sent again. If it has a method Release, that is called when it is not sent any more.
type Payload any

// releasePayload calls the payload's method Release, if it has one.
func releasePayload(p Payload) {
	if releasable, ok := p.(interface{ Release() }); ok {
		releasable.Release()
	}
}

// isPayloadConsumed reports whether a part of p has been consumed, so that p can't be sent again.
func isPayloadConsumed(p Payload) bool {
	consumable, ok := p.(interface{ Gone() bool })
	return ok && consumable.Gone()
}

// Upstreams sends upstream requests. Each one that Start begins ends with one call of [Core.UpstreamEnded], possibly
// within Start, unless Cancel or Withdraw ends it. The same holds for Probe and [Core.ProbeEnded].
type Upstreams interface {
	Start(ref Ref, host string, p Payload, timeout time.Duration)
	// Cancel ends a request by closing its connection. It reports whether the request may have run, which is the case
	// unless it was not fully written.
	Cancel(ref Ref) (mayHaveRun bool)
	// Withdraw ends a request only if it was not fully written and so can't have run. It reports whether it did.
	Withdraw(ref Ref) (withdrawn bool)
	Probe(ref Ref, host string, timeout time.Duration)
	// CloseIdle closes the idle connections to a host.
	CloseIdle(host string)
}

// Counter makes calls to the shared quota counter. Each call of Add ends with one call of [Core.CounterCallEnded].
type Counter interface {
	// Add adds delta to the number with the given name and requests its total. The counter deletes the number when the
	// time ttl has passed since its creation.
	Add(name string, delta float64, ttl time.Duration)
}

// Cluster is the source of the host list. Refetch requests the complete list from discovery.
type Cluster interface{ Refetch() }

// Answer is the answer of an upstream host.
type Answer struct {
	Body        []byte
	ContentType string
	// Rest is the part of the body that is still arriving after Body, or nil. The core does not read it. If it has a
	// method CloseRead, that is called when nobody takes the answer.
	Rest any
	// Billed is the number of quota units that the host charged for the request, where quotas are settled by it after the
	// request. 0: not reported.
	Billed int
}

// EndKind says how a stream ended.
type EndKind int

const (
	Served     EndKind = iota // with an upstream host's answer
	Refused                   // by the module; the client may safely retry
	Failed                    // by the module; the request may or may not have taken effect
	Expired                   // by the module after an upstream request timed out, or without the module at the deadline
	ClientLeft                // the client went away
)

// String returns the name of the kind in logs and telemetry.
func (k EndKind) String() string {
	switch k {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Expired:
		return "expired"
	case ClientLeft:
		return "client_left"
	}
	return "unknown"
}

// End describes the end of a stream.
type End struct {
	Kind        EndKind
	Answer      Answer        // for Served
	RetryAfter  time.Duration // for Refused; 0: no advice
	HasAttempts bool          // an upstream request was made for the stream
	// OnRelayed is set if the answer's body is still arriving. The owner calls it with whether the client received the
	// whole answer, but not if the client leaves.
	OnRelayed func(isComplete bool)
}

// Owner is the front's side of a stream. End is called once, and not at all if the client leaves first.
type Owner interface{ End(e End) }

// Trace is a stream's position in a distributed trace. It is zero if there is no observer.
type Trace struct {
	tracecontext.Context
	Span tracecontext.SpanID // the stream's span; the spans of its upstream requests are derived from it
}

// Request is a client's request as a front passes it to [Core.StartStream].
type Request struct {
	admission.RequestArrived        // the ID is ignored: the core assigns one
	RequestID                string // identifies the request to upstream hosts; unique among tracked streams; may be empty
	IdempotencyKey           string // where the request's class uses idempotency keys
	Trace                    Trace
	Payload                  Payload
	Owner                    Owner
	IsPartial                bool // a part is still to arrive; ExpiresIn is counted from its last byte
	// LastIncomplete returns, for a partial request, a time at which its last byte had not been written yet, as late a one as
	// is known. While the request can't be read its last byte may have been written at any time since.
	LastIncomplete func() time.Duration
}

// StreamRecord describes an ended stream to the observer.
type StreamRecord struct {
	Class, Plan int
	Customer    uint64
	IsRetry     bool // the client marked the request as a retry
	Trace       Trace
	Kind        EndKind
	StartedAt   time.Duration // by the loop's clock, as in AttemptRecord
	Took        time.Duration
	Attempts    []AttemptRecord
}

// AttemptRecord describes an upstream request of a stream.
type AttemptRecord struct {
	Host      string
	StartedAt time.Duration // if its client's request was partial then, the time when that was complete
	Took      time.Duration // 0 while the request is pending, or if it ended at once
	Outcome   admission.Outcome
}

// Observer receives ended streams and counter calls, for telemetry. Its methods must not block.
type Observer interface {
	StreamEnded(StreamRecord)
	CounterAnswered(admission.Outcome, time.Duration)
}
