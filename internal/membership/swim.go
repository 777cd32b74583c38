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
	Hello               // of a joiner: who is there; answered by Sync messages and an Ack
)

// Message is what goes between members. Updates ride on every kind; an Ack's first one is what its sender
// holds of who is to get it.
type Message struct {
	Kind    Kind
	From    string
	Seq     uint64
	Target  string
	Updates []Update
	Out     uint64 // digest of the members that its sender knows to have left, itself aside; 0: none
}

// Send is the one action: a message to a member, which may be lost or late.
type Send struct {
	To  string
	Msg Message
}

// Event is what a node is told: Tick, Received, Join, Leave or Gone.
type Event interface{ event() }

// Tick lets time pass; the host calls it at least every Config.AckWithin/2.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Msg Message }

// Join names the members that are asked for the view; one that answers is enough.
type Join struct{ Seeds []string }

// Leave tells the others that the node leaves for good; it probes no more.
type Leave struct{}

// Gone tells that a member which is dead in this view is so for good, as an operator knows. Should it be there
// after all, it refutes as any suspicion.
type Gone struct{ Name string }

func (Gone) event()     {}
func (Tick) event()     {}
func (Received) event() {}
func (Join) event()     {}
func (Leave) event()    {}

// Config of a node. Times are monotonic durations.
type Config struct {
	Me          string
	Incarnation uint64        // of this life; above that of every earlier one, such as the wall clock's milliseconds
	Seed        uint64        // of the random choices, so that a run can be played again
	Period      time.Duration // between probes of this node; one probe is out at a time
	AckWithin   time.Duration // a direct probe unanswered this long asks Helpers others, and is made once more
	SuspectFor  time.Duration // suspicion unrefuted this long, with nothing heard, declares a member dead
	Helpers     int           // members asked to probe for this node
	Carry       int           // updates on one message, bounding its size
	Assured     bool          // it goes on in place of a process of its name that was settled, and had not left
	Least       int           // members that the settings name: never fewer share a budget, and all are to be known
}

// What a node may stretch its waits to where answers take longer than the configuration expects, in Periods.
const (
	ackMost  = 2
	rttGain  = 1.0 / 8 // of RFC 6298, as rttTrust and varGain
	varGain  = 1.0 / 4
	rttTrust = 4
	sentKept = 8 // own pings remembered, for answers that come late

	missGain = 1.0 / 8 // EWMA weight of a probe in the part whose first ping is not answered in time;
	missAt   = 0.2     // above this it is this member's links that lose, and not one other that is gone,
	missX    = 4.0     // and for each further part suspicion lasts so many times longer
)

// Node is one member's failure detector. On average it sends at most MessagesMost a Period, however many
// members there are; while some may not know this life of it, greetMost more.
type Node struct {
	cfg    Config
	ms     members
	inc    uint64
	born   time.Duration
	seq    uint64
	next   time.Duration
	probe  *probe
	verify time.Duration // when a suspect may be pinged again
	revive time.Duration // when a dead one may
	relays map[uint64]relay
	pings  []sentPing // the latest own ones
	rtt    struct{ mean, dev time.Duration }
	miss   float64 // part of the probes of members held alive whose first ping was not answered in time, EWMA
	gossip []rumour
	order  []string
	rng    *rand.Rand
	left   bool
	seeds  []string                 // asked again each Period until one has answered
	heard  map[string]time.Duration // last message of each member, or an answer passed on
	holds  map[string]bool          // members known to hold this life of ours
	outs   map[string]uint64        // the latest digest of each
	synced time.Duration            // when a view was last sent to one that thinks otherwise of who left
	out    []Send
}

type probe struct {
	target string
	seq    uint64
	sent   time.Duration
	asked  bool
}

