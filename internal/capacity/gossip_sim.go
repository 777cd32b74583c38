package capacity

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/versions"
)

// The document that is rolled out by gossip, and how long that is watched.
const (
	gossipQuiet   = time.Second      // before the change, in which the first reports come
	gossipMost    = 10 * time.Second // for a change to be in force alone
	documentBytes = 2000
	documentMost  = 64 << 10
	documentName  = "settings"
)

// rollout is what one change of a document cost a whole fleet.
type rollout struct {
	members                  int
	messages, bytes, dropped int           // bytes with the headers of datagrams
	inForce                  time.Duration // until every member that is there acts on the new version alone, gossipMost at most
	without                  int           // members that are there and do not act on it then
	cpu                      time.Duration // of all members together
	heap                     float64       // bytes of all members together
}

// pieceSize is how many bytes of a document the member of a name sends in one message, as internal/daemon/gossip.go has it.
func pieceSize(name string) int {
	return membership.MaxDatagramBytes - versions.MaxChunkOverhead - len(documentName) - len(name)
}

// gossipFleet is a fleet whose members agree on versions, each by the real [versions.Node], on a simulated network.
type gossipFleet struct {
	*datagramNetwork
	nodes []*versions.Node
	err   error // the first
}

// newGossipFleet returns members that all act on one version. Of them the last ones are dead.
func newGossipFleet(members, dead int) (*gossipFleet, error) {
	bounds, err := limits.For(limits.Site{Sockets: ingressSockets, Ingresses: members})
	if err != nil {
		return nil, err
	}
	f := &gossipFleet{datagramNetwork: newDatagramNetwork(members, bounds.MaxDatagramsPerSecond), nodes: make([]*versions.Node, members)}
	f.receive, f.tick = f.received, func(node int) { f.sent(f.nodes[node].Tick(f.now)) }
	first := versions.NewDoc(1, make([]byte, documentBytes))
	for member := range members {
		name := strconv.Itoa(member)
		f.down[member] = member >= members-dead
		f.nodes[member] = versions.New(versions.Config{Self: name, Document: documentName, Seed: uint64(member),
			ReportInterval: bounds.MemberProbeInterval, RetryInterval: bounds.MemberAckTimeout, Lease: time.Duration(members+1) * bounds.MemberProbeInterval,
			Check: func([]byte) error { return nil }, MaxTextBytes: documentMost, MaxChunkBytes: pieceSize(name)}, first, f.now)
	}
	for member, node := range f.nodes {
		if f.down[member] {
			continue
		}
		var others []string
		for other := range members {
			if other != member {
				others = append(others, strconv.Itoa(other))
			}
		}
		f.sent(node.SetMembers(others, f.now))
	}
	return f, nil
}

func (f *gossipFleet) received(member int, content []byte) {
	message, err := versions.Parse(content)
	if err != nil {
		f.err = errors.Join(f.err, err)
		return
	}
	f.sent(f.nodes[member].Handle(message, f.now))
}

func (f *gossipFleet) sent(out []versions.Outgoing) {
	for _, s := range out {
		to, err := strconv.Atoi(s.To)
		if err != nil {
			f.err = errors.Join(f.err, err)
			continue
		}
		f.send(to, versions.Append(nil, s.Message))
	}
}

// inForceAlone tells whether every member that is there acts on one version and no other.
func (f *gossipFleet) inForceAlone(version versions.Version) bool {
	for member, node := range f.nodes {
		if acting := node.Acting(); !f.down[member] && (len(acting) > 1 || acting[0].Version != version) {
			return false
		}
	}
	return true
}

// without is how many members that are there do not act on a version, alone or beside another.
func (f *gossipFleet) without(version versions.Version) (members int) {
	for member, node := range f.nodes {
		if !f.down[member] && node.Newest().Version != version {
			members++
		}
	}
	return members
}

// measureRollout gives one member of a fleet a further version, and lets time pass until it is in force alone, or for
// gossipMost. All members are alive.
func measureRollout(ctx context.Context, members int) (rollout, error) {
	return measureRolloutBeside(ctx, members, 0)
}

// measureRolloutBeside is the same in a fleet of which so many members are dead.
func measureRolloutBeside(ctx context.Context, members, dead int) (rollout, error) {
	f, heap, err := heapOf(func() (*gossipFleet, error) {
		f, err := newGossipFleet(members, dead)
		if err != nil {
			return nil, err
		}
		return f, f.run(ctx, gossipQuiet)
	})
	if err != nil {
		return rollout{}, err
	}
	text := make([]byte, documentBytes)
	text[0] = 1
	next := versions.NewDoc(2, text)
	f.messages, f.bytes, f.dropped = 0, 0, 0
	cost := rollout{members: members, heap: heap}
	sends, err := f.nodes[0].Offer(next, f.now)
	if err != nil {
		return rollout{}, fmt.Errorf("the version was turned down: %w", err)
	}
	cost.cpu = leastProcessorTime(1, func() {
		f.sent(sends)
		cost.inForce, err = f.runUntil(ctx, gossipMost, networkStep, func() bool { return f.inForceAlone(next.Version) })
	})
	cost.messages, cost.bytes, cost.dropped, cost.without = f.messages, f.bytes, f.dropped, f.without(next.Version)
	return cost, errors.Join(err, f.err)
}
