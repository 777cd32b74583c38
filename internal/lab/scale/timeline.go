package scale

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// timeline holds what all ingresses have reported, and when each was stopped. It is safe for use by many goroutines.
type timeline struct {
	mu      sync.Mutex
	events  [][]Event // by member, in the order in which they came
	outages [][]outage
}

// outage is a time for which a member did not run.
type outage struct{ from, to time.Time } // to is zero while it lasts

func newTimeline(members int) *timeline {
	return &timeline{events: make([][]Event, members), outages: make([][]outage, members)}
}

// add takes an event that a member has reported.
func (t *timeline) add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events[e.Member] = append(t.events[e.Member], e)
}

// stopped notes that a member is being stopped.
func (t *timeline) stopped(member int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outages[member] = append(t.outages[member], outage{from: time.Now()})
}

// started notes that a member that was stopped is being started.
func (t *timeline) started(member int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list := t.outages[member]; len(list) > 0 {
		list[len(list)-1].to = time.Now()
	}
}

// runs tells whether a member has not been stopped.
func (t *timeline) runs(member int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.outages[member]
	return len(list) == 0 || !list[len(list)-1].to.IsZero()
}

// wasDown tells whether a member was down at some time between two.
func (t *timeline) wasDown(member int, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.outages[member], func(o outage) bool {
		return o.from.Before(to) && (o.to.IsZero() || o.to.After(from))
	})
}

// first returns when a member first reported an event from a time on for which a condition holds.
func (t *timeline) first(member int, from time.Time, holds func(Event) bool) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events[member] {
		if !e.At.Before(from) && holds(e) {
			return e.At, true
		}
	}
	return at, false
}

// last returns the latest event of a kind that a member's present process has reported.
func (t *timeline) last(member int, kind EventKind) (e Event, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.events[member]) - 1; i >= 0; i-- {
		e := t.events[member][i]
		if e.Kind == kind {
			return e, true
		}
		if e.Kind == Serving && kind != Acting { // the version that a process begins with is reported before
			break
		}
	}
	return Event{}, false
}

// settled tells whether a member may use its share of joint budgets.
func (t *timeline) settled(member int) bool {
	e, ok := t.last(member, Share)
	return ok && e.Settled
}

// actsAlone tells whether a member acts on a version and on no other.
func actsAlone(version uint64) func(Event) bool {
	return func(e Event) bool { return e.Kind == Acting && slices.Equal(e.Versions, []uint64{version}) }
}

func isSettled(e Event) bool { return e.Kind == Share && e.Settled }

// acting is the versions that a serving member acts on from a time on; none: it does not serve.
type acting struct {
	at       time.Time
	versions []uint64
}

// actingOf makes out of a member's events and outages what it acted on while it served. A process serves once it has
// heard which versions are in force.
func (t *timeline) actingOf(member int) (list []acting) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var versions []uint64
	ready := false
	outages := t.outages[member]
	down := func(at time.Time) { // outages that began before
		for len(outages) > 0 && !outages[0].from.After(at) {
			list = append(list, acting{outages[0].from, nil})
			versions, ready = nil, false
			outages = outages[1:]
		}
	}
	for _, e := range t.events[member] {
		down(e.At)
		switch e.Kind {
		case Serving:
			ready = false
			continue
		case Ready:
			ready = true
		case Acting:
			versions = e.Versions
		default:
			continue
		}
		if ready {
			list = append(list, acting{e.At, versions})
		}
	}
	down(time.Now())
	return list
}

// contradiction returns the longest time for which there were, without a break, two serving members that acted on no
// version in common. It sweeps over all changes of all members and counts the members by what they act on, so its cost
// grows with the changes and not with the pairs. The two members need not be the same all the time; so it is never less
// than the longest time of any pair.
func (t *timeline) contradiction(end time.Time) (longest time.Duration) {
	type change struct {
		acting
		member int
	}
	var changes []change
	for member := range t.events {
		for _, a := range t.actingOf(member) {
			changes = append(changes, change{a, member})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	present := make(map[int][]uint64)
	counts := map[string]int{}
	sets := map[string][]uint64{}
	var since time.Time // of the contradiction that there is; zero: there is none
	for _, c := range changes {
		if old := present[c.member]; len(old) > 0 {
			if key := fmt.Sprint(old); counts[key] > 1 {
				counts[key]--
			} else {
				delete(counts, key)
			}
		}
		if present[c.member] = c.versions; len(c.versions) > 0 {
			key := fmt.Sprint(c.versions)
			counts[key]++
			sets[key] = c.versions
		}
		switch contradicts := anyDisjoint(counts, sets); {
		case contradicts && since.IsZero():
			since = c.at
		case !contradicts && !since.IsZero():
			longest = max(longest, c.at.Sub(since))
			since = time.Time{}
		}
	}
	if !since.IsZero() {
		longest = max(longest, end.Sub(since))
	}
	return longest
}

// anyDisjoint tells whether two of the sets that are counted have no version in common.
func anyDisjoint(counts map[string]int, sets map[string][]uint64) bool {
	for a := range counts {
		for b := range counts {
			if a < b && !slices.ContainsFunc(sets[a], func(v uint64) bool { return slices.Contains(sets[b], v) }) {
				return true
			}
		}
	}
	return false
}

// spread are percentiles of times in milliseconds.
type spread struct{ histogram *hdrhistogram.Histogram }

// spreadMost is the longest time that is told apart from longer ones, in microseconds.
const spreadMost = 10 * 60 * 1_000_000

func newSpread() spread { return spread{hdrhistogram.New(1, spreadMost, 3)} }

func (s spread) add(d time.Duration) {
	_ = s.histogram.RecordValue(min(spreadMost, max(1, d.Microseconds())))
}

func (s spread) count() int { return int(s.histogram.TotalCount()) }

// at is a percentile, nil where nothing was added.
func (s spread) at(percent float64) *float64 {
	if s.count() == 0 {
		return nil
	}
	ms := float64(s.histogram.ValueAtQuantile(percent)) / 1e3
	return &ms
}

// warnings returns the most frequent warnings that members have logged, with how often.
func (t *timeline) warnings(most int) (list []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, events := range t.events {
		for _, e := range events {
			if e.Kind == Warning {
				counts[strings.TrimSpace(e.Text)]++
			}
		}
	}
	texts := make([]string, 0, len(counts))
	for text := range counts {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, func(a, b string) int { return counts[b] - counts[a] })
	for _, text := range texts[:min(most, len(texts))] {
		list = append(list, fmt.Sprintf("%d times: %.200s", counts[text], text))
	}
	return list
}
