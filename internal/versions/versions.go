// Package versions lets the ingresses of a fleet agree on the versions of a document, such as the settings or the list
// of drained hosts, by gossip and without a leader. A new version may reach any of them first. A [Node] is one
// member's state, owned by one goroutine. It does no I/O and reads no clock: messages and the time go in, and messages
// to send and the versions to apply come out.
//
// A member has one active version, or several that its host applies together, the stricter rule of each kind. A
// version that is new to a member joins its active ones. The member drops its oldest active version only once every
// other member that has not left has reported one of the newer ones. So the active versions of any two members always
// have one in common, whichever messages are lost, late or cut off and whichever member stops meanwhile: no two
// members apply rules of which neither knows the other's. The exception is a member that restarts with an old version,
// until it has received the newer one.
package versions

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version identifies one content of a document: a number from 1 to [MaxNumber] that grows with each change, and the
// XXH64 hash of the content.
type Version struct {
	Number, Hash uint64
}

// String returns the number and, in hexadecimal, the hash.
func (v Version) String() string { return fmt.Sprintf("%d (%016x)", v.Number, v.Hash) }

// Doc is one version of a document with its content.
type Doc struct {
	Version
	Text []byte
}

// NewDoc returns a version with its content, whose hash it computes.
func NewDoc(number uint64, text []byte) Doc { return Doc{Version{number, xxhash.Sum64(text)}, text} }

// Config configures a [Node].
type Config struct {
	Self     string // name of this member
	Document string // name of the document; a node ignores messages about another
	Seed     uint64 // seeds the random choice of the members that get a periodic report
	// ReportInterval is the time between periodic reports, each to a member chosen at random.
	ReportInterval time.Duration
	// RetryInterval is the time after which missing chunks are requested again.
	RetryInterval time.Duration
	// Lease is the time after which a member that receives no reports counts as cut off. It is also the maximum time
	// that a starting member waits for the versions of the others.
	Lease time.Duration
	// Check returns an error if a content can't be applied.
	Check         func(text []byte) error
	MaxTextBytes  int // maximum size of a document
	MaxChunkBytes int // maximum size of a document's part in one message
}

const (
	// maxOwnActive is the number of active versions at which a member stops accepting further ones from its host.
	maxOwnActive = 4
	// maxActive is the maximum number of active versions, limited by what a message can list. It exceeds
	// maxOwnActive because members that can't reach each other may each accept some from their hosts: a member that
	// could not add a version that is the only active one of another member would block all rollouts.
	maxActive = 10
)

// IsFull reports whether this member has too many active versions to accept one from its host.
func (n *Node) IsFull() bool { return len(n.active) >= maxOwnActive }

// MaxNumber is the highest number of a version.
const MaxNumber = 1<<32 - 1

// maxChunksInFlight is the maximum number of chunks that are requested and not yet received.
const maxChunksInFlight = 8

// Kind is the kind of a [Message]. Its values are part of the wire format.
type Kind int

const (
	KindReport Kind = iota // the sender's active versions; the receiver may reply
	KindFetch              // requests the chunk ChunkIndex of Version
	KindChunk              // the chunk ChunkIndex of Version
	KindReply              // like KindReport, but sent in answer to one; the receiver never replies
)

// Message is a message between members. Which fields it has depends on its kind.
type Message struct {
	Kind     Kind
	From     string    // name of the sender
	Document string    // name of the document
	Active   []Version // in a report or reply: the sender's active versions, oldest first
	Rejected Version   // in a report or reply: the newest version that the sender rejected; zero: none
	Version  Version   // in a fetch or chunk: the version concerned
	// ChunkIndex is the index of the chunk that is requested or sent, from 0.
	ChunkIndex int
	// TotalBytes is the size of the whole document of a chunk.
	TotalBytes int
	Chunk      []byte
}

// Outgoing is a message to be sent to a member. It may be lost or late.
type Outgoing struct {
	To      string // name of the receiver
	Message Message
}

// memberReport is the last report or reply of another member.
type memberReport struct {
	active     []Version // oldest first
	rejected   Version   // newest version that it rejected; zero: none
	receivedAt time.Duration
}

// fetch is the transfer of one version's content from another member.
type fetch struct {
	Version
	from        string // name of the member that sends it
	chunkBytes  int    // size of each chunk but the last, chosen by the sender
	text        []byte
	received    []bool // by chunk index; nil before the first chunk, which tells the number of chunks
	requestedAt time.Duration
	inFlight    int // number of chunks requested and not received
	retries     int // since the last chunk
}

