package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Counter is the shared quota counter: numbers by name, forgotten when their time is up.
type Counter struct {
	mu      sync.Mutex
	numbers map[string]*number
	calls   int
	mode    CounterMode
	delay   time.Duration // before each answer
	conns   map[net.Conn]bool
	most    int
	release chan struct{} // closed when a silent spell ends
	server  *http.Server
	ln      net.Listener
}

type number struct {
	total float64
	until time.Time
}

// CounterMode is how the counter answers.
type CounterMode int

const (
	Answering CounterMode = iota
	Silent
	Refusing
)

// NewCounter starts one.
func NewCounter() (*Counter, error) {
	c := &Counter{numbers: map[string]*number{}, conns: map[net.Conn]bool{}, release: make(chan struct{})}
	var err error
	c.server, c.ln, err = serve(c, func(conn net.Conn, s http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch s {
		case http.StateNew:
			c.conns[conn] = true
			c.most = max(c.most, len(c.conns))
		case http.StateClosed, http.StateHijacked:
			delete(c.conns, conn)
		}
	})
	return c, err
}

// Addr is where it listens.
func (c *Counter) Addr() string { return c.ln.Addr().String() }

// Close ends it.
func (c *Counter) Close() {
	c.Set(Answering)
	_ = c.server.Close()
}

// Set changes how it answers.
func (c *Counter) Set(m CounterMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mode == Silent && m != Silent {
		close(c.release)
		c.release = make(chan struct{})
	}
	c.mode = m
}

// Delay makes it take so long before each answer from now on.
func (c *Counter) Delay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// MostConnections is the most it held at one time.
func (c *Counter) MostConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}

// Numbers are those that it keeps, by path.
func (c *Counter) Numbers() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	numbers := map[string]float64{}
	for path, n := range c.numbers {
		numbers[path] = n.total
	}
	return numbers
}

// Calls tells how many were answered.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// ServeHTTP adds.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	mode, release, delay := c.mode, c.release, c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	switch mode {
	case Silent:
		select {
		case <-release:
		case <-r.Context().Done():
			return
		}
	case Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	by, err := strconv.ParseFloat(r.URL.Query().Get("by"), 64)
	life, lifeErr := strconv.Atoi(r.URL.Query().Get("expire_ms"))
	if err != nil || lifeErr != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	n := c.numbers[r.URL.Path]
	if n == nil || now.After(n.until) {
		n = &number{until: now.Add(time.Duration(min(max(life, 1), 60000)) * time.Millisecond)}
		c.numbers[r.URL.Path] = n
	}
	n.total += by
	fmt.Fprint(w, strconv.FormatFloat(n.total, 'g', 7, 64))
}

// Discovery tells the list of hosts, and then its changes.
type Discovery struct {
	mu      sync.Mutex
	version int
	hosts   map[string]entry
	news    chan struct{} // closed at each change
	log     []change
	silent  bool
	record  *Record
	server  *http.Server
	ln      net.Listener
}

type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type change struct {
	version int
	entry   entry
}

type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// NewDiscovery starts one without hosts.
func NewDiscovery(r *Record) (*Discovery, error) {
	d := &Discovery{hosts: map[string]entry{}, news: make(chan struct{}), record: r, version: 1}
	var err error
	d.server, d.ln, err = serve(d, nil)
	return d, err
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Set tells of a host's state: Ready, Terminating or Gone.
func (d *Discovery) Set(h *Host, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := entry{ID: h.Name, Addr: cmp.Or(h.Advertise, h.Addr()), Zone: h.Zone, Kind: "std-2c", Cell: h.Cell, State: state, Weight: 1}
	if boot := h.Boot(); !boot.IsZero() {
		e.Started = boot.Add(h.Stepped).UnixMilli()
	}
	if d.hosts[h.Name] = e; state == "Gone" {
		delete(d.hosts, h.Name)
	}
	d.version++
	d.log = append(d.log, change{d.version, e})
	close(d.news)
	d.news = make(chan struct{})
	if state != "Ready" {
		d.record.mu.Lock()
		d.record.drained[h.Name] = time.Now()
		d.record.mu.Unlock()
	}
}

// Silence has it say nothing, and answer nothing, for a while.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) whole() list {
	l := list{Version: d.version, Full: true, Servers: []entry{}}
	for _, e := range d.hosts {
		l.Servers = append(l.Servers, e)
	}
	return l
}

// ServeHTTP tells the list, or watches.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := json.NewEncoder(w)
	told := -1
	for {
		d.mu.Lock()
		news, silent, version := d.news, d.silent, d.version
		var l list
		switch {
		case told < 0:
			l = d.whole()
		default:
			l = list{Version: version}
			for _, c := range d.log {
				if c.version > told {
					l.Servers = append(l.Servers, c.entry)
				}
			}
		}
		d.mu.Unlock()
		if !silent {
			if told < 0 || len(l.Servers) > 0 {
				told = version
				if out.Encode(l) != nil {
					return
				}
			} else if _, err := fmt.Fprintln(w); err != nil {
				return
			}
			if r.URL.Query().Get("stream") == "" {
				return
			}
			w.(http.Flusher).Flush()
		}
		select {
		case <-news:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
