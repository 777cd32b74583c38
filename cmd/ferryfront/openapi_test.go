package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	colmetrics "go.opentelemetry.io/proto/otlp/collector/metrics/v1"
	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

const openAPIDescription = `openapi: 3.0.3
info: {title: shops, version: '1'}
paths:
  /prices/{part}:
    get:
      x-ferryfront: {class: catalogue, repeat: safe}
      responses: {"200": {description: ok}}
  /stock:
    get:
      x-ferryfront: {class: stock, cost: 2}
      parameters: [{name: part, in: query, required: true, schema: {type: string}}]
      responses: {"200": {description: ok}}
  /orders:
    post:
      x-ferryfront: {class: order, repeat: keyed}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      requestBody:
        required: true
        content: {application/json: {schema: {type: object, required: [part, count]}}}
      responses: {"200": {description: ok}}
`

var handWrittenRoutes = []object{
	{"method": "GET", "path": "/prices/{part}", "class": "catalogue", "cost": 1},
	{"method": "GET", "path": "/stock", "class": "stock", "cost": 2, "required": []object{{"in": "query", "name": "part"}}},
	{"method": "POST", "path": "/orders", "class": "order", "cost": 1, "body": true, "required": []object{
		{"in": "header", "name": "Idempotency-Key"}, {"in": "body", "name": "part"}, {"in": "body", "name": "count"}}},
}

// newFrontEnv starts an environment whose daemon has a second front, at env.addr. It returns the address of the first front
// and the path of the description, too.
func newFrontEnv(t *testing.T, description string, routes []object,
	adjust ...func(settings map[string]any)) (env *testEnv, platform, path string) {
	env = newTestEnv(t)
	path = filepath.Join(t.TempDir(), "shops.yaml")
	front := object{"listen": freeAddr(t), "customer": object{"in": "header", "name": "X-Dealer"},
		"plan": object{"in": "header", "name": "X-Plan", "default": "boutique"}, "deadline": object{"in": "header", "name": "Request-Timeout"}}
	if routes != nil {
		front["routes"] = routes
	} else {
		front["description"] = "shops.yaml"
		require.NoError(t, os.WriteFile(path, []byte(description), 0o600))
	}
	raw, err := json.Marshal(front)
	require.NoError(t, err)
	file := filepath.Join(filepath.Dir(path), "front.json")
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	env.args = []string{"-front", file}
	env.modifyConfig = func(_, settings map[string]any) { // the host recognizes a class by its deadline
		for i, c := range settings["classes"].([]object) {
			c["deadline"] = 1000 * (i + 1)
		}
		for _, change := range adjust {
			change(settings)
		}
	}
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		var wait int
		_, err := fmt.Sscanf(r.Header.Get("Request-Timeout"), "%dm", &wait)
		require.NoError(t, err)
		switch r.Header.Get("Request-Id") {
		case "broken":
			rw.WriteHeader(500)
		case "slow":
			env.record("slow")
			_, _ = io.ReadAll(r.Body) // the server notices a closed connection only after the body
			select {
			case <-r.Context().Done():
			case <-env.testDone:
			}
		default:
			env.record(fmt.Sprintf("class of %d s", (wait+500)/1000))
			rw.Header().Set("Content-Type", "text/x-echo")
			env.echo(rw, r)
		}
	}
	env.start()
	platform, env.addr = env.addr, front["listen"].(string)
	return env, platform, path
}

