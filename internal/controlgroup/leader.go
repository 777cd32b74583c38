package controlgroup

import (
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// Leader decides for the replica that leads: it keeps the table of leases, which is not replicated, and tells what to
// replicate. It is not safe for use by several goroutines. The time given to its methods is that of one monotonic
// clock of the host and never goes back.
//
// The host makes a new one each time its replica is elected, drops it when the replica no longer leads, and passes it
// Renew and Closed from members and followers. It calls Tick every few milliseconds and replicates the commands; it
// applies them to the state as any others. A command that is not seen applied is given again, so one that could not be
// replicated may be dropped. For the renewals it repeats: BeginVerify, a check with a quorum that the replica still
// leads, Verified if that succeeded, and sends the grants.
type Leader struct{}

// NewLeader returns the decisions of a leader that begins now. The host calls it once a barrier in the log of its own
// term is applied, so that the state has all that earlier leaders have replicated. All replicas need the same timing.
func NewLeader(timing Timing, state *State, term uint64, now time.Duration) *Leader { panic("to come") }

// Renew takes a renewal of a member, own or relayed. It's answered by Verified.
func (l *Leader) Renew(r Renew, now time.Duration) { panic("to come") }

// Closed takes word that a process has ended or has given up its leases: no change waits for it any longer, and its
// place is free.
func (l *Leader) Closed(c Closed, now time.Duration) { panic("to come") }

// Batch holds the renewals that one check of leadership covers.
type Batch struct{ renewals []Renew }

// Empty tells that there is nothing to answer, and so no check needed.
func (b Batch) Empty() bool { return len(b.renewals) == 0 }

// BeginVerify returns the renewals to answer, those received until now. The host calls it before it begins the check
// of leadership: so each was received, and sent, while this replica was the leader for sure, and every lease granted
// for them has ended on its member's clock before a new leader ceases to reckon with leases that it doesn't know.
func (l *Leader) BeginVerify() Batch { panic("to come") }

// Verified grants what can be granted for the renewals of a batch after the check has succeeded. A batch whose check
// has failed is dropped.
func (l *Leader) Verified(b Batch, now time.Duration) []Grant { panic("to come") }

// Tick returns the commands to replicate: versions to retire, places to claim and to release.
func (l *Leader) Tick(now time.Duration) []Command { panic("to come") }

// Status is what a leader tells operators.
type Status struct {
	Term       uint64
	Leases     int           // settings leases held
	Shares     int           // share leases held
	BlindUntil time.Duration // nothing is retired before, as earlier leases may be held; on the clock of the host
	Waiting    []Waiting     // for each document with several versions in force
}

// Waiting tells whom the retirement of a document's oldest version waits for.
type Waiting struct {
	Document string
	Next     versions.Version // which they have not reported
	Members  []MemberID       // sorted
}

// Status tells the leader's view.
func (l *Leader) Status(now time.Duration) Status { panic("to come") }
