package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The old process still has open requests when the new one serves. The new one rejects a request whose id or key is open at
// the old one and reads the rest of a half read request. Clients of both disconnect, a half relayed response is completed, and each
// request reaches a host only once.
func TestOldAndNewProcessServeTogether(t *testing.T) {
	env := newTestEnv(t).withHandoverDir()
	release := make(chan struct{})
	halves := env.halfResponseHandler(release)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		switch id := r.Header.Get("Request-Id"); {
		case id == "a1":
			halves(rw, r)
			return
		case strings.HasPrefix(id, "out"):
			_, _ = io.Copy(io.Discard, r.Body)
			env.record("holds id=" + id + " ")
			env.waitFor(release)
		}
		env.echo(rw, r)
	}
	env.modifyConfig = func(_, settings map[string]any) {
		for _, c := range settings["classes"].([]object) {
			c["deadline"], c["onTime"], c["repeatWindow"] = 60000, 60000, 60000
		}
	}
	env.start()
	order := func(id, key string) string {
		return "POST /api/8 HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: order\r\nX-Plan: boutique\r\nIdempotency-Key: " + key +
			"\r\nContent-Length: 0\r\n\r\n"
	}
	status := func(c net.Conn) int {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.StatusCode
	}
	whole := rawRequest("half", "1")
	half := env.dialAndWrite(whole[:len(whole)/2])
	out := env.dialAndWrite(order("out1", "k1"))
	leaves := env.dialAndWrite(rawRequest("out2", "2"))
	_, long := env.readHalfResponse("a1", "sized", "HTTP/1.1", "")
	env.eventually(func() bool { return env.hasReceived("out1") && env.hasReceived("out2") })
	old := env.firstProcess()
	next := env.startReplacement()
	env.eventually(next.isReady)
	env.eventually(func() bool { return strings.Contains(env.log.String(), `msg="taken over"`) })
	require.Equal(t, 409, status(env.dialAndWrite(order("again", "k1"))), "its key is open at the old process")
	require.Equal(t, 409, status(env.dialAndWrite(rawRequest("out1", "8"))), "its id is open at the old process")
	_, err := io.WriteString(half, whole[len(whole)/2:])
	require.NoError(t, err)
	require.Equal(t, 200, status(half))
	for name, leave := range disconnects() {
		c := env.dialAndWrite(rawRequest("out-"+strings.ReplaceAll(name, " ", "-"), "3")) // at the new process
		env.eventually(func() bool { return env.hasReceived("out-" + strings.ReplaceAll(name, " ", "-")) })
		leave(t, c)
	}
	require.NoError(t, leaves.(*net.TCPConn).SetLinger(0))
	require.NoError(t, leaves.Close())
	select {
	case <-old.done:
		require.Fail(t, "the old process has ended with open requests")
	default:
	}
	close(release)
	require.Equal(t, 200, status(out))
	n, err := io.Copy(io.Discard, long.Body)
	require.NoError(t, err)
	require.Equal(t, int64(192<<10), n)
	env.requireExit(old)
	require.Equal(t, 200, status(env.dialAndWrite(order("later", "k2"))))
	begun := map[string]int{}
	for _, line := range env.recorded() {
		for _, field := range strings.Fields(line) {
			if id, ok := strings.CutPrefix(field, "id="); ok && (strings.HasPrefix(line, "holds") || !strings.HasPrefix(id, "out")) {
				begun[id]++
			}
		}
	}
	for id, n := range begun {
		require.Equal(t, 1, n, id)
	}
	require.NotContains(t, begun, "again")
	require.Contains(t, begun, "half")
}
