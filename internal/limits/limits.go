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

	MaxDownstreamConns   int // client connections held at once, over all fronts
	MaxUpstreamConns     int // connections to upstream hosts held at once
	MaxHeaderBytes       int // of a message's start line and headers
	MaxBodyBytes         int // of a message's body
	MaxBufferedBodyBytes int // of a body that is kept whole, since a try again needs it; a longer one is passed on as it comes
	MaxRelayBufferBytes  int // of all bodies passed on in one direction, held between their connections; see Window

	DownstreamIdleTimeout  time.Duration // a client connection silent this long between requests is closed
	FirstRequestTimeout    time.Duration // from connecting, in which a first request must be whole
	HeaderTimeout          time.Duration // from its first byte, in which a request's head must be whole
	MinBodyRate            int           // bytes a second of a body, beyond that time; a slower one is given up
	RelayStallTimeout      time.Duration // a body passed on is given up when its peer gives or takes nothing for this long
	RelayStartDelay        time.Duration // after which an answer of unknown length is passed on though it may be short
	EvictionGrace          time.Duration // for which a connection that was never served is left its place, however scarce
	LingerTimeout          time.Duration // for which bytes of a closed connection are still read
	MaxLingerBytes         int           // and how many
	MaxAcceptsPerTurn      int           // connections accepted in a turn of the loop
	MaxPipelinedPerTurn    int           // requests that a client has sent ahead which one turn takes up
	MaxManagementConns     int           // operators' connections held at once
	MaxManagementLineBytes int           // of an operator's line
	ManagementConnTimeout  time.Duration // after which an operator's connection is closed
	UpstreamIdleTimeout    time.Duration // an upstream connection idle this long is dropped
	UpstreamReuseDelay     time.Duration // after an answer, in which a second one to the same request may come
	DialTimeout            time.Duration // for a connection to come up

	CounterConns           int           // connections to the counter
	MaxPendingCounterCalls int           // calls written and not answered on one of them
	CounterCallTimeout     time.Duration // for a call
	CounterIdleTimeout     time.Duration // a counter connection idle this long is dropped
	CounterSilenceTimeout  time.Duration // one that owes answers this long is given up
	CounterStuckTimeout    time.Duration // one that owes answers this long while another is heard: given up
	CounterMoveTimeout     time.Duration // for which calls to a counter that has moved may still be answered there
	InitialBackoff         time.Duration // wait before a new connection after a failed one; doubles
	MaxBackoff             time.Duration

	MaxClusterMessageBytes int           // of one of discovery's messages
	ClusterDialTimeout     time.Duration // for a watch's connection to come up
	ClusterResponseTimeout time.Duration // for a watch to begin its answer; doubles with each in a row that did not
	ClusterSilenceTimeout  time.Duration // a watch with nothing for this long is opened anew: a sign of life comes every 2 s
	ClusterJitter          time.Duration // over which a fleet's first watches are spread, each at an instant of its own
	ClusterInitialBackoff  time.Duration // wait before a further watch after a failed one; doubles, and is then spread, too
	ClusterMaxBackoff      time.Duration // and the most of it
	ClusterMaxWatchGap     time.Duration // from a watch's last sign of life, or its opening, to the next at the most, whatever failed
	DiscoveryReadyTimeout  time.Duration // after which the daemon is ready though discovery is silent

	DeadlineMargin    time.Duration // before the client's own deadline, for the answer's way back
	DrainAcceptPeriod time.Duration // after SIGTERM, for which new connections are still taken
	DrainTimeout      time.Duration // after SIGTERM, at which what is still open is answered, and then the daemon ends
	DrainFlushPeriod  time.Duration // for those answers' way out

	// Of an upgrade, by phase; see package phase.
	HelloTimeout            time.Duration // for the new process to start
	PrepareTimeout          time.Duration // to read its configuration and reach discovery
	CopyTimeout             time.Duration // for customers to be copied ahead
	FreezeTimeout           time.Duration // from the last read of the old process to the commit; an upgrade over it fails
	ProbationPeriod         time.Duration // for which the old process takes back what its successor drops
	MaxHandoverMessageBytes int           // of one message
	MaxHandoverQueueBytes   int           // bytes of messages that may wait, beyond which no more customers are copied
	UpgradeCounterConns     int           // counter connections of the new process while the old one may have its own

	// Of the membership, where it is on.
	MemberProbeInterval     time.Duration // between probes; one is out at a time
	MemberAckTimeout        time.Duration // for a probe's answer before others are asked to help
	MemberSuspicionTimeout  time.Duration // after which a suspect that was not heard is dead
	MemberIndirectProbes    int           // asked to probe for an ingress
	MemberUpdatesPerMessage int           // updates on a message
	MaxDatagramsPerTurn     int           // read from peers in a turn of the loop
	MaxDatagramsPerSecond   int           // and taken in in a second: the rest is dropped

	// Of the control group, where there is one.
	ControlReadyTimeout        time.Duration // after which a new process is ready though it holds no lease
	ControlDialTimeout         time.Duration // for a connection to a replica to come up
	ControlFirstMessageTimeout time.Duration // for the first word on it
	ControlSilenceTimeout      time.Duration // after which a replica that has said nothing is left for the next one
	ControlProposalTimeout     time.Duration // for the group to tell what became of a proposed version
	ControlReleaseTimeout      time.Duration // at the end, for a replica to see that this process has given up its leases
	MaxControlQueueBytes       int           // bytes of requests that a replica may leave unread

	TelemetryQueueLength int           // records, and spans, that may wait to be exported
	TelemetryInterval    time.Duration // between exports
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