// Node is one member's part in the agreement on one document. It is owned by one goroutine. Times are
// measured from a start that the host chooses. A slice of messages that a method returns is valid until the next call.
type Node struct {
	cfg            Config
	active         []Doc                   // oldest first, never empty
	others         []string                // names of the other members that have not left
	reports        map[string]memberReport // by member
	rejected       map[Version]string      // versions rejected here, with the reason
	newestRejected Version                 // zero: none
	fetch          *fetch                  // nil: none is in progress
	nextReport     time.Duration           // time of the next periodic report
	startedAt      time.Duration
	rng            *rand.Rand
	outgoing       []Outgoing // messages of the current call; its array is reused
	hasChanged     bool       // whether active has changed since the last call of Changed
}

// New returns a node whose only active version is first.
func New(cfg Config, first Doc, now time.Duration) *Node {
	return &Node{cfg: cfg, active: []Doc{first}, reports: map[string]memberReport{}, rejected: map[Version]string{}, nextReport: now,
		startedAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7665)), hasChanged: true}
}

// Acting returns the active versions, oldest first. The caller must not modify them.
func (n *Node) Acting() []Doc { return n.active }

// Document returns the name of the document.
func (n *Node) Document() string { return n.cfg.Document }

// Newest returns the newest active version.
func (n *Node) Newest() Doc { return n.active[len(n.active)-1] }

// Changed reports whether the active versions have changed since its last call. The first call returns true.
func (n *Node) Changed() bool {
	hasChanged := n.hasChanged
	n.hasChanged = false
	return hasChanged
}

// Refused returns the versions that were rejected here, each with the reason. The caller must not modify the map.
func (n *Node) Refused() map[Version]string { return n.rejected }

// Stale returns the other members that are not known to have the newest version active.
func (n *Node) Stale() (names []string) {
	for _, o := range n.others {
		if !slices.Contains(n.reports[o].active, n.Newest().Version) {
			names = append(names, o)
		}
	}
	return names
}

// Alone reports whether this member is cut off: there are others, and none has reported for a lease.
func (n *Node) Alone(now time.Duration) bool {
	for _, o := range n.others {
		if r, ok := n.reports[o]; ok && now-r.receivedAt <= n.cfg.Lease {
			return false
		}
	}
	return len(n.others) > 0
}

// IsReady reports whether the host may start to apply the active versions: there are no other members, or one has
// reported and no fetch is in progress, or a lease has passed since the start. A member that starts with an old version
// must not apply it while it could learn of a newer one.
func (n *Node) IsReady(now time.Duration) bool {
	if len(n.others) == 0 || now-n.startedAt > n.cfg.Lease {
		return true
	}
	return len(n.reports) > 0 && n.fetch == nil
}

// SetMembers sets the other members that have not left. It returns a report to each new one, and reports to all if
// active versions are dropped because of members that have left.
func (n *Node) SetMembers(others []string, now time.Duration) []Outgoing {
	n.outgoing = n.outgoing[:0]
	if slices.Equal(others, n.others) {
		return n.outgoing
	}
	previous := make(map[string]bool, len(n.others)) // the fleet may be large
	for _, o := range n.others {
		previous[o] = true
	}
	for _, o := range others {
		if !previous[o] {
			n.sendReport(o)
		}
	}
	n.others = slices.Clone(others)
	n.dropSuperseded()
	return n.outgoing
}

// Offer activates a version that this member gets from its host, such as from a file, and returns the reports about it.
// It returns nil for the newest active version. It returns [ErrTooManyRollouts] if the member has too many active
// versions, and an error that names the version if that can't succeed the newest or its content is rejected. After an
// error the active versions are unchanged.
func (n *Node) Offer(d Doc, now time.Duration) ([]Outgoing, error) {
	n.outgoing = n.outgoing[:0]
	if err := n.checkSuccessor(d.Version); err != nil {
		return nil, err
	}
	switch {
	case d.Version == n.Newest().Version:
		return nil, nil
	case n.IsFull():
		return nil, ErrTooManyRollouts
	}
	err := n.activate(d)
	return n.outgoing, err
}

// checkSuccessor returns an error if a version can't succeed the newest active one.
func (n *Node) checkSuccessor(v Version) error { return n.Newest().CheckSuccessor(v) }

// CheckSuccessor returns an error if next can't succeed this version: if its number is lower or above [MaxNumber], or is
// the same with another hash. It returns nil for the same version.
func (v Version) CheckSuccessor(next Version) error {
	switch {
	case next.Number > MaxNumber:
		return fmt.Errorf("version %d is above %d", next.Number, uint64(MaxNumber))
	case next.Number < v.Number:
		return fmt.Errorf("version %d is older than %d, which is in force", next.Number, v.Number)
	case next.Number == v.Number && next.Hash != v.Hash:
		return fmt.Errorf("version %v has another content than %v, which is in force", next, v)
	}
	return nil
}

