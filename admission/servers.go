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
	firstGuess  = 0.1                    // seconds: a latency before any was seen
	unitsTell   = 0.6                    // part of a request's work that goes with its units
	respGain    = 0.15                   // EWMA weight of an answer's latency at a server
	respMemory  = 60.0                   // seconds for which it is remembered of one that gets nothing
	respMost    = 10.0                   // times the usual: more than this tells no more
	errorsMost  = 3                      // errors in a row eject, and count as turned away;
	turnGain    = 0.15                   // EWMA weight of an answer in the part that a server turns away;
	turnMemory  = 5.0                    // seconds for which that is remembered of one that gets nothing,
	turnMost    = 0.9                    // and no more than this is believed
	statGain    = 0.02                   // EWMA weight of an answer in its class's usual latency,
	statMemory  = 30.0                   // seconds for which that is believed where it keeps a class out
	ejectFirst  = 500 * time.Millisecond // first ejection after a failure; doubles with each further
	awayAt      = 6                      // connections lost in a row, or one not made: it is away
	lookEvery   = time.Second            // between looks whether one that is away is back
	ejectMost   = 8 * time.Second        // longest ejection, so that recovery is seen within it
	silentX     = 4.0                    // times its expected time: an attempt out this long is silence
	silentMin   = 250 * time.Millisecond // and at least this long
	zonePenalty = 4.0                    // times the price of crossing zones, as extra expected wait
	jitter      = 0.05                   // of a cost, so that gateways do not move as one
	thruMemory  = 1.0                    // seconds over which answers are counted
	lateAt      = 0.5                    // of the time it is of use for: an answer that took more is late,
	lateCut     = 0.9                    // and this much of the admitting goes on;
	outlierX    = 1.4                    // times the mean slowness of those in use: slow by itself
	lateGain    = 0.009                  // each prompt answer brings this much back, over the part admitted
	slowAt      = 0.2                    // of that time usual for answers: attempts out of time count as late
	mixGain     = 0.02                   // weight of a request in how often its class comes, a fading count
	lostGain    = 0.1                    // EWMA weight of an attempt in the part not answered in time;
	mostLost    = 0.5                    // more than this is no loss of answers: it counts as late, too
	admitLeast  = 0.01                   // of requests are admitted, however late the answers: to see it end
	worthPower  = 1.75                   // of a class's worth: where few are admitted, the least goes first
	leastOut    = 6.0                    // attempts that all gateways together may always have at a server
	coldX       = 1.6                    // times its surely warm part of a fair share for a cold server
	leastHosts  = 8                      // a door's subset: hosts that it uses while all is well,
	leastDoors  = 8                      // and so many that each host is used by this many doors
	fillAim     = 0.15                   // of the aim left: what a server holds must be answered within it
)

func (g *Gateway) list(ev ServerList) {
	if ev.Kind == ListFailed {
		if g.s.MustSubscribe {
			g.do(Subscribe{On: true})
		}
		return
	}
	g.book(ev)
	g.rank()
	g.recheck()
}

// rank orders the servers that are up by this door's preference. It uses the first few that it can: else many
// doors would all be connected to all, and learn of none. Harms where the few are all bad.
func (g *Gateway) rank() {
	up := slices.DeleteFunc(slices.Clone(g.ring), func(s *server) bool { return s.State != Up })
	g.near = SubsetSize(len(up), g.s.Gateways)
	g.order = rendezvous.Sort(up, func(s *server) string { return s.Name }, g.s.Index, g.s.Gateways, g.near)
}

// warmth is the part of its capacity that a server surely has.
func (g *Gateway) warmth(s *server) float64 {
	return estimate.Warmth(g.now, s.coldAt, g.s.WarmUpTime, g.s.InitialCapacity)
}

// lotAllows: slow start by lots. Each attempt draws one place among those that a door uses; a cold server
// takes only what the lot of its place brings, and of that its warmth's part: that part of a fair share of
// what all send, with no store and no floor that would add up over gateways. A held request keeps its lot.
// Harms when all are cold at once.
func (g *Gateway) lotAllows(r *request, s *server, place int) bool {
	w, lot := g.warmth(s), r.lot*float64(min(g.near, len(g.order)))
	return w >= 1 || int(lot) == place && lot-float64(place) < coldX*w
}

// limit is how many attempts of this gateway a server may hold: what it answers within the time given
// (Little's law). Guards against overdriving what is slow, crowded or hung. Harms just after a lull.
func (g *Gateway) limit(s *server, within float64) float64 {
	return math.Max(math.Ceil(leastOut/float64(g.s.Gateways)), s.thru.rate(g.now, thruMemory)*within)
}

