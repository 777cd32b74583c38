package membership

import (
	"math/rand/v2"
	"time"
)

// Config configures a Node.
type Config struct {
	Name string // of this node, unique among the members
	// Incarnation is that of this process. It must be higher than in every earlier process of the name, such as the wall
	// clock in milliseconds.
	Incarnation uint64
	Seed        uint64 // of the random choices, which makes a run reproducible

	// ProbePeriod is the time between two probes of this node. One probe is in progress at a time.
	ProbePeriod time.Duration
	// AckTimeout is the minimum time to wait for the answer to a ping. After it the probe is repeated, directly and through
	// IndirectProbes other members. It is longer where round trips are slow.
	AckTimeout time.Duration
	// SuspicionTimeout is the minimum time after which a suspect that does not refute and is not heard is declared dead. It
	// is longer while this node's own pings are lost.
	SuspicionTimeout time.Duration
	IndirectProbes   int // members that are asked to ping the target of an unanswered probe
	MaxUpdates       int // updates on one message, which bounds its size

	// IsSettledSuccessor is set if the process replaces one of its name that was settled and had not left. The node is
	// then settled from its start.
	IsSettledSuccessor bool
	// MinMembers is the number of members in the settings. A joint budget is divided by at least as many, less those that
	// left, and the node is not settled before it knows as many.
	MinMembers int
}

// Node is the failure detector of one member. On average it sends at most Config.MaxMessagesPerPeriod messages in a probe
// period, whatever the number of members, and up to maxAnnouncementPings more while some members may not know its
// incarnation. All times are monotonic.
type Node struct {
	cfg         Config
	members     members
	incarnation uint64 // higher than cfg.Incarnation once the node has refuted
	startedAt   time.Duration
	rng         *rand.Rand
	hasLeft     bool
	seeds       []string // asked for the view in each probe period until a member is heard
	outbox      []Send   // messages of the current call of Handle

	// Probing.

	lastSeq         uint64
	nextProbeAt     time.Duration
	probe           *probe           // nil: none in progress
	probeOrder      []string         // targets that are still to be probed in this round
	nextSuspectPing time.Duration    // earliest time of the next ping of a suspect
	nextDeadPing    time.Duration    // earliest time of the next ping of a dead member
	relays          map[uint64]relay // by sequence number of the ping
	recentPings     []sentPing       // at most maxRecentPings, oldest first
	rtt             struct{ mean, deviation time.Duration }
	// missRate is the exponential moving average, from 0 to 1, of the fraction of probes of alive members whose first ping
	// was not answered in time.
	missRate float64

	// Dissemination, and what other members are known to hold.

	queue []queuedUpdate // oldest first
	// lastHeard is the time of the last message of each member, or of a forwarded ack that showed it alive; 0: never heard.
	lastHeard   map[string]time.Duration
	confirmed   map[string]bool   // members known to hold this node's incarnation
	leftDigests map[string]uint64 // the last LeftDigest that each member sent
	lastSyncAt  time.Duration     // when the view was last sent to a member with another LeftDigest
}

// New returns a node whose view has only the node itself; now is the current monotonic time.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{cfg: cfg, incarnation: cfg.Incarnation, startedAt: now, nextProbeAt: now, relays: map[uint64]relay{},
		lastHeard: map[string]time.Duration{}, confirmed: map[string]bool{}, leftDigests: map[string]uint64{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x5157))}
	n.apply(Update{Name: cfg.Name, Incarnation: n.incarnation, State: Alive}, now)
	return n
}

// View returns the node's view. The caller must not change it; the next call of Handle or AddMembers may.
func (n *Node) View() View { return n.members.view }

// MaxMessagesPerPeriod bounds the average number of messages that a node sends in a ProbePeriod, whatever the size of the
// fleet and whatever fails: two pings for its probe, one ping of a suspect each AckTimeout, one ping of a dead member, as
// many acks, its requests for indirect probes, and for each such request to itself a ping, an ack and a forwarded ack.
func (c Config) MaxMessagesPerPeriod() float64 {
	pings := 3 + float64(c.ProbePeriod)/float64(max(1, c.AckTimeout))
	return 2*pings + 4*float64(c.IndirectProbes)
}

// Handle processes one event at the monotonic time now and returns the messages to send. The slice is valid until the next
// call.
func (n *Node) Handle(now time.Duration, ev Event) []Send {
	n.outbox = n.outbox[:0]
	switch e := ev.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.Msg)
	case Join:
		n.seeds = e.Seeds
		n.requestView()
		n.announce(now)
	case ForceLeave:
		if m, ok := n.members.get(e.Name); ok && m.State == Dead {
			n.apply(Update{Name: m.Name, Incarnation: m.Incarnation, State: Left}, now)
		}
	case Leave:
		if !n.hasLeft {
			n.hasLeft = true
			n.apply(Update{Name: n.cfg.Name, Incarnation: n.incarnation, State: Left}, now)
		}
		for _, to := range n.pickAlive(n.cfg.IndirectProbes+1, "") {
			n.ping(to, now)
		}
	}
	return n.outbox
}

// maxAnnouncementPings is the maximum number of members that one call of announce pings. It is called on a Join and at most
// once in each ProbePeriod.
const maxAnnouncementPings = 8

// announce pings members that are not known to hold this node's incarnation. The node has no share of a joint budget until
// all of them do.
func (n *Node) announce(now time.Duration) {
	var unconfirmed []string
	for _, m := range n.members.view.Members {
		if m.Name != n.cfg.Name && m.State != Left && !n.confirmed[m.Name] {
			unconfirmed = append(unconfirmed, m.Name)
		}
	}
	n.shuffle(unconfirmed)
	for _, name := range unconfirmed[:min(maxAnnouncementPings, len(unconfirmed))] {
		n.ping(name, now)
	}
}

// requestView asks up to IndirectProbes+1 random seeds for their view: on a Join, and in each probe period until a member is
// heard.
func (n *Node) requestView() {
	for range min(len(n.seeds), n.cfg.IndirectProbes+1) {
		if seed := n.seeds[n.rng.IntN(len(n.seeds))]; seed != n.cfg.Name {
			n.lastSeq++
			n.send(seed, Message{Kind: JoinRequest, Seq: n.lastSeq, Updates: []Update{{Name: n.cfg.Name, Incarnation: n.incarnation}}})
		}
	}
}
