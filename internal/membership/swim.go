package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind of a message between members.
type Kind int

const (
	Ping    Kind = iota // are you there; answered by Ack
	Ack                 // yes, to a Ping of the same Seq
	PingReq             // ping Target for me, and pass its Ack on
	Sync                // members of the view, for a joiner
)

// Message is what goes between members. Updates ride on every kind.
type Message struct {
	Kind    Kind
	Seq     uint64
	Target  string
	Updates []Update
}

// Send is the one action: a message to a member, which may be lost or late.
type Send struct {
	To  string
	Msg Message
}

// Event is what a node is told: Tick, Received, Join or Leave.
type Event interface{ event() }

// Tick lets time pass; the host calls it at least every Config.Period/4.
type Tick struct{}

// Received is a message from another member.
type Received struct {
	From string
	Msg  Message
}

// Join makes the node known to a seed, from which it learns the view.
type Join struct{ Seed string }

// Leave tells the others that the node leaves; it probes no more.
type Leave struct{}

func (Tick) event()     {}
func (Received) event() {}
func (Join) event()     {}
func (Leave) event()    {}

// Config of a node. Times are monotonic durations.
type Config struct {
	Me         string
	Seed       uint64        // of the random choices, so that a run can be played again
	Period     time.Duration // between probes of this node; one probe is out at a time
	AckWithin  time.Duration // a direct probe unanswered this long asks Helpers others
	SuspectFor time.Duration // suspicion unrefuted this long declares a member dead
	Helpers    int           // members asked to probe for this node
	Carry      int           // updates on one message, bounding its size
}

// Node is one member's failure detector. Messages it sends for its own probes are at most 1 + Helpers a
// Period; it answers each Ping once and relays each PingReq with one Ping and one Ack, so a member sends
// at most (2 + 4 Helpers) / Period messages a second on average, however many members there are.
type Node struct {
	cfg    Config
	ms     members
	inc    uint64
	seq    uint64
	next   time.Duration
	probe  *probe
	relays map[uint64]relay
	gossip []rumour
	order  []string
	rng    *rand.Rand
	left   bool
	seed   string // asked again each Period while no other member is known
	out    []Send
}

type probe struct {
	target string
	seq    uint64
	sent   time.Duration
	asked  bool
}

type relay struct {
	asker string
	seq   uint64
	until time.Duration
}

type rumour struct {
	u    Update
	left int // messages it is still carried on
}

// New returns a node that knows only itself.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{cfg: cfg, relays: map[uint64]relay{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5157))}
	n.ms.apply(Update{Name: cfg.Me, State: Alive}, now)
	n.next = now
	return n
}

// View returns the node's view; the caller must not change it.
func (n *Node) View() View { return n.ms.view }

// Handle takes one event and returns what to send, valid until the next call.
func (n *Node) Handle(now time.Duration, ev Event) []Send {
	n.out = n.out[:0]
	switch e := ev.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.From, e.Msg)
	case Join:
		n.seed = e.Seed
		n.send(e.Seed, Message{Kind: Ping, Seq: n.nextSeq()})
	case Leave:
		if !n.left {
			n.left = true
			n.tell(Update{Name: n.cfg.Me, Incarnation: n.inc, State: Left}, now)
			for _, to := range n.pick(n.cfg.Helpers+1, "") {
				n.send(to, Message{Kind: Ping, Seq: n.nextSeq()})
			}
		}
	}
	return n.out
}

func (n *Node) nextSeq() uint64 { n.seq++; return n.seq }

func (n *Node) tick(now time.Duration) {
	if p := n.probe; p != nil {
		if !p.asked && now-p.sent >= n.cfg.AckWithin {
			p.asked = true
			for _, h := range n.pick(n.cfg.Helpers, p.target) {
				n.send(h, Message{Kind: PingReq, Seq: p.seq, Target: p.target})
			}
		}
		if now-p.sent >= n.cfg.Period {
			if m, ok := n.ms.get(p.target); ok && m.State == Alive {
				n.tell(Update{Name: m.Name, Incarnation: m.Incarnation, State: Suspect}, now)
			}
			n.probe = nil
		}
	}
	for _, m := range n.ms.view.Members {
		if m.State == Suspect && now-m.Since >= n.cfg.SuspectFor {
			n.tell(Update{Name: m.Name, Incarnation: m.Incarnation, State: Dead}, now)
		}
	}
	for seq, r := range n.relays {
		if now >= r.until {
			delete(n.relays, seq)
		}
	}
	if n.probe == nil && !n.left && now >= n.next {
		n.next = now + n.cfg.Period
		if t := n.nextTarget(); t != "" {
			n.probe = &probe{target: t, seq: n.nextSeq(), sent: now}
			n.send(t, Message{Kind: Ping, Seq: n.probe.seq})
		} else if n.seed != "" && len(n.ms.view.Members) == 1 {
			n.send(n.seed, Message{Kind: Ping, Seq: n.nextSeq()})
		}
	}
}