// crowd tells whether one attempt at each gateway is more than a server should hold.
func (g *Gateway) crowd() bool { return float64(g.s.Gateways) > leastOut }

// bulkhead is how many attempts this gateway may have out in all: its part of leastOut at each server, or
// half of what it gets answered in the time given. One a server at each of hundreds of doors is too much.
func (g *Gateway) bulkhead(within float64) float64 {
	part := leastOut * float64(len(g.ring)) / float64(g.s.Gateways)
	return math.Max(math.Max(1, part), g.served.rate(g.now, thruMemory)*within/2)
}

// shunned: ejected after failures, or silent: what is out has been out far longer than expected and
// nothing was heard since. Guards against hangs and cuts before a time-out tells; harms on a long pause.
func (g *Gateway) shunned(s *server) bool {
	return g.now < s.ejected || len(s.out) > 0 && s.heard < s.out[0] &&
		g.now-s.out[0] > max(silentMin, seconds(silentX*s.resp*g.usual))
}

// mayLook tells whether it is time to see if a server that is away is back: one at a time, and seldom,
// however many they are. Guards against a list so old that most requests would go to servers long gone.
func (g *Gateway) mayLook() bool {
	return !slices.ContainsFunc(g.order, func(s *server) bool {
		return s.broken >= awayAt && (len(s.out) > 0 || g.now < s.ejected-s.ejection()+lookEvery)
	})
}

// turnedBy is the part of what a server gets that it turns away. Guards against one that limits itself: it
// answers the rest as ever, so by latency alone it looks as good as any. It harms when the limit has ended
// and nothing was sent there since, hence the memory.
func (s *server) turnedBy(now time.Duration) float64 {
	return min(turnMost, s.turned.Now(now, turnMemory))
}

// slowness is a server's latency over the usual. Of one not heard it goes back to 1: else none would be asked
// where all were slow, and nobody hear that they are not.
func (s *server) slowness(now time.Duration) float64 {
	return 1 + (s.resp-1)*estimate.Decay(now-max(s.heard, s.ejected), respMemory)
}

// outlier tells whether a server is slow beside the others in use here: its lateness is then its own.
func (g *Gateway) outlier(s *server) bool {
	sum, n := 0.0, min(g.near, len(g.order))
	for _, o := range g.order[:n] {
		sum += o.slowness(g.now)
	}
	return s.slowness(g.now)*float64(n) > outlierX*sum
}

func (g *Gateway) expected(r *request) float64 {
	return g.stats[r.ci].Expect(r.units, unitsTell, firstGuess)
}

// pick returns the server with the least expected wait for a request, and that wait in seconds. Where
// all are shunned that is not trusted.
func (g *Gateway) pick(r *request) (*server, float64) {
	within := fillAim * math.Max(0, (r.due-g.now).Seconds())
	if g.crowd() && g.live >= g.bulkhead(within) {
		return nil, 0
	}
	usable := func(s *server) bool { return !g.shunned(s) && s.broken < awayAt }
	trust, look := slices.ContainsFunc(g.order, usable), g.mayLook()
	var best *server
	least, place := math.Inf(1), -1
	for _, s := range g.order {
		n := float64(len(s.out))
		// Re-entry by trickle: one at a time, for a while none that could not be repeated.
		wary := r.class.Effect == Unsafe && g.now < s.ejected+lookEvery // not for good: there may be no other
		unfit := g.shunned(s) || s.bad > 0 && (n > 0 || wary) ||
			s.broken >= awayAt && (len(r.tries) > 0 || !look)
		if !r.allows(s) || n >= g.limit(s, within) || trust && unfit {
			continue
		}
		if place++; place >= g.near { // the subset is widened by as many as can't be used
			break
		}
		if !g.lotAllows(r, s, place) {
			continue
		}
		if g.warmth(s) < 1 { // its lot, and all that it gets
			return s, g.expected(r)
		}
		turned := s.turnedBy(g.now)
		cost := (s.slowness(g.now)*(n+1) + turned*s.turnTook/g.usual) / (1 - turned)
		if s.Zone != g.s.Zone {
			cost *= 1 + zonePenalty*g.s.CrossZoneCost
		}
		if cost *= 1 + jitter*g.rng.Float64(); cost < least {
			best, least = s, cost
		}
	}
	return best, least * g.expected(r)
}
