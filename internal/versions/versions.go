// Package versions has the ingresses of a fleet agree on a document, such as the settings or a list, that comes in
// numbered versions to one or some of them. It does no input or output: events go in, messages to send and the
// versions to act on come out.
//
// A member acts on one version, or on several together: then the host combines them so that each is kept, the
// stricter rule of each kind. A version that is new to it joins those that it acts on; the oldest is dropped only
// once every other member that has not left is known to act on a newer one of those that stay. So the versions
// that any two members act on always have one in common, however messages are lost, late or cut off, and whatever
// member stops meanwhile: no two act on rules of which neither knows the other's. One that begins anew with an old
// version is the exception, until it has heard of the newer one.
package versions

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version names a document's content: a number that grows, and a hash.
type Version struct {
	Number, Hash uint64
}

func (v Version) String() string { return fmt.Sprintf("%d (%016x)", v.Number, v.Hash) }

// Doc is one version of the document.
type Doc struct {
	Version
	Text []byte
}

// NewDoc returns the version with a content.
func NewDoc(number uint64, text []byte) Doc { return Doc{Version{number, xxhash.Sum64(text)}, text} }

// Config of a node.
type Config struct {
	Self           string
	Document       string // which document: nodes of one name talk to each other
	Seed           uint64
	ReportInterval time.Duration           // in which each member tells some other what it acts on, unasked
	RetryInterval  time.Duration           // a piece of a document that has not come is asked for again
	Lease          time.Duration           // without a word of any other this long, a member is cut off
	Check          func(text []byte) error // whether a content can be acted on
	MaxTextBytes   int                     // bytes of a document
	MaxChunkBytes  int                     // bytes of one piece of it, in a message
}

// rolloutsMost is how many versions a member acts on together when one more is given to it; that one waits.
// Members that don't hear each other may each be given some, so what comes from others is bounded beyond that, by
// what a message can name: a member that could not take what another acts on alone would hold up all rollouts.
const (
	rolloutsMost = 4
	actingMost   = 10
)

// IsFull tells whether a version that is given to this member would have to wait.
func (n *Node) IsFull() bool { return len(n.acting) >= rolloutsMost }

// MaxNumber is the highest number of a version.
const MaxNumber = 1<<32 - 1

// piecesOut is how many pieces of a document are asked for at a time.
const piecesOut = 8

// Kind of a message.
type Kind int

const (
	KindReport Kind = iota // what its sender acts on
	KindFetch              // send the piece At of Want
	KindChunk              // the piece At of Want, of Total bytes in all
	KindReply              // as Tell, and not answered itself
)

// Message is what goes between members.
type Message struct {
	Kind                   Kind
	From                   string
	Document               string
	Active                 []Version // of a Tell or Answer: what its sender acts on, the oldest first,
	Rejected               Version   // and the newest that it turned down; zero: none
	Version                Version
	ChunkIndex, TotalBytes int
	Chunk                  []byte
}

// Outgoing is a message to a member, which may be lost or late.
type Outgoing struct {
	To      string
	Message Message
}

type report struct {
	acting  []Version
	refused Version
	at      time.Duration // it was last heard
}

type pull struct {
	Version
	from  string
	size  int // bytes of each piece but the last, as its sender cuts them
	text  []byte
	have  []bool
	asked time.Duration
	out   int // pieces asked for that have not come
	tries int
}

// Node is one member's part. It is owned by one goroutine.
type Node struct {
	cfg     Config
	acting  []Doc // the oldest first
	others  []string
	reports map[string]report
	refused map[Version]string // turned down here, and why
	worst   Version            // the newest of these
	pull    *pull
	next    time.Duration
	born    time.Duration
	rng     *rand.Rand
	out     []Outgoing
	changed bool
}

// New returns a node that acts on the version it begins with.
func New(cfg Config, first Doc, now time.Duration) *Node {
	return &Node{cfg: cfg, acting: []Doc{first}, reports: map[string]report{}, refused: map[Version]string{}, next: now,
		born: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7665)), changed: true}
}

// Acting returns the versions to act on, the oldest first. The caller must not change them.
func (n *Node) Acting() []Doc { return n.acting }

// Document is the name of what is agreed on.
func (n *Node) Document() string { return n.cfg.Document }

// Newest is the newest of them.
func (n *Node) Newest() Doc { return n.acting[len(n.acting)-1] }

// Changed tells, once, whether these are others than when it was last asked.
func (n *Node) Changed() bool {
	c := n.changed
	n.changed = false
	return c
}

// Refused tells which versions were turned down here, with the reason.
func (n *Node) Refused() map[Version]string { return n.refused }

// Stale returns the other members that are not known to act on the newest version.
func (n *Node) Stale() (names []string) {
	for _, o := range n.others {
		if !slices.Contains(n.reports[o].acting, n.Newest().Version) {
			names = append(names, o)
		}
	}
	return names
}