// ErrTooManyRollouts is returned for a version that must wait, because too many earlier ones are still being rolled out.
var ErrTooManyRollouts = errors.New("earlier versions are not agreed on by all members yet")

// activate adds a version to the active ones and reports to all others. It returns an error if the content is too large
// or can't be applied, which rejects the version, or if there are maxActive versions already.
func (n *Node) activate(d Doc) error {
	if len(d.Text) > n.cfg.MaxTextBytes {
		return n.reject(d.Version, fmt.Errorf("%d bytes, at most %d", len(d.Text), n.cfg.MaxTextBytes))
	}
	if err := n.cfg.Check(d.Text); err != nil {
		return n.reject(d.Version, err)
	}
	if len(n.active) >= maxActive {
		return ErrTooManyRollouts
	}
	n.active = append(n.active, d)
	n.hasChanged = true
	n.dropSuperseded()
	for _, o := range n.others {
		n.sendReport(o)
	}
	return nil
}

// reject records why a version is rejected and returns it as an error.
func (n *Node) reject(v Version, reason error) error {
	n.rejected[v] = reason.Error()
	if v.Number >= n.newestRejected.Number {
		n.newestRejected = v
	}
	return fmt.Errorf("version %v: %w", v, reason)
}

// dropSuperseded drops the oldest active version as long as each other member has reported one of the rest as active.
// An old report suffices: a member replaces its active versions only by newer ones, and it drops the newest version of
// this member only once this member has reported a newer one. So the versions that stay active always have one in
// common with the present active versions of each other member.
func (n *Node) dropSuperseded() {
	for len(n.active) > 1 {
		rest := n.active[1:]
		for _, o := range n.others {
			if !slices.ContainsFunc(n.reports[o].active, func(v Version) bool {
				return slices.ContainsFunc(rest, func(d Doc) bool { return d.Version == v })
			}) {
				return
			}
		}
		n.active = slices.Clone(rest)
		n.hasChanged = true
		for _, o := range n.others {
			n.sendReport(o)
		}
	}
}

// Handle processes a message and returns those to send. It ignores messages about another document, without a sender or
// from this member itself.
func (n *Node) Handle(m Message, now time.Duration) []Outgoing {
	n.outgoing = n.outgoing[:0]
	if m.From == "" || m.From == n.cfg.Self || m.Document != n.cfg.Document {
		return nil
	}
	switch m.Kind {
	case KindReport, KindReply:
		n.handleReport(m, now)
	case KindFetch:
		n.sendChunk(m)
	case KindChunk:
		n.handleChunk(m, now)
	}
	return n.outgoing
}

// handleReport records the active versions of another member. If the sender's newest version is newer than this
// member's and was not rejected here, it does not reply, but starts to fetch that unless a fetch of the same or a newer
// one is in progress. Otherwise it replies to a report if the sender's newest version is older, if the sender's versions
// have changed since its last report, or if the sender has several. It ignores messages without versions, or with
// versions out of order.
func (n *Node) handleReport(m Message, now time.Duration) {
	if len(m.Active) == 0 || !slices.IsSortedFunc(m.Active, func(a, b Version) int { return int(int64(a.Number - b.Number)) }) {
		return
	}
	previous, isKnown := n.reports[m.From]
	n.reports[m.From] = memberReport{slices.Clone(m.Active), m.Rejected, now}
	newest := m.Active[len(m.Active)-1]
	n.dropSuperseded()
	switch {
	case newest.Number > n.Newest().Number && n.rejected[newest] == "":
		if n.fetch == nil || n.fetch.Number < newest.Number {
			n.fetch = &fetch{Version: newest, from: m.From}
			n.requestChunks(now)
		}
	case m.Kind == KindReply:
	// A member with several active versions waits for reports, perhaps from this member, to drop the oldest.
	case newest.Number < n.Newest().Number, !isKnown, !slices.Equal(previous.active, m.Active), len(m.Active) > 1:
		n.sendActive(KindReply, m.From)
	}
}

// sendReport sends a report. The receiver's handleReport decides whether to reply.
func (n *Node) sendReport(to string) { n.sendActive(KindReport, to) }

// sendActive sends the active versions as a message of the given kind, a report or a reply.
func (n *Node) sendActive(kind Kind, to string) {
	m := Message{Kind: kind, Rejected: n.newestRejected}
	for _, d := range n.active {
		m.Active = append(m.Active, d.Version)
	}
	n.send(to, m)
}

