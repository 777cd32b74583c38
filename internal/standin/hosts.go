package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Host is an order server: it works on so many requests at a time, lets some wait, turns others away unseen,
// and its cell knows the keys of late. A cold one can do a part of its capacity, and falls over when it is sent
// more than twice that for some time.
type Host struct {
	Name, Zone string
	Listen     string // address; empty: at a free port of loopback
	Cell       int
	Slots      int           // worked on at a time
	Queue      int           // that may wait
	Work       time.Duration // of a request, in the mean
	ColdFor    time.Duration // from Boot until it is warm; 0: it is
	ColdFrom   float64       // part of its capacity at Boot
	Stepped    time.Duration // by which its clock was set off when it started, as far as it tells
	Advertise  string        // address that discovery tells, such as a proxy's; empty: where it listens
	Apart      bool          // what it is sent is not noted in the world's record: a proxy may bring it late

	record *Record
	cells  *cells
	server *http.Server
	ln     net.Listener

	mu      sync.Mutex
	boot    time.Time
	slow    float64 // times its work
	failing float64 // part of the requests that it resets after the work
	busy    int
	waiting int
	freed   *sync.Cond
	sent    []time.Time // while cold
	fallen  bool
}

// cells know the keys that their hosts have run.
type cells struct {
	mu     sync.Mutex
	window time.Duration
	seen   map[string]time.Time
}

// repeat tells whether a cell has run a key within the window, and notes it.
func (c *cells) repeat(cell int, key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprint(cell, "/", key)
	at, seen := c.seen[name]
	if seen && now.Sub(at) < c.window {
		return true
	}
	c.seen[name] = now
	return false
}

func (h *Host) start(r *Record, c *cells) error {
	if h.Apart {
		r = NewRecord()
	}
	h.mu.Lock()
	h.record, h.cells, h.slow, h.boot = r, c, 1, time.Now()
	if h.freed == nil { // at a restart, some may still wait
		h.freed = sync.NewCond(&h.mu)
	}
	h.mu.Unlock()
	var err error
	listen := h.Listen
	if listen == "" {
		listen = anyPort
	}
	h.server, h.ln, err = serveAt(listen, h, func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			r.mu.Lock()
			r.dials++
			r.mu.Unlock()
		}
	})
	return err
}

// Stop ends the host as the loss of its machine does: nobody listens, and its connections are reset or closed.
func (h *Host) Stop() { _ = h.server.Close() }

// Restart starts a host again that was stopped, at the same address.
func (h *Host) Restart() error { return h.start(h.record, h.cells) }

// anyPort is loopback at a port that is free.
const anyPort = "127.0.0.1:0"

// serve listens at a free port until the server is closed.
func serve(h http.Handler, state func(net.Conn, http.ConnState)) (*http.Server, net.Listener, error) {
	return serveAt(anyPort, h, state)
}

// serveAt listens at an address until the server is closed.
func serveAt(address string, h http.Handler, state func(net.Conn, http.ConnState)) (*http.Server, net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 20 * time.Second, ConnState: state}
	go func() { _ = s.Serve(ln) }() // ends with Close
	return s, ln, nil
}

// Addr is where it listens.
func (h *Host) Addr() string { return h.ln.Addr().String() }

// Boot is its last start, zero for long ago.
func (h *Host) Boot() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ColdFor == 0 {
		return time.Time{}
	}
	return h.boot
}

// RunCold has a host be cold for a while after its next start, when it can do a part of its capacity.
func (h *Host) RunCold(length time.Duration, part float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ColdFor, h.ColdFrom = length, part
}

// Slow makes it so many times slower from now on.
func (h *Host) Slow(x float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = x
}

// Fail makes it reset this part of its connections once the work is done.
func (h *Host) Fail(part float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = part
}

func (h *Host) warmth(now time.Time) float64 {
	if h.ColdFor == 0 || now.Sub(h.boot) >= h.ColdFor {
		return 1
	}
	return h.ColdFrom + (1-h.ColdFrom)*now.Sub(h.boot).Seconds()/h.ColdFor.Seconds()
}

// fallTime and fallMultiple are when a cold host falls over.
const (
	fallTime     = 3 * time.Second
	fallMultiple = 2
)

// overrun notes a send to a cold host and tells whether it falls over.
func (h *Host) overrun(now time.Time) bool {
	w := h.warmth(now)
	if w >= 1 {
		return false
	}
	h.sent = append(h.sent, now)
	for len(h.sent) > 0 && now.Sub(h.sent[0]) > fallTime {
		h.sent = h.sent[1:]
	}
	can := float64(h.Slots) / h.Work.Seconds() * w * fallTime.Seconds()
	return float64(len(h.sent)) > fallMultiple*can+8 // a little for chance
}

// requestTimeout is what an ingress says it will wait, in whole milliseconds; 0: nothing that can be read.
func requestTimeout(r *http.Request) time.Duration {
	digits, _ := strings.CutSuffix(r.Header.Get("Request-Timeout"), "m")
	milliseconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// ServeHTTP works on a request.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/alive" {
		return
	}
	now := time.Now()
	run := &Run{ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), Customer: path.Base(r.URL.Path),
		Class: r.URL.Query().Get("class"), Host: h.Name, Cell: h.Cell, At: now, Timeout: requestTimeout(r)}
	h.mu.Lock()
	if h.overrun(now) && !h.fallen {
		h.fallen = true
		h.record.mu.Lock()
		h.record.fell = append(h.record.fell, h.Name+" was cold and was sent more than it could do")
		h.record.mu.Unlock()
	}
	if h.busy >= h.Slots && h.waiting >= h.Queue {
		h.mu.Unlock()
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.record.begin(run)
	// From its connection's end on an attempt is not out any more, also while it waits or is worked on.
	defer context.AfterFunc(r.Context(), func() { h.record.end(run) })()
	h.waiting++
	for h.busy >= h.Slots {
		h.freed.Wait()
	}
	h.waiting--
	h.busy++
	work := time.Duration(float64(h.Work) * h.slow / h.warmth(now) * (0.5 + rand.Float64()))
	failing := rand.Float64() < h.failing
	h.mu.Unlock()
	if run.Key != "" && h.cells.repeat(h.Cell, run.Key, now) {
		run.Dropped, work = true, 0
	}
	time.Sleep(work) // a cancel stops no work
	h.mu.Lock()
	h.busy--
	h.freed.Signal()
	h.mu.Unlock()
	h.record.end(run)
	if failing {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %d", run.ID, h.Name, len(body))
}