// Alone tells whether there are others and none was heard for a lease.
func (n *Node) Alone(now time.Duration) bool {
	for _, o := range n.others {
		if r, ok := n.reports[o]; ok && now-r.at <= n.cfg.Lease {
			return false
		}
	}
	return len(n.others) > 0
}

// IsReady tells whether the node has heard what any other acts on, and has it, or has waited for that long enough:
// a member that begins with an old version is not to act on it while it could know better.
func (n *Node) IsReady(now time.Duration) bool {
	if len(n.others) == 0 || now-n.born > n.cfg.Lease {
		return true
	}
	return len(n.reports) > 0 && n.pull == nil
}

// SetMembers tells which other members there are that have not left.
func (n *Node) SetMembers(others []string, now time.Duration) []Outgoing {
	n.out = n.out[:0]
	if slices.Equal(others, n.others) {
		return n.out
	}
	before := make(map[string]bool, len(n.others)) // the fleet may be large
	for _, o := range n.others {
		before[o] = true
	}
	for _, o := range others {
		if !before[o] {
			n.tell(o)
		}
	}
	n.others = slices.Clone(others)
	n.settle()
	return n.out
}

// Offer takes a version that came to this member, as a file. An error tells why it is turned down; then nothing
// has changed.
func (n *Node) Offer(d Doc, now time.Duration) ([]Outgoing, error) {
	n.out = n.out[:0]
	if err := n.fits(d.Version); err != nil {
		return nil, err
	}
	switch {
	case d.Version == n.Newest().Version:
		return nil, nil
	case n.IsFull():
		return nil, ErrTooManyRollouts
	}
	err := n.take(d)
	return n.out, err
}

// fits tells why a version can't follow the newest.
func (n *Node) fits(v Version) error { return n.Newest().CheckSuccessor(v) }

// CheckSuccessor tells why another version can't follow this one; nil: it can, or is the same.
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

// ErrTooManyRollouts: too many versions are not agreed on yet.
var ErrTooManyRollouts = errors.New("earlier versions are not agreed on by all members yet")

// take acts on a further version from now on, and tells all others.
func (n *Node) take(d Doc) error {
	if len(d.Text) > n.cfg.MaxTextBytes {
		return n.refuse(d.Version, fmt.Errorf("%d bytes, at most %d", len(d.Text), n.cfg.MaxTextBytes))
	}
	if err := n.cfg.Check(d.Text); err != nil {
		return n.refuse(d.Version, err)
	}
	if len(n.acting) >= actingMost {
		return ErrTooManyRollouts
	}
	n.acting = append(n.acting, d)
	n.changed = true
	n.settle()
	for _, o := range n.others {
		n.tell(o)
	}
	return nil
}

func (n *Node) refuse(v Version, why error) error {
	n.refused[v] = why.Error()
	if v.Number >= n.worst.Number {
		n.worst = v
	}
	return fmt.Errorf("version %v: %w", v, why)
}

// settle drops versions that every other member has gone beyond: what stays must have one in common with what
// each is known to act on. What another acts on only moves to newer ones, and drops one that is the newest here
// no sooner than it knows of a newer one here; so it still has one in common when its report is old.
func (n *Node) settle() {
	for len(n.acting) > 1 {
		rest := n.acting[1:]
		for _, o := range n.others {
			if !slices.ContainsFunc(n.reports[o].acting, func(v Version) bool {
				return slices.ContainsFunc(rest, func(d Doc) bool { return d.Version == v })
			}) {
				return
			}
		}
		n.acting = slices.Clone(rest)
		n.changed = true
		for _, o := range n.others {
			n.tell(o)
		}
	}
}

// Handle takes a message.
func (n *Node) Handle(m Message, now time.Duration) []Outgoing {
	n.out = n.out[:0]
	if m.From == "" || m.From == n.cfg.Self || m.Document != n.cfg.Document {
		return nil
	}
	switch m.Kind {
	case KindReport, KindReply:
		n.heard(m, now)
	case KindFetch:
		n.give(m)
	case KindChunk:
		n.piece(m, now)
	}
	return n.out
}

// heard books what another acts on. Who has not all that this one has, or has more, is answered.
func (n *Node) heard(m Message, now time.Duration) {
	if len(m.Active) == 0 || !slices.IsSortedFunc(m.Active, func(a, b Version) int { return int(int64(a.Number - b.Number)) }) {
		return
	}
	before, known := n.reports[m.From]
	n.reports[m.From] = report{slices.Clone(m.Active), m.Rejected, now}
	newest := m.Active[len(m.Active)-1]
	n.settle()
	switch {
	case newest.Number > n.Newest().Number && n.refused[newest] == "":
		if n.pull == nil || n.pull.Number < newest.Number {
			n.pull = &pull{Version: newest, from: m.From}
			n.ask(now)
		}
	case m.Kind == KindReply:
	case newest.Number < n.Newest().Number, !known, !slices.Equal(before.acting, m.Active), len(m.Active) > 1:
		n.say(KindReply, m.From) // one that acts on several waits for a word of somebody, maybe ours
	}
}

