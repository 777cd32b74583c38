// Package limits computes the sizes, counts and durations that bound the daemon.
// [For] derives them at start from what the configuration says of the machine and the fleet, and they are then passed by
// value. The package does no input or output.
package limits

import (
	"fmt"
	"time"
)

// Limits holds the bounds of one process.
type Limits struct {
	// Sockets is the number of file descriptors that the process may hold.
	Sockets int
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int

	// MaxDownstreamConns bounds the open client connections over all fronts.
	MaxDownstreamConns int
	// MaxUpstreamConns bounds the open connections to upstream hosts.
	MaxUpstreamConns int
	// MaxHeaderBytes bounds a message's start line and headers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a message's body.
	MaxBodyBytes int
	// MaxBufferedBodyBytes is the size up to which a body is buffered whole, which a retry needs.
	// A longer body is relayed as it arrives.
	MaxBufferedBodyBytes int
	// MaxRelayBufferBytes is the memory for all bodies relayed in one direction; see RelayWindow.
	MaxRelayBufferBytes int

	// MemoryBudgetBytes is the memory for all that connections hold: input, bodies, unsent output and relayed bodies.
	MemoryBudgetBytes int

	// MaxCustomers bounds the customers whose state the decision module keeps.
	MaxCustomers int

	// MaxIdempotencyKeys bounds the keys of requests that may have run within their repeat window.
	MaxIdempotencyKeys int

	// MemoryWaitTimeout is how long a request may wait for memory before it is refused.
	MemoryWaitTimeout time.Duration

	// DownstreamIdleTimeout closes a client connection that is silent this long between requests.
	DownstreamIdleTimeout time.Duration
	// FirstRequestTimeout closes a client connection without a request in progress that has not been served this long
	// after it opened.
	FirstRequestTimeout time.Duration
	// HeaderTimeout bounds the time from a request's first byte to the end of its headers.
	HeaderTimeout time.Duration
	// MinBodyRate is the rate of a request body, in bytes per second, below which the request is aborted. See
	// RequestTimeout.
	MinBodyRate int
	// RelayStallTimeout aborts a relayed body when its peer sends or accepts nothing for this long, and any other response
	// when its client accepts nothing.
	RelayStallTimeout time.Duration
	// RelayStartDelay is how long a response of unknown length is buffered, as it may be short, before it is relayed.
	RelayStartDelay time.Duration
	// EvictionGrace is how long a client connection must be silent before it may be closed to make room for another.
	// If none may be closed, accepting pauses for the same time.
	EvictionGrace time.Duration
	// UploadEvictionGrace is the same for a connection in the middle of a body that is forwarded, which its host may have
	// begun to read.
	UploadEvictionGrace time.Duration

	// LingerTimeout is how long bytes of a closed connection are still read and discarded.
	LingerTimeout time.Duration
	// MaxLingerBytes bounds the bytes of a closed connection that are read and discarded.
	MaxLingerBytes int
	// MaxPipelinedBytes bounds the pipelined input of one connection that is buffered beyond a head and a body, which all
	// may be. All connections together buffer at most MaxRelayBufferBytes of such input.
	MaxPipelinedBytes int
	// MaxAcceptsPerTurn bounds the connections accepted in one turn of the event loop.
	MaxAcceptsPerTurn int
	// MaxPipelinedPerTurn bounds the pipelined requests of one client that are started in one turn of the event loop.
	MaxPipelinedPerTurn int
	// MaxManagementConns bounds the open connections of operators.
	MaxManagementConns int
	// MaxManagementLineBytes bounds a line sent by an operator.
	MaxManagementLineBytes int
	// ManagementConnTimeout closes an operator's connection this long after it opened.
	ManagementConnTimeout time.Duration
	// UpstreamIdleTimeout closes an upstream connection that is idle this long.
	UpstreamIdleTimeout time.Duration
	// UpstreamReuseDelay is the time after a response in which a second response to the same request may still arrive, some
	// milliseconds late. The next request on a connection is not written within it.
	UpstreamReuseDelay time.Duration
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration

	// CounterConns is the number of connections to the counter.
	CounterConns int
	// MaxPendingCounterCalls bounds the calls on one counter connection that wait for their responses.
	MaxPendingCounterCalls int
	// CounterCallTimeout bounds one counter call.
	CounterCallTimeout time.Duration
	// CounterIdleTimeout closes a counter connection that is idle this long.
	CounterIdleTimeout time.Duration
	// CounterSilenceTimeout closes a counter connection that has pending calls and receives nothing for this long.
	CounterSilenceTimeout time.Duration
	// CounterStuckTimeout closes a counter connection that has pending calls and receives nothing for this long while
	// another one receives responses.
	CounterStuckTimeout time.Duration
	// CounterMoveTimeout is how long calls that are pending at the counter's old address may still complete after it moved.
	CounterMoveTimeout time.Duration
	// InitialBackoff is the delay before a new connection after one failure. It doubles with each further failure.
	InitialBackoff time.Duration
	// MaxBackoff bounds the delay before a new connection after failures.
	MaxBackoff time.Duration

	// MaxClusterMessageBytes bounds one message from discovery.
	MaxClusterMessageBytes int
	// ClusterDialTimeout bounds the time to establish a watch's connection.
	ClusterDialTimeout time.Duration
	// ClusterResponseTimeout bounds the time until a watch's response begins. It doubles with each watch in a row that
	// exceeds it, up to ClusterSilenceTimeout.
	ClusterResponseTimeout time.Duration
	// ClusterSilenceTimeout reopens a watch that receives nothing for this long. Discovery sends a heartbeat every 2 s.
	ClusterSilenceTimeout time.Duration
	// ClusterJitter is the period over which a fleet's first watches are spread, each opened at a random time in it.
	ClusterJitter time.Duration
	// ClusterInitialBackoff is the longest delay before a new watch after one failure. It doubles with each further
	// failure. The delay used is a random part of it.
	ClusterInitialBackoff time.Duration
	// ClusterMaxBackoff bounds the delay before a new watch after failures.
	ClusterMaxBackoff time.Duration
	// ClusterMaxWatchGap bounds the time from the last bytes received on a watch, or from its opening, to the next watch,
	// whatever the backoff. The delay of the next watch is not cut below InitialBackoff for it.
	ClusterMaxWatchGap time.Duration
	// DiscoveryReadyTimeout is how long after its start the daemon becomes ready even if discovery is silent.
	DiscoveryReadyTimeout time.Duration

	// DeadlineMargin is how long before the client's deadline an answer is sent, to arrive in time.
	DeadlineMargin time.Duration
	// DrainAcceptPeriod is how long after SIGTERM new connections are still accepted.
	DrainAcceptPeriod time.Duration
	// DrainTimeout is the time after SIGTERM at which streams still open are answered and the daemon exits.
	DrainTimeout time.Duration
	// DrainFlushPeriod is the time to send those last answers.
	DrainFlushPeriod time.Duration

	// DrainRelayTimeout is how much longer the daemon relays responses that had begun, unless it is killed.
	DrainRelayTimeout time.Duration

	// Limits of an upgrade, by phase; see package phase.

	// HelloTimeout bounds the time until the new process has started and sends its first message.
	HelloTimeout time.Duration
	// PrepareTimeout bounds the time in which the new process reads its configuration and reaches discovery.
	PrepareTimeout time.Duration
	// CopyTimeout bounds the copying of customers before the freeze.
	CopyTimeout time.Duration
	// FreezeTimeout bounds the time from the old process's last read to the commit. An upgrade that exceeds it fails.
	FreezeTimeout time.Duration
	// ProbationPeriod is how long after the commit the old process takes over again if its successor fails.
	ProbationPeriod time.Duration
	// MaxHandoverMessageBytes bounds one handover message.
	MaxHandoverMessageBytes int
	// MaxHandoverQueueBytes is the size of the queue of unsent messages above which no more customers are copied.
	MaxHandoverQueueBytes int
	// UpgradeCounterConns is the number of counter connections of the new process while the old one may still have its
	// own.
	UpgradeCounterConns int

	// Limits of the membership, where it is enabled.

	// MemberProbeInterval is the time between probes. One probe is outstanding at a time.
	MemberProbeInterval time.Duration
	// MemberAckTimeout is how long a probe waits for its acknowledgement before other members are asked to probe.
	MemberAckTimeout time.Duration
	// MemberSuspicionTimeout declares a suspect dead that is not heard for this long.
	MemberSuspicionTimeout time.Duration
	// MemberIndirectProbes is the number of other members asked to probe an ingress that did not acknowledge a probe.
	MemberIndirectProbes int
	// MemberUpdatesPerMessage bounds the membership updates carried by one message.
	MemberUpdatesPerMessage int
	// MaxDatagramsPerTurn bounds the datagrams read from peers in one turn of the event loop.
	MaxDatagramsPerTurn int
	// MaxDatagramsPerSecond bounds the datagrams processed per second. The rest are dropped.
	MaxDatagramsPerSecond int

	// Limits of the client of the control group, where there is one.

	// ControlReadyTimeout is how long after its start a process becomes ready even if it holds no lease.
	ControlReadyTimeout time.Duration
	// ControlDialTimeout bounds the time to connect to a replica.
	ControlDialTimeout time.Duration
	// ControlFirstMessageTimeout bounds the time until a replica's first message on a new connection.
	ControlFirstMessageTimeout time.Duration
	// ControlSilenceTimeout is how long a replica may send nothing before the client moves on to the next one.
	ControlSilenceTimeout time.Duration
	// ControlProposalTimeout bounds the time in which the group reports the outcome of a proposed version.
	ControlProposalTimeout time.Duration
	// ControlReleaseTimeout bounds the time, at exit, in which a replica learns that the process has released its leases.
	ControlReleaseTimeout time.Duration
	// MaxControlQueueBytes bounds the bytes of requests that wait because a replica does not read them.
	MaxControlQueueBytes int

	// TelemetryQueueLength bounds the records that wait for export, and separately the spans that do.
	TelemetryQueueLength int
	// TelemetryInterval is the time between exports.
	TelemetryInterval time.Duration
}

