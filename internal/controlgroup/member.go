package controlgroup

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/versions"
)

// Document is a document with a version that a member begins with, from its file or from the process before it. A version
// of number 0: none. Of several versions of a document the oldest comes first.
type Document struct {
	Name    string
	Version versions.Doc
}

// MemberConfig configures a [Member].
type MemberConfig struct {
	ID          MemberID
	Incarnation Incarnation
	First       []Document
	Check       func(document string, text []byte) error // tells why a text can't be acted on
	ReadyWait   time.Duration                            // after which it serves without a lease; 0: DefaultReadyWait
}

// DefaultReadyWait leaves time for an election and a further renewal.
const DefaultReadyWait = 3 * time.Second

// unansweredMost is how many renewals without an answer are kept in mind.
const unansweredMost = 64

// ErrUnexpected is the cause of every error of [Member.Received]: the replica does not keep to the protocol.
var ErrUnexpected = errors.New("control group: unexpected message")

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

// sentRenewal is when a renewal was sent, from which the lease that answers it counts.
type sentRenewal struct {
	sequence uint64
	at       time.Duration
}

// Member decides for an ingress: which versions it acts on, when it renews, and what its leases allow. It is owned by
// one goroutine. The time given to its methods is that of one monotonic clock, which also counts while the process
// stands still, and never goes back.
//
// The host keeps a connection to one replica, calls Connected and Disconnected, passes on what it receives and sends
// the messages that it is given, in their order. It ends the connection of a process that lives on by a reset (a
// linger time of 0), never in the orderly way: that is the sign of an ended process, see [Closed].
type Member struct {
	config    MemberConfig
	start     time.Duration
	seen      time.Duration // the latest time given
	documents []*memberDocument
	proposals proposals

	connected   bool
	renewal     time.Duration // between two renewals
	nextRenewal time.Duration
	sequence    uint64 // of the last renewal
	unanswered  []sentRenewal

	settingsUntil time.Duration
	shareUntil    time.Duration
	everHeld      bool
	superseded    bool // a later process holds the place
	gaveUp        bool
	term          uint64
}

// NewMember returns a member that acts on the versions of its files.
func NewMember(config MemberConfig, now time.Duration) *Member {
	if config.ReadyWait == 0 {
		config.ReadyWait = DefaultReadyWait
	}
	m := &Member{config: config, start: now, seen: now, renewal: DefaultTiming.Renewal}
	for _, first := range config.First {
		document := m.document(first.Name)
		if first.Version.Number > 0 {
			document.acting = append(document.acting, first.Version)
		}
	}
	return m
}

// document finds a document, or makes one of which no version is acted on.
func (m *Member) document(name string) *memberDocument {
	at, known := slices.BinarySearchFunc(m.documents, name, func(document *memberDocument, name string) int {
		return cmp.Compare(document.name, name)
	})
	if !known {
		m.documents = slices.Insert(m.documents, at, &memberDocument{name: name, changed: true})
	}
	return m.documents[at]
}

// Connected begins a connection to a replica and returns what to send first.
func (m *Member) Connected(now time.Duration) []Message {
	m.seen = now
	m.connected = true
	if m.gaveUp {
		return []Message{Closed{m.config.ID, m.config.Incarnation}}
	}
	return append([]Message{m.renew(now)}, m.proposals.all(now)...)
}

// Disconnected tells that the connection is gone. Leases last on.
func (m *Member) Disconnected(now time.Duration) {
	m.seen = now
	m.connected = false
	for _, document := range m.documents {
		document.contents = nil // the next replica sends what is not reported
	}
}

// Received takes a message from the replica and returns what to send. With an error the host ends the connection.
func (m *Member) Received(message Message, now time.Duration) ([]Message, error) {
	m.seen = now
	switch message := message.(type) {
	case Grant:
		return nil, m.granted(message, now)
	case InForce:
		return m.told(message.Document, now, func(document *memberDocument) (bool, error) {
			return document.takeList(message.Versions, m.config.Check)
		})
	case Content:
		return m.told(message.Document, now, func(document *memberDocument) (bool, error) {
			return document.takeContent(versions.Doc{Version: message.Version, Text: message.Text}, m.config.Check)
		})
	case ProposeResult:
		m.proposals.answered(message)
		return nil, nil
	}
	return nil, fmt.Errorf("%w: %T", ErrUnexpected, message)
}

// told takes news of a document. What is acted on from now on is reported at once: a change may wait for that.
func (m *Member) told(name string, now time.Duration, take func(*memberDocument) (bool, error)) ([]Message, error) {
	changed, err := take(m.document(name))
	if err != nil {
		return nil, fmt.Errorf("%w: document %s: %w", ErrUnexpected, name, err)
	}
	if !changed || !m.renews() {
		return nil, nil
	}
	return []Message{m.renew(now)}, nil
}