// RelayWindow is how many bytes may be held of one more body, where so many are passed on already.
func (l Limits) RelayWindow(flows int) int {
	return min(flowMost, max(flowLeast, l.MaxRelayBufferBytes/(flows+1)))
}

// RequestTimeout is how long a request may take to come, from its first byte, of whose body so much has come.
func (l Limits) RequestTimeout(body int) time.Duration {
	return l.HeaderTimeout + time.Duration(body)*time.Second/time.Duration(l.MinBodyRate)
}

// Site is what the configuration tells of the machine and of its peers.
type Site struct {
	Sockets, MemoryMB                                int
	HostIdleTimeout, DialTimeout, CounterCallTimeout time.Duration
	LongestDeadline                                  time.Duration
	Ingresses                                        int           // ingresses of the fleet, which share discovery and the counter
	DrainGrace                                       time.Duration // in which nothing new goes to a host that is told to drain
	HasLocalAgent                                    bool          // discovery is an agent of this machine that has to be asked for nothing
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
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 32 << 20, MaxBufferedBodyBytes: 64 << 10,
		DownstreamIdleTimeout: 30 * time.Second, FirstRequestTimeout: 2 * time.Second, HeaderTimeout: 3 * time.Second,
		MinBodyRate: 48 << 10, RelayStallTimeout: 20 * time.Second, RelayStartDelay: 100 * time.Millisecond,
		EvictionGrace: 25 * time.Millisecond, LingerTimeout: time.Second, MaxLingerBytes: 1 << 20, MaxAcceptsPerTurn: 64, MaxPipelinedPerTurn: 16,
		MaxManagementConns: 16, MaxManagementLineBytes: 256, ManagementConnTimeout: 6 * time.Second,
		UpstreamIdleTimeout: s.HostIdleTimeout * 8 / 10, UpstreamReuseDelay: 10 * time.Millisecond, DialTimeout: s.DialTimeout,
		CounterConns: min(counterMost, max(counterLeast, counterFleet/max(1, s.Ingresses))), MaxPendingCounterCalls: 48, CounterCallTimeout: s.CounterCallTimeout,
		CounterIdleTimeout: 4 * time.Second, CounterSilenceTimeout: 2 * time.Second, CounterStuckTimeout: 4 * s.CounterCallTimeout,
		CounterMoveTimeout: 1500 * time.Millisecond,
		InitialBackoff:     20 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
		MaxClusterMessageBytes: 1 << 20, ClusterDialTimeout: time.Second, ClusterResponseTimeout: 5 * time.Second, ClusterSilenceTimeout: 5 * time.Second, DiscoveryReadyTimeout: 400 * time.Millisecond,
		ClusterMaxWatchGap: clusterApart,
		ClusterJitter:      clusterSpread * time.Duration(max(0, s.Ingresses-1)),
		DeadlineMargin:     8 * time.Millisecond,
		DrainAcceptPeriod:  700 * time.Millisecond,
		DrainTimeout:       s.LongestDeadline + 600*time.Millisecond, // the platform kills 100 ms later at the earliest
		DrainFlushPeriod:   50 * time.Millisecond,
		HelloTimeout:       2 * time.Second, PrepareTimeout: 4 * time.Second, CopyTimeout: 20 * time.Second, FreezeTimeout: time.Second,
		ProbationPeriod: 2 * time.Second, MaxHandoverMessageBytes: 16 << 20, MaxHandoverQueueBytes: 256 << 10, UpgradeCounterConns: 8,
		TelemetryQueueLength: 2048, TelemetryInterval: 5 * time.Second,
		MemberProbeInterval: 300 * time.Millisecond, MemberAckTimeout: 100 * time.Millisecond, MemberSuspicionTimeout: 1000 * time.Millisecond,
		// A silent replica is left while half a second of a settings lease of 1.5 s remains for the next one. Longer than
		// an election, in which no replica has anything to say.
		ControlReadyTimeout: 5 * time.Second, ControlDialTimeout: 300 * time.Millisecond,
		ControlFirstMessageTimeout: 500 * time.Millisecond, ControlSilenceTimeout: time.Second,
		ControlProposalTimeout: 5 * time.Second, ControlReleaseTimeout: 100 * time.Millisecond, MaxControlQueueBytes: 256 << 10,
		MemberIndirectProbes: 2, MemberUpdatesPerMessage: 6, MaxDatagramsPerTurn: 64, MaxDatagramsPerSecond: 400,
	}
	// Clients may come before a process that took a dead one's place is up, and what it would have been told had it
	// asked at once counts as told: later than the grace it would send to hosts that have long drained.
	if s.DrainGrace > 0 {
		l.ClusterJitter = min(l.ClusterJitter, s.DrainGrace/2)
	}
	l.ClusterInitialBackoff = max(l.InitialBackoff, clusterFirst*time.Duration(s.Ingresses))
	l.ClusterMaxBackoff = max(l.MaxBackoff, clusterMost*time.Duration(s.Ingresses))
	// What an agent has counts as told, whether a watch is open or not, and it answers at once and at no cost: each
	// watch that is lost, refused or silent is made good within the grace, or as soon as its silence shows.
	if s.HasLocalAgent {
		l.ClusterJitter, l.ClusterInitialBackoff, l.ClusterMaxBackoff = 0, l.InitialBackoff, agentMost
		if s.DrainGrace > 0 {
			l.ClusterMaxBackoff = min(agentMost, s.DrainGrace/2)
		}
		l.ClusterResponseTimeout, l.ClusterSilenceTimeout = time.Second, 3*time.Second
	}
	if l.UpstreamIdleTimeout <= 0 {
		l.UpstreamIdleTimeout = 4 * time.Second
	}
	if l.DialTimeout <= 0 {
		l.DialTimeout = 250 * time.Millisecond
	}
	if l.CounterCallTimeout <= 0 {
		l.CounterCallTimeout = 50 * time.Millisecond
	}
	free := l.Sockets - reserve - l.CounterConns
	if free < 32 {
		return Limits{}, fmt.Errorf("limits.sockets is %d, need at least %d", l.Sockets, reserve+l.CounterConns+32)
	}
	// All clients together hold at most a third of the descriptors. Connections that stand idle for good count
	// there: if that third were reached before our own bound, nobody could connect and we would close nothing.
	l.MaxDownstreamConns = min(free/2, l.Sockets*downstreamPart/100)
	l.MaxUpstreamConns = free - l.MaxDownstreamConns
	l.MaxRelayBufferBytes = l.MemoryMB << 20 / flowPart
	return l, nil
}
