package capacity

import (
	"context"
	"errors"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/membership"
)

// Of the measurements of a loss of members.
const (
	lossSettle = 2 * time.Second // before it
	lossMost   = 3 * time.Minute // until the members that are left agree on it
	lossCheck  = 50 * time.Millisecond
)

// loss is what the loss of members costs those that are left.
type loss struct {
	agreed         time.Duration // until all that are left agree on who is dead, lossMost at most
	bytesPerSecond float64       // sent and received by one of them meanwhile, with headers
	processorShare float64       // of a core, of one of them in that time
}

// agreed tells whether every member that is there holds those for dead whose process is gone, and nobody else for dead
// or suspect.
func (f *membershipFleet) agreed() bool {
	for member, node := range f.nodes {
		if f.down[member] {
			continue
		}
		for _, other := range node.View().Members {
			number, err := strconv.Atoi(other.Name)
			if err != nil || (other.State == membership.Dead) != f.down[number] || other.State == membership.Suspect {
				return false
			}
		}
	}
	return true
}

// newIntroducedFleet returns a fleet whose members may all use their shares. Instead of waiting for the members to find
// that out, each is handed a word of each other at once: so a fleet of hundreds is ready in a fraction of the time.
func newIntroducedFleet(ctx context.Context, size int) (*membershipFleet, error) {
	fleet, err := newMembershipFleet(size)
	if err != nil {
		return nil, err
	}
	fleet.underWay = nil // questions of a start, which are answered by this
	for member, node := range fleet.nodes {
		for other := range fleet.nodes {
			if other != member {
				node.Handle(fleet.now, membership.Received{Msg: introduction(strconv.Itoa(other), strconv.Itoa(member))})
			}
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	if err := fleet.run(ctx, lossSettle); err != nil {
		return nil, err
	}
	if !fleet.settled() {
		return nil, errors.New("the members of a fleet that has been introduced are not settled")
	}
	return fleet, fleet.err
}

// introduction is an answer that shows its sender to be there, and to know the receiver.
func introduction(from, to string) membership.Message {
	return membership.Message{Kind: membership.Ack, From: from, Updates: []membership.Update{
		{Name: to, Incarnation: firstIncarnation}, {Name: from, Incarnation: firstIncarnation}}}
}

// measureLoss ends a part of a fleet at one instant.
func measureLoss(ctx context.Context, size int, part float64) (lost loss, err error) {
	fleet, err := newIntroducedFleet(ctx, size)
	if err != nil {
		return lost, err
	}
	gone := max(1, int(part*float64(size)))
	for i := range gone {
		fleet.down[i*size/gone] = true
	}
	bytes := fleet.bytes
	spent := leastProcessorTime(1, func() { lost.agreed, err = fleet.runUntil(ctx, lossMost, lossCheck, fleet.agreed) })
	each := lost.agreed.Seconds() * float64(size-gone)
	lost.bytesPerSecond = 2 * float64(fleet.bytes-bytes) / each
	lost.processorShare = spent.Seconds() / each
	return lost, errors.Join(err, fleet.err)
}