// reservedDescriptors are kept free of connections: for standard streams, epoll, eventfd, listeners, discovery,
// operators, the telemetry exporters and the Go runtime.
const reservedDescriptors = 56

// downstreamPercent is the share of all descriptors that clients may use. It is below the third that the platform allows;
// see For.
const downstreamPercent = 29

// The relayed bodies of each direction share a fixed part of the memory; see RelayWindow.
const (
	relayMemoryDivisor = 16 // each direction uses 1/16 of the memory
	maxRelayWindow     = 64 << 10
	minRelayWindow     = 8 << 10
	relayWindowDivisor = 8 // a new body gets 1/8 of what is left
)

// memoryBudgetDivisor makes MemoryBudgetBytes a part of the memory. The rest is for the program itself, the decision
// module, garbage that is not collected yet, and a second process while one takes the other's place.
const memoryBudgetDivisor = 6

// customersPerMB bounds the customers in memory, which take less than a sixteenth of it.
const customersPerMB = 64

// keysPerMB bounds the idempotency keys in memory in the same way.
const keysPerMB = 64

// RelayWindow returns how many bytes of a new body may be buffered while the given number of bytes is granted to the bodies
// that are relayed in the same direction. All windows together exceed MaxRelayBufferBytes by no more than minRelayWindow
// each.
func (l Limits) RelayWindow(granted int) int {
	return min(maxRelayWindow, max(minRelayWindow, (l.MaxRelayBufferBytes-granted)/relayWindowDivisor))
}

