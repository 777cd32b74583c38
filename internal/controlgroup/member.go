package controlgroup

import (
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// Document is a document with the version that a member begins with, from its file. A version of number 0: none.
type Document struct {
	Name    string
	Version versions.Doc
}

// MemberConfig configures a [Member].
type MemberConfig struct {
	ID          MemberID
	Incarnation Incarnation
	First       []Document
	Check       func(document string, text []byte) error // whether a text can be acted on
	ReadyWait   time.Duration                            // after which a member that has got no lease serves without; 0: DefaultReadyWait
}

// DefaultReadyWait leaves time for an election and a further renewal.
const DefaultReadyWait = 3 * time.Second

// LeaseState is the state of a member's settings lease.
type LeaseState int

// The states of a lease.
const (
	LeaseNever      LeaseState = iota // none was granted yet
	LeaseHeld                         // held by the member's own clock
	LeaseExpired                      // ran out; the member goes on with the versions that it has
	LeaseSuperseded                   // a later process holds the place, or this one has given up its leases
)

// String names the state, as logs and the status show it.
func (s LeaseState) String() string {
	switch s {
	case LeaseNever:
		return "never"
	case LeaseHeld:
		return "held"
	case LeaseExpired:
		return "expired"
	case LeaseSuperseded:
		return "superseded"
	}
	return "unknown"
}

// Member decides for an ingress: which versions it acts on, when it renews, and what its leases allow. It is owned by
// one goroutine. The time given to its methods is that of one monotonic clock and never goes back.
//
// The host keeps a connection to one replica, calls Connected and Disconnected, passes on what it receives and sends
// the messages that it is given, in their order. It ends the connection of a process that lives on by a reset (a
// linger time of 0), never in the orderly way: that is the sign of an ended process, see [Closed].
type Member struct{}

// NewMember returns a member that acts on the versions of its files.
func NewMember(config MemberConfig, now time.Duration) *Member { panic("to come") }

// Connected begins a connection to a replica and returns what to send first.
func (m *Member) Connected(now time.Duration) []Message { panic("to come") }

// Disconnected tells that the connection is gone. Leases last on.
func (m *Member) Disconnected(now time.Duration) { panic("to come") }

// Received takes a message from the replica and returns what to send. With an error the host ends the connection.
func (m *Member) Received(message Message, now time.Duration) ([]Message, error) { panic("to come") }

// Tick lets time pass and returns what to send. The host calls it when Due.
func (m *Member) Tick(now time.Duration) []Message { panic("to come") }

// Due returns when Tick is due next, or when what LeaseState, HoldsShare or Ready tell may change by time alone.
func (m *Member) Due() time.Duration { panic("to come") }

// Acting returns the versions of a document to act on, oldest first. The caller must not change them.
func (m *Member) Acting(document string) []versions.Doc { panic("to come") }

// Changed tells, once, whether Acting returns others than when this was last asked. It's true at first.
func (m *Member) Changed(document string) bool { panic("to come") }

// LeaseState tells the state of the settings lease.
func (m *Member) LeaseState(now time.Duration) LeaseState { panic("to come") }

// Agreed tells that the settings lease is held and that the newest version in force of each document, as far as the
// group has told, is acted on.
func (m *Member) Agreed(now time.Duration) bool { panic("to come") }

// HoldsShare tells whether the member may use its share of joint budgets. The host asks with the present time.
func (m *Member) HoldsShare(now time.Duration) bool { panic("to come") }

// Ready tells whether the member may serve: it has held a settings lease, or got none for ReadyWait after its start.
func (m *Member) Ready(now time.Duration) bool { panic("to come") }

// Term is that of the leader which granted last; 0: none yet.
func (m *Member) Term() uint64 { panic("to come") }

// Rejection is a version in force that the member can't act on.
type Rejection struct {
	Document string
	Version  versions.Version
	Reason   string
}

// Rejected returns the versions in force that the member can't act on, by document and number.
func (m *Member) Rejected() []Rejection { panic("to come") }

// ProposeOutcome is what became of a proposal.
type ProposeOutcome struct {
	Document string
	Version  versions.Version
	Error    string // empty: the version is in force
}

// Propose asks the group to put a version in force. The error tells why the text can't be acted on; then it isn't
// proposed. The proposal is repeated until it's answered; see Outcomes.
func (m *Member) Propose(document string, version versions.Doc, now time.Duration) ([]Message, error) {
	panic("to come")
}

// Outcomes returns, once each, what became of proposals.
func (m *Member) Outcomes() []ProposeOutcome { panic("to come") }

// GiveUp ends the leases, as when the process begins to drain: from now on it holds no share, and renews no more. It
// goes on with the versions that the group tells it.
func (m *Member) GiveUp(now time.Duration) []Message { panic("to come") }