// send adds a message to the outgoing ones.
func (n *Node) send(to string, m Message) {
	m.From, m.Document = n.cfg.Self, n.cfg.Document
	n.outgoing = append(n.outgoing, Outgoing{to, m})
}

// sendChunk answers a fetch with a chunk, or with a report if the version is not active here. It ignores an index out of
// range.
func (n *Node) sendChunk(m Message) {
	i := slices.IndexFunc(n.active, func(d Doc) bool { return d.Version == m.Version })
	if i < 0 {
		n.sendReport(m.From)
		return
	}
	text := n.active[i].Text
	offset := m.ChunkIndex * n.cfg.MaxChunkBytes
	if m.ChunkIndex < 0 || offset >= max(1, len(text)) {
		return
	}
	n.send(m.From, Message{Kind: KindChunk, Version: m.Version, ChunkIndex: m.ChunkIndex, TotalBytes: len(text),
		Chunk: text[offset:min(len(text), offset+n.cfg.MaxChunkBytes)]})
}

// requestChunks requests missing chunks, at first only the first one, which tells how many there are.
func (n *Node) requestChunks(now time.Duration) {
	f := n.fetch
	f.requestedAt, f.inFlight = now, 1
	if f.received == nil {
		n.send(f.from, Message{Kind: KindFetch, Version: f.Version})
		return
	}
	f.inFlight = 0
	for i, isReceived := range f.received {
		if !isReceived && f.inFlight < maxChunksInFlight {
			f.inFlight++
			n.send(f.from, Message{Kind: KindFetch, Version: f.Version, ChunkIndex: i})
		}
	}
}

// handleChunk stores a chunk of the current fetch, and ignores others and those of a wrong size. The complete document
// becomes active if its hash is that of the version and it can be applied.
func (n *Node) handleChunk(m Message, now time.Duration) {
	f := n.fetch
	if f == nil || m.Version != f.Version || m.From != f.from || m.TotalBytes < 0 || m.TotalBytes > n.cfg.MaxTextBytes || m.ChunkIndex < 0 {
		return
	}
	if f.received == nil && !f.allocate(m) {
		return
	}
	if m.ChunkIndex >= len(f.received) || m.TotalBytes != len(f.text) || f.received[m.ChunkIndex] || len(m.Chunk) != min(f.chunkBytes, m.TotalBytes-m.ChunkIndex*f.chunkBytes) {
		return
	}
	copy(f.text[m.ChunkIndex*f.chunkBytes:], m.Chunk)
	f.received[m.ChunkIndex], f.retries = true, 0
	f.inFlight--
	if slices.Contains(f.received, false) {
		if f.inFlight <= 0 {
			n.requestChunks(now)
		}
		return
	}
	n.fetch = nil
	d := NewDoc(f.Number, f.text)
	if d.Version != f.Version { // corrupted in transfer; a later report starts a new fetch
		return
	}
	if n.checkSuccessor(d.Version) != nil || d.Version == n.Newest().Version {
		return
	}
	_ = n.activate(d) // n.rejected keeps the reason of a rejection
}

// allocate makes the buffers for a document according to its first chunk, and returns false if that is invalid. The
// first chunk gives the size of the others: it depends on the sender, because the message also holds the sender's name,
// which may be longer or shorter than this member's.
func (f *fetch) allocate(first Message) bool {
	if first.ChunkIndex != 0 || len(first.Chunk) == 0 && first.TotalBytes > 0 || len(first.Chunk) > first.TotalBytes {
		return false
	}
	f.chunkBytes = max(1, len(first.Chunk))
	f.text, f.received = make([]byte, first.TotalBytes), make([]bool, max(1, (first.TotalBytes+f.chunkBytes-1)/f.chunkBytes))
	return true
}

// maxFetchRetries is the number of retries without a chunk after which a fetch is abandoned. A later report starts a new
// one.
const maxFetchRetries = 20

// Tick retries the current fetch and sends periodic reports, and returns the messages to send. The host calls it at
// least every RetryInterval/2.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.outgoing = n.outgoing[:0]
	if f := n.fetch; f != nil && now-f.requestedAt >= n.cfg.RetryInterval {
		if f.retries++; f.retries > maxFetchRetries {
			n.fetch = nil
		} else {
			n.requestChunks(now)
		}
	}
	if now >= n.nextReport && len(n.others) > 0 {
		n.nextReport = now + n.cfg.ReportInterval
		n.sendReport(n.others[n.rng.IntN(len(n.others))])
		// Members not known to have the newest version get reports more often: a rollout waits for them.
		if stale := n.Stale(); len(stale) > 0 {
			n.sendReport(stale[n.rng.IntN(len(stale))])
		}
	}
	return n.outgoing
}
