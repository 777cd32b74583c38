package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestsAndAnswersPassVerbatim(t *testing.T) {
	env := newTestEnv(t)
	big := strings.Repeat("x", 64<<10)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.echo(rw, r)
		rw.(http.Flusher).Flush() // makes the response chunked
		fmt.Fprint(rw, big[:60<<10])
	}
	env.start()
	got := env.mustDo(env.request("POST", "/api/x%2Fy/00000000b4d65521?a=%20&&b", "order", strings.NewReader(big)))
	want := "POST /api/x%2Fy/00000000b4d65521?a=%20&&b id=r1 key=k1 body=65536"
	require.Equal(t, 200, got.status)
	require.Equal(t, want+big[:60<<10], got.body)
	require.Equal(t, []string{want}, env.recorded())
}

func TestSplitAndPipelinedRequests(t *testing.T) {
	env := newTestEnv(t).start()
	text := ""
	for _, id := range []string{"a", "b", "c"} {
		text += "GET /api/1?" + id + " HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n"
	}
	c := env.dialAndWrite("")
	for i := range text {
		_, err := c.Write([]byte{text[i]})
		require.NoError(t, err)
	}
	r := bufio.NewReader(c)
	for _, id := range []string{"a", "b", "c"} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "GET /api/1?"+id+" id="+id+" key= body=0", string(body))
	}
}

func TestInvalidRequestsGetClientErrors(t *testing.T) {
	env := newTestEnv(t).start()
	for _, c := range []struct {
		status  int
		request *http.Request
	}{
		{404, env.request("GET", "/else", "stock", nil)},
		{405, env.request("DELETE", "", "stock", nil)},
		{405, env.request("POST", "", "stock", strings.NewReader("x"))}, // a write must not be of a class that is safe to repeat
		{405, env.request("GET", "", "order", nil)},
		{400, env.request("GET", "", "none", nil)},
		{400, env.request("GET", "", "stock", nil, "X-Plan", "none")},
		{400, env.request("GET", "", "stock", nil, "Request-Id", "")},
		{400, env.request("GET", "", "stock", nil, "Request-Timeout", "soon")},
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=many")},
		{400, env.request("GET", "/api/nobody", "stock", nil)},
		{400, env.request("GET", "/api/0000000200000000", "stock", nil)}, // customer ids are below 2^33
		{400, env.request("GET", "", "stock", nil, "Request-Timeout", "NaNm")},
		{400, env.request("GET", "", "stock", nil, "Request-Timeout", "0m")},
		{400, env.request("GET", "", "stock", nil, "Request-Timeout", "0x1p9m")},
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=0,spread=1,first=0")},
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=3,spread=1,first=0")}, // maxUnits is 2
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=1,spread=2,first=0")}, // the fleet has one ingress
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=1,spread=1,first=1")},
		{400, env.request("GET", "", "stock", nil, "X-Quota", "units=1,units=2")},
		{400, env.request("GET", "", "stock", nil, "Request-Id", "a b")},
		{400, env.request("GET", "", "stock", nil, "Request-Id", strings.Repeat("x", 300))},
		{400, env.request("GET", "", "stock", strings.NewReader("x"))},
		{400, env.request("POST", "", "order", nil, "Idempotency-Key", "")},
		{413, env.request("POST", "", "order", strings.NewReader(strings.Repeat("x", 32<<20+1)))},
		{431, env.request("GET", "", "stock", nil, "X-Long", strings.Repeat("x", 20<<10))},
	} {
		require.Equal(t, c.status, env.mustDo(c.request).status, c.request)
	}
	require.Empty(t, env.recorded())
}

// Two readers may take different values of a repeated header, so the request is rejected.
func TestRepeatedHeaderIsRejected(t *testing.T) {
	env := newTestEnv(t).start()
	for _, name := range []string{"Request-Id", "Request-Class", "X-Plan", "X-Quota", "Request-Timeout"} {
		r := env.request("GET", "", "stock", nil)
		r.Header.Add(name, r.Header.Get(name))
		require.Equal(t, 400, env.mustDo(r).status, name)
	}
	require.Empty(t, env.recorded())
}

// Upstream hosts identify requests by their ids and would take a request with the id of an open one for a copy of it. The id
// can be used again when the open request has ended.
func TestRequestIDInUseIsRejected(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.echo(rw, r)
		<-release
	}
	env.start()
	first := make(chan response, 1)
	r := env.request("GET", "", "stock", nil)
	go func() { got, _ := env.do(r); first <- got }()
	env.eventually(func() bool { return len(env.recorded()) == 1 })
	require.Equal(t, 409, env.mustDo(env.request("GET", "", "stock", nil)).status)
	require.Len(t, env.recorded(), 1)
	close(release)
	require.Equal(t, 200, (<-first).status)
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
}

