// Package membership tells which ingresses are there: a failure detector in the manner of SWIM, with
// suspicion and incarnation numbers, a view with a version, and what of a joint budget is this member's. It
// does no input or output: events go in, messages to send come out, as with the decision module. The
// transport is package peers.
package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State of a member in a view.
type State int

const (
	Alive   State = iota
	Suspect       // missed its probes; it may refute with a higher incarnation
	Dead          // suspected for longer than Config.SuspectFor
	Left          // said that it leaves for good
)

// States are all of them.
var States = [...]State{Alive, Suspect, Dead, Left}

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Update is what one member says of another, carried on every message.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
}

// supersedes tells whether u is newer news than what is held of the member: a higher incarnation is, and at
// one incarnation a worse state. Only the member itself raises its incarnation: to refute, or as it starts anew.
func (u Update) supersedes(m Member) bool {
	if u.Incarnation != m.Incarnation {
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

// members keeps the view sorted by name and counts its changes.
type members struct {
	view View
}

func (ms *members) find(name string) (int, bool) {
	return slices.BinarySearchFunc(ms.view.Members, name,
		func(m Member, n string) int { return strings.Compare(m.Name, n) })
}

// get returns the member, if known.
func (ms *members) get(name string) (Member, bool) {
	i, ok := ms.find(name)
	if !ok {
		return Member{}, false
	}
	return ms.view.Members[i], true
}

// leftDigest is a digest of who left, and at which incarnation; 0: nobody. One member is left aside.
func (ms *members) leftDigest(except string) uint64 {
	var h xxhash.Digest
	isEmpty := true
	for _, m := range ms.view.Members {
		if m.State == Left && m.Name != except {
			if isEmpty {
				h.Reset()
			}
			isEmpty = false
			_, _ = h.WriteString(m.Name) // it never fails, nor does the next
			_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, m.Incarnation))
		}
	}
	if isEmpty {
		return 0
	}
	return max(1, h.Sum64())
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
