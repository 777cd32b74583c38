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

// withDoor gives a world's daemon a door for operators.
func (w *world) withDoor() *world {
	w.door = free(w.t)
	before := w.change
	w.change = func(config, settings map[string]any) {
		config["mgmt"] = w.door
		if before != nil {
			before(config, settings)
		}
	}
	return w
}

// call asks at the operators' door.
func (w *world) call(line string) string {
	w.t.Helper()
	c, err := net.DialTimeout("tcp", w.door, time.Second)
	require.NoError(w.t, err)
	defer c.Close()
	require.NoError(w.t, c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, line+"\n")
	require.NoError(w.t, err)
	answer, err := io.ReadAll(c)
	require.NoError(w.t, err)
	return string(answer)
}

var figure = regexp.MustCompile(`(?m)^(app_\S+) (\d+)$`)

// figures reads all figures; one that is not there reads 0, so their names are asserted apart.
func (w *world) figures() map[string]int {
	w.t.Helper()
	text := w.call("METRICS")
	require.True(w.t, strings.HasSuffix(text, "\nEOF\n"), text)
	all := map[string]int{}
	for _, m := range figure.FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[2])
		require.NoError(w.t, err)
		all[m[1]] = n
	}
	return all
}

func ended(class, code string) string { return fmt.Sprintf(`app_calls{tier=%q,code=%q}`, class, code) }

// What the door tells is what clients and upstream hosts have counted: through tries again, refusals, failures,
// clients that leave, hosts that are away and a reload.
func TestTheFiguresAreTrue(t *testing.T) {
	w := newWorld(t).withDoor()
	release, waiting := make(chan struct{}), atomic.Int32{}
	w.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.RawQuery {
		case "wait":
			waiting.Add(1)
			w.hold(release)
		case "fail":
			rw.WriteHeader(500)
		}
		w.echo(rw, r)
	}
	w.hosts["h2"] = nil // listed, and refuses connections
	w.start()
	require.Equal(t, "200 ready\n", w.call("STATUS"))
	start := w.figures()
	for _, class := range []string{"stock", "catalogue", "order"} {
		for _, code := range []string{"success", "busy", "failure"} {
			require.Contains(t, start, ended(class, code), "a line for each from the start")
			require.Zero(t, start[ended(class, code)])
		}
	}
	require.Equal(t, 2, start["app_hosts_listed"])
	saw := map[string]int{}
	count := func(class string, got reply) {
		code := map[int]string{200: "success", 429: "busy", 503: "busy"}[got.status]
		if code == "" {
			code = "failure"
		}
		saw[ended(class, code)]++
	}
	for i := range 20 {
		count("stock", w.get(w.request("GET", "/api/7?a", "stock", nil, "Request-Id", fmt.Sprint("s", i), "X-Plan", "small")))
	}
	require.Positive(t, saw[ended("stock", "success")])
	require.Positive(t, saw[ended("stock", "busy")], "beyond the quota of a small plan")
	for i := 0; w.figures()["app_hosts_down"] == 0; i++ { // until one has been tried there
		require.Less(t, i, 1000)
		count("stock", w.get(w.request("GET", "/api/6", "stock", nil, "Request-Id", fmt.Sprint("h", i))))
	}
	// Two that wait: one client leaves, the other is answered.
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		_, _ = w.do(w.request("GET", "/api/8?wait", "catalogue", nil, "Request-Id", "w1").WithContext(ctx))
	}()
	answered := make(chan reply, 1)
	stays := w.request("GET", "/api/9?wait", "catalogue", nil, "Request-Id", "w2")
	go func() { got, _ := w.do(stays); answered <- got }()
	w.until(func() bool { return waiting.Load() == 2 })
	require.Equal(t, 2, w.figures()["app_inflight"])
	leave()
	w.until(func() bool { return w.figures()["app_inflight"] == 1 })
	close(release)
	count("catalogue", <-answered) // and of the one who left nothing
	for i := range 3 {
		count("order", w.get(w.request("POST", "/api/11?fail", "order", strings.NewReader("x"), "Request-Id", fmt.Sprint("o", i),
			"Idempotency-Key", fmt.Sprint("k", i))))
	}
	require.Positive(t, saw[ended("order", "failure")])
	w.signal(syscall.SIGHUP)
	w.until(func() bool { return w.figures()["app_reconfig_ok"] == 1 })
	w.told["counter"] = "nowhere"
	w.configure()
	w.signal(syscall.SIGHUP)
	w.until(func() bool { return w.figures()["app_reconfig_failed"] == 1 })

	now := w.figures()
	for name := range start {
		if strings.HasPrefix(name, "app_calls") {
			require.Equal(t, saw[name], now[name], name)
		}
	}
	require.Equal(t, len(w.noted()), now["app_backend_calls"])
	require.Equal(t, 1, now["app_reconfig_ok"])
	require.Zero(t, now["app_inflight"])
}

// All places of clients are taken, by connections that say nothing, and several operators say nothing either.
func TestTheDoorAnswersInACrowd(t *testing.T) {
	w := newWorld(t).withDoor()
	w.change = func(config, _ map[string]any) {
		config["mgmt"] = w.door
		config["limits"] = obj{"cores": 1, "memory_mb": 32, "sockets": 192}
	}
	w.start()
	for range 120 {
		w.raw("G")
	}
	for range 20 {
		c, err := net.Dial("tcp", w.door)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	began := time.Now()
	require.Equal(t, "200 ready\n", w.call("STATUS"))
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, 200, w.get(w.request("GET", "/api/12", "stock", nil)).status)
}

func TestADoorThatCantBeOpenedEndsTheStart(t *testing.T) {
	w := newWorld(t).withDoor().start()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for _, addr := range []string{"nowhere", "127.0.0.1", taken.Addr().String()} {
		cmd := exec.Command(binary, "serve")
		cmd.Env = []string{"GW_CONFIG=" + w.path, "GW_LISTEN=" + free(t), "GW_MGMT=" + addr}
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Equal(t, 1, cmd.ProcessState.ExitCode())
		require.Contains(t, string(out), "mgmt: ", addr)
	}
}