type sentPing struct {
	seq uint64
	at  time.Duration
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
	n := &Node{cfg: cfg, inc: cfg.Incarnation, born: now, next: now, relays: map[uint64]relay{},
		heard: map[string]time.Duration{}, holds: map[string]bool{}, outs: map[string]uint64{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x5157))}
	n.tell(Update{Name: cfg.Me, Incarnation: n.inc, State: Alive}, now)
	return n
}

// View returns the node's view; the caller must not change it.
func (n *Node) View() View { return n.ms.view }

// MessagesMost bounds what a node sends in a Period on average, whatever the size of the fleet and whatever
// fails: two pings of its probe, one of a suspect each AckWithin, one of a dead member, as many acks, its
// requests to helpers, and for each such request to itself a ping, an ack and an ack passed on.
func (c Config) MessagesMost() float64 {
	pings := 3 + float64(c.Period)/float64(max(1, c.AckWithin))
	return 2*pings + 4*float64(c.Helpers)
}

// Handle takes one event and returns what to send, valid until the next call.
func (n *Node) Handle(now time.Duration, ev Event) []Send {
	n.out = n.out[:0]
	switch e := ev.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.Msg)
	case Join:
		n.seeds = e.Seeds
		n.ask()
		n.greet(now)
	case Gone:
		if m, ok := n.ms.get(e.Name); ok && m.State == Dead {
			n.tell(Update{Name: m.Name, Incarnation: m.Incarnation, State: Left}, now)
		}
	case Leave:
		if !n.left {
			n.left = true
			n.tell(Update{Name: n.cfg.Me, Incarnation: n.inc, State: Left}, now)
		}
		for _, to := range n.pick(n.cfg.Helpers+1, "") {
			n.ping(to, now)
		}
	}
	return n.out
}

// greetMost is how many members that may not know this life are told of it in a Period.
const greetMost = 8

// greet pings members that are not known to hold this life of ours, until all do: before that the node has no
// share of what is never to be passed.
func (n *Node) greet(now time.Duration) {
	var unsure []string
	for _, m := range n.ms.view.Members {
		if m.Name != n.cfg.Me && m.State != Left && !n.holds[m.Name] {
			unsure = append(unsure, m.Name)
		}
	}
	n.rng.Shuffle(len(unsure), func(i, j int) { unsure[i], unsure[j] = unsure[j], unsure[i] })
	for _, name := range unsure[:min(greetMost, len(unsure))] {
		n.ping(name, now)
	}
}

// ask says hello to some of the seeds, at a start and each Period until one has answered.
func (n *Node) ask() {
	for range min(len(n.seeds), n.cfg.Helpers+1) {
		if s := n.seeds[n.rng.IntN(len(n.seeds))]; s != n.cfg.Me {
			n.seq++
			n.send(s, Message{Kind: Hello, Seq: n.seq, Updates: []Update{{Name: n.cfg.Me, Incarnation: n.inc}}})
		}
	}
}

// ping sends one and returns its number.
func (n *Node) ping(to string, now time.Duration) uint64 {
	n.seq++
	if n.pings = append(n.pings, sentPing{n.seq, now}); len(n.pings) > sentKept {
		n.pings = n.pings[1:]
	}
	n.send(to, Message{Kind: Ping, Seq: n.seq})
	return n.seq
}

// ackWait is how long an answer may take: what the configuration says, or longer where the network is seen to
// be slow, as a retransmission timer is set. So a delay makes suspects of nobody for long.
func (n *Node) ackWait() time.Duration {
	return min(max(n.cfg.AckWithin, n.rtt.mean+rttTrust*n.rtt.dev), ackMost*n.cfg.Period)
}

func (n *Node) learn(rtt time.Duration) {
	r := &n.rtt
	if r.mean == 0 {
		r.mean, r.dev = rtt, rtt/2
		return
	}
	r.dev += time.Duration(varGain * float64((rtt-r.mean).Abs()-r.dev))
	r.mean += time.Duration(rttGain * float64(rtt-r.mean))
}

