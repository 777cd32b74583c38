// Package front holds what the fronts share: from a client's request to a stream of
// the core, and from the stream's end to an answer.
package front

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/upstream"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Streams is the core, as fronts see it.
type Streams interface {
	StartStream(now time.Duration, r core.Request) uint64
	ClientDisconnected(now time.Duration, id uint64)
	RequestCompleted(now time.Duration, id uint64)
	HasObserver() bool
}

// forwardedHeaders are the headers that go on to upstream hosts as they came.
var forwardedHeaders = [...]string{"Request-Id", "Idempotency-Key", "Content-Type"}

// Message makes of a request what goes to an upstream host.
func Message(r *http1.Request) *upstream.Message {
	m := &upstream.Message{Method: retain(r, r.Method), Target: retain(r, r.Target),
		Headers: make(http1.Headers, 0, len(forwardedHeaders)+1)}
	for _, name := range forwardedHeaders {
		if v := r.Headers.Get(name); v != "" {
			m.Headers = append(m.Headers, http1.Header{Name: name, Value: retain(r, v)})
		}
	}
	m.Body, m.BodyPipe = r.Body, r.BodyPipe
	return m
}

// maxRetainedHead is the length of a head up to which all of it is kept for the parts that are used of it.
const maxRetainedHead = 1 << 10

// retain returns a part of a request's head that may be kept longer than the request, without the rest of a long head.
func retain(r *http1.Request, part string) string {
	if r.HeadBytes > maxRetainedHead {
		return strings.Clone(part)
	}
	return part
}

// singleHeaders are the headers by which upstream hosts or this program decide. Of two with the same name, each reader may take
// another one.
var singleHeaders = [...]string{"Request-Id", "Request-Class", "Request-Timeout", "Idempotency-Key", "X-Plan", "X-Quota",
	"Client-Retry", "Content-Type"}

// Check returns an error for a request that no front accepts, because upstream hosts may read it in another way.
func Check(r *http1.Request) error {
	for _, name := range singleHeaders {
		if r.Headers.Count(name) > 1 {
			return fmt.Errorf("%s is there twice", name)
		}
	}
	id := r.Headers.Get("Request-Id")
	if len(id) > maxIDBytes {
		return fmt.Errorf("Request-Id is over %d bytes", maxIDBytes)
	}
	if len(r.Headers.Get("Idempotency-Key")) > maxIDBytes {
		return fmt.Errorf("Idempotency-Key is over %d bytes", maxIDBytes)
	}
	for _, text := range []string{id, r.Headers.Get("Idempotency-Key"), r.Target} {
		if strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
			return fmt.Errorf("%q holds what is no visible character", text)
		}
	}
	if r.Method == "GET" && (len(r.Body) > 0 || r.IsStreamed) {
		return fmt.Errorf("a GET has no body")
	}
	return nil
}

// maxIDBytes bounds an id and a key: they are kept as long as a request with them may run.
const maxIDBytes = 256

// Open opens the stream of a request. It tells whether that was possible: no request may have the id of
// another that is open, nor its idempotency key.
func Open(s Streams, c *downstream.Conn, a admission.RequestArrived, r *http1.Request, o core.Owner) bool {
	req := core.Request{RequestArrived: a, RequestID: retain(r, r.Headers.Get("Request-Id")),
		IdempotencyKey: strings.Clone(r.Headers.Get("Idempotency-Key")), Owner: o, IsPartial: r.IsStreamed}
	req.RequestArrived.IsPartial = r.IsStreamed
	if r.IsStreamed { // its time has not begun
		req.LastIncomplete = c.LastIncomplete
	} else {
		req.ExpiresIn = max(0, a.ExpiresIn-c.RequestAge())
	}
	m := Message(r)
	m.AtMostOnce = a.IsWrite && req.IdempotencyKey == ""
	if s.HasObserver() {
		req.Trace = trace(a.Customer, req.IdempotencyKey, r)
		m.Trace = req.Trace
	}
	req.Payload = m
	if c.StreamID = s.StartStream(c.Now(), req); c.StreamID == 0 {
		return false
	}
	m.Hold(c.Memory(), min(r.HeadBytes, maxRetainedHead)+len(r.Target))
	if req.Trace.Valid() {
		c.TraceParent = string(tracecontext.AppendParent(nil, req.Trace.Trace, req.Trace.Span, req.Trace.Sampled))
	}
	return true
}

// trace continues the trace that a client has begun. A request without one, or with one that can't be parsed, gets a trace
// that is derived from its customer and key, so that all attempts of an order are of one trace whichever ingress they come
// through. Without a key it is a new one.
func trace(customer uint64, key string, r *http1.Request) core.Trace {
	t := core.Trace{Span: tracecontext.Span(rand.Uint64())}
	var ok bool
	if r.Headers.Count("Traceparent") == 1 { // of two nobody knows which one is meant
		state := ""
		if r.Headers.Count("Tracestate") == 1 {
			state = retain(r, r.Headers.Get("Tracestate"))
		}
		if t.Context, ok = tracecontext.Parse(r.Headers.Get("Traceparent"), state); ok {
			return t
		}
	}
	if key != "" {
		t.Context = tracecontext.Derive(customer, key)
	} else {
		t.Context = tracecontext.New(rand.Uint64(), rand.Uint64())
	}
	t.Sampled = true
	return t
}

// OpenAlready says so of an id or a key.
const OpenAlready = "a request with this Request-Id or Idempotency-Key is open"

// Serve answers with what an upstream host answered.
func Serve(c *downstream.Conn, e core.End) {
	a := e.Answer
	var h http1.Headers
	if a.ContentType != "" {
		h = http1.Headers{{Name: "Content-Type", Value: a.ContentType}}
	}
	if rest := upstream.RelayedBody(a); rest != nil {
		c.Relay(200, h, rest, e.OnRelayed)
		return
	}
	c.Reply(200, h, a.Body)
}

// RefusalStatus is the status of a refusal: 429 where the request was never sent on, so that it met its quota, and 503
// where it was, so that it met pressure.
func RefusalStatus(e core.End) int {
	if e.HasAttempts {
		return 503
	}
	return 429
}

// RetryAdvice returns the Retry-After field of a response to a request that was refused unread, for which there is no
// better advice than a second. Other statuses have none.
func RetryAdvice(status int) http1.Headers {
	if status != 503 {
		return nil
	}
	return http1.Headers{{Name: "Retry-After", Value: "1"}}
}
