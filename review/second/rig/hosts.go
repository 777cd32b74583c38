package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an order server. It works on each request for a fixed time and answers with the request's id.
type Host struct {
	Name string
	Cell int
	Work time.Duration
	// Answer, if set, takes the place of the usual answer. It is called when the request has come whole.
	Answer func(h *Host, w http.ResponseWriter, r *http.Request, arrived time.Time)

	rig    *Rig
	ln     net.Listener
	server *http.Server
	mu     sync.Mutex
	got    []Got
	isOpen map[string]time.Time
}

// Got is a request that reached a host.
type Got struct {
	ID, Key, Class string
	At             time.Time // its head had come
}

// NewHost starts a host on a free loopback address.
func (r *Rig) NewHost(name string, cell int, work time.Duration) (*Host, error) {
	h := &Host{Name: name, Cell: cell, Work: work, rig: r, isOpen: map[string]time.Time{}}
	var err error
	if h.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go func() { _ = h.server.Serve(h.ln) }()
	r.OnClose(h.Stop)
	return h, nil
}

// Addr is where the host listens.
func (h *Host) Addr() string { return h.ln.Addr().String() }

// Stop ends the host as the end of its process does: connections end, new ones are refused.
func (h *Host) Stop() { _ = h.server.Close() }

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/alive" {
		return
	}
	id, key, class := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), r.URL.Query().Get("class")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.mu.Lock()
	h.got = append(h.got, Got{id, key, class, arrived})
	h.isOpen[id] = arrived
	h.mu.Unlock()
	h.rig.Note("run", "host", h.Name, "id", id, "key", key, "class", class)
	defer func() {
		h.mu.Lock()
		delete(h.isOpen, id)
		h.mu.Unlock()
	}()
	if h.Answer != nil {
		h.Answer(h, w, r, arrived)
		return
	}
	time.Sleep(h.Work)
	_, _ = fmt.Fprintf(w, "%s %s", id, h.Name)
}

// Got returns the requests that have reached the host.
func (h *Host) Got() []Got {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Got(nil), h.got...)
}

// Open returns the ids of the requests that the host works on.
func (h *Host) Open() (ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.isOpen {
		ids = append(ids, id)
	}
	return ids
}

// Counter is the quota counter: it adds to named numbers and answers at once.
type Counter struct {
	ln net.Listener
	mu sync.Mutex
	at map[string]*count
}

type count struct {
	total float64
	until time.Time
}

// NewCounter starts a counter on a free loopback address.
func (r *Rig) NewCounter() (*Counter, error) {
	c := &Counter{at: map[string]*count{}}
	var err error
	if c.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: c, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(c.ln) }()
	r.OnClose(func() { _ = server.Close() })
	return c, nil
}

// Addr is where the counter listens.
func (c *Counter) Addr() string { return c.ln.Addr().String() }

// ServeHTTP adds to a number.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	by, err := strconv.ParseFloat(r.URL.Query().Get("by"), 64)
	life, errLife := strconv.ParseFloat(r.URL.Query().Get("expire_ms"), 64)
	if err != nil || errLife != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	c.mu.Lock()
	n := c.at[r.URL.Path]
	if n == nil || now.After(n.until) {
		n = &count{until: now.Add(time.Duration(min(life, 60000) * float64(time.Millisecond)))}
		c.at[r.URL.Path] = n
	}
	n.total += by
	total := n.total
	c.mu.Unlock()
	_, _ = io.WriteString(w, strconv.FormatFloat(total, 'g', 7, 64))
}
