package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// delayedHost is an address at which connections are established only after serve is called; an earlier attempt succeeds a
// second later, when it is repeated. Its accept queue of one is full, so the kernel drops further connection attempts.
type delayedHost struct {
	addr string
	file *os.File
}

// newDelayedHost listens at a new address and fills its accept queue.
func newDelayedHost(t *testing.T) *delayedHost {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	h := &delayedHost{file: os.NewFile(uintptr(fd), "late")}
	t.Cleanup(func() { h.file.Close() })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	sa, err := unix.Getsockname(fd)
	require.NoError(t, err)
	h.addr = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}).String()
	first, err := net.Dial("tcp", h.addr)
	require.NoError(t, err)
	t.Cleanup(func() { first.Close() })
	return h
}

// serve accepts connections until the end of the test.
func (h *delayedHost) serve(t *testing.T, handler http.HandlerFunc) {
	ln, err := net.FileListener(h.file)
	require.NoError(t, err)
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close() })
}

// An order may have run, and its retry waits for a connection until the hosts have forgotten the idempotency key. The client
// gets a response then, and the retry is not sent when the connection is established.
func TestRetryConnectsAfterRepeatWindow(t *testing.T) {
	for _, late := range []bool{true, false} {
		env := newTestEnv(t)
		h2 := newDelayedHost(t)
		env.modifyConfig = func(_, settings map[string]any) {
			settings["limits"].(object)["dialTimeout"] = 5000
			for _, c := range settings["classes"].([]object) {
				c["deadline"], c["onTime"], c["dedupScope"], c["repeatWindow"] = 8000, 8000, "all", 30000
				if late {
					c["repeatWindow"] = 400
				}
			}
		}
		env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			env.discoveryUpdates <- discoveryMessage(6, false, hostEntry("h1", env.hostAddrs["h1"], "Terminating"), hostEntry("h2", h2.addr, "Ready"))
			env.waitForTurns()
			panic(http.ErrAbortHandler) // the order may have run
		}
		env.start()
		answered := make(chan response, 1)
		r := env.request("POST", "", "order", http.NoBody, "Request-Timeout", "8000m")
		go func() { answered <- env.mustDo(r) }()
		env.eventually(func() bool { return env.closedConnections("h1") > 0 })
		env.waitForTurns() // the retry waits for its connection
		h2.serve(t, env.echo)
		got := <-answered
		if late {
			require.Equal(t, 503, got.status)
			require.Empty(t, env.recorded())
		} else {
			require.Equal(t, 200, got.status, "within the repeat window the retry is sent, however late")
		}
	}
}
