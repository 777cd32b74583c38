package admission

// Servers: the list from discovery, health, slow start and the choice of a server for an attempt.

import (
	"math"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
	"ferryfront.example/ferryfront/admission/rendezvous"
)

const (
	// Latency in seconds that is assumed before any is known.
	initialLatency = 0.1
	// Share of a request's expected latency that is proportional to its units; the rest is constant.
	unitsLatencyShare = 0.6
	// EWMA weight of an answer in the latencies of its server.
	latencyWeight = 0.15
	// Time constant in seconds with which the latency of a server that answers nothing is forgotten.
	latencyMemory = 60.0
	// Largest relative latency that is learned from one answer: a slower one tells no more about the server.
	maxRelativeLatency = 10.0
	// Errors since the last good answer that eject a server. From then on each error also counts as a
	// rejection.
	errorThreshold = 3
	// EWMA weight of an answer in the share of requests that a server rejects.
	rejectWeight = 0.15
	// Time constant in seconds with which the reject share of a server that gets nothing is forgotten.
	rejectMemory = 5.0
	// Largest reject share that is assumed of a server.
	maxRejectShare = 0.9
	// EWMA weight of an answer in the latency of its class and in the mean latency.
	classLatencyWeight = 0.02
	// Time constant in seconds with which the latency of a class decays while it keeps the class from being
	// sent.
	classDoubtMemory = 30.0
	// Ejection time after the first failure; it doubles with each further one.
	minEjection = 500 * time.Millisecond
	// Connection failures since the last good answer from which a server is taken to be down. A connection
	// that can't be made counts as that many.
	downThreshold = 6
	// Interval between attempts that check whether a server that is down is back. For the same time after an
	// ejection has ended, the server gets no request that can't be repeated.
	downCheckInterval = time.Second
	// Longest ejection: a recovery is noticed within it.
	maxEjection = 8 * time.Second
	// A server is silent when its oldest attempt takes this multiple of the server's expected latency.
	silenceFactor = 4.0
	// Shortest time after which a server is silent.
	minSilence = 250 * time.Millisecond
	// Relative extra cost of a server in another zone, as a multiple of Settings.CrossZoneCost.
	crossZoneFactor = 4.0
	// Largest random addition to a server's cost, relative to it, so that gateways do not all switch servers
	// at once.
	costJitter = 0.05
	// Time constant in seconds of the measured rates of answers.
	throughputMemory = 1.0
	// For the share of requests that is admitted, an answer counts as late if it took more than this share of
	// the time from its request's arrival to its latency target or, if earlier, its deadline.
	lateThreshold = 0.5
	// Factor on the share of requests that is admitted, applied for each late answer.
	admitShareCut = 0.9
	// With each answer the share of requests that is admitted grows by this, divided by the share itself.
	admitShareGain = 0.009
	// A server is an outlier above this multiple of the mean relative latency of the servers in use.
	outlierFactor = 1.4
	// While the mean latency is above this share of the same time, an attempt that times out counts as a late
	// answer.
	slowThreshold = 0.2
	// Largest share of time-outs that can be due to lost answers: above it, they count as late answers.
	maxLossShare = 0.5
	// EWMA weight of an attempt in the share of attempts that time out.
	timeoutShareWeight = 0.1
	// Share by which the counts of all classes decay with each request, before its own class gains 1.
	classMixWeight = 0.02
	// Smallest share of requests that is admitted, however late the answers are: without any the gateway
	// could not see that answers are prompt again.
	minAdmitShare = 0.01
	// Exponent of a class's worth in the cost of refusing it: the classes of least worth are refused first.
	// With an exponent of 2 the class of least worth got less than half of its fair share.
	worthExponent = 1.75
	// Attempts that all gateways together may always have at one server.
	minServerAttempts = 6.0
	// A cold server (one that warms up) gets at most its fair share of the attempts, times its capacity
	// share, times this factor.
	coldShareFactor = 1.6
	// Smallest number of servers that a gateway uses while all are healthy.
	minSubsetSize = 8
	// Smallest number of gateways that use each server.
	minGatewaysPerServer = 8
	// A server must be able to answer all attempts that it holds within this share of the time left to the
	// latency target.
	serverQueueShare = 0.15
)

