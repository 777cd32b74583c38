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

func (w *world) upgrade(socket string) daemon.Progress {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	end, err := daemon.Upgrade(ctx, socket, func(daemon.Progress) {})
	require.NoError(w.t, err)
	return end
}

// over asks on a connection that is already there.
func over(t *testing.T, c net.Conn, r *bufio.Reader, path, header string) int {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\n%s\r\n", path, header)
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// Both fronts, a connection that is kept, a spent quota and an idle upstream connection come over.
func TestUpgradeKeepsFrontsConnectionsAndState(t *testing.T) {
	w := newWorld(t)
	dir := t.TempDir()
	socket, second := filepath.Join(dir, "control.sock"), free(t)
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
	w.args = []string{"--config", front, "--log-format", "json"}
	w.start()
	spend := func(n int) int {
		status := 0
		for i := range n {
			status = w.get(w.request("GET", "/api/00000000000000ff", "stock", nil, "X-Plan", "small", "Request-Id", fmt.Sprint("s", i))).status
		}
		return status
	}
	require.Equal(t, 200, spend(3))
	require.Equal(t, 429, spend(1), "three units are the plan's store")
	c1, c2 := w.raw(""), mustDial(t, second)
	r1, r2 := bufio.NewReader(c1), bufio.NewReader(c2)
	platform := "Request-Id: a\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n"
	require.Equal(t, 200, over(t, c1, r1, "/api/1", platform))
	require.Equal(t, 200, over(t, c2, r2, "/stock", "X-Dealer: 2\r\n"))
	dials := w.closed("h1")
	for range 3 {
		end := w.upgrade(socket)
		require.NotEqual(t, w.cmd.Process.Pid, end.Pid)
		require.GreaterOrEqual(t, end.ClientConnections, 2)
		require.EqualValues(t, 3, end.Customers)
		require.Equal(t, 200, over(t, c1, r1, "/api/1", platform))
		require.Equal(t, 200, over(t, c2, r2, "/stock", "X-Dealer: 2\r\n"))
		require.Equal(t, 429, spend(1), "what was spent stays spent")
		w.until(func() bool { return strings.Count(w.log.String(), "handed over") > 0 })
	}
	require.Equal(t, dials, w.closed("h1"), "the order host's connection has come over, too")
	require.Contains(t, w.log.String(), `"msg":"taken over"`)
}

func mustDial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func TestUpgradeBySignal(t *testing.T) {
	w := newWorld(t).start()
	w.signal(syscall.SIGUSR2)
	w.until(func() bool { return strings.Contains(w.log.String(), "upgrade done") })
	require.Zero(t, w.ends(), "the old process has ended well")
	require.Equal(t, 200, w.get(w.request("GET", "", "stock", nil)).status)
}

// A repeat of an order goes to the cell that knows the key. While a request with it is open, it goes nowhere.
func TestAKeyIsKeptToItsCell(t *testing.T) {
	w := newWorld(t)
	w.hosts["h2"] = w.echo
	release := make(chan struct{})
	for _, id := range []string{"h1", "h2"} {
		w.hosts[id] = func(rw http.ResponseWriter, r *http.Request) {
			w.note(id)
			if r.Header.Get("Request-Id") == "first" {
				<-release
			} else if w.noted()[0] == id { // so that by its latency the other one is to be preferred
				time.Sleep(30 * time.Millisecond)
			}
		}
	}
	w.start()
	order := func(id string) *http.Request {
		return w.request("POST", "", "order", strings.NewReader("x"), "Request-Id", id, "Idempotency-Key", "k")
	}
	first := make(chan reply, 1)
	r := order("first")
	go func() { got, _ := w.do(r); first <- got }()
	w.until(func() bool { return len(w.noted()) == 1 })
	require.Equal(t, 409, w.get(order("second")).status)
	close(release)
	require.Equal(t, 200, (<-first).status)
	for i := range 8 {
		require.Equal(t, 200, w.get(order(fmt.Sprint("again", i))).status)
	}
	for _, host := range w.noted() {
		require.Equal(t, w.noted()[0], host)
	}
}

func TestSettingsOfOurOwn(t *testing.T) {
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