// RequestTimeout returns how long after its first byte a request may still be incomplete, when bodyBytes of its body
// have arrived: HeaderTimeout, plus the time that those bytes take at MinBodyRate.
func (l Limits) RequestTimeout(bodyBytes int) time.Duration {
	return l.HeaderTimeout + time.Duration(bodyBytes)*time.Second/time.Duration(l.MinBodyRate)
}

// Site is what the configuration says of the machine, the fleet and the peers. A zero HostIdleTimeout, DialTimeout or
// CounterCallTimeout selects a default.
type Site struct {
	// Sockets is the number of file descriptors, MemoryMB the memory in MiB that the process may use.
	Sockets, MemoryMB int
	// HostIdleTimeout is the time after which upstream hosts close an idle connection.
	HostIdleTimeout, DialTimeout, CounterCallTimeout time.Duration
	// LongestDeadline is the longest deadline of a request.
	LongestDeadline time.Duration
	// Ingresses is the size of the fleet, which shares discovery and the counter.
	Ingresses int
	// DrainGrace is how soon after a host is told to drain no new request may be sent to it. 0 sets no bound.
	DrainGrace time.Duration
	// HasLocalAgent reports that discovery is an agent on this machine that sends lists without being asked.
	HasLocalAgent bool
}

// The spacing per ingress of watch requests to discovery, so that the whole fleet stays within what discovery can serve.
// For multiplies it by the number of ingresses; an ingress alone uses no more than one of each. Discovery is one service
// of fixed capacity: requests queue and fail when they have waited too long, and a failed one costs discovery as much as
// a successful one.
const (
	jitterPerIngress         = 3 * time.Millisecond   // between first watches
	initialBackoffPerIngress = 60 * time.Millisecond  // between watches after one failure each
	maxBackoffPerIngress     = 100 * time.Millisecond // between watches when all have failed repeatedly
)