// Connections without a complete request soon get an error or are closed, and don't keep others out. An idle connection on
// which a request was served is closed last.
func TestIncompleteConnectionsAreClosedFirst(t *testing.T) {
	env := newTestEnv(t)
	env.modifyConfig = func(config, _ map[string]any) { config["limits"].(object)["sockets"] = 56 + 24 + 32 } // leaves 16 for clients
	env.start()
	env.eventually(func() bool { // connections of readiness checks may still be closing
		usual := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
		defer usual.Close()
		answers := bufio.NewReader(usual)
		_, err := http.ReadResponse(answers, nil)
		return err == nil
	})
	usual := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
	answers := bufio.NewReader(usual)
	_, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	var idle []net.Conn
	for i := range 60 {
		idle = append(idle, env.dialAndWrite("GET /api/1 HTTP/1.1\r\n"[:i%2*10]))
	}
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	_, err = io.WriteString(usual, "GET /up HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(answers, nil)
	require.NoError(t, err, "the connection on which a request was served stays open")
	for _, c := range idle { // testTimeout is far below the time for which an idle connection is kept
		_, err = io.Copy(io.Discard, c)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// A client that goes on sending after its error response is not read forever and doesn't delay others.
func TestEndlessBodyIsCutOff(t *testing.T) {
	env := newTestEnv(t).start()
	c := env.dialAndWrite("POST /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n")
	sent, err := io.Copy(c, io.LimitReader(zeroReader{}, 1<<30))
	require.Error(t, err)
	require.Less(t, sent, int64(64<<20))
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
}

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { return len(b), nil }

// Hundreds of pipelined requests all get a response, although the daemon handles only a few in each turn of its loop.
func TestHundredsOfPipelinedRequests(t *testing.T) {
	env := newTestEnv(t).start()
	r := bufio.NewReader(env.dialAndWrite(strings.Repeat("GET /else HTTP/1.1\r\n\r\n", 500)))
	for range 500 {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, 404, resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// A customer over its quota is rejected at once with Retry-After, whatever the settings say about it. Other customers are
// served.
func TestQuota(t *testing.T) {
	env := newTestEnv(t).start()
	for i := range 6 {
		got := env.mustDo(env.request("GET", "/api/7", "stock", nil, "X-Plan", "small"))
		if i < 3 {
			require.Equal(t, 200, got.status, "request %d", i)
			continue
		}
		require.Equal(t, 429, got.status, "request %d", i)
		require.Regexp(t, `^\d+(\.\d+)?$`, got.header.Get("Retry-After"))
	}
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/8", "stock", nil, "X-Plan", "small")).status)
	require.Len(t, env.recorded(), 4)
}

// Whatever the counter does, requests are admitted by the daemon's own share of the quota.
func TestCounterFailures(t *testing.T) {
	for name, counter := range map[string]http.HandlerFunc{
		"silent":  nil,
		"refuses": func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) },
		"garbled": func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "NaN") },
		"breaks":  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.counterHandler = counter
			if counter == nil { // the request's context doesn't end while a pipelined request follows
				env.counterHandler = func(http.ResponseWriter, *http.Request) { <-env.testDone }
			}
			env.start()
			for range 20 {
				require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
			}
		})
	}
}

// A request that may have run is retried only as its class permits, and the failure isn't reported as a rejection. One that
// can't have run is tried at another host.
func TestUpstreamHostFailures(t *testing.T) {
	hang := func(rw http.ResponseWriter) net.Conn {
		c, _, err := rw.(http.Hijacker).Hijack()
		require.NoError(t, err)
		return c
	}
	for name, c := range map[string]struct {
		bad       http.HandlerFunc
		elsewhere bool // an order may be tried at a host of another cell
	}{
		"error":   {func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) }, false},
		"breaks":  {func(rw http.ResponseWriter, _ *http.Request) { hang(rw).Close() }, false},
		"garbled": {func(rw http.ResponseWriter, _ *http.Request) { c := hang(rw); fmt.Fprint(c, "no\r\n\r\n"); c.Close() }, false},
		"cut": {func(rw http.ResponseWriter, _ *http.Request) {
			c := hang(rw)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut")
			c.Close()
		}, false},
		"ends by reset": {func(rw http.ResponseWriter, _ *http.Request) { // without a length, an orderly close would end the response
			c := hang(rw)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\ncut")
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, false},
		"full": {func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Not-Started", "1")
			rw.WriteHeader(503)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.hosts["h1"] = c.bad
			env.start()
			for range 5 {
				got := env.mustDo(env.request("POST", "", "order", strings.NewReader("{}")))
				if c.elsewhere {
					require.Contains(t, []int{429, 503}, got.status)
				} else {
					require.Contains(t, []int{502, 504}, got.status, "it may have run, so this is no rejection")
				}
			}
			require.NotEqual(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
		})
	}
}

