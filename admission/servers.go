package admission

// Servers: the list, the choice.

import (
	"math"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
	"ferryfront.example/ferryfront/admission/rendezvous"
)

const (
	initialLatency       = 0.1                    // seconds: a latency before any was seen
	unitsLatencyShare    = 0.6                    // part of a request's work that goes with its units
	latencyWeight        = 0.15                   // EWMA weight of an answer's latency at a server
	latencyMemory        = 60.0                   // seconds for which it is remembered of one that gets nothing
	maxRelativeLatency   = 10.0                   // times the usual: more than this tells no more
	maxConsecutiveErrors = 3                      // errors in a row eject, and count as turned away;
	rejectWeight         = 0.15                   // EWMA weight of an answer in the part that a server turns away;
	rejectMemory         = 5.0                    // seconds for which that is remembered of one that gets nothing,
	maxRejectShare       = 0.9                    // and no more than this is believed
	classLatencyWeight   = 0.02                   // EWMA weight of an answer in its class's usual latency,
	classDoubtMemory     = 30.0                   // seconds for which that is believed where it keeps a class out
	minEjection          = 500 * time.Millisecond // first ejection after a failure; doubles with each further
	downThreshold        = 6                      // connections lost in a row, or one not made: it is away
	downCheckInterval    = time.Second            // between looks whether one that is away is back
	maxEjection          = 8 * time.Second        // longest ejection, so that recovery is seen within it
	silenceFactor        = 4.0                    // times its expected time: an attempt out this long is silence
	minSilence           = 250 * time.Millisecond // and at least this long
	crossZoneFactor      = 4.0                    // times the price of crossing zones, as extra expected wait
	costJitter           = 0.05                   // of a cost, so that gateways do not move as one
	throughputMemory     = 1.0                    // seconds over which answers are counted
	lateThreshold        = 0.5                    // of the time it is of use for: an answer that took more is late,
	admitShareCut        = 0.9                    // and this much of the admitting goes on;
	outlierFactor        = 1.4                    // times the mean slowness of those in use: slow by itself
	admitShareGain       = 0.009                  // each prompt answer brings this much back, over the part admitted
	slowThreshold        = 0.2                    // of that time usual for answers: attempts out of time count as late
	classMixWeight       = 0.02                   // weight of a request in how often its class comes, a fading count
	timeoutShareWeight   = 0.1                    // EWMA weight of an attempt in the part not answered in time;
	maxLossShare         = 0.5                    // more than this is no loss of answers: it counts as late, too
	minAdmitShare        = 0.01                   // of requests are admitted, however late the answers: to see it end
	worthExponent        = 1.75                   // of a class's worth: where few are admitted, the least goes first
	minServerAttempts    = 6.0                    // attempts that all gateways together may always have at a server
	coldShareFactor      = 1.6                    // times its surely warm part of a fair share for a cold server
	minSubsetSize        = 8                      // a door's subset: hosts that it uses while all is well,
	minGatewaysPerServer = 8                      // and so many that each host is used by this many doors
	serverQueueShare     = 0.15                   // of the aim left: what a server holds must be answered within it
)

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

// rankServers orders the servers that are up by this door's preference. It uses the first few that it can: else many
// doors would all be connected to all, and learn of none. Harms where the few are all bad.
func (g *Gateway) rankServers() {
	up := slices.DeleteFunc(slices.Clone(g.serversByName), func(s *server) bool { return s.State != Up })
	g.subsetSize = SubsetSize(len(up), g.settings.Gateways)
	g.preferred = rendezvous.Sort(up, func(s *server) string { return s.Name }, g.settings.Index, g.settings.Gateways, g.subsetSize)
}

// capacityShare is the part of its capacity that a server surely has.
func (g *Gateway) capacityShare(s *server) float64 {
	return estimate.Warmth(g.now, s.startedAt, g.settings.WarmUpTime, g.settings.InitialCapacity)
}

// slowStartAllows: slow start by lots. Each attempt draws one place among those that a door uses; a cold server
// takes only what the lot of its place brings, and of that its warmth's part: that part of a fair share of
// what all send, with no store and no floor that would add up over gateways. A held request keeps its lot.
// Harms when all are cold at once.
func (g *Gateway) slowStartAllows(r *request, s *server, place int) bool {
	w, lot := g.capacityShare(s), r.slowStartSample*float64(min(g.subsetSize, len(g.preferred)))
	return w >= 1 || int(lot) == place && lot-float64(place) < coldShareFactor*w
}

// serverLimit is how many attempts of this gateway a server may hold: what it answers within the time given
// (Little's law). Guards against overdriving what is slow, crowded or hung. Harms just after a lull.
func (g *Gateway) serverLimit(s *server, within float64) float64 {
	return math.Max(math.Ceil(minServerAttempts/float64(g.settings.Gateways)), s.throughput.rate(g.now, throughputMemory)*within)
}

