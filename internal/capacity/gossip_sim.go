package capacity

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/versions"
)

// The simulated network between members, and the document that is rolled out over it.
const (
	gossipStep    = 5 * time.Millisecond // a message arrives in the next step
	gossipTick    = 25 * time.Millisecond
	gossipMost    = 10 * time.Second // for a change to be in force alone
	documentBytes = 2000
	documentName  = "settings"
)

// rollout is what one change of a document cost a whole fleet.
type rollout struct {
	members                  int
	messages, bytes, dropped int
	inForce                  time.Duration // until every member acts on the new version alone, gossipMost at most
	without                  int           // members that do not act on it then
	cpu                      time.Duration // of all members together
}

// letter is a message on its way.
type letter struct {
	to  int
	msg versions.Message
}

// gossipFleet is a fleet whose members agree on versions, each by the real [versions.Node], over a network of
// simulated time. As the ingress does, a member drops what comes in beyond a bound a second.
type gossipFleet struct {
	now     time.Duration
	nodes   []*versions.Node
	bounded bool // messages beyond the bound are dropped
	most    int  // messages that a member takes in in a second
	taken   []int
	onWay   []letter
	cost    rollout
	buf     []byte
}

// pieceSize tells how many bytes of a document the member of a name sends and takes in one message.
type pieceSize func(name string, members int) int

// sizeByOwnName is the ingress's own piece size (internal/daemon/rules.go). Members whose names differ in length do not
// take each other's pieces, as these have to be of the receiver's size.
func sizeByOwnName(name string, _ int) int {
	return membership.Datagram - versions.Overhead - len(documentName) - len(name)
}

// sizeByLongestName is the same for all members.
func sizeByLongestName(_ string, members int) int {
	return sizeByOwnName(strconv.Itoa(members-1), members)
}

// newGossipFleet returns members that all act on one version, and know that of each other.
func newGossipFleet(ctx context.Context, members int, size pieceSize) (*gossipFleet, error) {
	lim, err := limits.For(limits.Site{Sockets: ingressSockets, Gateways: members})
	if err != nil {
		return nil, err
	}
	f := &gossipFleet{now: time.Hour, most: lim.DatagramsSecond, taken: make([]int, members)}
	names := make([]string, members)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	first := versions.NewDoc(1, make([]byte, documentBytes))
	for i, name := range names {
		f.nodes = append(f.nodes, versions.New(versions.Config{Me: name, Doc: documentName, Seed: uint64(i),
			Period: lim.MemberPeriod, AskAgain: lim.MemberAck, Lease: time.Duration(members+1) * lim.MemberPeriod,
			Check: func([]byte) error { return nil }, TextMost: 64 << 10,
			PieceMost: size(name, members)}, first, f.now))
	}
	for i := range f.nodes {
		others := make([]string, 0, members)
		others = append(append(others, names[:i]...), names[i+1:]...)
		f.post(f.nodes[i].Fleet(others, f.now))
	}
	f.step()
	f.step()
	f.cost = rollout{members: members}
	f.bounded = true
	return f, ctx.Err()
}

// post puts messages on their way.
func (f *gossipFleet) post(sends []versions.Send) {
	for _, send := range sends {
		to, err := strconv.Atoi(send.To)
		if err != nil {
			continue // members are named by their numbers here
		}
		f.buf = versions.Append(f.buf[:0], send.Msg)
		f.cost.messages++
		f.cost.bytes += len(f.buf)
		f.onWay = append(f.onWay, letter{to, send.Msg})
	}
}

// step lets the messages arrive that are on their way, and time pass.
func (f *gossipFleet) step() {
	if f.now%time.Second == 0 {
		clear(f.taken)
	}
	arriving := f.onWay
	f.onWay = nil
	for _, l := range arriving {
		if f.taken[l.to]++; f.bounded && f.taken[l.to] > f.most {
			f.cost.dropped++
			continue
		}
		f.post(f.nodes[l.to].Handle(l.msg, f.now))
	}
	if f.now%gossipTick == 0 {
		for _, node := range f.nodes {
			f.post(node.Tick(f.now))
		}
	}
	f.now += gossipStep
}

// inForceAlone tells whether every member acts on one version and no other.
func (f *gossipFleet) inForceAlone(version versions.Version) bool {
	for _, node := range f.nodes {
		if acting := node.Acting(); len(acting) > 1 || acting[0].Version != version {
			return false
		}
	}
	return true
}

// without is how many members do not act on a version, alone or beside another.
func (f *gossipFleet) without(version versions.Version) (members int) {
	for _, node := range f.nodes {
		if node.Newest().Version != version {
			members++
		}
	}
	return members
}

// measureRollout gives one member of a fleet a further version, and lets time pass until it is in force alone, or for
// gossipMost.
func measureRollout(ctx context.Context, members int, size pieceSize) (rollout, error) {
	f, err := newGossipFleet(ctx, members, size)
	if err != nil {
		return rollout{}, err
	}
	text := make([]byte, documentBytes)
	text[0] = 1
	next := versions.NewDoc(2, text)
	began := f.now
	sends, err := f.nodes[0].Offer(next, f.now)
	if err != nil {
		return rollout{}, fmt.Errorf("the version was turned down: %w", err)
	}
	f.cost.cpu = leastProcessorTime(1, func() {
		f.post(sends)
		for f.now-began < gossipMost && ctx.Err() == nil && !f.inForceAlone(next.Version) {
			f.step()
		}
	})
	f.cost.inForce, f.cost.without = f.now-began, f.without(next.Version)
	return f.cost, ctx.Err()
}