// Without a connection the request can't have run, so it goes to another host whatever its class. A host that is gone from its
// address must not stop the daemon from serving.
func TestHostRefusesConnections(t *testing.T) {
	env := newTestEnv(t)
	env.hosts["h0"] = nil
	env.start()
	for range 10 {
		require.Equal(t, 200, env.mustDo(env.request("POST", "", "order", strings.NewReader("{}"))).status)
	}
	require.Contains(t, env.log.String(), "server h0 ejected")
}

// If a request times out or its client disconnects, the connection of its upstream request is closed.
func TestTimeoutAndDisconnectCloseUpstreamRequest(t *testing.T) {
	env := newTestEnv(t)
	gone := make(chan string, 8)
	env.hosts["h1"] = func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		env.record(r.Header.Get("Request-Id"))
		<-r.Context().Done()
		gone <- r.Header.Get("Request-Id")
	}
	env.start()
	got := env.mustDo(env.request("POST", "", "order", strings.NewReader("{}"), "Request-Timeout", "300000u"))
	require.Contains(t, []int{502, 504}, got.status)
	require.Equal(t, "r1", <-gone)
	c := env.dialAndWrite("GET /api/5 HTTP/1.1\r\nRequest-Id: r2\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n")
	env.eventually(func() bool { return strings.Contains(strings.Join(env.recorded(), " "), "r2") })
	require.NoError(t, c.Close())
	require.Equal(t, "r2", <-gone)
}

// An idle upstream connection is closed before the host closes it. A request written to a connection that the host is
// closing may or may not have run.
func TestIdleUpstreamConnectionsAreDropped(t *testing.T) {
	env := newTestEnv(t)
	env.modifyConfig = func(_, settings map[string]any) { settings["limits"].(object)["idleClose"] = 800 }
	env.start()
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	env.eventually(func() bool { return env.closedConnections("h1") == 1 })
}

func TestDiscovery(t *testing.T) {
	env := newTestEnv(t)
	other := env.serve(func(rw http.ResponseWriter, r *http.Request) { fmt.Fprint(rw, "h2") })
	env.hasNoKnownHosts = true
	env.start()
	ask := func() string { return env.mustDo(env.request("GET", "", "stock", nil)).body }
	require.Contains(t, ask(), "GET")
	env.discoveryUpdates <- discoveryMessage(6, false, hostEntry("h1", "127.0.0.1:9", "Terminating"), hostEntry("h2", other, "Ready"))
	env.eventually(func() bool { return ask() == "h2" })
	require.Equal(t, "h2", ask(), "no new request to a draining host")
	env.discoveryUpdates <- "\n{\"version\":\"what\n" // invalid data must not end the daemon; it queries the full list again
	env.eventually(func() bool { return strings.HasPrefix(ask(), "GET") })
	env.discoveryUpdates <- discoveryMessage(9, true, hostEntry("h2", other, "Ready"))
	env.eventually(func() bool { return ask() == "h2" })
	require.Contains(t, env.log.String(), "discovery message not read")
}

// A list of thousands of hosts with repeated ids and invalid addresses is used as far as it is valid and is logged once.
func TestHugeListWithInvalidAddresses(t *testing.T) {
	env := newTestEnv(t)
	many := env.serve(func(rw http.ResponseWriter, r *http.Request) { fmt.Fprint(rw, "many") })
	env.start()
	list := func(version int, addr string) string {
		var entries []object
		for i := range 3000 {
			entries = append(entries, hostEntry(fmt.Sprintf("s%d-%d", i%10, i), addr, "Ready"))
		}
		return discoveryMessage(version, true, append(entries, entries[:200]...)...)
	}
	env.discoveryUpdates <- list(6, "nowhere")
	for range 2 { // the same fault occurs again and again but is logged once
		env.eventually(func() bool { return env.mustDo(env.request("GET", "", "stock", nil)).status == 503 })
	}
	require.Equal(t, 1, strings.Count(env.log.String(), "upstream connection not opened"))
	env.discoveryUpdates <- list(7, many)
	env.eventually(func() bool { return env.mustDo(env.request("GET", "", "stock", nil)).body == "many" })
	for range 100 {
		require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	}
}

