package rig

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// World is a small deployment: order servers in racks, a counter, discovery with one agent for all ingresses, and the
// ingresses.
type World struct {
	*Rig
	Hosts     []*Host
	Counter   *Counter
	List      *List
	Agent     *Agent
	Ingresses []*Ingress
	Clients   []*Client
}

// NewWorld starts the order servers, the counter and discovery. Two servers are a rack.
func (r *Rig) NewWorld(hosts int, work time.Duration) (*World, error) {
	w := &World{Rig: r, List: r.NewList()}
	for i := range hosts {
		h, err := r.NewHost(fmt.Sprintf("s-%d", i), i/2, work)
		if err != nil {
			return nil, err
		}
		w.Hosts = append(w.Hosts, h)
		w.List.Set(h, "Ready")
	}
	var err error
	if w.Counter, err = r.NewCounter(); err != nil {
		return nil, err
	}
	w.Agent, err = r.NewAgent(w.List)
	return w, err
}

// Prepare writes the configurations of some ingresses and does not start them.
func (w *World) Prepare(ingresses int, change func(config map[string]any)) error {
	for i := range ingresses {
		config := Config(ingresses, w.Agent.Addr(), w.Counter.Addr(), w.List.Known())
		if change != nil {
			change(config)
		}
		in, err := w.NewIngress(i, config)
		if err != nil {
			return err
		}
		w.Ingresses = append(w.Ingresses, in)
	}
	return nil
}

// StartAll starts the prepared ingresses and waits until all are up.
func (w *World) StartAll() error {
	for _, in := range w.Ingresses {
		if err := w.StartIngress(in); err != nil {
			return err
		}
	}
	for _, in := range w.Ingresses {
		if err := in.WaitUp(20 * time.Second); err != nil {
			return err
		}
		w.Clients = append(w.Clients, w.NewClient(in.Addr))
	}
	return nil
}

// SignalAll sends a signal to the first process of each ingress.
func (w *World) SignalAll(s syscall.Signal) error {
	for _, in := range w.Ingresses {
		if err := in.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// Kind is a kind of request in a load: its class and how often it comes.
type Kind struct {
	Class   string
	IsPost  bool
	IsKeyed bool
	Share   float64
	Timeout time.Duration
}

// Load sends requests to all ingresses in turn until it is stopped.
type Load struct {
	stop    chan struct{}
	sending sync.WaitGroup
	mu      sync.Mutex
	sent    map[string]Call
	results map[string]Result
}

// StartLoad sends so many requests a second, spread over the ingresses and over 40 customers, none of which comes near
// its quota.
func (w *World) StartLoad(perSecond int, kinds ...Kind) *Load {
	l := &Load{stop: make(chan struct{}), sent: map[string]Call{}, results: map[string]Result{}}
	random := rand.New(rand.NewPCG(w.Seed, 1))
	l.sending.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
			}
			kind := pick(kinds, random.Float64())
			call := Call{ID: NewID(), Class: kind.Class, Plan: "boutique", Customer: uint64(1000 + random.IntN(40)), IsPost: kind.IsPost,
				Timeout: kind.Timeout, Quota: fmt.Sprintf("units=1,spread=%d,first=0", len(w.Ingresses))}
			if kind.IsKeyed {
				call.Key = "k" + call.ID
			}
			if kind.IsPost {
				call.Body = "order " + call.ID
			}
			client := w.Clients[n%len(w.Clients)]
			l.sending.Go(func() { l.do(client, call) })
		}
	})
	return l
}

func pick(kinds []Kind, at float64) Kind {
	for _, k := range kinds {
		if at -= k.Share; at < 0 {
			return k
		}
	}
	return kinds[0]
}

func (l *Load) do(client *Client, call Call) {
	l.mu.Lock()
	l.sent[call.ID] = call
	l.mu.Unlock()
	result := client.Do(call)
	l.mu.Lock()
	l.results[call.ID] = result
	l.mu.Unlock()
}

// Stop ends the load and waits for all answers.
func (l *Load) Stop() {
	close(l.stop)
	l.sending.Wait()
}

// Results returns what was sent and what came back, by id.
func (l *Load) Results() (map[string]Call, map[string]Result) { return l.sent, l.results }

// Count returns how many results have each status, as text.
func (l *Load) Count() map[int]int {
	counts := map[int]int{}
	for _, result := range l.results {
		counts[result.Status]++
	}
	return counts
}
