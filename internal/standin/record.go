// Package standin stands in for all that is around an ingress: order hosts, the quota counter, discovery and a
// population of clients, on loopback and by the published protocol. Each notes what the rules need, and a
// checker reads the notes.
package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Run is one request that an order host has begun to work on.
type Run struct {
	ID, Key, Customer string
	Class             string
	Host              string
	Cell              int
	At                time.Time     // its last byte came
	Out               time.Time     // it was answered, or its connection ended
	Timeout           time.Duration // that the ingress said it would wait, 0: nothing was said
	Dropped           bool          // known as a repeat by the cell, and not done again
}

// Answer is what a client got for one request.
type Answer struct {
	ID, Key, Customer string
	Class, Plan       string
	Via               int // the ingress that was asked
	Due, End          time.Time
	Status            int // 0: none
	Twice             bool
	Lost              string // why there was none
	Resent            bool   // its connection was closed before it was read
}

// Departure is a request whose client closed its connection before it was answered.
type Departure struct {
	ID   string
	Left time.Time
}

// Record is the notes of one world. It is safe for use by many.
type Record struct {
	mu      sync.Mutex
	runs    []*Run
	answers []Answer
	drained map[string]time.Time // hosts that were told to drain
	late    []string             // sends after that
	fell    []string             // cold hosts that were overrun
	left    []Departure
	dials   int // connections that hosts have taken
}

// NewRecord returns empty notes.
func NewRecord() *Record { return &Record{drained: map[string]time.Time{}} }

func (r *Record) begin(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	if at, ok := r.drained[run.Host]; ok && run.At.Sub(at) > drainGrace {
		r.late = append(r.late, fmt.Sprintf("%s got %s %v after it was told to drain", run.Host, run.ID, run.At.Sub(at)))
	}
}

// drainGrace is for which new work may still reach a host that drains, sockets' allowance included.
const drainGrace = 550 * time.Millisecond

func (r *Record) end(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Out.IsZero() {
		run.Out = time.Now()
	}
}

func (r *Record) answer(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// Departures are those so far.
func (r *Record) Departures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.left)
}

// Dials tells how many connections hosts have taken: each costs a host a handshake.
func (r *Record) Dials() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials
}

// Runs are those begun so far.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Answers are those given so far.
func (r *Record) Answers() []Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.answers)
}

// Rules are the figures by which a record is judged.
type Rules struct {
	Window time.Duration // for which a cell knows a key
	// Ceiling of each of Customers, all ingresses together.
	CeilingRate, CeilingBurst, CeilingSlack float64
	Customers                               []string
	From                                    time.Time // earlier runs are not counted against it
}

// Verdict is what a record comes to.
type Verdict struct {
	Requests         int            `json:"requests"`
	AnsweredOnce     int            `json:"answered_once"`
	Lost             int            `json:"lost"`
	AnsweredTwice    int            `json:"answered_twice"`
	ForbiddenRepeats int            `json:"forbidden_repeats"`
	SecondCopies     int            `json:"second_copies"`
	LateSends        int            `json:"late_sends"`
	CeilingBreaks    int            `json:"ceiling_breaks"`
	OverrunHosts     int            `json:"overrun_hosts"`
	Reconnects       int            `json:"reconnects"`
	Statuses         map[string]int `json:"statuses"`
	Faults           []string       `json:"faults,omitempty"` // the first of each kind
}

// Broken tells whether a rule was.
func (v Verdict) Broken() bool {
	return v.Lost+v.AnsweredTwice+v.ForbiddenRepeats+v.SecondCopies+v.LateSends+v.CeilingBreaks+v.OverrunHosts > 0
}

// Check judges a record.
func (r *Record) Check(rules Rules) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Requests: len(r.answers), Statuses: map[string]int{}, LateSends: len(r.late), OverrunHosts: len(r.fell)}
	fault := func(n *int, format string, args ...any) {
		if *n++; *n == 1 {
			v.Faults = append(v.Faults, fmt.Sprintf(format, args...))
		}
	}
	v.Faults = append(append(v.Faults, r.late[:min(1, len(r.late))]...), r.fell[:min(1, len(r.fell))]...)
	for _, a := range r.answers {
		if a.Resent {
			v.Reconnects++
		}
		switch {
		case a.Status == 0:
			fault(&v.Lost, "%s (%s) had no answer: %s", a.ID, a.Class, a.Lost)
		case a.Twice:
			fault(&v.AnsweredTwice, "%s (%s) was answered twice", a.ID, a.Class)
		default:
			v.AnsweredOnce++
		}
		v.Statuses[fmt.Sprint(a.Status)]++
	}
	byID, byKey := map[string][]*Run{}, map[string][]*Run{}
	for _, run := range r.runs {
		byID[run.ID] = append(byID[run.ID], run)
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for id, runs := range byID {
		slices.SortFunc(runs, func(a, b *Run) int { return a.At.Compare(b.At) })
		for i, run := range runs[1:] {
			before := runs[i]
			if before.Out.IsZero() || run.At.Before(before.Out.Add(-closeSlack)) {
				fault(&v.SecondCopies, "%s ran at %s while it was out at %s", id, run.Host, before.Host)
			}
		}
	}
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b *Run) int { return a.At.Compare(b.At) })
		for i, run := range runs[1:] {
			first := runs[0]
			for _, before := range runs[:i+1] { // what this one would repeat
				if run.At.Sub(before.At) < rules.Window && before.Cell != run.Cell {
					fault(&v.ForbiddenRepeats, "order %s ran in cell %d, and %v later in cell %d", key, before.Cell,
						run.At.Sub(before.At), run.Cell)
					break
				}
			}
			if run.ID == first.ID && run.At.Sub(first.At) >= rules.Window {
				fault(&v.ForbiddenRepeats, "order %s was sent once more after its window", key)
			}
		}
	}
	v.ceilings(r.runs, rules, fault)
	return v
}

// closeSlack: a host learns of a connection's end from its own scheduler, some time after it was closed.
const closeSlack = 25 * time.Millisecond

// ceilings counts each customer's first sends against a store that begins full.
func (v *Verdict) ceilings(all []*Run, rules Rules, fault func(*int, string, ...any)) {
	if rules.CeilingRate == 0 {
		return
	}
	runs := slices.Clone(all)
	slices.SortFunc(runs, func(a, b *Run) int { return a.At.Compare(b.At) })
	type store struct {
		level float64
		at    time.Time
		seen  map[string]bool
	}
	stores := map[string]*store{}
	for _, c := range rules.Customers {
		stores[c] = &store{level: rules.CeilingBurst, seen: map[string]bool{}}
	}
	// Sends arrive in another order than they were counted in, by what the ceiling gives in 150 ms.
	slack := rules.CeilingSlack + 0.15*rules.CeilingRate
	for _, run := range runs {
		s := stores[run.Customer]
		if s == nil || s.seen[run.ID] || run.At.Before(rules.From) {
			continue
		}
		s.seen[run.ID] = true
		if !s.at.IsZero() {
			s.level = min(rules.CeilingBurst, s.level+rules.CeilingRate*run.At.Sub(s.at).Seconds())
		}
		s.at = run.At
		if s.level--; s.level < -slack {
			fault(&v.CeilingBreaks, "customer %s is %.1f under its ceiling's store", run.Customer, -s.level)
		}
	}
}
