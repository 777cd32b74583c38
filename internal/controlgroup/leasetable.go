package controlgroup

import (
	"cmp"
	"slices"
	"time"
)

// process is one process of a member.
type process struct {
	member      MemberID
	incarnation Incarnation
}

func compareProcesses(a, b process) int {
	return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.incarnation, b.incarnation))
}

// sortedKeys returns the keys of a map in order, so that what is done for each does not depend on the map's.
func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compare)
	return keys
}

// leaseEntry is what a leader knows of one process.
type leaseEntry struct {
	process
	sequence      uint64        // of its last renewal
	reports       []Report      // of that
	received      time.Duration // when that came, or word of the end
	settingsUntil time.Duration // by the group's reckoning; 0: none granted by this leader
	shareUntil    time.Duration // the same
	closed        bool          // the process has ended or has given up its leases, for good
}

func (e *leaseEntry) holdsSettings(now time.Duration) bool { return !e.closed && now < e.settingsUntil }

func (e *leaseEntry) holdsShare(now time.Duration) bool { return !e.closed && now < e.shareUntil }

// leaseTable has the processes that a leader has heard of, in order of member and incarnation.
type leaseTable struct {
	entries map[process]*leaseEntry
	sorted  []*leaseEntry
}

func newLeaseTable() leaseTable { return leaseTable{entries: map[process]*leaseEntry{}} }

func (t *leaseTable) find(p process) (*leaseEntry, bool) {
	entry, known := t.entries[p]
	return entry, known
}

func (t *leaseTable) add(p process) *leaseEntry {
	entry := &leaseEntry{process: p}
	t.entries[p] = entry
	at, _ := slices.BinarySearchFunc(t.sorted, p, func(e *leaseEntry, p process) int { return compareProcesses(e.process, p) })
	t.sorted = slices.Insert(t.sorted, at, entry)
	return entry
}

// all returns the entries in order.
func (t *leaseTable) all() []*leaseEntry { return t.sorted }

// removeIf forgets processes.
func (t *leaseTable) removeIf(remove func(e *leaseEntry) bool) {
	t.sorted = slices.DeleteFunc(t.sorted, func(e *leaseEntry) bool {
		if !remove(e) {
			return false
		}
		delete(t.entries, e.process)
		return true
	})
}
