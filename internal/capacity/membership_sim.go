package capacity

import (
	"context"
	"errors"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/membership"
)

// Time of the simulated membership.
const (
	memberStep   = 5 * time.Millisecond // a message arrives in the next step
	memberTick   = 25 * time.Millisecond
	memberMost   = 2 * time.Minute // that an event is followed for
	memberSettle = 2 * time.Second // before it
	memberBorn   = 1               // incarnation of the processes at the start
)

// datagram is an encoded message on its way.
type datagram struct {
	to    int
	bytes []byte
}

// memberFleet is a fleet of failure detectors, each the real [membership.Node], over a network of simulated time. What
// they send is encoded and read as between ingresses, and a member drops what comes in beyond its bound a second.
type memberFleet struct {
	now    time.Duration
	lim    limits.Limits
	names  []string
	nodes  []*membership.Node // nil: the process is gone
	taken  []int
	onWay  []datagram
	sent   int // messages
	bytes  int
	errors []error
}

// newMemberFleet returns members that are settled: each has heard each other and holds its incarnation.
func newMemberFleet(ctx context.Context, members int) (*memberFleet, error) {
	lim, err := limits.For(limits.Site{Sockets: ingressSockets, Gateways: members})
	if err != nil {
		return nil, err
	}
	f := &memberFleet{now: time.Hour, lim: lim, taken: make([]int, members), nodes: make([]*membership.Node, members)}
	for i := range members {
		f.names = append(f.names, strconv.Itoa(i))
	}
	for i := range members {
		f.start(i, memberBorn)
	}
	for i, node := range f.nodes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		for j, name := range f.names {
			if i != j {
				node.Handle(f.now, membership.Received{Msg: membership.Message{Kind: membership.Ack, From: name,
					Updates: []membership.Update{{Name: f.names[i], Incarnation: memberBorn}, {Name: name, Incarnation: memberBorn}}}})
			}
		}
	}
	f.run(ctx, memberSettle, func() bool { return false })
	return f, ctx.Err()
}

// start begins a process of a member, as the ingress does.
func (f *memberFleet) start(me int, incarnation uint64) {
	f.nodes[me] = membership.New(membership.Config{Me: f.names[me], Incarnation: incarnation, Seed: uint64(me) + incarnation<<32,
		Period: f.lim.MemberPeriod, AckWithin: f.lim.MemberAck, SuspectFor: f.lim.MemberSuspect,
		Helpers: f.lim.MemberHelpers, Carry: f.lim.MemberCarry, Least: len(f.names)}, f.now)
	f.nodes[me].Roster(f.names, f.now)
}

// join has a process that was started ask the others.
func (f *memberFleet) join(me int) {
	f.post(f.nodes[me].Handle(f.now, membership.Join{Seeds: f.names}))
}

// post puts messages on their way.
func (f *memberFleet) post(sends []membership.Send) {
	for _, send := range sends {
		to, err := strconv.Atoi(send.To)
		if err != nil {
			f.errors = append(f.errors, err)
			continue
		}
		encoded := membership.Append(nil, send.Msg)
		f.sent++
		f.bytes += len(encoded)
		f.onWay = append(f.onWay, datagram{to, encoded})
	}
}

// run lets time pass until a condition holds, which is looked at after each tick.
func (f *memberFleet) run(ctx context.Context, most time.Duration, done func() bool) (took time.Duration) {
	began := f.now
	for f.now-began < most && ctx.Err() == nil {
		f.step()
		if f.now%memberTick == 0 && done() {
			break
		}
	}
	return f.now - began
}

func (f *memberFleet) step() {
	if f.now%time.Second == 0 {
		clear(f.taken)
	}
	arriving := f.onWay
	f.onWay = nil
	for _, d := range arriving {
		if f.taken[d.to]++; f.nodes[d.to] == nil || f.taken[d.to] > f.lim.DatagramsSecond {
			continue
		}
		msg, err := membership.Parse(d.bytes)
		if err != nil {
			f.errors = append(f.errors, err)
			continue
		}
		f.post(f.nodes[d.to].Handle(f.now, membership.Received{Msg: msg}))
	}
	if f.now%memberTick == 0 {
		for _, node := range f.nodes {
			if node != nil {
				f.post(node.Handle(f.now, membership.Tick{}))
			}
		}
	}
	f.now += memberStep
}

// agreed tells whether every member that is there holds just those for dead whose process is gone.
func (f *memberFleet) agreed() bool {
	for _, node := range f.nodes {
		if node == nil {
			continue
		}
		for _, member := range node.View().Members {
			number, err := strconv.Atoi(member.Name)
			if err != nil || (member.State == membership.Dead) != (f.nodes[number] == nil) || member.State == membership.Suspect {
				return false
			}
		}
	}
	return true
}

// loss is what the loss of members costs those that are left.
type loss struct {
	agreed  time.Duration // until all that are left agree on who is dead, memberMost at most
	bytes   float64       // a second that one of them sends meanwhile
	cpu     time.Duration // of one of them in that time
	members int           // that are left
}

// measureLoss ends a part of a fleet at one instant.
func measureLoss(ctx context.Context, members int, part float64) (lost loss, err error) {
	f, err := newMemberFleet(ctx, members)
	if err != nil {
		return lost, err
	}
	gone := max(1, int(part*float64(members)))
	for i := range gone {
		f.nodes[i*members/gone] = nil
	}
	f.bytes = 0
	cpu := leastProcessorTime(1, func() { lost.agreed = f.run(ctx, memberMost, f.agreed) })
	lost.members = members - gone
	lost.cpu = cpu / time.Duration(lost.members)
	lost.bytes = float64(f.bytes) / lost.agreed.Seconds() / float64(lost.members)
	return lost, errors.Join(append(f.errors, ctx.Err())...)
}

// measureRestart restarts one member, while so many others are dead for long, and returns the time until it may use
// its share of joint budgets.
func measureRestart(ctx context.Context, members, dead int, most time.Duration) (time.Duration, error) {
	f, err := newMemberFleet(ctx, members)
	if err != nil {
		return 0, err
	}
	for i := range dead {
		f.nodes[members-1-i] = nil
	}
	if dead > 0 {
		f.run(ctx, memberMost, f.agreed)
	}
	f.start(0, memberBorn+1)
	f.join(0)
	took := f.run(ctx, most, func() bool { return f.nodes[0].Settled(f.now) })
	return took, errors.Join(append(f.errors, ctx.Err())...)
}