// nextTarget goes round the members that may be there in an order shuffled anew each round, so that each
// is probed within one round however the others fare.
func (n *Node) nextTarget() string {
	for range 2 {
		for len(n.order) > 0 {
			t := n.order[0]
			n.order = n.order[1:]
			if m, ok := n.ms.get(t); ok && (m.State == Alive || m.State == Suspect) {
				return t
			}
		}
		for _, m := range n.ms.view.Members {
			if m.Name != n.cfg.Me && (m.State == Alive || m.State == Suspect) {
				n.order = append(n.order, m.Name)
			}
		}
		n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	return ""
}

// pick chooses up to k members that are alive, other than this node and but.
func (n *Node) pick(k int, but string) []string {
	var can []string
	for _, m := range n.ms.view.Members {
		if m.State == Alive && m.Name != n.cfg.Me && m.Name != but {
			can = append(can, m.Name)
		}
	}
	n.rng.Shuffle(len(can), func(i, j int) { can[i], can[j] = can[j], can[i] })
	return can[:min(k, len(can))]
}

func (n *Node) receive(now time.Duration, from string, msg Message) {
	if _, known := n.ms.get(from); !known && from != n.cfg.Me {
		n.tell(Update{Name: from, State: Alive}, now)
		if msg.Kind == Ping && !n.left {
			n.sync(from)
		}
	}
	for _, u := range msg.Updates {
		n.hear(u, now)
	}
	switch msg.Kind {
	case Ping:
		n.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case PingReq:
		seq := n.nextSeq()
		n.relays[seq] = relay{asker: from, seq: msg.Seq, until: now + n.cfg.Period}
		n.send(msg.Target, Message{Kind: Ping, Seq: seq})
	case Ack:
		if p := n.probe; p != nil && msg.Seq == p.seq {
			n.probe = nil
		}
		if r, ok := n.relays[msg.Seq]; ok {
			delete(n.relays, msg.Seq)
			n.send(r.asker, Message{Kind: Ack, Seq: r.seq})
		}
	}
}

// hear takes what another says. Of itself a node takes no suspicion: it refutes it with a higher
// incarnation, which is then carried as any news.
func (n *Node) hear(u Update, now time.Duration) {
	if u.Name == n.cfg.Me {
		if (u.State == Suspect || u.State == Dead) && u.Incarnation >= n.inc && !n.left {
			n.inc = u.Incarnation + 1
			n.tell(Update{Name: n.cfg.Me, Incarnation: n.inc, State: Alive}, now)
		}
		return
	}
	n.tell(u, now)
}

// tell applies an update and, if it was news, carries it on the next messages.
func (n *Node) tell(u Update, now time.Duration) {
	if !n.ms.apply(u, now) {
		return
	}
	for i := range n.gossip {
		if n.gossip[i].u.Name == u.Name {
			n.gossip = append(n.gossip[:i], n.gossip[i+1:]...)
			break
		}
	}
	times := 3 * int(math.Ceil(math.Log2(float64(len(n.ms.view.Members)+1))))
	n.gossip = append(n.gossip, rumour{u: u, left: times})
}

// sync sends a joiner the view, Carry members a message.
func (n *Node) sync(to string) {
	ms := n.ms.view.Members
	for i := 0; i < len(ms); i += max(1, n.cfg.Carry) {
		var us []Update
		for _, m := range ms[i:min(len(ms), i+max(1, n.cfg.Carry))] {
			us = append(us, Update{Name: m.Name, Incarnation: m.Incarnation, State: m.State})
		}
		n.out = append(n.out, Send{To: to, Msg: Message{Kind: Sync, Updates: us}})
	}
}

// send puts the freshest rumours on a message: those carried least often first. One that is held suspect
// or dead is told so itself on everything sent to it, so that it can refute however the rumour went.
func (n *Node) send(to string, msg Message) {
	if m, ok := n.ms.get(to); ok && (m.State == Suspect || m.State == Dead) {
		msg.Updates = append(msg.Updates, Update{Name: m.Name, Incarnation: m.Incarnation, State: m.State})
	}
	for i := len(n.gossip) - 1; i >= 0 && len(msg.Updates) < n.cfg.Carry; i-- {
		msg.Updates = append(msg.Updates, n.gossip[i].u)
		if n.gossip[i].left--; n.gossip[i].left <= 0 {
			n.gossip = append(n.gossip[:i], n.gossip[i+1:]...)
		}
	}
	n.out = append(n.out, Send{To: to, Msg: msg})
}