// onServerList takes over a list or changes from discovery and tries the held requests again. A failed
// request for the list is repeated; the old list stays.
func (g *Gateway) onServerList(ev ServerList) {
	if ev.Kind == ListFailed {
		if g.settings.MustSubscribe {
			g.emit(Subscribe{On: true})
		}
		return
	}
	g.updateServers(ev)
	g.rankServers()
	g.recheckHeld()
}

// rankServers orders the servers that are up by this gateway's preference. The gateway uses the first few
// that are usable (its subset): if many gateways all connected to all servers, each would learn little about
// any of them. This harms where all servers of the subset are bad.
func (g *Gateway) rankServers() {
	up := slices.DeleteFunc(slices.Clone(g.serversByName), func(s *server) bool { return s.State != Up })
	g.subsetSize = SubsetSize(len(up), g.settings.Gateways)
	g.preferred = rendezvous.Sort(up, func(s *server) string { return s.Name },
		g.settings.Index, g.settings.Gateways, g.subsetSize)
}

// capacityShare returns the share of its full capacity that a server surely has while it warms up.
func (g *Gateway) capacityShare(s *server) float64 {
	return estimate.WarmUpShare(g.now, s.startedAt, g.settings.WarmUpTime, g.settings.InitialCapacity)
}

// slowStartAllows implements slow start by random sampling. Each attempt's sample selects one position among
// the servers that the gateway uses. A cold server takes only the attempts that select its position, and of
// those a share that grows with its capacity share. So it gets a part of its fair share of all that the fleet
// sends; there is no stored allowance and no minimum that would add up over gateways. A held request keeps
// its sample. This harms when all servers are cold at once.
func (g *Gateway) slowStartAllows(r *request, s *server, position int) bool {
	share, sample := g.capacityShare(s), r.slowStartSample*float64(min(g.subsetSize, len(g.preferred)))
	return share >= 1 || int(sample) == position && sample-float64(position) < coldShareFactor*share
}

// serverLimit returns how many attempts of this gateway a server may hold: as many as it answers within the
// given seconds (Little's law), but at least this gateway's part of minServerAttempts, rounded up. It keeps
// load off a server that is slow, overloaded or hung. It harms just after a time of little traffic, when the
// measured rate of answers is low.
func (g *Gateway) serverLimit(s *server, within float64) float64 {
	return math.Max(math.Ceil(minServerAttempts/float64(g.settings.Gateways)),
		s.throughput.rate(g.now, throughputMemory)*within)
}

// isLargeFleet reports whether the fleet has more than minServerAttempts gateways: then one attempt from
// each, which serverLimit always allows, is more than a server should hold.
func (g *Gateway) isLargeFleet() bool { return float64(g.settings.Gateways) > minServerAttempts }

// bulkhead returns how many attempts this gateway may have open in all: its part of minServerAttempts at each
// server, or half of what is answered within the given seconds, if that is more. One attempt per server from
// each of hundreds of gateways, which serverLimit always allows, would be too much.
func (g *Gateway) bulkhead(within float64) float64 {
	part := minServerAttempts * float64(len(g.serversByName)) / float64(g.settings.Gateways)
	return math.Max(math.Max(1, part), g.answers.rate(g.now, throughputMemory)*within/2)
}

// isSuspect reports whether a server is ejected after failures, or silent: its oldest attempt has been open
// far longer than expected, and no response came since. This detects hangs and cut connections before a
// time-out does, and harms when a server pauses for long.
func (g *Gateway) isSuspect(s *server) bool {
	return g.now < s.ejectedUntil || len(s.outstanding) > 0 && s.lastResponseAt < s.outstanding[0] &&
		g.now-s.outstanding[0] > max(minSilence, seconds(silenceFactor*s.relativeLatency*g.meanLatency))
}

// canCheckDown reports whether an attempt may go to a server that is down, to see if it is back. However many
// are down, there is one such attempt at a time, and none for downCheckInterval after the last one failed.
// Otherwise, with a list so old that most of its servers are long gone, most requests would go to those.
func (g *Gateway) canCheckDown() bool {
	return !slices.ContainsFunc(g.preferred, func(s *server) bool {
		return s.connectionFailures >= downThreshold &&
			(len(s.outstanding) > 0 || g.now < s.ejectedUntil-s.ejectionTime()+downCheckInterval)
	})
}

