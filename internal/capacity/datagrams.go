package capacity

import (
	"context"
	"time"
)

// Of the simulated network between ingresses.
const (
	networkStep  = 5 * time.Millisecond  // a datagram's way
	memberTick   = 25 * time.Millisecond // between ticks of a node, as the daemon calls them
	slowTick     = 50 * time.Millisecond // the same while only time has to pass
	headerBytes  = 28                    // of IPv4 and UDP, for each datagram
	allTick      = -1
	networkStart = time.Hour
)

// datagram is a message under way.
type datagram struct {
	to      int
	content []byte
}

// datagramNetwork carries datagrams between the nodes of one process in simulated time: each arrives one step later. A
// node takes so many a second and drops the rest, as package peers does; no other is lost. Nodes are numbered.
type datagramNetwork struct {
	now       time.Duration
	down      []bool // hear and say nothing
	receive   func(node int, content []byte)
	tick      func(node int)
	tickEvery time.Duration
	mostTaken int   // datagrams that a node takes in a second
	taken     []int // by each, in the present second
	dropped   int
	alone     int // the one node that ticks, while the others only answer; allTick: none does so alone
	underWay  []datagram
	messages  int // sent so far
	bytes     int // of these, with headers
}

func newDatagramNetwork(nodes, mostTaken int) *datagramNetwork {
	return &datagramNetwork{now: networkStart, down: make([]bool, nodes), tickEvery: memberTick, alone: allTick,
		mostTaken: mostTaken, taken: make([]int, nodes)}
}

// send puts a datagram on its way.
func (n *datagramNetwork) send(to int, content []byte) {
	n.messages++
	n.bytes += len(content) + headerBytes
	n.underWay = append(n.underWay, datagram{to, content})
}

// step delivers what is under way and ticks the nodes whose turn it is: they take turns within a tick's time.
func (n *datagramNetwork) step() {
	n.now += networkStep
	if n.now%time.Second == 0 {
		clear(n.taken)
	}
	arriving := n.underWay
	n.underWay = nil
	for _, d := range arriving {
		n.deliver(d)
	}
	turns := int(n.tickEvery / networkStep)
	for node := int(n.now/networkStep) % turns; node < len(n.down); node += turns {
		if !n.down[node] && (n.alone == allTick || n.alone == node) {
			n.tick(node)
		}
	}
}

// deliver gives a datagram to its node.
func (n *datagramNetwork) deliver(d datagram) {
	switch {
	case n.down[d.to]:
	case n.taken[d.to] >= n.mostTaken:
		n.dropped++
	default:
		n.taken[d.to]++
		n.receive(d.to, d.content)
	}
}

// run lets so much time pass.
func (n *datagramNetwork) run(ctx context.Context, length time.Duration) error {
	_, err := n.runUntil(ctx, length, length, func() bool { return false })
	return err
}

// runUntil lets time pass until reached tells so, which is asked at each interval, most at the longest, and returns how
// much did.
func (n *datagramNetwork) runUntil(ctx context.Context, most, interval time.Duration, reached func() bool) (time.Duration, error) {
	began := n.now
	for !reached() && n.now-began < most {
		for end := n.now + interval; n.now < end; n.step() {
			if err := ctx.Err(); err != nil {
				return 0, err
			}
		}
	}
	return n.now - began, nil
}
