package rig

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Racks know which orders the order servers of each rack have run, and drop a repeat of a key as the pages say: for 3 s.
type Racks struct {
	rig *Rig
	mu  sync.Mutex
	ran map[string][]execution // by key
}

type execution struct {
	host string
	cell int
	at   time.Time
}

// repeatWindow is for how long a rack drops a repeat.
const repeatWindow = 3 * time.Second

// NewRacks returns racks that have run nothing.
func (r *Rig) NewRacks() *Racks { return &Racks{rig: r, ran: map[string][]execution{}} }

// Run runs an order at a host, unless its rack has run that key within the window. It tells whether it was run.
func (k *Racks) Run(h *Host, key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, e := range k.ran[key] {
		if e.cell == h.Cell && now.Sub(e.at) < repeatWindow {
			k.rig.Note("repeat dropped", "key", key, "host", h.Name, "rack", h.Cell)
			return false
		}
	}
	k.ran[key] = append(k.ran[key], execution{h.Name, h.Cell, now})
	k.rig.Note("order run", "key", key, "host", h.Name, "rack", h.Cell)
	return true
}

// Twice returns what was run more than once, as text: the key and where.
func (k *Racks) Twice() []string { return k.TwiceSince(time.Time{}) }

// TwiceSince returns the same of the orders that were first run after a time.
func (k *Racks) TwiceSince(since time.Time) (twice []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, list := range k.ran {
		if len(list) > 1 && list[0].at.After(since) {
			twice = append(twice, fmt.Sprintf("order %s was run at %s (rack %d) and %v later at %s (rack %d)", key, list[0].host, list[0].cell,
				list[1].at.Sub(list[0].at).Round(time.Millisecond), list[1].host, list[1].cell))
		}
	}
	return twice
}

// Serve answers a request after its work, and has orders run in the racks. With fails it runs an order and then answers
// 500: the protocol page's outcome that may have run.
func (k *Racks) Serve(fails func(key string) bool) func(h *Host, w http.ResponseWriter, r *http.Request, arrived time.Time) {
	return func(h *Host, w http.ResponseWriter, r *http.Request, _ time.Time) {
		time.Sleep(h.Work)
		key := r.Header.Get("Idempotency-Key")
		if key != "" && k.Run(h, key) && fails(key) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get("Request-Id"), h.Name)
	}
}