// isLargeFleet tells whether one attempt at each gateway is more than a server should hold.
func (g *Gateway) isLargeFleet() bool { return float64(g.settings.Gateways) > minServerAttempts }

// bulkhead is how many attempts this gateway may have out in all: its part of leastOut at each server, or
// half of what it gets answered in the time given. One a server at each of hundreds of doors is too much.
func (g *Gateway) bulkhead(within float64) float64 {
	part := minServerAttempts * float64(len(g.serversByName)) / float64(g.settings.Gateways)
	return math.Max(math.Max(1, part), g.answers.rate(g.now, throughputMemory)*within/2)
}

// isSuspect: ejected after failures, or silent: what is out has been out far longer than expected and
// nothing was heard since. Guards against hangs and cuts before a time-out tells; harms on a long pause.
func (g *Gateway) isSuspect(s *server) bool {
	return g.now < s.ejectedUntil || len(s.outstanding) > 0 && s.lastResponseAt < s.outstanding[0] &&
		g.now-s.outstanding[0] > max(minSilence, seconds(silenceFactor*s.relativeLatency*g.meanLatency))
}

// canCheckDown tells whether it is time to see if a server that is away is back: one at a time, and seldom,
// however many they are. Guards against a list so old that most requests would go to servers long gone.
func (g *Gateway) canCheckDown() bool {
	return !slices.ContainsFunc(g.preferred, func(s *server) bool {
		return s.connectionFailures >= downThreshold && (len(s.outstanding) > 0 || g.now < s.ejectedUntil-s.ejectionTime()+downCheckInterval)
	})
}

// rejectShareAt is the part of what a server gets that it turns away. Guards against one that limits itself: it
// answers the rest as ever, so by latency alone it looks as good as any. It harms when the limit has ended
// and nothing was sent there since, hence the memory.
func (s *server) rejectShareAt(now time.Duration) float64 {
	return min(maxRejectShare, s.rejectShare.Now(now, rejectMemory))
}

// relativeLatencyAt is a server's latency over the usual. Of one not heard it goes back to 1: else none would be asked
// where all were slow, and nobody hear that they are not.
func (s *server) relativeLatencyAt(now time.Duration) float64 {
	return 1 + (s.relativeLatency-1)*estimate.Decay(now-max(s.lastResponseAt, s.ejectedUntil), latencyMemory)
}

// isOutlier tells whether a server is slow beside the others in use here: its lateness is then its own.
func (g *Gateway) isOutlier(s *server) bool {
	sum, n := 0.0, min(g.subsetSize, len(g.preferred))
	for _, o := range g.preferred[:n] {
		sum += o.relativeLatencyAt(g.now)
	}
	return s.relativeLatencyAt(g.now)*float64(n) > outlierFactor*sum
}

func (g *Gateway) expectedLatency(r *request) float64 {
	return g.classLatency[r.classIndex].Expect(r.units, unitsLatencyShare, initialLatency)
}

// pickServer returns the server with the least expected wait for a request, and that wait in seconds. Where
// all are shunned that is not trusted.
func (g *Gateway) pickServer(r *request) (*server, float64) {
	within := serverQueueShare * math.Max(0, (r.due-g.now).Seconds())
	if g.isLargeFleet() && g.liveAttempts >= g.bulkhead(within) {
		return nil, 0
	}
	usable := func(s *server) bool { return !g.isSuspect(s) && s.connectionFailures < downThreshold }
	trust, look := slices.ContainsFunc(g.preferred, usable), g.canCheckDown()
	var best *server
	least, place := math.Inf(1), -1
	for _, s := range g.preferred {
		n := float64(len(s.outstanding))
		// Re-entry by trickle: one at a time, for a while none that could not be repeated.
		wary := r.class.Effect == Unsafe && g.now < s.ejectedUntil+downCheckInterval // not for good: there may be no other
		unfit := g.isSuspect(s) || s.failures > 0 && (n > 0 || wary) ||
			s.connectionFailures >= downThreshold && (len(r.attempts) > 0 || !look)
		if !r.permitsServer(s) || n >= g.serverLimit(s, within) || trust && unfit {
			continue
		}
		if place++; place >= g.subsetSize { // the subset is widened by as many as can't be used
			break
		}
		if !g.slowStartAllows(r, s, place) {
			continue
		}
		if g.capacityShare(s) < 1 { // its lot, and all that it gets
			return s, g.expectedLatency(r)
		}
		turned := s.rejectShareAt(g.now)
		cost := (s.relativeLatencyAt(g.now)*(n+1) + turned*s.rejectLatency/g.meanLatency) / (1 - turned)
		if s.Zone != g.settings.Zone {
			cost *= 1 + crossZoneFactor*g.settings.CrossZoneCost
		}
		if cost *= 1 + costJitter*g.rng.Float64(); cost < least {
			best, least = s, cost
		}
	}
	return best, least * g.expectedLatency(r)
}
