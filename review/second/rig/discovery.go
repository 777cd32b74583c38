package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// List is the list of order servers that discovery tells. Several agents may tell the same list.
type List struct {
	rig     *Rig
	mu      sync.Mutex
	version int
	entries map[string]entry
	changed map[string]int // version of the last change, by id
	wake    chan struct{}
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

// NewList returns an empty list.
func (r *Rig) NewList() *List {
	return &List{rig: r, version: 1, entries: map[string]entry{}, changed: map[string]int{}, wake: make(chan struct{})}
}

// Set changes a host's state: Ready, Terminating or Gone.
func (l *List) Set(h *Host, state string) {
	l.mu.Lock()
	l.version++
	l.entries[h.Name] = entry{ID: h.Name, Addr: h.Addr(), Zone: "salle-a", Kind: "std-2c", Cell: h.Cell, State: state, Weight: 1}
	l.changed[h.Name] = l.version
	close(l.wake)
	l.wake = make(chan struct{})
	l.mu.Unlock()
	l.rig.Note("list", "host", h.Name, "state", state)
}

// since returns what has changed after a version; the whole list after version 0 or below.
func (l *List) since(index int) (text []byte, version int, wake chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := struct {
		Version int     `json:"version"`
		Full    bool    `json:"full"`
		Servers []entry `json:"servers"`
	}{l.version, index <= 0, []entry{}}
	for id, e := range l.entries {
		if answer.Full && e.State != "Gone" || !answer.Full && l.changed[id] > index {
			answer.Servers = append(answer.Servers, e)
		}
	}
	if !answer.Full && len(answer.Servers) == 0 {
		return nil, l.version, l.wake
	}
	text, _ = json.Marshal(answer)
	return text, l.version, l.wake
}

// Known is the list in the form of a configuration's field known.
func (l *List) Known() any {
	text, _, _ := l.since(0)
	var known any
	_ = json.Unmarshal(text, &known)
	return known
}

// Agent is discovery's address at one place.
type Agent struct {
	list   *List
	ln     net.Listener
	server *http.Server
}

// NewAgent starts an agent on a free loopback address.
func (r *Rig) NewAgent(l *List) (*Agent, error) {
	a := &Agent{list: l}
	var err error
	if a.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(a.ln) }()
	r.OnClose(func() { _ = a.server.Close() })
	return a, nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Leave accepts no new connection from now on, and closes open ones after 1.5 s.
func (a *Agent) Leave() {
	_ = a.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() { _ = a.server.Close() })
}

// ServeHTTP answers a call for the list, or a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a.list.rig.Note("discovery asked", "agent", a.Addr(), "query", r.URL.RawQuery)
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	text, version, wake := a.list.since(index)
	if r.URL.Query().Get("stream") != "1" {
		text, _, _ = a.list.since(0)
		_, _ = w.Write(text)
		return
	}
	flusher := w.(http.Flusher)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		if text != nil {
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
		}
		flusher.Flush()
		text = nil
		select {
		case <-r.Context().Done():
			return
		case <-idle.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-wake:
			text, version, wake = a.list.since(version)
		}
	}
}
