// Package front holds what the fronts share: from a client's request to a stream of
// the core, and from the stream's end to an answer.
package front

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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

// passed are the headers that go on to upstream hosts as they came.
var passed = [...]string{"Request-Id", "Idempotency-Key", "Content-Type"}

// Message makes of a request what goes to an upstream host.
func Message(r *http1.Request) *upstream.Message {
	m := &upstream.Message{Method: r.Method, Target: retain(r, r.Target), Headers: make(http1.Headers, 0, len(passed)+1)}
	for _, name := range passed {
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

// once are the fields that upstream hosts or we decide by. Of two, each reader may take another.
var once = [...]string{"Request-Id", "Request-Class", "Request-Timeout", "Idempotency-Key", "X-Plan", "X-Quota",
	"Client-Retry", "Content-Type"}

// Check tells what no front takes, whatever it says: what upstream hosts may read in another way than we do.
func Check(r *http1.Request) error {
	for _, name := range once {
		if r.Headers.Count(name) > 1 {
			return fmt.Errorf("%s is there twice", name)
		}
	}
	id := r.Headers.Get("Request-Id")
	if len(id) > idMost {
		return fmt.Errorf("Request-Id is over %d bytes", idMost)
	}
	if len(r.Headers.Get("Idempotency-Key")) > idMost {
		return fmt.Errorf("Idempotency-Key is over %d bytes", idMost)
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

// idMost bounds an id and a key: they are kept as long as a request with them may run.
const idMost = 256

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

// trace goes on with the trace that a client has begun. One that sends none, or what can't be read, is given the
// one that follows from dealer and key, so that each try of an order is of one trace whichever ingress it comes
// through; without a key it is a new one.
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

// Customer reads the customer's number: 16 hexadecimal digits, or fewer, below 2^33.
func Customer(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 33)
	return n, err == nil && len(text) <= 16
}

// Timeout reads a time such as "480m" (milliseconds) or "480000u" (microseconds).
func Timeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(text, "m")
	if !ok {
		if digits, ok = strings.CutSuffix(text, "u"); !ok {
			return 0, false
		}
		unit = time.Microsecond
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || strings.Trim(digits, "0123456789.") != "" || f <= 0 || f > 1e12 {
		return 0, false
	}
	return time.Duration(f * float64(unit)).Truncate(time.Microsecond), true
}

// Doors reads the platform's form of a quota, "units=2,spread=3,first=1", into whichever of the three
// are wanted; fields that are not there leave them as they are. Each has a range of its own.
func Doors(text string, set *admission.Settings, units, spread, first *int) error {
	seen := map[string]bool{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seen[name] {
			return fmt.Errorf("%s is there twice", name)
		}
		seen[name] = true
		var into *int
		least, most := 1, set.Gateways
		switch name {
		case "units":
			if into = units; set.MaxUnits > 0 {
				most = set.MaxUnits
			} else {
				most = 1e6
			}
		case "spread":
			into = spread
		case "first":
			into, least, most = first, 0, set.Gateways-1
		}
		if into == nil {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < least || n > most || strings.HasPrefix(value, "+") {
			return fmt.Errorf("%s is %q", name, value)
		}
		*into = n
	}
	return nil
}
