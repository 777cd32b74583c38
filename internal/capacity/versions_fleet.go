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

// Of the measurements of versions that spread by gossip.
const (
	versionsMost  = 15 * time.Second // watched for a change
	versionsQuiet = time.Second      // before it, in which the first reports come
	versionBytes  = 2000             // of the document
	documentName  = "settings"
	documentMost  = 64 << 10
)

// versionsFleet is the real agreement on versions of a fleet, on a simulated network.
type versionsFleet struct {
	*datagramNetwork
	nodes []*versions.Node
	err   error // the first
}

// document is a version of the settings; its content hardly matters here.
func document(number uint64) versions.Doc {
	return versions.NewDoc(number, fmt.Appendf(nil, "%0*d", versionBytes, number))
}

// newVersionsFleet starts so many members on the first version. Of these the last ones are dead.
func newVersionsFleet(size, dead int) (*versionsFleet, error) {
	bounds, err := limits.For(limits.Site{Sockets: 384, MemoryMB: 192, Gateways: size})
	if err != nil {
		return nil, err
	}
	f := &versionsFleet{datagramNetwork: newDatagramNetwork(size, bounds.DatagramsSecond), nodes: make([]*versions.Node, size)}
	f.receive, f.tick = f.received, func(node int) { f.sent(f.nodes[node].Tick(f.now)) }
	// Pieces of a document are only understood by members that cut them to the same size.
	piece := membership.Datagram - versions.Overhead - len(documentName) - len(strconv.Itoa(size-1))
	for member := range size {
		f.down[member] = member >= size-dead
		f.nodes[member] = versions.New(versions.Config{Me: strconv.Itoa(member), Doc: documentName, Seed: uint64(member),
			Period: bounds.MemberPeriod, AskAgain: bounds.MemberAck, Lease: time.Duration(size+1) * bounds.MemberPeriod,
			Check: func([]byte) error { return nil }, TextMost: documentMost, PieceMost: piece}, document(1), f.now)
	}
	for member, node := range f.nodes {
		var others []string
		for other := range size {
			if other != member {
				others = append(others, strconv.Itoa(other))
			}
		}
		if !f.down[member] {
			f.sent(node.Fleet(others, f.now))
		}
	}
	return f, nil
}

func (f *versionsFleet) received(member int, content []byte) {
	message, err := versions.Parse(content)
	if err != nil {
		f.err = errors.Join(f.err, err)
		return
	}
	f.sent(f.nodes[member].Handle(message, f.now))
}

func (f *versionsFleet) sent(out []versions.Send) {
	for _, s := range out {
		to, err := strconv.Atoi(s.To)
		if err != nil {
			f.err = errors.Join(f.err, err)
			continue
		}
		f.send(to, versions.Append(nil, s.Msg))
	}
}

// acting tells whether every member that is there acts on a version, and whether on that alone.
func (f *versionsFleet) acting(version versions.Version) (all, alone bool) {
	all, alone = true, true
	for member, node := range f.nodes {
		if !f.down[member] {
			all = all && node.Newest().Version == version
			alone = alone && len(node.Acting()) == 1
		}
	}
	return all, all && alone
}

// versionsCost is what one change of the settings costs each member of a fleet, and how long it takes.
type versionsCost struct {
	messages     float64 // sent by one member until the change is alone in force
	kilobytes    float64 // of these, sent and received, with headers
	milliseconds float64 // of processor time
	heap         float64 // KB of a member that knows all reports
	allSeconds   float64 // until all act on it, together with the old one
	aloneSeconds float64 // until it is alone in force; versionsMost: not within that
	dropped      float64 // datagrams over what a member takes in a second, of one member
}

// measureVersions gives one member of a fleet a new version. Of the others so many are dead.
func measureVersions(ctx context.Context, size, dead int) (cost versionsCost, err error) {
	fleet, heap, err := heapOf(func() (*versionsFleet, error) {
		fleet, err := newVersionsFleet(size, dead)
		if err != nil {
			return nil, err
		}
		return fleet, fleet.run(ctx, versionsQuiet)
	})
	if err != nil {
		return cost, err
	}
	cost.heap = heap / 1e3 / float64(size)
	next := document(2)
	messages, bytes, dropped, began := fleet.messages, fleet.bytes, fleet.dropped, fleet.now
	spent := leastProcessorTime(1, func() {
		var out []versions.Send
		if out, err = fleet.nodes[0].Offer(next, fleet.now); err != nil {
			return
		}
		fleet.sent(out)
		cost.allSeconds, cost.aloneSeconds = versionsMost.Seconds(), versionsMost.Seconds()
		_, err = fleet.runUntil(ctx, versionsMost, networkStep, func() bool {
			all, alone := fleet.acting(next.Version)
			passed := (fleet.now - began).Seconds()
			if all {
				cost.allSeconds = min(cost.allSeconds, passed)
			}
			if alone {
				cost.aloneSeconds = min(cost.aloneSeconds, passed)
			}
			return alone
		})
	})
	cost.dropped = float64(fleet.dropped-dropped) / float64(size)
	cost.messages = float64(fleet.messages-messages) / float64(size)
	cost.kilobytes = 2 * float64(fleet.bytes-bytes) / float64(size) / 1e3
	cost.milliseconds = milliseconds(spent) / float64(size)
	return cost, errors.Join(err, fleet.err)
}