// tell says what this member acts on, and is answered where the other has news.
func (n *Node) tell(to string) { n.say(KindReport, to) }

func (n *Node) say(kind Kind, to string) {
	m := Message{Kind: kind, Rejected: n.worst}
	for _, d := range n.acting {
		m.Active = append(m.Active, d.Version)
	}
	n.send(to, m)
}

func (n *Node) send(to string, m Message) {
	m.From, m.Document = n.cfg.Self, n.cfg.Document
	n.out = append(n.out, Outgoing{to, m})
}

// give sends a piece of a version that this member acts on.
func (n *Node) give(m Message) {
	i := slices.IndexFunc(n.acting, func(d Doc) bool { return d.Version == m.Version })
	if i < 0 {
		n.tell(m.From)
		return
	}
	text := n.acting[i].Text
	at := m.ChunkIndex * n.cfg.MaxChunkBytes
	if m.ChunkIndex < 0 || at >= max(1, len(text)) {
		return
	}
	n.send(m.From, Message{Kind: KindChunk, Version: m.Version, ChunkIndex: m.ChunkIndex, TotalBytes: len(text),
		Chunk: text[at:min(len(text), at+n.cfg.MaxChunkBytes)]})
}

// ask asks for pieces that have not come: the first alone, which tells how many there are.
func (n *Node) ask(now time.Duration) {
	p := n.pull
	p.asked, p.out = now, 1
	if p.have == nil {
		n.send(p.from, Message{Kind: KindFetch, Version: p.Version})
		return
	}
	p.out = 0
	for i, have := range p.have {
		if !have && p.out < piecesOut {
			p.out++
			n.send(p.from, Message{Kind: KindFetch, Version: p.Version, ChunkIndex: i})
		}
	}
}

// piece takes one. A whole document is acted on if its content is what its version says and can be.
func (n *Node) piece(m Message, now time.Duration) {
	p := n.pull
	if p == nil || m.Version != p.Version || m.From != p.from || m.TotalBytes < 0 || m.TotalBytes > n.cfg.MaxTextBytes || m.ChunkIndex < 0 {
		return
	}
	if p.have == nil && !p.begin(m) {
		return
	}
	if m.ChunkIndex >= len(p.have) || m.TotalBytes != len(p.text) || p.have[m.ChunkIndex] || len(m.Chunk) != min(p.size, m.TotalBytes-m.ChunkIndex*p.size) {
		return
	}
	copy(p.text[m.ChunkIndex*p.size:], m.Chunk)
	p.have[m.ChunkIndex], p.tries = true, 0
	p.out--
	if slices.Contains(p.have, false) {
		if p.out <= 0 {
			n.ask(now)
		}
		return
	}
	n.pull = nil
	d := NewDoc(p.Number, p.text)
	if d.Version != p.Version { // spoilt on its way; it is told of again
		return
	}
	if n.fits(d.Version) != nil || d.Version == n.Newest().Version {
		return
	}
	_ = n.take(d) // a reason is kept in refused
}

// begin makes room for a document by its first piece. Its sender decides how long pieces are: they leave room for the
// sender's name, which may be longer or shorter than this member's.
func (p *pull) begin(first Message) bool {
	if first.ChunkIndex != 0 || len(first.Chunk) == 0 && first.TotalBytes > 0 || len(first.Chunk) > first.TotalBytes {
		return false
	}
	p.size = max(1, len(first.Chunk))
	p.text, p.have = make([]byte, first.TotalBytes), make([]bool, max(1, (first.TotalBytes+p.size-1)/p.size))
	return true
}

// triesMost: a document whose pieces don't come is given up, until it is told of again.
const triesMost = 20

// Tick lets time pass; the host calls it at least every AskAgain/2.
func (n *Node) Tick(now time.Duration) []Outgoing {
	n.out = n.out[:0]
	if p := n.pull; p != nil && now-p.asked >= n.cfg.RetryInterval {
		if p.tries++; p.tries > triesMost {
			n.pull = nil
		} else {
			n.ask(now)
		}
	}
	if now >= n.next && len(n.others) > 0 {
		n.next = now + n.cfg.ReportInterval
		n.tell(n.others[n.rng.IntN(len(n.others))])
		// Who is not known to have the newest is told more often: a rollout waits for it.
		if stale := n.Stale(); len(stale) > 0 {
			n.tell(stale[n.rng.IntN(len(stale))])
		}
	}
	return n.out
}
