// Package limits holds every size, count and time that bounds the daemon.
package limits

import (
	"fmt"
	"time"
)

// Limits is filled once at start and handed down.
type Limits struct {
	Sockets  int // descriptors this process may hold
	MemoryMB int

	Downstream int // client connections held at once, over all fronts
	Upstream   int // connections to upstream hosts held at once
	HeadBytes  int // of a message's start line and headers
	BodyBytes  int // of a message's body
	KeepBytes  int // of a body that is kept whole, since a try again needs it; a longer one is passed on as it comes
	FlowBytes  int // of all bodies passed on in one direction, held between their connections; see Window

	DownstreamIdle time.Duration // a client connection silent this long between requests is closed
	FirstTime      time.Duration // from connecting, in which a first request must be whole
	HeadTime       time.Duration // from its first byte, in which a request's head must be whole
	BodyRate       int           // bytes a second of a body, beyond that time; a slower one is given up
	FlowSilence    time.Duration // a body passed on is given up when its peer gives or takes nothing for this long
	FlowEarly      time.Duration // after which an answer of unknown length is passed on though it may be short
	FreshTime      time.Duration // for which a connection that was never served is left its place, however scarce
	Linger         time.Duration // for which bytes of a closed connection are still read
	LingerBytes    int           // and how many
	Accepts        int           // connections accepted in a turn of the loop
	Ahead          int           // requests that a client has sent ahead which one turn takes up
	Callers        int           // operators' connections held at once
	CallerBytes    int           // of an operator's line
	CallerTime     time.Duration // after which an operator's connection is closed
	UpstreamIdle   time.Duration // an upstream connection idle this long is dropped
	UpstreamRest   time.Duration // after an answer, in which a second one to the same request may come
	DialLimit      time.Duration // for a connection to come up

	CounterConns   int           // connections to the counter
	CounterPending int           // calls written and not answered on one of them
	CounterLimit   time.Duration // for a call
	CounterIdle    time.Duration // a counter connection idle this long is dropped
	CounterSilence time.Duration // one that owes answers this long is given up
	CounterStuck   time.Duration // one that owes answers this long while another is heard: given up
	CounterMove    time.Duration // for which calls to a counter that has moved may still be answered there
	BackoffFirst   time.Duration // wait before a new connection after a failed one; doubles
	BackoffMost    time.Duration

	ClusterBytes   int           // of one of discovery's messages
	ClusterDial    time.Duration // for a watch's connection to come up
	ClusterAnswer  time.Duration // for a watch to begin its answer; doubles with each in a row that did not
	ClusterSilence time.Duration // a watch with nothing for this long is opened anew: a sign of life comes every 2 s
	ClusterSpread  time.Duration // over which a fleet's first watches are spread, each at an instant of its own
	ClusterFirst   time.Duration // wait before a further watch after a failed one; doubles, and is then spread, too
	ClusterMost    time.Duration // and the most of it
	ClusterApart   time.Duration // from a watch's last sign of life, or its opening, to the next at the most, whatever failed
	ReadyWait      time.Duration // after which the daemon is ready though discovery is silent

	AnswerMargin time.Duration // before the client's own deadline, for the answer's way back
	DrainAccept  time.Duration // after SIGTERM, for which new connections are still taken
	DrainMost    time.Duration // after SIGTERM, at which what is still open is answered, and then the daemon ends
	DrainFlush   time.Duration // for those answers' way out

	// Of an upgrade, by phase; see package phase.
	HelloMost     time.Duration // for the new process to start
	PrepareMost   time.Duration // to read its configuration and reach discovery
	CopyMost      time.Duration // for customers to be copied ahead
	FreezeMost    time.Duration // from the last read of the old process to the commit; an upgrade over it fails
	Probation     time.Duration // for which the old process takes back what its successor drops
	HandoverBytes int           // of one message
	HandoverQueue int           // bytes of messages that may wait, beyond which no more customers are copied
	CounterShared int           // counter connections of the new process while the old one may have its own

	// Of the membership, where it is on.
	MemberPeriod    time.Duration // between probes; one is out at a time
	MemberAck       time.Duration // for a probe's answer before others are asked to help
	MemberSuspect   time.Duration // after which a suspect that was not heard is dead
	MemberHelpers   int           // asked to probe for an ingress
	MemberCarry     int           // updates on a message
	Datagrams       int           // read from peers in a turn of the loop
	DatagramsSecond int           // and taken in in a second: the rest is dropped

	// Of the control group, where there is one.
	ControlReadyWait time.Duration // after which a new process is ready though it holds no lease
	ControlDial      time.Duration // for a connection to a replica to come up
	ControlFirst     time.Duration // for the first word on it
	ControlSilence   time.Duration // after which a replica that has said nothing is left for the next one
	ControlAnswer    time.Duration // for the group to tell what became of a proposed version
	ControlEnd       time.Duration // at the end, for a replica to see that this process has given up its leases
	ControlQueue     int           // bytes of requests that a replica may leave unread

	TelemetryQueue int           // records, and spans, that may wait to be exported
	TelemetryEvery time.Duration // between exports
}

