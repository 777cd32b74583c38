package membership

import (
	"math/rand/v2"
	"time"
)

// Config of a node. Times are monotonic durations.
type Config struct {
	Name               string
	Incarnation        uint64        // of this process; above that of every earlier one, such as the wall clock's milliseconds
	Seed               uint64        // of the random choices, so that a run can be played again
	ProbePeriod        time.Duration // between probes of this node; one probe is out at a time
	AckTimeout         time.Duration // a direct probe unanswered this long asks Helpers others, and is made once more
	SuspicionTimeout   time.Duration // suspicion unrefuted this long, with nothing heard, declares a member dead
	IndirectProbes     int           // members asked to probe for this node
	MaxUpdates         int           // updates on one message, bounding its size
	IsSettledSuccessor bool          // it goes on in place of a process of its name that was settled, and had not left
	MinMembers         int           // members that the settings name: never fewer share a budget, and all are to be known
}

// Node is one member's failure detector. On average it sends at most MessagesMost a Period, however many
// members there are; while some may not know its incarnation, maxAnnouncements more.
type Node struct {
	cfg         Config
	members     members
	incarnation uint64
	startedAt   time.Duration
	rng         *rand.Rand
	hasLeft     bool
	seeds       []string // asked for the view again each Period until one has answered
	outbox      []Send

	// Probing.
	lastSeq         uint64
	nextProbeAt     time.Duration
	probe           *probe
	probeOrder      []string
	nextSuspectPing time.Duration // when a suspect may be pinged again
	nextDeadPing    time.Duration // when a dead member may
	relays          map[uint64]relay
	recentPings     []sentPing // the latest own ones
	rtt             struct{ mean, deviation time.Duration }
	missRate        float64 // part of the probes of members held alive whose first ping was not answered in time, EWMA

	// Dissemination, and what others are known to hold.
	queue       []queuedUpdate
	lastHeard   map[string]time.Duration // last message of each member, or an answer passed on
	confirmed   map[string]bool          // members known to hold this incarnation
	leftDigests map[string]uint64        // the latest digest of each, see Message.Out
	lastSyncAt  time.Duration            // when a view was last sent to a member that disagrees on who left
}

// New returns a node that knows only itself.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{cfg: cfg, incarnation: cfg.Incarnation, startedAt: now, nextProbeAt: now, relays: map[uint64]relay{},
		lastHeard: map[string]time.Duration{}, confirmed: map[string]bool{}, leftDigests: map[string]uint64{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x5157))}
	n.apply(Update{Name: cfg.Name, Incarnation: n.incarnation, State: Alive}, now)
	return n
}

// View returns the node's view; the caller must not change it.
func (n *Node) View() View { return n.members.view }

// MaxMessagesPerPeriod bounds what a node sends in a Period on average, whatever the size of the fleet and whatever
// fails: two pings of its probe, one of a suspect each AckWithin, one of a dead member, as many acks, its
// requests to helpers, and for each such request to itself a ping, an ack and an ack passed on.
func (c Config) MaxMessagesPerPeriod() float64 {
	pings := 3 + float64(c.ProbePeriod)/float64(max(1, c.AckTimeout))
	return 2*pings + 4*float64(c.IndirectProbes)
}

// Handle takes one event and returns what to send, valid until the next call.
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

// maxAnnouncementPings is how many members that may not know this node's incarnation are pinged for that in a Period.
const maxAnnouncementPings = 8

// announce pings members that are not known to hold this incarnation, until all do: before that the node has no
// share of a budget that must not be exceeded.
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

// requestView asks some of the seeds for the view, at a start and each Period until one has answered.
func (n *Node) requestView() {
	for range min(len(n.seeds), n.cfg.IndirectProbes+1) {
		if seed := n.seeds[n.rng.IntN(len(n.seeds))]; seed != n.cfg.Name {
			n.lastSeq++
			n.send(seed, Message{Kind: JoinRequest, Seq: n.lastSeq, Updates: []Update{{Name: n.cfg.Name, Incarnation: n.incarnation}}})
		}
	}
}
