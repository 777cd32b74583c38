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

// findSpan returns the one that a traceparent names.
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

// A client's trace goes on through the ingress to the order host and back; each span is where the headers say.
func TestClientTraceIsContinued(t *testing.T) {
	env := newTestEnv(t)
	var mu sync.Mutex
	told, states := map[string]string{}, map[string]string{}
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		told[id], states[id] = r.Header.Get("Traceparent"), r.Header.Get("Tracestate")
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
	require.Equal(t, trace, told["known"][3:35])
	require.Equal(t, "shop=42", states["known"])
	stream := env.findSpan(back)
	require.Equal(t, "stream", stream.Name)
	require.Equal(t, caller, hex.EncodeToString(stream.ParentSpanId))
	try := env.findSpan(told["known"])
	require.Equal(t, "upstream request", try.Name)
	require.Equal(t, stream.SpanId, try.ParentSpanId)
	require.NotEqual(t, own[3:35], huge[3:35])
	require.NotContains(t, huge, "ffffffff", "what can't be read is not continued")
	require.Equal(t, trace, long[3:35])
	require.Empty(t, states["long"], "a state that can't be trusted is dropped, and the trace goes on")
	require.Equal(t, first[3:35], again[3:35], "tries of one order are of one trace")
	require.NotEqual(t, first[36:52], again[36:52])
	require.NotEqual(t, first[3:35], other[3:35], "another dealer's are not")
	dealer := ""
	for _, a := range env.findSpan(first).Attributes {
		if a.Key == "dealer" {
			dealer = a.Value.GetStringValue()
		}
	}
	require.Equal(t, "00000000000000bb", dealer)
}

// Without telemetry nothing is added.
func TestNoTraceWithoutTelemetry(t *testing.T) {
	env := newTestEnv(t)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) { env.record("trace " + r.Header.Get("Traceparent")) }
	env.start()
	resp := env.mustDo(env.request("GET", "", "stock", nil, "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"))
	require.Empty(t, resp.header.Get("Traceparent"))
	require.Equal(t, []string{"trace "}, env.recorded())
}
