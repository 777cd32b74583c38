package main

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	tracev1 "go.opentelemetry.io/proto/otlp/trace/v1"
)

// findSpan returns the collected span that a traceparent header names, or nil.
func (env *testEnv) findSpan(parent string) *tracev1.Span {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, span := range env.spans {
		if fmt.Sprintf("00-%x-%x", span.TraceId, span.SpanId) == parent[:52] {
			return span
		}
	}
	return nil
}

// A client's trace continues through the ingress to the upstream host. The headers in both directions name the spans that the
// collector received.
func TestClientTraceIsContinued(t *testing.T) {
	env := newTestEnv(t)
	var mu sync.Mutex
	traceparents, tracestates := map[string]string{}, map[string]string{}
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		traceparents[id], tracestates[id] = r.Header.Get("Traceparent"), r.Header.Get("Tracestate")
	}
	env.args = []string{"--otlp", "http://" + env.serve(env.collectTelemetry)}
	env.start()
	const trace, caller = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	ask := func(id string, header ...string) string {
		resp := env.mustDo(env.request("GET", "/api/00000000000000aa", "stock", nil, append(header, "Request-Id", id)...))
		require.Equal(t, 200, resp.status)
		return resp.header.Get("Traceparent")
	}
	back := ask("known", "Traceparent", "00-"+trace+"-"+caller+"-00", "Tracestate", "shop=42")
	own := ask("none")
	many := strings.Repeat("a=b,", 1000) + "c=d"
	huge := ask("huge", "Traceparent", "00-"+strings.Repeat("f", 5000), "Tracestate", many)
	long := ask("long", "Traceparent", "00-"+trace+"-"+caller+"-01", "Tracestate", many)
	order := func(id, customer string) string {
		resp := env.mustDo(env.request("POST", "/api/"+customer, "order", strings.NewReader("x"), "Request-Id", id, "Idempotency-Key", "k9"))
		require.Equal(t, 200, resp.status)
		return resp.header.Get("Traceparent")
	}
	first, again, other := order("o1", "00000000000000bb"), order("o2", "00000000000000bb"), order("o3", "00000000000000cc")
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())

	require.Equal(t, trace, back[3:35])
	require.Equal(t, "-00", back[52:], "the caller does not sample")
	require.Equal(t, trace, traceparents["known"][3:35])
	require.Equal(t, "shop=42", tracestates["known"])
	stream := env.findSpan(back)
	require.Equal(t, "stream", stream.Name)
	require.Equal(t, caller, hex.EncodeToString(stream.ParentSpanId))
	attempt := env.findSpan(traceparents["known"])
	require.Equal(t, "upstream request", attempt.Name)
	require.Equal(t, stream.SpanId, attempt.ParentSpanId)
	require.NotEqual(t, own[3:35], huge[3:35])
	require.NotContains(t, huge, "ffffffff", "an invalid trace is not continued")
	require.Equal(t, trace, long[3:35])
	require.Empty(t, tracestates["long"], "an oversized trace state is dropped, and the trace continues")
	require.Equal(t, first[3:35], again[3:35], "requests for one order share a trace")
	require.NotEqual(t, first[36:52], again[36:52])
	require.NotEqual(t, first[3:35], other[3:35], "those of another customer don't")
	customer := ""
	for _, a := range env.findSpan(first).Attributes {
		if a.Key == "dealer" {
			customer = a.Value.GetStringValue()
		}
	}
	require.Equal(t, "00000000000000bb", customer)
}

// Without telemetry no trace headers are added.
func TestNoTraceWithoutTelemetry(t *testing.T) {
	env := newTestEnv(t)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) { env.record("trace " + r.Header.Get("Traceparent")) }
	env.start()
	resp := env.mustDo(env.request("GET", "", "stock", nil, "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	require.Empty(t, resp.header.Get("Traceparent"))
	require.Equal(t, []string{"trace "}, env.recorded())
}
