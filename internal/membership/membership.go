// Package membership tells which ingresses are there: a failure detector in the manner of SWIM, with
// suspicion and incarnation numbers, and a view with a version. It does no input or output: events go in,
// messages to send come out, as with the decision module. The transport below it is not here.
package membership

import (
	"slices"
	"time"
)

// State of a member in a view.
type State int

const (
	Alive   State = iota
	Suspect       // missed its probes; it may refute with a higher incarnation
	Dead          // suspected for longer than Config.SuspectFor
	Left          // said that it leaves
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Update is what one member says of another, carried on every message.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
}

// supersedes tells whether u is newer news than what is held of the member. At one incarnation a worse
// state wins; a higher incarnation wins over all but a leave, which is final.
func (u Update) supersedes(m Member) bool {
	switch {
	case m.State == Left:
		return false
	case u.State == Left:
		return true
	case u.Incarnation != m.Incarnation:
		return u.Incarnation > m.Incarnation
	}
	return u.State > m.State
}

// Member is one ingress as a view holds it. Since is the monotonic time at which it came to its state.
type Member struct {
	Name        string
	Incarnation uint64
	State       State
	Since       time.Duration
}

// View is what a node believes, with a version that grows with every change.
type View struct {
	Version uint64
	Members []Member // by name, the node itself among them
}

// Count returns how many members are in state s.
func (v View) Count(s State) (n int) {
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Sharers is the number of members by which a joint budget is divided, never below least (the number
// that the settings name). Only a member that said it left is taken out: one that is dead may be cut off
// and go on sending, so the sides of a split together never allow more than the whole. The cost: what a
// killed member would have had is unused until the settings name fewer.
func (v View) Sharers(least int) int {
	left := v.Count(Left)
	return max(1, len(v.Members)-left, least-left)
}

// Share is this member's part of a joint budget: 1 over Sharers.
func (v View) Share(least int) float64 { return 1 / float64(v.Sharers(least)) }

// members keeps the view sorted by name and counts its changes.
type members struct {
	view View
}

func (ms *members) find(name string) (int, bool) {
	return slices.BinarySearchFunc(ms.view.Members, name, func(m Member, n string) int {
		switch {
		case m.Name < n:
			return -1
		case m.Name > n:
			return 1
		}
		return 0
	})
}

// get returns the member, if known.
func (ms *members) get(name string) (Member, bool) {
	i, ok := ms.find(name)
	if !ok {
		return Member{}, false
	}
	return ms.view.Members[i], true
}

// apply takes an update if it is news, and reports whether it was.
func (ms *members) apply(u Update, now time.Duration) bool {
	i, ok := ms.find(u.Name)
	if !ok {
		ms.view.Members = slices.Insert(ms.view.Members, i, Member{u.Name, u.Incarnation, u.State, now})
		ms.view.Version++
		return true
	}
	m := &ms.view.Members[i]
	if !u.supersedes(*m) {
		return false
	}
	if m.State != u.State {
		m.Since = now
	}
	m.Incarnation, m.State = u.Incarnation, u.State
	ms.view.Version++
	return true
}