// A reload changes the addresses of discovery and the counter. The old list stays in use until the new discovery sends one,
// no request fails in between, and an invalid file changes nothing.
func TestReload(t *testing.T) {
	env := newTestEnv(t).start()
	ask := func() string {
		got := env.mustDo(env.request("GET", "", "stock", nil))
		require.Equal(t, 200, got.status)
		return got.body
	}
	require.Contains(t, ask(), "GET")
	h2 := env.serve(func(rw http.ResponseWriter, r *http.Request) { fmt.Fprint(rw, "h2") })
	var moved atomic.Int64
	counter := env.config["counter"]
	env.config["counter"] = "nowhere"
	env.writeConfig()
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "configuration not reloaded") })
	require.Contains(t, env.log.String(), "counter: ", "the field is named")
	require.Contains(t, ask(), "GET")

	env.config["counter"] = env.serve(func(rw http.ResponseWriter, r *http.Request) { moved.Add(1); env.defaultCounterHandler(rw, r) })
	news := make(chan string)
	env.config["discovery"] = env.serve(func(rw http.ResponseWriter, r *http.Request) {
		select { // silent at first
		case <-news:
			env.discoveryHandler(news, hostEntry("h2", h2, "Ready"))(rw, r)
		case <-r.Context().Done():
		}
	})
	env.config["seed"] = "2f"
	env.writeConfig()
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { ask(); return moved.Load() > 0 })
	require.NotEqual(t, counter, env.config["counter"])
	require.Contains(t, env.log.String(), "fields=seed", "fields that need a restart are logged")
	env.discoveryUpdates <- discoveryMessage(7, false, hostEntry("h3", h2, "Ready"), hostEntry("h1", env.hostAddrs["h1"], "Terminating")) // the call to the old discovery stays open until the new one responds
	env.eventually(func() bool { return ask() == "h2" })
	news <- ""
	env.eventually(func() bool { return env.closedConnections("discovery") == 1 })
	require.Equal(t, "h2", ask())
	env.signal(syscall.SIGHUP)
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())
}

func TestReadyThoughDiscoveryIsSilent(t *testing.T) {
	env := newTestEnv(t)
	env.isDiscoveryDown = true
	env.start()
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
}

// The platform doesn't allow child processes, so serve as deploy/balancer.toml runs it must be a single process.
func TestServeStartsNoFurtherProcess(t *testing.T) {
	env := newTestEnv(t)
	env.start()
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", env.cmd.Process.Pid))
	require.NoError(t, err)
	require.NotEmpty(t, threads)
	for _, name := range threads {
		children, err := os.ReadFile(name)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) { // the thread has ended
			continue
		}
		require.NoError(t, err)
		require.Empty(t, strings.TrimSpace(string(children)))
	}
}

// After SIGTERM every accepted request gets a response, as do requests that arrive for a while after it, and responses close
// their connections.
func TestDrain(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/1" {
			env.record("waits")
			<-release
		}
		env.echo(rw, r)
	}
	env.start()
	idle := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
	kept := bufio.NewReader(idle)
	resp, err := http.ReadResponse(kept, nil)
	require.NoError(t, err)
	require.False(t, resp.Close)
	answers := make(chan response, 1)
	r := env.request("GET", "/api/1", "stock", nil)
	go func() {
		got, err := env.do(r)
		if err != nil {
			got.body = err.Error()
		}
		answers <- got
	}()
	env.eventually(func() bool { return len(env.recorded()) > 0 })
	env.signal(syscall.SIGTERM)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "draining") })
	late := env.dialAndWrite("GET /api/2 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n")
	resp, err = http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	_, err = kept.ReadByte()
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed, not reset")
	close(release)
	require.Equal(t, 200, (<-answers).status)
	require.Zero(t, env.waitForExit())
	require.Contains(t, env.log.String(), "drained")
}

func TestCommands(t *testing.T) {
	for says, args := range map[string][]string{"unknown command \"fly\"": {"fly"}, "no command;": {}, "GW_CONFIG is not set": {"serve"},
		"--front names no file": {"routes"}, "unknown command \"x\"": {"version", "x"}, "unknown": {"serve", "-x"}} {
		var out, errs strings.Builder
		require.NotZero(t, run(args, func(string) string { return "" }, &out, &errs))
		require.Contains(t, errs.String(), says)
	}
	var out strings.Builder
	require.Zero(t, run([]string{"version"}, nil, &out, io.Discard))
	require.Equal(t, "ferryfront "+version+"\n", out.String())
}