// frontRequest returns a request to the second front from a new customer. header holds names and values in turn.
func (env *testEnv) frontRequest(method, path, body string, header ...string) *http.Request {
	lastCustomer++
	r, err := http.NewRequest(method, "http://"+env.addr+path, strings.NewReader(body))
	require.NoError(env.t, err)
	r.Header.Set("X-Dealer", fmt.Sprintf("%x", lastCustomer))
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Idempotency-Key", "k1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// independentOfSpeed has what hosts and the counter get depend on the requests alone, and not on how fast the machine is: each
// request makes one attempt, and no answer of the counter is so late that fewer requests ask it.
func independentOfSpeed(settings map[string]any) {
	settings["limits"].(object)["maxAttempts"] = 1
	settings["extra"].(object)["counterTimeout"] = 60000
}

// Routes from a description and the same routes written by hand give the same classes, costs and answers.
func TestDescriptionAndHandWrittenRoutesAgree(t *testing.T) {
	const order = `{"part":"chain","count":2}`
	const problem = "application/problem+json"
	calls := []struct {
		status       int
		method, path string
		body         string
		header       []string
	}{
		{200, "GET", "/prices/p%2F1?x=%20", "", nil},
		{200, "GET", "/stock?part=1", "", nil},
		{200, "POST", "/orders", order, nil},
		{200, "GET", "/stock?part=1", "", []string{"X-Dealer", "7fffff", "X-Plan", "small"}},
		{429, "GET", "/stock?part=1", "", []string{"X-Dealer", "7fffff", "X-Plan", "small"}},
		{400, "GET", "/stock", "", nil},
		{400, "POST", "/orders", order, []string{"Idempotency-Key", ""}},
		{400, "POST", "/orders", `{"part":"chain"}`, nil},
		{400, "POST", "/orders", `[`, nil},
		{400, "POST", "/orders", "", nil},
		{400, "GET", "/prices/1", "", []string{"X-Dealer", "me"}},
		{400, "GET", "/prices/1", "", []string{"X-Plan", "none"}},
		{400, "GET", "/prices/1", "", []string{"Request-Timeout", "soon"}},
		{404, "GET", "/none", "", nil},
		{404, "GET", "/prices/../stock?part=1", "", nil},
		{405, "DELETE", "/orders", "", nil},
		{413, "POST", "/orders", strings.Repeat("x", 64<<10+1), nil},
		{502, "POST", "/orders", order, []string{"Request-Id", "broken"}},
		{504, "POST", "/orders", order, []string{"Request-Id", "slow", "Request-Timeout", "200m"}},
	}
	transcript := func(description string, routes []object) (lines []string) {
		env, _, _ := newFrontEnv(t, description, routes, independentOfSpeed)
		for _, c := range calls {
			got := env.mustDo(env.frontRequest(c.method, c.path, c.body, c.header...))
			require.Equal(t, c.status, got.status, "%s %s: %s", c.method, c.path, got.body)
			if c.status != 200 {
				require.Equal(t, problem, got.header.Get("Content-Type"))
				var p object
				require.NoError(t, json.Unmarshal([]byte(got.body), &p))
				require.Equal(t, float64(c.status), p["status"])
			}
			if c.status == 429 {
				require.Regexp(t, `^[1-9]\d*$`, got.header.Get("Retry-After"), "whole seconds")
			}
			if c.status == 405 {
				require.Equal(t, "POST", got.header.Get("Allow"))
			}
			lines = append(lines, fmt.Sprintf("%d %s %s", got.status, got.header.Get("Content-Type"), got.body))
		}
		lines = append(lines, env.recorded()...)
		total := 0.0
		for name, sum := range env.counter.Numbers() {
			if !strings.HasPrefix(name, "/counters/q"+strconv.FormatInt(0x7fffff, 36)+".") { // whether that customer's rejected request is counted depends on timing
				total += sum
			}
		}
		// 1 for the price, 2 for the stock, 1 each for three orders that reached the core
		require.Equal(t, 6.0, total)
		return append(lines, fmt.Sprint(total))
	}
	require.Equal(t, transcript("", handWrittenRoutes), transcript(openAPIDescription, nil))
}

// The two fronts share one core: what a customer uses by one counts for the other.
func TestQuotaHoldsOverBothFronts(t *testing.T) {
	env, platform, _ := newFrontEnv(t, openAPIDescription, nil)
	require.Equal(t, 200, env.mustDo(env.frontRequest("GET", "/stock?part=1", "", "X-Dealer", "77", "X-Plan", "small")).status)
	env.addr = platform
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/77", "stock", nil, "X-Plan", "small")).status)
	require.Equal(t, 429, env.mustDo(env.request("GET", "/api/77", "stock", nil, "X-Plan", "small")).status)
}

// The description changes while a request is in flight. That request is served by the old routes and the next ones by the new
// routes. An invalid description changes nothing.
func TestDescriptionChangesWithRequestsInFlight(t *testing.T) {
	env, _, path := newFrontEnv(t, openAPIDescription, nil)
	slow := make(chan response, 1)
	r := env.frontRequest("GET", "/prices/1", "", "Request-Id", "slow", "Request-Timeout", "1900m")
	go func() {
		got, _ := env.do(r)
		slow <- got
	}()
	env.eventually(func() bool { return len(env.recorded()) > 0 })
	write := func(text string) { // replaces the file atomically
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
		env.signal(syscall.SIGHUP)
	}
	write(strings.ReplaceAll(openAPIDescription, "/prices/", "/costs/"))
	env.eventually(func() bool { return env.mustDo(env.frontRequest("GET", "/costs/1", "")).status == 200 })
	require.Equal(t, 404, env.mustDo(env.frontRequest("GET", "/prices/1", "")).status)
	write(strings.Replace(openAPIDescription, "{class: catalogue, repeat: safe}", "{class: order}", 1))
	env.eventually(func() bool {
		return strings.Contains(env.log.String(), `GET /prices/{part}: a lookup must not be marked \"order\"`)
	})
	require.Equal(t, 200, env.mustDo(env.frontRequest("GET", "/costs/1", "")).status, "the old routes stay")
	// The host never responds, so the request fails as its class allows, by its old timeout.
	require.Contains(t, []int{429, 503, 504}, (<-slow).status)
}

func TestRefusedDescriptionEndsTheStart(t *testing.T) {
	dir := t.TempDir()
	text := strings.Replace(openAPIDescription, "cost: 2", "cost: 3", 1)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "d.yaml"), []byte(text), 0o600))
	file := filepath.Join(dir, "front.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"listen":"127.0.0.1:1","description":"d.yaml",
"customer":{"in":"header","name":"C"},"plan":{"default":"boutique"}}`), 0o600))
	env := newTestEnv(t).start()
	getenv := func(key string) string {
		value, _ := strings.CutPrefix(env.cmd.Env[0], key+"=")
		if value == env.cmd.Env[0] {
			return ""
		}
		return value
	}
	var out, errs strings.Builder
	require.Equal(t, 1, run([]string{"serve", "-front", file}, getenv, &out, &errs))
	require.Contains(t, errs.String(), "d.yaml: GET /stock: cost 3 is outside 1 to 2")
	require.NoError(t, os.WriteFile(filepath.Join(dir, "d.yaml"), []byte(openAPIDescription), 0o600))
	require.Zero(t, run([]string{"routes", "-front", file}, getenv, &out, &errs), errs.String())
	require.Regexp(t, `GET +/stock +stock +2\n`, out.String())
	require.Zero(t, run([]string{"check-config"}, getenv, &out, &errs))
}

// collectTelemetry handles requests to an OTLP endpoint and records spans and histograms.
func (env *testEnv) collectTelemetry(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	require.NoError(env.t, err)
	switch r.URL.Path {
	case "/v1/traces":
		var req coltrace.ExportTraceServiceRequest
		require.NoError(env.t, proto.Unmarshal(body, &req))
		for _, rs := range req.ResourceSpans {
			for _, ss := range rs.ScopeSpans {
				for _, s := range ss.Spans {
					env.record(fmt.Sprintf("span %s %v", s.Name, s.EndTimeUnixNano >= s.StartTimeUnixNano))
					env.mu.Lock()
					env.spans = append(env.spans, s)
					env.mu.Unlock()
				}
			}
		}
	case "/v1/metrics":
		var req colmetrics.ExportMetricsServiceRequest
		require.NoError(env.t, proto.Unmarshal(body, &req))
		for _, rm := range req.ResourceMetrics {
			for _, sm := range rm.ScopeMetrics {
				for _, m := range sm.Metrics {
					if h := m.GetHistogram(); h != nil {
						env.record(fmt.Sprintf("metric %s %d", m.Name, h.DataPoints[0].Count))
					}
				}
			}
		}
	}
	rw.Header().Set("Content-Type", "application/x-protobuf")
}

func TestTelemetryReachesAnEndpoint(t *testing.T) {
	env := newTestEnv(t)
	env.args = []string{"-otlp", "http://" + env.serve(env.collectTelemetry)}
	env.start()
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())
	seen := strings.Join(env.recorded(), "\n")
	for _, want := range []string{"span stream true", "span upstream request true", "metric ferryfront.stream.duration 1",
		"metric ferryfront.upstream_request.duration 1", "metric ferryfront.counter_call.duration 1"} {
		require.Contains(t, seen, want)
	}
}

// A telemetry endpoint that never responds delays neither requests nor the exit.
func TestSilentTelemetryEndpoint(t *testing.T) {
	env := newTestEnv(t)
	env.args = []string{"-otlp", "http://" + env.serve(func(http.ResponseWriter, *http.Request) { <-env.testDone })}
	env.start()
	for range 20 {
		require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	}
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())
	require.Contains(t, env.log.String(), "telemetry not flushed")
}