// rejectShareAt returns the share of its requests that a server rejects. A server that limits its load
// answers the rest as fast as ever, so by latency alone it looks as good as any. The share misleads when the
// limit has ended and nothing was sent there since, so it decays.
func (s *server) rejectShareAt(now time.Duration) float64 {
	return min(maxRejectShare, s.rejectShare.Now(now, rejectMemory))
}

// relativeLatencyAt returns a server's latency as a multiple of the expected one. Without responses it decays
// to 1: otherwise, where all servers were slow, none would be tried and their recovery would not be noticed.
func (s *server) relativeLatencyAt(now time.Duration) float64 {
	return 1 + (s.relativeLatency-1)*
		estimate.Decay(now-max(s.lastResponseAt, s.ejectedUntil), latencyMemory)
}

// isOutlier reports whether a server is slow compared to the mean of the servers in use: then its late
// answers are no sign of general overload.
func (g *Gateway) isOutlier(s *server) bool {
	sum, n := 0.0, min(g.subsetSize, len(g.preferred))
	for _, o := range g.preferred[:n] {
		sum += o.relativeLatencyAt(g.now)
	}
	return s.relativeLatencyAt(g.now)*float64(n) > outlierFactor*sum
}

// expectedLatency returns the expected latency of a request, in seconds, by its class and units.
func (g *Gateway) expectedLatency(r *request) float64 {
	return g.classLatency[r.classIndex].Expect(r.units, unitsLatencyShare, initialLatency)
}

// pickServer returns the server with the least expected wait for a request, and that wait in seconds, or nil
// if no server may take it now. Where every server is suspect or down, these signs are not trusted.
func (g *Gateway) pickServer(r *request) (*server, float64) {
	within := serverQueueShare * math.Max(0, (r.due-g.now).Seconds())
	if g.isLargeFleet() && g.liveAttempts >= g.bulkhead(within) {
		return nil, 0
	}
	isUsable := func(s *server) bool { return !g.isSuspect(s) && s.connectionFailures < downThreshold }
	hasUsable, canCheck := slices.ContainsFunc(g.preferred, isUsable), g.canCheckDown()
	var best *server
	leastCost, position := math.Inf(1), -1
	for _, s := range g.preferred {
		outstanding := float64(len(s.outstanding))
		// A server that failed gets one attempt at a time and, for a while, none that can't be repeated: not
		// for good, as there may be no other server.
		isRisky := r.class.Effect == Unsafe && g.now < s.ejectedUntil+downCheckInterval
		isUnfit := g.isSuspect(s) || s.failures > 0 && (outstanding > 0 || isRisky) ||
			s.connectionFailures >= downThreshold && (len(r.attempts) > 0 || !canCheck)
		if !r.permitsServer(s) || outstanding >= g.serverLimit(s, within) || hasUsable && isUnfit {
			continue
		}
		if position++; position >= g.subsetSize { // skipped ones do not count: later ones take their places
			break
		}
		if !g.slowStartAllows(r, s, position) {
			continue
		}
		if g.capacityShare(s) < 1 { // cold: it gets the attempts that selected it, and no others
			return s, g.expectedLatency(r)
		}
		rejectShare := s.rejectShareAt(g.now)
		cost := (s.relativeLatencyAt(g.now)*(outstanding+1) + rejectShare*s.rejectLatency/g.meanLatency) /
			(1 - rejectShare)
		if s.Zone != g.settings.Zone {
			cost *= 1 + crossZoneFactor*g.settings.CrossZoneCost
		}
		if cost *= 1 + costJitter*g.rng.Float64(); cost < leastCost {
			best, leastCost = s, cost
		}
	}
	return best, leastCost * g.expectedLatency(r)
}

// SubsetSize returns how many of the servers that are up each gateway of a fleet uses while all are healthy.
func SubsetSize(servers, gateways int) int {
	return max(minSubsetSize, (minGatewaysPerServer*servers+gateways-1)/gateways)
}