// suspectFor is how long a suspect has to be heard of. Where this member's own messages get lost a lot, whoever it
// suspects is given longer, as Lifeguard does by a member's own health.
func (n *Node) suspectFor() time.Duration {
	return time.Duration(float64(n.cfg.SuspectFor) * (1 + missX*max(0, n.miss-missAt)))
}

func (n *Node) tick(now time.Duration) {
	wait := n.ackWait()
	if p := n.probe; p != nil {
		switch heard := n.heard[p.target] >= p.sent; {
		case heard && p.asked: // what it says, or others of it, shows that it is there
			n.probe = nil
		case !heard && !p.asked && now-p.sent >= wait:
			p.asked = true
			if m, ok := n.ms.get(p.target); ok && m.State == Alive {
				n.miss += missGain * (1 - n.miss)
			}
			for _, h := range n.pick(n.cfg.Helpers, p.target) {
				n.send(h, Message{Kind: PingReq, Seq: p.seq, Target: p.target})
			}
			n.ping(p.target, now)
		case now-p.sent >= max(n.cfg.Period, 2*wait):
			if m, ok := n.ms.get(p.target); ok && m.State == Alive && !heard {
				n.tell(Update{Name: m.Name, Incarnation: m.Incarnation, State: Suspect}, now)
			}
			n.probe = nil
		}
	}
	n.doubt(now, wait)
	for seq, r := range n.relays {
		if now >= r.until {
			delete(n.relays, seq)
		}
	}
	if n.probe != nil || n.left || now < n.next {
		return
	}
	n.next = now + n.cfg.Period
	if t := n.nextTarget(); t != "" {
		n.probe = &probe{target: t, sent: now}
		n.probe.seq = n.ping(t, now)
	}
	if len(n.heard) == 0 {
		n.ask()
	}
	n.greet(now)
}

