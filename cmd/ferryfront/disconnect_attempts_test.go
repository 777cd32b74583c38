package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// disconnectGrace is how long after a disconnect an attempt of that client may still begin.
const disconnectGrace = 100 * time.Millisecond

// attemptLog records when upstream hosts got the attempts of each request.
type attemptLog struct {
	mu         sync.Mutex
	startTimes map[string][]time.Time
}

func (a *attemptLog) record(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startTimes[id] = append(a.startTimes[id], time.Now())
}

// startsOf returns the times at which hosts got the attempts of a request.
func (a *attemptLog) startsOf(id string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startTimes[id]
}

// hostFailures returns the ways in which a host can fail an attempt so that a retry follows, by name.
func hostFailures(t *testing.T) map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"error": func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(500) },
		"full": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Not-Started", "1")
			rw.WriteHeader(503)
		},
		"reset": func(rw http.ResponseWriter, _ *http.Request) {
			c, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	}
}

// Clients disconnect in several ways while an attempt of theirs is in flight, and the host fails the attempt afterwards. No
// retry may begin, whatever the class. Requests of clients that stay are retried.
func TestNoRetryAfterClientDisconnects(t *testing.T) {
	leaves := disconnects()
	leaves["stays"] = func(*testing.T, net.Conn) {}
	for how, leave := range leaves {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			failures := hostFailures(t)
			env := newTestEnv(t)
			got := attemptLog{startTimes: map[string][]time.Time{}}
			release := make(chan struct{})
			handle := func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				id := r.Header.Get("Request-Id")
				got.record(id)
				env.waitFor(release)
				failures[strings.Split(id, "-")[1]](rw, r)
			}
			env.hosts = map[string]http.HandlerFunc{"h1": handle, "h2": handle, "h3": handle}
			env.modifyConfig = func(_, settings map[string]any) {
				setDeadlines(settings, 20000)
				classes := settings["classes"].([]object)
				classes[1]["name"], classes[1]["effect"] = "once", "fragile"
				classes[2]["dedupScope"], classes[2]["repeatWindow"] = "all", 20000
			}
			env.start()
			var ids []string
			var clients []net.Conn
			for kind := range failures {
				for class, head := range map[string]string{"stock": "GET", "once": "POST", "order": "POST"} {
					id := class + "-" + kind
					ids = append(ids, id)
					text := fmt.Sprintf("%s /api/%x HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Plan: boutique\r\n",
						head, 0x100+len(ids), id, class)
					if class == "order" {
						text += "Idempotency-Key: " + id + "\r\n"
					}
					if head == "POST" {
						text += "Content-Length: 0\r\n"
					}
					clients = append(clients, env.dialAndWrite(text+"\r\n"))
					env.eventually(func() bool { return len(got.startsOf(id)) == 1 })
				}
			}
			for _, c := range clients {
				leave(t, c)
			}
			left := time.Now()
			time.Sleep(disconnectGrace) // an attempt within this time is allowed
			env.waitForTurns()
			close(release)
			if how == "stays" {
				for _, id := range ids { // class "once" is retried only if the request certainly did not run
					if !strings.HasPrefix(id, "once") || id == "once-full" {
						env.eventually(func() bool { return len(got.startsOf(id)) > 1 })
					}
				}
				return
			}
			time.Sleep(disconnectGrace) // a retry begins as soon as the attempt has failed
			env.waitForTurns()
			for _, id := range ids {
				for _, at := range got.startsOf(id) {
					require.Less(t, at.Sub(left), disconnectGrace, "an attempt of %s", id)
				}
			}
		})
	}
}

// Clients disconnect in several ways while their first attempts wait for an upstream connection. The attempts must not
// begin when it is established. The attempt of a client that stays begins.
func TestNoFirstAttemptAfterClientDisconnects(t *testing.T) {
	env := newTestEnv(t)
	late := newDelayedHost(t)
	env.hosts, env.externalHostAddrs = map[string]http.HandlerFunc{"h1": nil}, map[string]string{"h1": late.addr}
	env.modifyConfig = func(_, settings map[string]any) {
		settings["limits"].(object)["dialTimeout"] = 10000
		setDeadlines(settings, 20000)
	}
	env.start()
	for how, leave := range disconnects() {
		for _, class := range []string{"GET stock", "POST order"} {
			method, name, _ := strings.Cut(class, " ")
			key := ""
			if method == "POST" {
				key = "Idempotency-Key: " + how + "\r\nContent-Length: 0\r\n"
			}
			c := env.dialAndWrite(method + " /api/9 HTTP/1.1\r\nRequest-Id: " + strings.ReplaceAll(how, " ", "-") + name + "\r\nRequest-Class: " +
				name + "\r\nX-Plan: boutique\r\n" + key + "\r\n")
			env.waitForTurns()
			leave(t, c)
		}
	}
	stays := env.dialAndWrite(rawRequest("stays", "99"))
	env.waitForTurns()
	late.serve(t, env.echo)
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	time.Sleep(disconnectGrace)
	env.waitForTurns()
	require.Equal(t, []string{"GET /api/99 id=stays key= body=0"}, env.recorded())
}
