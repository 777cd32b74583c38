package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withAdmin gives the daemon an admin endpoint.
func (env *testEnv) withAdmin() *testEnv {
	env.adminAddr = freeAddr(env.t)
	before := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		config["mgmt"] = env.adminAddr
		if before != nil {
			before(config, settings)
		}
	}
	return env
}

// queryAdmin sends a command to the admin endpoint and returns the response.
func (env *testEnv) queryAdmin(line string) string {
	env.t.Helper()
	c, err := net.DialTimeout("tcp", env.adminAddr, time.Second)
	require.NoError(env.t, err)
	defer c.Close()
	require.NoError(env.t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, line+"\n")
	require.NoError(env.t, err)
	answer, err := io.ReadAll(c)
	require.NoError(env.t, err)
	return string(answer)
}

var metricLine = regexp.MustCompile(`(?m)^(app_\S+) (\d+)$`)

// metrics returns all metrics by name. A missing one reads as 0, so a test of a name has to check that it is present.
func (env *testEnv) metrics() map[string]int {
	env.t.Helper()
	text := env.queryAdmin("METRICS")
	require.True(env.t, strings.HasSuffix(text, "\nEOF\n"), text)
	all := map[string]int{}
	for _, m := range metricLine.FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[2])
		require.NoError(env.t, err)
		all[m[1]] = n
	}
	return all
}

// callsMetric returns the name of the metric that counts responses of a class with a result code.
func callsMetric(class, code string) string {
	return fmt.Sprintf(`app_calls{tier=%q,code=%q}`, class, code)
}

// The metrics agree with what clients and upstream hosts counted, through retries, rejections, failures, disconnects, a host
// that refuses connections, and reloads.
func TestMetricsMatchClientsAndHosts(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	release, waiting := make(chan struct{}), atomic.Int32{}
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.RawQuery {
		case "wait":
			waiting.Add(1)
			env.waitFor(release)
		case "fail":
			rw.WriteHeader(500)
		}
		env.echo(rw, r)
	}
	env.hosts["h2"] = nil // listed, and refuses connections
	env.start()
	require.Equal(t, "200 ready\n", env.queryAdmin("STATUS"))
	start := env.metrics()
	for _, class := range []string{"stock", "catalogue", "order"} {
		for _, code := range []string{"success", "busy", "failure"} {
			require.Contains(t, start, callsMetric(class, code), "a line for each from the start")
			require.Zero(t, start[callsMetric(class, code)])
		}
	}
	require.Equal(t, 2, start["app_hosts_listed"])
	counted := map[string]int{}
	count := func(class string, got response) {
		code := map[int]string{200: "success", 429: "busy", 503: "busy"}[got.status]
		if code == "" {
			code = "failure"
		}
		counted[callsMetric(class, code)]++
	}
	for i := range 20 {
		count("stock", env.mustDo(env.request("GET", "/api/7?a", "stock", nil, "Request-Id", fmt.Sprint("s", i), "X-Plan", "small")))
	}
	require.Positive(t, counted[callsMetric("stock", "success")])
	require.Positive(t, counted[callsMetric("stock", "busy")], "beyond the quota of a small plan")
	for i := 0; env.metrics()["app_hosts_down"] == 0; i++ { // until a request has been tried at h2
		require.Less(t, i, 1000)
		count("stock", env.mustDo(env.request("GET", "/api/6", "stock", nil, "Request-Id", fmt.Sprint("h", i))))
	}
	// Of two waiting requests, one client disconnects and the other gets a response.
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		_, _ = env.do(env.request("GET", "/api/8?wait", "catalogue", nil, "Request-Id", "w1").WithContext(ctx))
	}()
	answered := make(chan response, 1)
	remaining := env.request("GET", "/api/9?wait", "catalogue", nil, "Request-Id", "w2")
	go func() { got, _ := env.do(remaining); answered <- got }()
	env.eventually(func() bool { return waiting.Load() == 2 })
	require.Equal(t, 2, env.metrics()["app_inflight"])
	disconnect()
	env.eventually(func() bool { return env.metrics()["app_inflight"] == 1 })
	close(release)
	count("catalogue", <-answered) // a disconnected client counts for nothing
	for i := range 3 {
		count("order", env.mustDo(env.request("POST", "/api/11?fail", "order", strings.NewReader("x"), "Request-Id", fmt.Sprint("o", i),
			"Idempotency-Key", fmt.Sprint("k", i))))
	}
	require.Positive(t, counted[callsMetric("order", "failure")])
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return env.metrics()["app_reconfig_ok"] == 1 })
	env.config["counter"] = "nowhere"
	env.writeConfig()
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return env.metrics()["app_reconfig_failed"] == 1 })

	now := env.metrics()
	for name := range start {
		if strings.HasPrefix(name, "app_calls") {
			require.Equal(t, counted[name], now[name], name)
		}
	}
	require.Equal(t, len(env.recorded()), now["app_backend_calls"])
	require.Equal(t, 1, now["app_reconfig_ok"])
	require.Zero(t, now["app_inflight"])
}

// Idle connections take every place for clients, and several idle ones are open to the admin endpoint. A command to it
// still gets its response within a second, and so does a client.
func TestAdminAnswersUnderConnectionLoad(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	env.modifyConfig = func(config, _ map[string]any) {
		config["mgmt"] = env.adminAddr
		config["limits"] = object{"cores": 1, "memory_mb": 32, "sockets": 192}
	}
	env.start()
	for range 120 {
		env.dialAndWrite("G")
	}
	for range 20 {
		c, err := net.Dial("tcp", env.adminAddr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	began := time.Now()
	require.Equal(t, "200 ready\n", env.queryAdmin("STATUS"))
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/12", "stock", nil)).status)
}

func TestAdminListenFailureEndsStart(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for _, addr := range []string{"nowhere", "127.0.0.1", taken.Addr().String()} {
		cmd := exec.Command(binaryPath, "serve")
		cmd.Env = []string{"GW_CONFIG=" + env.configPath, "GW_LISTEN=" + freeAddr(t), "GW_MGMT=" + addr}
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Equal(t, 1, cmd.ProcessState.ExitCode())
		require.Contains(t, string(out), "mgmt: ", addr)
	}
}