// reserve is what is kept free of connections: standard streams, epoll, eventfd,
// listeners, discovery, operators, telemetry's exporters, the runtime's own.
const reserve = 56

// downstreamPart of all descriptors, in percent, are for clients at the most.
const downstreamPart = 29

// Bodies that are passed on hold a part of the memory at the most: those under way share it.
const (
	flowPart  = 16 // in each direction
	flowMost  = 64 << 10
	flowLeast = 8 << 10
)

// Window is how many bytes may be held of one more body, where so many are passed on already.
func (l Limits) Window(flows int) int {
	return min(flowMost, max(flowLeast, l.FlowBytes/(flows+1)))
}

// RequestTime is how long a request may take to come, from its first byte, of whose body so much has come.
func (l Limits) RequestTime(body int) time.Duration {
	return l.HeadTime + time.Duration(body)*time.Second/time.Duration(l.BodyRate)
}

// Site is what the configuration tells of the machine and of its peers.
type Site struct {
	Sockets, MemoryMB                  int
	IdleClose, DialLimit, CounterLimit time.Duration
	LongestDeadline                    time.Duration
	Gateways                           int           // ingresses of the fleet, which share discovery and the counter
	DrainGrace                         time.Duration // in which nothing new goes to a host that is told to drain
	Pushed                             bool          // discovery is an agent of this machine that has to be asked for nothing
}

// Shares of what the whole fleet may ask of discovery, which is one service of fixed capacity: calls wait in
// turn and fail when they have waited too long, and a failed one has cost it as much. An ingress alone takes
// one of these for itself.
const (
	clusterSpread = 3 * time.Millisecond   // between first watches
	clusterFirst  = 60 * time.Millisecond  // between watches after one failure each
	clusterMost   = 100 * time.Millisecond // between watches when all have failed again and again
)

// clusterApart leaves half a second of the 6 s after which what discovery has counts as told to whoever can reach it.
const clusterApart = 5500 * time.Millisecond

// agentMost is the longest wait between watches at an agent of this machine that refuses them.
const agentMost = 250 * time.Millisecond

// Connections to the counter. An ingress of a few, which makes most of the counter's calls, has many, so that
// a slow part of the counter holds up few calls of another. One of many makes a few calls a second: on many
// connections nearly each call would wait for its own to come up.
const (
	counterFleet = 96 // over all ingresses
	counterMost  = 24 // of one
	counterLeast = 2
)

