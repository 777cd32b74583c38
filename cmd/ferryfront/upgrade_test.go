package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/daemon"
)

// requestUpgrade upgrades the daemon through its control socket and returns the result.
func (env *testEnv) requestUpgrade(socket string) daemon.Progress {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	end, err := daemon.Upgrade(ctx, socket, func(daemon.Progress) {})
	require.NoError(env.t, err)
	return end
}

// getOnConnection sends a GET request on an open connection and returns the status of the response.
func getOnConnection(t *testing.T, c net.Conn, r *bufio.Reader, path, header string) int {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\n%s\r\n", path, header)
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// An upgrade hands over both fronts, open client connections, a spent quota and an idle upstream connection.
func TestUpgradeKeepsFrontsConnectionsAndState(t *testing.T) {
	env := newTestEnv(t)
	dir := t.TempDir()
	socket, second := filepath.Join(dir, "control.sock"), freeAddr(t)
	front := filepath.Join(dir, "own.cue")
	require.NoError(t, os.WriteFile(front, fmt.Appendf(nil, `control: %q
handover: probation: "200ms"
front: {
	listen: %q
	routes: [{method: "GET", path: "/stock", class: "stock"}]
	customer: {in: "header", name: "X-Dealer"}
	plan: default: "boutique"
}
`, socket, second), 0o600))
	env.args = []string{"--config", front, "--log-format", "json"}
	env.start()
	spend := func(n int) int {
		status := 0
		for i := range n {
			status = env.mustDo(env.request("GET", "/api/00000000000000ff", "stock", nil, "X-Plan", "small", "Request-Id", fmt.Sprint("s", i))).status
		}
		return status
	}
	require.Equal(t, 200, spend(3))
	require.Equal(t, 429, spend(1), "the plan's quota allows a burst of three units")
	c1, c2 := env.dialAndWrite(""), mustDial(t, second)
	r1, r2 := bufio.NewReader(c1), bufio.NewReader(c2)
	platform := "Request-Id: a\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n"
	require.Equal(t, 200, getOnConnection(t, c1, r1, "/api/1", platform))
	require.Equal(t, 200, getOnConnection(t, c2, r2, "/stock", "X-Dealer: 2\r\n"))
	dials := env.closedConnections("h1")
	for range 3 {
		end := env.requestUpgrade(socket)
		require.NotEqual(t, env.cmd.Process.Pid, end.Pid)
		require.GreaterOrEqual(t, end.ClientConnections, 2)
		require.EqualValues(t, 3, end.Customers)
		require.Equal(t, 200, getOnConnection(t, c1, r1, "/api/1", platform))
		require.Equal(t, 200, getOnConnection(t, c2, r2, "/stock", "X-Dealer: 2\r\n"))
		require.Equal(t, 429, spend(1), "the quota is still spent")
		env.eventually(func() bool { return strings.Count(env.log.String(), "handed over") > 0 })
	}
	require.Equal(t, dials, env.closedConnections("h1"), "the upstream connection is handed over, too")
	require.Contains(t, env.log.String(), `"msg":"taken over"`)
}

func mustDial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func TestUpgradeBySignal(t *testing.T) {
	env := newTestEnv(t).start()
	env.signal(syscall.SIGUSR2)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "upgrade done") })
	require.Zero(t, env.waitForExit(), "the old process exits without error")
	require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
}

// A repeated order goes to the cell that knows its idempotency key. While a request with the key is open, it is rejected.
func TestIdempotencyKeyStaysInCell(t *testing.T) {
	env := newTestEnv(t)
	env.hosts["h2"] = env.echo
	release := make(chan struct{})
	for _, id := range []string{"h1", "h2"} {
		env.hosts[id] = func(rw http.ResponseWriter, r *http.Request) {
			env.record(id)
			if r.Header.Get("Request-Id") == "first" {
				<-release
			} else if env.recorded()[0] == id { // so that the other host's latency is better
				time.Sleep(30 * time.Millisecond)
			}
		}
	}
	env.start()
	order := func(id string) *http.Request {
		return env.request("POST", "", "order", strings.NewReader("x"), "Request-Id", id, "Idempotency-Key", "k")
	}
	first := make(chan response, 1)
	r := order("first")
	go func() { got, _ := env.do(r); first <- got }()
	env.eventually(func() bool { return len(env.recorded()) == 1 })
	require.Equal(t, 409, env.mustDo(order("second")).status)
	close(release)
	require.Equal(t, 200, (<-first).status)
	for i := range 8 {
		require.Equal(t, 200, env.mustDo(order(fmt.Sprint("again", i))).status)
	}
	for _, host := range env.recorded() {
		require.Equal(t, env.recorded()[0], host)
	}
}

func TestSettingsFileCommands(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "own.cue")
	for says, text := range map[string]string{
		"own.cue:2: handover.freeze": "control: \"/x\"\nhandover: freeze: \"soon\"\n",
		"own.cue:1: contrl":          "contrl: \"/x\"\n",
		"own.cue:3":                  "log: {\n\tformat: \"text\"\n\tlevel:: 3\n}\n",
		"log.level":                  "log: level: \"loud\"\n",
		"handover.copy":              "handover: copy: \"0s\"\n",
		"front.customer":             "front: {listen: \"127.0.0.1:1\", description: \"x\", customer: {in: \"cookie\", name: \"x\"}, plan: default: \"x\"}\n",
		"a description or routes":    "front: {listen: \"127.0.0.1:1\", customer: {in: \"header\", name: \"x\"}, plan: default: \"x\"}\n",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		var out, errs strings.Builder
		require.Equal(t, 1, run([]string{"config", "check", "--config", file}, os.Getenv, &out, &errs))
		require.Contains(t, errs.String(), says)
	}
	var out, errs strings.Builder
	require.Zero(t, run([]string{"config", "show", "--config", "../../deploy/ferryfront.cue"}, os.Getenv, &out, &errs), errs.String())
	require.Contains(t, out.String(), `probation: "2s"`)
	require.Contains(t, out.String(), `copy:`, "defaults are shown")
	require.Zero(t, run([]string{"config", "check", "--config", "../../deploy/ferryfront.cue"}, os.Getenv, &out, &errs))
	require.Equal(t, 2, run([]string{"config", "check"}, os.Getenv, &out, &errs))
}