// maxWatchGap is half a second less than 6 s. An ingress that can reach discovery is held to know, within 6 s, all that
// discovery has published.
const maxWatchGap = 5500 * time.Millisecond

// agentMaxBackoff bounds the delay between watches of a local agent that refuses them.
const agentMaxBackoff = 250 * time.Millisecond

// Counter connections of one ingress. In a small fleet each ingress makes a large part of the counter's calls, and has
// many connections so that a slow part of the counter delays few calls to the other parts. In a large fleet it makes a
// few calls per second: spread over many connections, nearly every call would wait for its connection to be established.
const (
	fleetCounterConns = 96 // of all ingresses together
	maxCounterConns   = 24
	minCounterConns   = 2
)

// For returns the limits of a process at the given site. It fails when site.Sockets leaves fewer than 32 descriptors for
// client and upstream connections.
func For(site Site) (Limits, error) {
	l := Limits{
		Sockets:                site.Sockets,
		MemoryMB:               site.MemoryMB,
		MaxHeaderBytes:         16 << 10,
		MaxBodyBytes:           32 << 20,
		MaxBufferedBodyBytes:   64 << 10,
		DownstreamIdleTimeout:  30 * time.Second,
		FirstRequestTimeout:    2 * time.Second,
		HeaderTimeout:          3 * time.Second,
		MinBodyRate:            48 << 10,
		RelayStallTimeout:      20 * time.Second,
		RelayStartDelay:        100 * time.Millisecond,
		EvictionGrace:          25 * time.Millisecond,
		UploadEvictionGrace:    250 * time.Millisecond,
		MemoryWaitTimeout:      250 * time.Millisecond,
		LingerTimeout:          time.Second,
		MaxLingerBytes:         1 << 20,
		MaxPipelinedBytes:      1 << 20,
		MaxAcceptsPerTurn:      64,
		MaxPipelinedPerTurn:    16,
		MaxManagementConns:     16,
		MaxManagementLineBytes: 256,
		ManagementConnTimeout:  6 * time.Second,
		// Connections are closed here well before the host closes them.
		UpstreamIdleTimeout: site.HostIdleTimeout * 8 / 10,
		UpstreamReuseDelay:  25 * time.Millisecond,
		DialTimeout:         site.DialTimeout,

		CounterConns:           min(maxCounterConns, max(minCounterConns, fleetCounterConns/max(1, site.Ingresses))),
		MaxPendingCounterCalls: 48,
		CounterCallTimeout:     site.CounterCallTimeout,
		CounterIdleTimeout:     4 * time.Second,
		CounterSilenceTimeout:  2 * time.Second,
		CounterStuckTimeout:    4 * site.CounterCallTimeout,
		CounterMoveTimeout:     1500 * time.Millisecond,
		InitialBackoff:         20 * time.Millisecond,
		MaxBackoff:             500 * time.Millisecond,

		MaxClusterMessageBytes: 1 << 20,
		ClusterDialTimeout:     time.Second,
		ClusterResponseTimeout: 5 * time.Second,
		ClusterSilenceTimeout:  5 * time.Second,
		DiscoveryReadyTimeout:  400 * time.Millisecond,
		ClusterMaxWatchGap:     maxWatchGap,
		ClusterJitter:          jitterPerIngress * time.Duration(max(0, site.Ingresses-1)),

		DeadlineMargin:    8 * time.Millisecond,
		DrainAcceptPeriod: 700 * time.Millisecond,
		DrainTimeout:      site.LongestDeadline + 600*time.Millisecond, // the platform kills 100 ms later at the earliest
		DrainFlushPeriod:  50 * time.Millisecond,
		DrainRelayTimeout: 10 * time.Second,

		HelloTimeout:            2 * time.Second,
		PrepareTimeout:          4 * time.Second,
		CopyTimeout:             20 * time.Second,
		FreezeTimeout:           time.Second,
		ProbationPeriod:         2 * time.Second,
		MaxHandoverMessageBytes: 16 << 20,
		MaxHandoverQueueBytes:   256 << 10,
		UpgradeCounterConns:     8,

		TelemetryQueueLength: 2048,
		TelemetryInterval:    5 * time.Second,

		MemberProbeInterval:    300 * time.Millisecond,
		MemberAckTimeout:       100 * time.Millisecond,
		MemberSuspicionTimeout: 1000 * time.Millisecond,

		ControlReadyTimeout:        5 * time.Second,
		ControlDialTimeout:         300 * time.Millisecond,
		ControlFirstMessageTimeout: 500 * time.Millisecond,
		// A settings lease lasts 1.5 s: half a second is left to reach the next replica. The timeout is longer than an
		// election, during which no replica has anything to send.
		ControlSilenceTimeout:  time.Second,
		ControlProposalTimeout: 5 * time.Second,
		ControlReleaseTimeout:  100 * time.Millisecond,
		MaxControlQueueBytes:   256 << 10,

		MemberIndirectProbes:    2,
		MemberUpdatesPerMessage: 6,
		MaxDatagramsPerTurn:     64,
		MaxDatagramsPerSecond:   400,
	}
	// A process that replaces a dead one may have clients waiting as soon as it is up. It is held to know what discovery
	// would have reported to a watch opened at once. If its first watch came later than the drain grace, it would send
	// requests to hosts that finished draining long ago.
	if site.DrainGrace > 0 {
		l.ClusterJitter = min(l.ClusterJitter, site.DrainGrace/2)
	}
	l.ClusterInitialBackoff = max(l.InitialBackoff, initialBackoffPerIngress*time.Duration(site.Ingresses))
	l.ClusterMaxBackoff = max(l.MaxBackoff, maxBackoffPerIngress*time.Duration(site.Ingresses))
	// An ingress is held to know what its local agent has, whether a watch is open or not, and the agent answers at once
	// and at no cost. So a watch that is lost, refused or silent is replaced within the drain grace, or as soon as its
	// silence is detected.
	if site.HasLocalAgent {
		l.ClusterJitter, l.ClusterInitialBackoff, l.ClusterMaxBackoff = 0, l.InitialBackoff, agentMaxBackoff
		if site.DrainGrace > 0 {
			l.ClusterMaxBackoff = min(agentMaxBackoff, site.DrainGrace/2)
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
	free := l.Sockets - reservedDescriptors - l.CounterConns
	if free < 32 {
		return Limits{}, fmt.Errorf("limits.sockets is %d, need at least %d", l.Sockets, reservedDescriptors+l.CounterConns+32)
	}
	// The platform lets all clients together hold at most a third of the descriptors, permanently idle connections
	// included. If that third were below MaxDownstreamConns, it would be reached first: nobody could connect, and the
	// ingress would close no idle connection to make room.
	l.MaxDownstreamConns = min(free/2, l.Sockets*downstreamPercent/100)
	l.MaxUpstreamConns = free - l.MaxDownstreamConns
	l.MaxRelayBufferBytes = l.MemoryMB << 20 / relayMemoryDivisor
	l.MaxCustomers = l.MemoryMB * customersPerMB
	l.MaxIdempotencyKeys = l.MemoryMB * keysPerMB
	l.MemoryBudgetBytes = l.MemoryMB << 20 / memoryBudgetDivisor
	return l, nil
}