// granted takes an answer to a renewal. Its leases count from when that was sent, so one that is late is short.
func (m *Member) granted(g Grant, now time.Duration) error {
	if g.Member != m.config.ID || g.Incarnation != m.config.Incarnation {
		return fmt.Errorf("%w: a grant for member %d, incarnation %d", ErrUnexpected, g.Member, g.Incarnation)
	}
	at := slices.IndexFunc(m.unanswered, func(sent sentRenewal) bool { return sent.sequence == g.Sequence })
	if at < 0 || m.gaveUp {
		return nil
	}
	sent := m.unanswered[at].at
	m.unanswered = m.unanswered[at:] // a second grant may answer the same renewal, none one before
	m.term = g.Term
	if g.Renewal > 0 {
		m.renewal = g.Renewal
	}
	if g.Superseded {
		m.superseded = true
		return nil
	}
	m.settingsUntil = max(m.settingsUntil, sent+g.Settings)
	m.shareUntil = max(m.shareUntil, sent+g.Share)
	m.everHeld = m.everHeld || now < m.settingsUntil
	return nil
}

// renews tells whether renewals are sent. A superseded process sends them on: a replica tells documents to whom it
// knows by a renewal.
func (m *Member) renews() bool { return m.connected && !m.gaveUp }

// renew asks for both leases and reports what is acted on.
func (m *Member) renew(now time.Duration) Message {
	m.sequence++
	m.nextRenewal = now + m.renewal
	if len(m.unanswered) == unansweredMost {
		m.unanswered = m.unanswered[1:]
	}
	m.unanswered = append(m.unanswered, sentRenewal{m.sequence, now})
	renew := Renew{Member: m.config.ID, Incarnation: m.config.Incarnation, Sequence: m.sequence}
	for _, document := range m.documents {
		if len(document.acting) > 0 {
			renew.Reports = append(renew.Reports, Report{document.name, versionsOf(document.acting)})
		}
	}
	return renew
}

// Tick lets time pass and returns what to send. The host calls it when Due.
func (m *Member) Tick(now time.Duration) []Message {
	m.seen = now
	if !m.renews() {
		return nil
	}
	var out []Message
	if now >= m.nextRenewal {
		out = append(out, m.renew(now))
	}
	return append(out, m.proposals.due(now)...)
}

// Due returns when Tick is due next, or when what LeaseState, HoldsShare or Ready tell changes by time alone. The
// largest duration: never.
func (m *Member) Due() time.Duration {
	due := time.Duration(math.MaxInt64)
	if m.renews() {
		due = min(m.nextRenewal, m.proposals.next())
	}
	for _, change := range []time.Duration{m.settingsUntil, m.shareUntil, m.start + m.config.ReadyWait} {
		if change > m.seen {
			due = min(due, change)
		}
	}
	return due
}

// Acting returns the versions of a document to act on, oldest first. The caller must not change them.
func (m *Member) Acting(document string) []versions.Doc { return m.document(document).acting }

// Changed tells, once, whether Acting returns others than when this was last asked. It's true at first.
func (m *Member) Changed(document string) bool {
	d := m.document(document)
	changed := d.changed
	d.changed = false
	return changed
}

// LeaseState tells the state of the settings lease.
func (m *Member) LeaseState(now time.Duration) LeaseState {
	switch {
	case m.superseded || m.gaveUp:
		return LeaseSuperseded
	case now < m.settingsUntil:
		return LeaseHeld
	case m.everHeld:
		return LeaseExpired
	}
	return LeaseNever
}

// Agreed tells that the settings lease is held and that the newest version in force of each document, as far as the
// group has told, is acted on.
func (m *Member) Agreed(now time.Duration) bool {
	return m.LeaseState(now) == LeaseHeld && !slices.ContainsFunc(m.documents, (*memberDocument).lacksNewest)
}

// HoldsShare tells whether the member may use its share of joint budgets. The host asks with the present time.
func (m *Member) HoldsShare(now time.Duration) bool {
	return !m.superseded && !m.gaveUp && now < m.shareUntil
}

// Ready tells whether the member may serve: it has held a settings lease, or got none for ReadyWait after its start,
// as without a control group.
func (m *Member) Ready(now time.Duration) bool {
	return m.everHeld || now-m.start >= m.config.ReadyWait
}

// Term is that of the leader which answered last; 0: none yet.
func (m *Member) Term() uint64 { return m.term }

// Rejected returns the versions in force that the member can't act on, by document and number.
func (m *Member) Rejected() []Rejection {
	var rejected []Rejection
	for _, document := range m.documents {
		rejected = append(rejected, document.rejected...)
	}
	return rejected
}

// Propose asks the group to put a version in force. The error tells why it can't be; then it isn't proposed. The
// proposal is repeated until it's answered; see Outcomes.
func (m *Member) Propose(document string, version versions.Doc, now time.Duration) ([]Message, error) {
	m.seen = now
	proposed := ProposeVersion{document, version.Version, version.Text}
	err := checkContent(proposed)
	if err == nil {
		err = m.config.Check(document, version.Text)
	}
	if err != nil {
		return nil, about(document, version.Version, err)
	}
	request, added := m.proposals.add(proposed, now)
	if !added || !m.renews() {
		return nil, nil
	}
	return []Message{request}, nil
}

// Outcomes returns, once each, what became of proposals.
func (m *Member) Outcomes() []ProposeOutcome { return m.proposals.takeOutcomes() }

// GiveUp ends the leases, as when the process begins to drain: from now on it holds no share, and renews no more. It
// goes on with the versions that the group tells it while the connection lasts.
func (m *Member) GiveUp(now time.Duration) []Message {
	m.seen = now
	if m.gaveUp {
		return nil
	}
	m.gaveUp = true
	if !m.connected {
		return nil
	}
	return []Message{Closed{m.config.ID, m.config.Incarnation}}
}
