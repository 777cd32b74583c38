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

// An attempt that begins later than this after its client closed its connection is one that nobody waits for.
const leftMost = 100 * time.Millisecond

// attempts are those that hosts got, by request, with the times at which they came.
type attempts struct {
	mu    sync.Mutex
	began map[string][]time.Time
}

func (a *attempts) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began[id] = append(a.began[id], time.Now())
}

func (a *attempts) of(id string) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.began[id]
}

// hostFailures are the ways in which a host ends an attempt that lead to a further one.
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

// Clients leave, each in its way, while an attempt of theirs is out, and its host fails it after that. No further one
// begins, whatever the class; of clients that stay each is tried again.
func TestNoFurtherAttemptBeginsAfterItsClientLeft(t *testing.T) {
	leaves := departures()
	leaves["stays"] = func(*testing.T, net.Conn) {}
	for how, leave := range leaves {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			failures := hostFailures(t)
			w := newWorld(t)
			got := attempts{began: map[string][]time.Time{}}
			release := make(chan struct{})
			handle := func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				id := r.Header.Get("Request-Id")
				got.note(id)
				w.hold(release)
				failures[strings.Split(id, "-")[1]](rw, r)
			}
			w.hosts = map[string]http.HandlerFunc{"h1": handle, "h2": handle, "h3": handle}
			w.change = func(_, settings map[string]any) {
				patient(settings, 20000)
				classes := settings["classes"].([]obj)
				classes[1]["name"], classes[1]["effect"] = "once", "fragile"
				classes[2]["dedupScope"], classes[2]["repeatWindow"] = "all", 20000
			}
			w.start()
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
					clients = append(clients, w.raw(text+"\r\n"))
					w.until(func() bool { return len(got.of(id)) == 1 })
				}
			}
			for _, c := range clients {
				leave(t, c)
			}
			left := time.Now()
			time.Sleep(leftMost) // what begins within it would be allowed
			w.turns()
			close(release)
			if how == "stays" {
				for _, id := range ids { // of "once" nothing may be repeated but what has surely not run
					if !strings.HasPrefix(id, "once") || id == "once-full" {
						w.until(func() bool { return len(got.of(id)) > 1 })
					}
				}
				return
			}
			time.Sleep(leftMost) // a further attempt comes as soon as the one before has failed
			w.turns()
			for _, id := range ids {
				for _, at := range got.of(id) {
					require.Less(t, at.Sub(left), leftMost, "an attempt of %s", id)
				}
			}
		})
	}
}

// Clients leave, each in its way, while the first attempt waits for a connection that comes up late: it is not begun when
// that is up, though one of a client that stays is.
func TestNoFirstAttemptBeginsAfterItsClientLeft(t *testing.T) {
	w := newWorld(t)
	late := newLateHost(t)
	w.hosts, w.at = map[string]http.HandlerFunc{"h1": nil}, map[string]string{"h1": late.addr}
	w.change = func(_, settings map[string]any) {
		settings["limits"].(obj)["dialTimeout"] = 10000
		patient(settings, 20000)
	}
	w.start()
	for how, leave := range departures() {
		for _, class := range []string{"GET stock", "POST order"} {
			method, name, _ := strings.Cut(class, " ")
			key := ""
			if method == "POST" {
				key = "Idempotency-Key: " + how + "\r\nContent-Length: 0\r\n"
			}
			c := w.raw(method + " /api/9 HTTP/1.1\r\nRequest-Id: " + strings.ReplaceAll(how, " ", "-") + name + "\r\nRequest-Class: " +
				name + "\r\nX-Plan: boutique\r\n" + key + "\r\n")
			w.turns()
			leave(t, c)
		}
	}
	stays := w.raw(ask("stays", "99"))
	w.turns()
	late.serve(t, w.echo)
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	time.Sleep(leftMost)
	w.turns()
	require.Equal(t, []string{"GET /api/99 id=stays key= body=0"}, w.noted())
}
