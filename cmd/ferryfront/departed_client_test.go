package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withCommits adds a class whose requests must not run twice and carry no key.
func (env *testEnv) withCommits() *testEnv {
	before := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		settings["classes"] = append(settings["classes"].([]object), object{"name": "commit", "effect": "fragile", "onTime": 1000,
			"deadline": 3000, "value": 1, "dedupScope": "cell", "repeatWindow": 3000})
		if before != nil {
			before(config, settings)
		}
	}
	return env
}

// commit returns the text of a request that must not run twice.
func commit(id string) string {
	return "POST /api/71 HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: commit\r\nX-Plan: boutique\r\nContent-Length: 0\r\n\r\n"
}

// statusOf returns the status of the response on a connection.
func (env *testEnv) statusOf(c net.Conn) int {
	env.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(env.t, err)
	return resp.StatusCode
}

// timesReceived returns how often a host got the request with an id.
func (env *testEnv) timesReceived(id string) (n int) {
	for _, record := range env.recorded() {
		n += strings.Count(record, "id="+id+" ")
	}
	return n
}

// A client leaves while its request runs and comes again with the same id, before and after the first has ended: at the same
// process, at the one that takes its place, and at the old one when the new one has died. The request runs once.
func TestRequestOfDepartedClientRunsOnce(t *testing.T) {
	for _, where := range []string{"same process", "new process", "old process"} {
		t.Run(where, func(t *testing.T) {
			env := newTestEnv(t).withHandoverDir().withCommits()
			release := make(chan struct{})
			env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
				env.echo(rw, r)
				env.waitFor(release)
			}
			env.start()
			old := env.firstProcess()
			var successor *process
			if where == "old process" {
				successor = env.startReplacement()
				env.eventually(successor.isReady)
			}
			first := env.dialAndWrite(commit("x1"))
			env.eventually(func() bool { return env.timesReceived("x1") == 1 })
			if where == "new process" {
				successor = env.startReplacement()
				env.eventually(successor.isReady)
				env.eventually(func() bool { return strings.Contains(env.log.String(), `msg="taken over"`) })
			}
			require.NoError(t, first.Close())
			if where == "old process" {
				require.NoError(t, successor.cmd.Process.Kill())
				<-successor.done
				env.eventually(old.isReady)
			}
			env.waitForTurns()
			again := env.dialAndWrite(commit("x1"))
			close(release)
			require.Equal(t, 409, env.statusOf(again))
			time.Sleep(50 * time.Millisecond) // the first one has ended everywhere
			require.Equal(t, 409, env.statusOf(env.dialAndWrite(commit("x1"))))
			require.Equal(t, 1, env.timesReceived("x1"))
			require.Equal(t, 200, env.statusOf(env.dialAndWrite(commit("x2"))), "other ids are served")
		})
	}
}

// gatedHost reads nothing of its connections until gate is closed, and then reports how many bytes each brought.
func gatedHost(t *testing.T, gate <-chan struct{}) (addr string, received <-chan int64) {
	ln := listenSmall(t)
	counts := make(chan int64, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				<-gate
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
				n, _ := io.Copy(io.Discard, c)
				counts <- n
			}()
		}
	}()
	return ln.Addr().String(), counts
}

// A client writes the whole of a long request and leaves while the host reads nothing. When the host reads on, the request
// does not become complete there.
func TestLongRequestOfDepartedClientIsNotCompleted(t *testing.T) {
	const size = 300 << 10
	binary := buildWithFaults(t)
	for form, body := range bodyForms {
		t.Run(form, func(t *testing.T) {
			env := newTestEnv(t)
			gate := make(chan struct{})
			addr, received := gatedHost(t, gate)
			env.binary, env.extraEnv = binary, []string{"FERRYFRONT_FAULTS=sendbuffer=8192"}
			env.hosts["h1"], env.externalHostAddrs = nil, map[string]string{"h1": addr}
			env.start()
			header, text := body(size)
			c := env.dialAndWrite(crowdHead("POST", "/api/72", "order", "gone", header))
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, c.Close())
			time.Sleep(300 * time.Millisecond)
			close(gate)
			select {
			case n := <-received:
				require.Less(t, n, int64(size), "the whole body has reached the host")
			case <-time.After(4 * time.Second):
				require.Fail(t, "the host was not reached")
			}
		})
	}
}

// A client pipelines more than is buffered and leaves, with small buffers of its own, so that the end of its stream is hidden
// behind what is not read. None of its further requests is sent on a tenth of a second later.
func TestPipelinedRequestsOfDepartedClientAreNotSent(t *testing.T) {
	env := newTestEnv(t)
	var left time.Time
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !left.IsZero() && time.Since(left) > 150*time.Millisecond {
			env.record("late id=" + r.Header.Get("Request-Id") + " ")
		}
		env.record("id=" + r.Header.Get("Request-Id") + " ")
		time.Sleep(250 * time.Millisecond)
	}
	env.start()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<20) })
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", env.addr)
	require.NoError(t, err)
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for i := range 200 {
		if _, err := io.WriteString(c, crowdHead("POST", "/api/73", "order", fmt.Sprint("p", i), "Content-Length: 60000\r\n")+
			crowdBody[:60000]); err != nil {
			break
		}
	}
	env.eventually(func() bool { return env.hasReceived("p0") })
	left = time.Now()
	require.NoError(t, c.Close())
	time.Sleep(1500 * time.Millisecond)
	require.NotContains(t, strings.Join(env.recorded(), "\n"), "late")
}