// doubt goes through who is not alive. A suspect is pinged, so that it hears of it and can refute, whoever
// raised the suspicion; one not heard for SuspectFor is dead. The dead are pinged now and then: nobody else
// would find out that a split is over.
func (n *Node) doubt(now, wait time.Duration) {
	var suspects, dead []string
	for _, m := range n.ms.view.Members {
		switch m.State {
		case Suspect:
			if now-max(m.Since, n.heard[m.Name]) >= n.suspectFor() {
				n.tell(Update{Name: m.Name, Incarnation: m.Incarnation, State: Dead}, now)
				continue
			}
			suspects = append(suspects, m.Name)
		case Dead:
			dead = append(dead, m.Name)
		}
	}
	if len(suspects) > 0 && now >= n.verify && !n.left {
		n.verify = now + wait
		n.ping(suspects[n.rng.IntN(len(suspects))], now)
	}
	if len(dead) > 0 && now >= n.revive && !n.left {
		n.revive = now + n.cfg.Period
		n.ping(dead[n.rng.IntN(len(dead))], now)
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

func (n *Node) receive(now time.Duration, msg Message) {
	from := msg.From
	if from == "" || from == n.cfg.Me {
		return
	}
	n.heard[from], n.outs[from] = max(now, 1), msg.Out
	for _, u := range msg.Updates {
		// One that leaves takes along what it knows. Its word counts once this node knows that, too: else it could
		// be the last that knew of another's return.
		if u.Name == from && u.State == Left && msg.Out != n.ms.out(from) {
			continue
		}
		n.hear(u, from, now)
	}
	if msg.Out != n.ms.out(n.cfg.Me) && msg.Kind != Sync && now-n.synced >= n.cfg.AckWithin {
		n.synced = now
		n.sync(from)
	}
	if _, known := n.ms.get(from); !known { // it has not said which life this is: its own news will
		n.tell(Update{Name: from, State: Alive}, now)
	}
	switch msg.Kind {
	case Hello:
		n.sync(from)
		n.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case Ping:
		n.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case PingReq:
		if _, known := n.ms.get(msg.Target); !known || n.left {
			return
		}
		seq := n.ping(msg.Target, now)
		n.relays[seq] = relay{asker: from, seq: msg.Seq, until: now + 4*n.cfg.Period}
	case Ack:
		for _, p := range n.pings {
			if p.seq == msg.Seq {
				n.learn(now - p.at)
			}
		}
		if p := n.probe; p != nil && msg.Seq == p.seq {
			n.heard[p.target] = max(now, 1) // by itself, or as a helper tells
			if n.probe = nil; !p.asked {
				n.miss -= missGain * n.miss
			}
		}
		if r, ok := n.relays[msg.Seq]; ok {
			delete(n.relays, msg.Seq)
			n.send(r.asker, Message{Kind: Ack, Seq: r.seq})
		}
	}
}

// hear takes what another says. Of itself a node takes no suspicion, no death and no leave of an earlier
// life: it refutes them with a higher incarnation, which is then carried as any news.
func (n *Node) hear(u Update, from string, now time.Duration) {
	switch {
	case u.Name != n.cfg.Me:
		// Nobody is dead for another's word, such as one from the other side of a split that is over: who is said to
		// be is suspected here, asked, and dead when nothing is heard of it here either.
		if u.State == Dead {
			u.State = Suspect
		}
		n.tell(u, now)
	case n.left:
	case u.Incarnation > n.inc || u.Incarnation == n.inc && u.State != Alive:
		n.inc = u.Incarnation + 1
		n.tell(Update{Name: n.cfg.Me, Incarnation: n.inc, State: Alive}, now)
	case u.Incarnation >= n.cfg.Incarnation && u.State != Left:
		n.holds[from] = true
	}
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

// sync sends who is heard for the first time the view, Carry members a message.
func (n *Node) sync(to string) {
	ms := n.ms.view.Members
	for i := 0; i < len(ms); i += max(1, n.cfg.Carry) {
		var us []Update
		for _, m := range ms[i:min(len(ms), i+max(1, n.cfg.Carry))] {
			us = append(us, m.update())
		}
		msg := Message{Kind: Sync, From: n.cfg.Me, Updates: us, Out: n.ms.out(n.cfg.Me)}
		n.out = append(n.out, Send{To: to, Msg: msg})
	}
}

func (m Member) update() Update {
	return Update{Name: m.Name, Incarnation: m.Incarnation, State: m.State}
}

// send puts news on a message: first what is held of who gets it, on an ack or where that is no longer alive, so
// that it can refute however the rumour went; then the freshest rumours, and where there are fewer, some other
// member, so that a view that missed a rumour comes right all the same.
func (n *Node) send(to string, msg Message) {
	msg.From, msg.Out = n.cfg.Me, n.ms.out(n.cfg.Me)
	switch {
	case n.left: // its last word, on all that it still sends
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Me, Incarnation: n.inc, State: Left})
	case !n.holds[to] && msg.Kind != Hello:
		msg.Updates = append(msg.Updates, Update{Name: n.cfg.Me, Incarnation: n.inc})
	}
	if m, ok := n.ms.get(to); ok && (m.State != Alive || msg.Kind == Ack) {
		msg.Updates = append(msg.Updates, m.update())
	}
	for i := len(n.gossip) - 1; i >= 0 && len(msg.Updates) < n.cfg.Carry; i-- {
		msg.Updates = append(msg.Updates, n.gossip[i].u)
		if n.gossip[i].left--; n.gossip[i].left <= 0 {
			n.gossip = append(n.gossip[:i], n.gossip[i+1:]...)
		}
	}
	if ms := n.ms.view.Members; len(msg.Updates) < n.cfg.Carry {
		msg.Updates = append(msg.Updates, ms[n.rng.IntN(len(ms))].update())
	}
	n.out = append(n.out, Send{To: to, Msg: msg})
}
