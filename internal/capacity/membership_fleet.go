package capacity

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
)

// Of the measurements of the membership.
const (
	membershipSteady = 5 * time.Second // over which messages and processor time are counted
	membershipCheck  = 500 * time.Millisecond
	membershipMost   = 400 * time.Second // for a restarted member to settle
	membershipDead   = 10 * time.Second  // from a member's death to the restart of another
	firstIncarnation = 1000
	restartedMember  = 1
	deadMember       = 2
)

// membershipFleet is the real failure detectors of a fleet on a simulated network.
type membershipFleet struct {
	*datagramNetwork
	bounds limits.Limits
	nodes  []*membership.Node
	err    error // the first
}

// newMembershipFleet starts so many members at once, each of which the settings name to all.
func newMembershipFleet(size int) (*membershipFleet, error) {
	bounds, err := limits.For(limits.Site{Sockets: 384, MemoryMB: 192, Ingresses: size})
	if err != nil {
		return nil, err
	}
	f := &membershipFleet{datagramNetwork: newDatagramNetwork(size, bounds.MaxDatagramsPerSecond), bounds: bounds, nodes: make([]*membership.Node, size)}
	f.receive, f.tick = f.received, func(node int) { f.sent(f.nodes[node].Handle(f.now, membership.Tick{})) }
	for member := range size {
		f.start(member, firstIncarnation)
	}
	return f, nil
}

// start begins a member's process, as the daemon does.
func (f *membershipFleet) start(member int, incarnation uint64) {
	var others []string
	for other := range f.nodes {
		if other != member {
			others = append(others, strconv.Itoa(other))
		}
	}
	node := membership.New(membership.Config{Name: strconv.Itoa(member), Incarnation: incarnation, Seed: uint64(member) + incarnation,
		ProbePeriod: f.bounds.MemberProbeInterval, AckTimeout: f.bounds.MemberAckTimeout, SuspicionTimeout: f.bounds.MemberSuspicionTimeout,
		IndirectProbes: f.bounds.MemberIndirectProbes, MaxUpdates: f.bounds.MemberUpdatesPerMessage, MinMembers: len(f.nodes)}, f.now)
	node.AddMembers(others, f.now)
	f.nodes[member] = node
	f.sent(node.Handle(f.now, membership.Join{Seeds: others}))
}

func (f *membershipFleet) received(member int, content []byte) {
	message, err := membership.Parse(content)
	if err != nil {
		f.err = errors.Join(f.err, err)
		return
	}
	f.sent(f.nodes[member].Handle(f.now, membership.Received{Msg: message}))
}

func (f *membershipFleet) sent(out []membership.Send) {
	for _, s := range out {
		to, err := strconv.Atoi(s.To)
		if err != nil {
			f.err = errors.Join(f.err, err)
			continue
		}
		f.send(to, membership.Append(nil, s.Msg))
	}
}

// settled tells whether every member that is there may use its share.
func (f *membershipFleet) settled() bool {
	for member, node := range f.nodes {
		if !f.down[member] && !node.IsSettled(f.now) {
			return false
		}
	}
	return true
}

// restart begins a member anew and returns how long it takes until it may use its share.
func (f *membershipFleet) restart(ctx context.Context, member int, incarnation uint64) (time.Duration, error) {
	f.start(member, incarnation)
	f.alone = member // what the others would find out meanwhile does not matter to it
	took, err := f.runUntil(ctx, membershipMost, networkStep, func() bool { return f.nodes[member].IsSettled(f.now) })
	f.alone = allTick
	if err == nil && took >= membershipMost {
		err = fmt.Errorf("a restarted member has not settled within %v", membershipMost)
	}
	return took, err
}

// membershipCost is what the membership costs each member of a fleet, and what waits for it.
type membershipCost struct {
	messagesPerSecond float64 // sent by one member
	bytesPerSecond    float64 // sent and received by one member, with headers
	processorShare    float64 // of a core
	heapKilobytes     float64
	restartSeconds    float64 // until a restarted member may use its share, all others alive
	restartDead       float64 // the same with one other dead
}

// measureMembership runs a fleet of so many members.
func measureMembership(ctx context.Context, size int) (cost membershipCost, err error) {
	fleet, heap, err := heapOf(func() (*membershipFleet, error) {
		fleet, err := newMembershipFleet(size)
		if err != nil {
			return nil, err
		}
		fleet.tickEvery = slowTick
		_, err = fleet.runUntil(ctx, membershipMost, membershipCheck, fleet.settled)
		fleet.tickEvery = memberTick
		return fleet, err
	})
	if err != nil {
		return cost, err
	}
	cost.heapKilobytes = heap / 1e3 / float64(size)
	messages, bytes := fleet.messages, fleet.bytes
	spent := leastProcessorTime(1, func() { err = fleet.run(ctx, membershipSteady) })
	each := float64(size) * membershipSteady.Seconds()
	cost.messagesPerSecond = float64(fleet.messages-messages) / each
	cost.bytesPerSecond = 2 * float64(fleet.bytes-bytes) / each
	cost.processorShare = spent.Seconds() / each
	if err != nil {
		return cost, err
	}
	return cost, fleet.measureRestarts(ctx, &cost)
}

// measureRestarts restarts a member with all others alive, and again with one dead.
func (f *membershipFleet) measureRestarts(ctx context.Context, cost *membershipCost) error {
	f.tickEvery = slowTick
	took, err := f.restart(ctx, restartedMember, firstIncarnation+1)
	if err != nil {
		return err
	}
	cost.restartSeconds = took.Seconds()
	f.down[deadMember] = true
	if err := f.run(ctx, membershipDead); err != nil {
		return err
	}
	if took, err = f.restart(ctx, restartedMember, firstIncarnation+2); err != nil {
		return err
	}
	cost.restartDead = took.Seconds()
	return f.err
}
