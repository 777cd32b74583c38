// Package controlgroup holds the decisions of the replicated control group and of its members, the ingresses: which
// versions of a document are in force, who holds a lease, and when a version may be retired. It does no input or
// output and reads no clock: messages and the time go in, messages and commands to replicate come out. The host of the
// replica side is package controlserver, that of the member side is internal/net/controlclient.
//
// A document, such as the settings, comes in numbered versions. The group keeps the list of those in force, oldest
// first: a proposed version is appended, and the oldest is retired once every member that holds a lease has reported
// that it acts on the next one, or its lease has run out. A member acts on all versions in force together, the
// stricter rule of each. So any two members with a lease have the oldest version in force in common, and a member
// that is dead delays a change by the length of one lease.
//
// Two leases go with each renewal. The settings lease is short, since a change waits for it. The share lease is long
// and covers the member's share of joint budgets: a share passes to another process of the same number only when the
// process before it is known to have ended, or its share lease has run out. Members count a lease from when they asked
// for it, less [Timing.Drift]; the group counts it from when it granted it, plus that drift. Renewals are not
// replicated: a new leader treats every lease that it may not know of as held for its whole length.
package controlgroup

import (
	"fmt"
	"math"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// MemberID is an ingress's number among those that the settings name.
type MemberID uint32

// Incarnation tells processes of one member apart: a later process has a higher one. Milliseconds of the Unix time of
// its start.
type Incarnation uint64

// Timing holds the durations that the group and its members agree on. The group tells its members in each [Grant].
type Timing struct {
	Settings time.Duration // length of a settings lease
	Share    time.Duration // length of a share lease, longer
	Renewal  time.Duration // between two renewals of a member
	Drift    float64       // bound on how much two monotonic clocks differ, as a part of the time passed
}

// DefaultTiming follows from the bound of 3 s on a change: a leader's loss costs an election of about half a second
// and one settings lease. Four renewals fall into a settings lease, so three may be lost.
var DefaultTiming = Timing{Settings: 1500 * time.Millisecond, Share: time.Minute, Renewal: 350 * time.Millisecond, Drift: 0.01}

// driftMost is the largest bound on drift that leaves a lease half of its length.
const driftMost = 0.5

// Validate tells which duration can't be used: a lease has to last for two renewals at least, so that one may be lost.
func (t Timing) Validate() error {
	least := time.Duration(float64(2*t.Renewal) / (1 - t.Drift))
	switch {
	case t.Drift < 0 || t.Drift > driftMost || math.IsNaN(t.Drift):
		return fmt.Errorf("drift %v: need 0 to %v", t.Drift, driftMost)
	case t.Renewal <= 0:
		return fmt.Errorf("renewal %v: need more than 0", t.Renewal)
	case t.Settings < least:
		return fmt.Errorf("settings lease %v: need two renewals and the drift, %v", t.Settings, least)
	case t.Share < t.Settings:
		return fmt.Errorf("share lease %v: need at least the settings lease, %v", t.Share, t.Settings)
	case t.Share > LeaseLengthMost || t.GroupLengths().Share > LeaseLengthMost:
		return fmt.Errorf("share lease %v: need at most %v, the drift included", t.Share, LeaseLengthMost)
	}
	return nil
}

// Message is one frame between a member and a replica, or between a following replica and the leader.
type Message interface{ message() }

// Report is which versions of one document a member acts on, oldest first.
type Report struct {
	Document string
	Acting   []versions.Version
}

// Renew asks for both leases, and reports what the member acts on. A member sends it when it connects, once each
// Renewal, and at once when what it acts on has changed. Followers pass it on to the leader.
type Renew struct {
	Member      MemberID
	Incarnation Incarnation
	Sequence    uint64 // grows with each of one process; the Grant that answers has the same
	Reports     []Report
}

// Grant answers a Renew. Both lengths count from when the member sent that Renew, and are less [Timing.Drift] already.
// A second one with the same Sequence may follow, once the member holds its place.
type Grant struct {
	Member      MemberID
	Incarnation Incarnation
	Sequence    uint64
	Settings    time.Duration // 0: no lease, since what was reported lacks the oldest version in force of a document
	Share       time.Duration // 0: the share may still be held by an earlier process
	Renewal     time.Duration // to the next Renew
	Superseded  bool          // a later process holds the place, or this one was Closed: it gets no lease any more
	Term        uint64        // of the leader that granted, for logs
}

// InForce lists the versions of a document that are in force, oldest first. A replica sends one for each document when
// a member connects, and at each change.
type InForce struct {
	Document string
	Versions []versions.Version
}

// Content carries the text of one version. A replica sends it before the InForce that first names the version to a
// member which has not reported it.
type Content struct {
	Document string
	Version  versions.Version
	Text     []byte
}

// Propose asks for a further version of a document. It is answered by a ProposeResult with the same Request.
type Propose struct {
	Request  uint64
	Document string
	Version  versions.Version
	Text     []byte
}

// Unavailable begins the Error of a proposal that was not judged, or whose result is not known, as while there is no
// leader. It may be proposed again, at any replica: one that was committed meanwhile is then answered with success.
const Unavailable = "unavailable: "

// ProposeResult tells what became of a Propose; an empty Error: the version is in force, durably.
type ProposeResult struct {
	Request uint64
	Error   string
}

// Closed tells the leader that a member's process has ended or has given up its leases: the replica has read the
// orderly end of its connection. A reset, a time limit or an end by the replica itself is no such sign. A member that
// gives up its leases and lives on sends it itself. It is final: the incarnation gets no lease any more.
type Closed struct {
	Member      MemberID
	Incarnation Incarnation
}

// Relay is the first frame from a follower to the leader on the connection over which it passes on Renew, Closed and
// Propose of its members, and gets Grant and ProposeResult for them.
type Relay struct{ Replica string }

func (Renew) message()         {}
func (Grant) message()         {}
func (InForce) message()       {}
func (Content) message()       {}
func (Propose) message()       {}
func (ProposeResult) message() {}
func (Closed) message()        {}
func (Relay) message()         {}