// For fills in the limits of a site.
func For(s Site) (Limits, error) {
	l := Limits{
		Sockets: s.Sockets, MemoryMB: s.MemoryMB,
		HeadBytes: 16 << 10, BodyBytes: 32 << 20, KeepBytes: 64 << 10,
		DownstreamIdle: 30 * time.Second, FirstTime: 2 * time.Second, HeadTime: 3 * time.Second,
		BodyRate: 48 << 10, FlowSilence: 20 * time.Second, FlowEarly: 100 * time.Millisecond,
		FreshTime: 25 * time.Millisecond, Linger: time.Second, LingerBytes: 1 << 20, Accepts: 64, Ahead: 16,
		Callers: 16, CallerBytes: 256, CallerTime: 6 * time.Second,
		UpstreamIdle: s.IdleClose * 8 / 10, UpstreamRest: 10 * time.Millisecond, DialLimit: s.DialLimit,
		CounterConns: min(counterMost, max(counterLeast, counterFleet/max(1, s.Gateways))), CounterPending: 48, CounterLimit: s.CounterLimit,
		CounterIdle: 4 * time.Second, CounterSilence: 2 * time.Second, CounterStuck: 4 * s.CounterLimit,
		CounterMove:  1500 * time.Millisecond,
		BackoffFirst: 20 * time.Millisecond, BackoffMost: 500 * time.Millisecond,
		ClusterBytes: 1 << 20, ClusterDial: time.Second, ClusterAnswer: 5 * time.Second, ClusterSilence: 5 * time.Second, ReadyWait: 400 * time.Millisecond,
		ClusterApart:  clusterApart,
		ClusterSpread: clusterSpread * time.Duration(max(0, s.Gateways-1)),
		AnswerMargin:  8 * time.Millisecond,
		DrainAccept:   700 * time.Millisecond,
		DrainMost:     s.LongestDeadline + 600*time.Millisecond, // the platform kills 100 ms later at the earliest
		DrainFlush:    50 * time.Millisecond,
		HelloMost:     2 * time.Second, PrepareMost: 4 * time.Second, CopyMost: 20 * time.Second, FreezeMost: time.Second,
		Probation: 2 * time.Second, HandoverBytes: 16 << 20, HandoverQueue: 256 << 10, CounterShared: 8,
		TelemetryQueue: 2048, TelemetryEvery: 5 * time.Second,
		MemberPeriod: 300 * time.Millisecond, MemberAck: 100 * time.Millisecond, MemberSuspect: 1000 * time.Millisecond,
		// A silent replica is left while half a second of a settings lease of 1.5 s remains for the next one. Longer than
		// an election, in which no replica has anything to say.
		ControlReadyWait: 5 * time.Second, ControlDial: 300 * time.Millisecond,
		ControlFirst: 500 * time.Millisecond, ControlSilence: time.Second,
		ControlAnswer: 5 * time.Second, ControlEnd: 100 * time.Millisecond, ControlQueue: 256 << 10,
		MemberHelpers: 2, MemberCarry: 6, Datagrams: 64, DatagramsSecond: 400,
	}
	// Clients may come before a process that took a dead one's place is up, and what it would have been told had it
	// asked at once counts as told: later than the grace it would send to hosts that have long drained.
	if s.DrainGrace > 0 {
		l.ClusterSpread = min(l.ClusterSpread, s.DrainGrace/2)
	}
	l.ClusterFirst = max(l.BackoffFirst, clusterFirst*time.Duration(s.Gateways))
	l.ClusterMost = max(l.BackoffMost, clusterMost*time.Duration(s.Gateways))
	// What an agent has counts as told, whether a watch is open or not, and it answers at once and at no cost: each
	// watch that is lost, refused or silent is made good within the grace, or as soon as its silence shows.
	if s.Pushed {
		l.ClusterSpread, l.ClusterFirst, l.ClusterMost = 0, l.BackoffFirst, agentMost
		if s.DrainGrace > 0 {
			l.ClusterMost = min(agentMost, s.DrainGrace/2)
		}
		l.ClusterAnswer, l.ClusterSilence = time.Second, 3*time.Second
	}
	if l.UpstreamIdle <= 0 {
		l.UpstreamIdle = 4 * time.Second
	}
	if l.DialLimit <= 0 {
		l.DialLimit = 250 * time.Millisecond
	}
	if l.CounterLimit <= 0 {
		l.CounterLimit = 50 * time.Millisecond
	}
	free := l.Sockets - reserve - l.CounterConns
	if free < 32 {
		return Limits{}, fmt.Errorf("limits.sockets is %d, need at least %d", l.Sockets, reserve+l.CounterConns+32)
	}
	// All clients together hold at most a third of the descriptors. Connections that stand idle for good count
	// there: if that third were reached before our own bound, nobody could connect and we would close nothing.
	l.Downstream = min(free/2, l.Sockets*downstreamPart/100)
	l.Upstream = free - l.Downstream
	l.FlowBytes = l.MemoryMB << 20 / flowPart
	return l, nil
}
