// Package membership tracks which ingresses are alive and computes this ingress's share of joint budgets. It is a failure
// detector after SWIM, with suspicion and incarnation numbers, and keeps a versioned view of the members.
//
// The package does no input or output, reads no clock and starts no goroutine: [Node.Handle] takes an event with the time
// and returns the messages to send. A Node is not safe for concurrent use; the goroutine that calls Handle owns it. Package
// peers is the transport.
package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member in a view. At one incarnation a higher state supersedes a lower one.
type State int

// The states of a member. The numeric values are on the wire.
const (
	Alive   State = iota
	Suspect       // missed a probe; it refutes with a higher incarnation
	Dead          // suspected for at least Config.SuspicionTimeout
	Left          // left permanently, as it announced or an operator declared
)

// States lists every state in ascending order.
var States = [...]State{Alive, Suspect, Dead, Left}

// String returns the name of the state; it panics on a value that is no state.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Update is the state of one member as another member reports it. Messages of every kind carry updates.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
}

// supersedes reports whether u is newer than the entry m of the same member: it has a higher incarnation, or the same
// incarnation and a higher state. Only the member itself raises its incarnation, to refute or after a restart.
func (u Update) supersedes(m Member) bool {
	if u.Incarnation != m.Incarnation {
		return u.Incarnation > m.Incarnation
	}
	return u.State > m.State
}

// Member is the entry of one ingress in a view.
type Member struct {
	Name        string
	Incarnation uint64
	State       State
	Since       time.Duration // monotonic time at which the member entered State
}

// View is the list of members that a node knows.
type View struct {
	Version uint64   // incremented with each change of Members
	Members []Member // sorted by name, the node itself included
}

// Count returns the number of members in state s.
func (v View) Count(s State) (n int) {
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// members maintains a view: its order and its version.
type members struct {
	view View
}

// find returns the index of the member, or the index at which to insert it and false.
func (ms *members) find(name string) (int, bool) {
	return slices.BinarySearchFunc(ms.view.Members, name,
		func(m Member, n string) int { return strings.Compare(m.Name, n) })
}

// get returns the entry of the member and whether the view has one.
func (ms *members) get(name string) (Member, bool) {
	i, ok := ms.find(name)
	if !ok {
		return Member{}, false
	}
	return ms.view.Members[i], true
}

// leftDigest returns a digest of the names and incarnations of the members that left, without the member named except. It
// is 0 if there are none, and never 0 otherwise.
func (ms *members) leftDigest(except string) uint64 {
	var h xxhash.Digest
	isEmpty := true
	for _, m := range ms.view.Members {
		if m.State == Left && m.Name != except {
			if isEmpty {
				h.Reset()
			}
			isEmpty = false
			_, _ = h.WriteString(m.Name) // writes to a digest never fail
			_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, m.Incarnation))
		}
	}
	if isEmpty {
		return 0
	}
	return max(1, h.Sum64())
}

// apply enters an update that supersedes the member's entry, or that names an unknown member, and reports whether the view
// changed.
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
