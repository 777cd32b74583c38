package admission

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// Plumbing of the decision module: nothing here decides.

// validate names what a gateway can't work with.
func (s *Settings) validate() error {
	bad := func(vs ...float64) bool {
		return slices.ContainsFunc(vs, func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) || v < 0 })
	}
	switch {
	case s.Gateways < 1 || s.Index < 0 || s.Index >= s.Gateways:
		return fmt.Errorf("settings: number %d of %d gateways", s.Index, s.Gateways)
	case min(s.Tick, s.CounterTimeout, s.WarmUpTime, s.ColdOverloadTime, s.DrainGrace) < 0:
		return errors.New("settings: a negative time")
	case len(s.Classes) == 0 || s.MaxAttempts < 0 || s.MaxUnits < 0:
		return errors.New("settings: no classes, or a negative count")
	case bad(s.InitialCapacity, 1-s.InitialCapacity, s.ColdOverloadFactor, s.CrossZoneCost):
		return errors.New("settings: cold share, tip multiple or zone price out of range")
	}
	for _, c := range s.Classes {
		if min(c.LatencyTarget, c.Deadline, c.RepeatWindow) < 0 || bad(c.Worth) {
			return fmt.Errorf("settings: class %q has a negative time or worth", c.Name)
		}
	}
	for _, p := range s.Plans {
		if bad(p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate, p.CeilingBurst, p.CeilingSlack) ||
			p.Rate > 0 && p.Burst == 0 {
			return fmt.Errorf("settings: plan %q has a quota out of range", p.Name)
		}
	}
	return nil
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gateway) setTimer(kind int, id uint64, at time.Duration) {
	g.emit(SetTimer{Token: id*timerKindCount + uint64(kind), At: at})
}

// log tells the operator of a change of state, up to most lines in the life of a gateway.
func (g *Gateway) log(most int, format string, args ...any) {
	if g.logLines++; g.logLines <= most {
		g.emit(Log{Text: fmt.Sprintf(format, args...)})
	}
}

// hasSpentAttempts tells whether a request has had all its attempts, a limit of 0 is none, or can't be sent again.
func (g *Gateway) hasSpentAttempts(r *request) bool {
	return r.notReplayable || g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts
}

// addRequest books a request that has arrived. One of which an attempt may have run is a repeat from the start.
func (g *Gateway) addRequest(ev RequestArrived) *request {
	r := &request{id: ev.ID, class: &g.settings.Classes[ev.Class], classIndex: ev.Class,
		units: math.Max(1, float64(ev.Units)), arrivedAt: g.now, deadline: g.now + ev.ExpiresIn,
		slowStartSample: g.rng.Float64()}
	r.due, r.isPartial = min(r.arrivedAt+r.class.LatencyTarget, r.deadline), ev.IsPartial
	if e := ev.PriorAttempt; e != nil {
		there := ServerEntry{Name: e.Server, Zone: e.Zone, Cell: e.Cell}
		r.priorServer, r.priorSentAt = &server{ServerEntry: there}, e.SentAt
	}
	g.requests[ev.ID] = r
	g.classMix.Learn(r.classIndex, classMixWeight)
	return r
}

// addServer books a server that the list names for the first time, in order of name.
func (g *Gateway) addServer(e ServerEntry) *server {
	s := &server{relativeLatency: 1, startedAt: e.Boot}
	g.servers[e.Name] = s
	at, _ := slices.BinarySearchFunc(g.serversByName, e.Name,
		func(s *server, name string) int { return strings.Compare(s.Name, name) })
	g.serversByName = slices.Insert(g.serversByName, at, s)
	return s
}

// updateServers takes the entries of a list or of changes. One that is gone is forgotten once nothing is out there.
func (g *Gateway) updateServers(ev ServerList) {
	if ev.Kind != ListChanges {
		for _, s := range g.serversByName {
			s.State = Gone
		}
	}
	for _, e := range ev.Servers {
		s := g.servers[e.Name]
		if s == nil {
			s = g.addServer(e)
		} else if e.Boot != s.Boot && e.Boot != 0 { // restarted within its id, also where its clock was set back
			s.startedAt, s.relativeLatency, s.failures, s.connectionFailures, s.ejectedUntil = e.Boot, 1, 0, 0, 0
		}
		s.ServerEntry = e
	}
	g.serversByName = slices.DeleteFunc(g.serversByName, func(s *server) bool {
		if s.State != Gone || len(s.outstanding) > 0 {
			return false
		}
		delete(g.servers, s.Name)
		return true
	})
}

// expireCustomers drops the customers unseen for long.
func (g *Gateway) expireCustomers() {
	for id, c := range g.customers {
		if g.now-c.lastSeen > customerTTL && c.inFlight == 0 {
			delete(g.customers, id)
		}
	}
}

// startAttempt books an attempt of a request at a server, from now on.
func (g *Gateway) startAttempt(r *request, s *server) {
	r.wasSent = true
	r.attempts = append(r.attempts, attempt{server: s, sentAt: g.now, isLive: true})
	r.liveAttempts++
	g.liveAttempts++
	if !r.isPartial { // else the server has nothing to run yet, and its silence tells nothing
		s.outstanding = append(s.outstanding, g.now)
	}
}

// ejectionTime is how long a server is kept off that has failed so often.
func (s *server) ejectionTime() time.Duration {
	return min(maxEjection, minEjection<<max(0, min(s.failures-1, 8)))
}

// endAttempt books an attempt's end and what it tells of its server. It returns nil, and does nothing, where no such
// attempt is out.
func (g *Gateway) endAttempt(r *request, ev AttemptEnded) *attempt {
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].isLive {
		return nil
	}
	t := &r.attempts[ev.Attempt]
	t.isLive = false
	r.liveAttempts--
	g.liveAttempts--
	r.notReplayable = ev.NotReplayable
	g.learnFromAttempt(t, r, ev)
	return t
}

// usefulSeconds is for how many seconds at the usefulSeconds an answer of a class is of use.
func (c *Class) usefulSeconds() float64 {
	return min(c.LatencyTarget, cmp.Or(c.Deadline, c.LatencyTarget)).Seconds()
}

// detachCalls lets go of the calls not answered yet: their answers decide nothing any more.
func (r *request) detachCalls() {
	for _, k := range r.pendingCalls {
		k.request, k.requestDelta = nil, 0
	}
	r.pendingCalls = nil
}

// addCounted notes that a ledger holds so much more for the request.
func (r *request) addCounted(l *windowCounter, units float64) {
	if l == &r.customer.quotaCounter {
		r.quotaCounted, r.quotaWindow = r.quotaCounted+units, l.window
	} else if l == &r.customer.inFlightCounter {
		r.inFlightCounted += units
		r.customer.inFlightCounted += units
	}
}

// counterKey is a customer's part of the counter's names.
func (c *customer) counterKey() string { return strconv.FormatUint(c.id, 36) }

// hashFraction gives each id a place of its own in [0,1) (Fibonacci hashing).
func hashFraction(id uint64) float64 { return float64(id*0x9e3779b97f4a7c15>>32) / (1 << 32) }

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e9) * float64(time.Second))
}

// eventRate counts events with exponential forgetting; rate is events a second.
type eventRate struct {
	count float64
	at    time.Duration
}

func (d *eventRate) add(now time.Duration, memory float64) {
	d.count, d.at = d.rate(now, memory)*memory+1, now
}

func (d *eventRate) rate(now time.Duration, memory float64) float64 {
	return d.count * estimate.Decay(now-d.at, memory) / memory
}

// An demandEstimate is how much was asked, in seconds' worth of what fits, over how many seconds looked at; both
// fade with time.
type demandEstimate struct {
	demand, observed float64
	at               time.Duration
}

func (e *demandEstimate) decay(now time.Duration, memory float64) {
	f := estimate.Decay(now-e.at, memory)
	e.demand, e.observed, e.at = e.demand*f, e.observed*f, now
}

// mean is what is asked over what fits, with a prior that counts like so many seconds looked at.
func (e *demandEstimate) mean(prior, weight float64) float64 {
	return (prior*weight + e.demand) / (weight + e.observed)
}

// Windows turn at a time of the customer's own (phase), so that a fleet's do not turn all at once.
func newWindowCounter(prefix string, span time.Duration, phase float64) windowCounter {
	return windowCounter{prefix: prefix, length: span, phase: seconds(span.Seconds() * phase)}
}

func (l *windowCounter) windowAt(now time.Duration) int64        { return int64((now + l.phase) / l.length) }
func (l *windowCounter) elapsed(now time.Duration) time.Duration { return (now + l.phase) % l.length }

func (l *windowCounter) name(w int64) string { return l.prefix + strconv.FormatInt(w, 36) }

// Timer tokens: the kind in the low bits, a request id above.
const (
	timerCounterWait = iota
	timerRecheck
	timerExpiry
	timerKindCount
)

// A windowCounter is one named number a window. The ordinary path adds a request's units and reads the total.
type windowCounter struct {
	prefix      string
	length      time.Duration
	phase       time.Duration // of the time that its windows are ahead
	window      int64
	lastTotal   float64       // last total read...
	lastTotalAt time.Duration // ...and when, or the window's start
	pending     float64       // settlements and give-backs that ride on the next call
}

// A counterCall is one counter counterCall not yet answered.
type counterCall struct {
	request             *request // the request that waits on it, nil when decided or none
	customer            *customer
	counter             *windowCounter
	window              int64
	delta, requestDelta float64 // own: the part of by that is r's, not yet in the mirror
}

// An attempt of a request.
type attempt struct {
	server *server
	sentAt time.Duration
	isLive bool
}

// A request knows what is still legal: anything while nothing may have run, then what its class says.
type request struct {
	id                                uint64
	classIndex                        int
	class                             *Class
	customer                          *customer
	units                             float64
	arrivedAt, deadline               time.Duration
	due                               time.Duration  // an answer after it is late: its aim, or before that its client's leaving
	pendingCalls                      []*counterCall // not answered yet
	quotaCounted, inFlightCounted     float64        // of it on the counter, or about to be
	tokensTaken                       float64        // taken off the mirror for it
	quotaWindow                       int64          // the window that inRate is in
	slowStartSample                   float64        // in [0,1): the one server that may take its next attempt while cold
	isOverQuota                       bool
	isPartial, notReplayable          bool // it has not wholly come; part of it is held nowhere any more
	wasSent, isDone                   bool
	isShownUnderCeiling               bool // by a total to be under its ceiling
	isPredecessors, hasReservedTokens bool // the predecessor's, and its units are kept off the ceiling's store
	attempts                          []attempt
	liveAttempts                      int
	priorServer                       *server // where it may have run first, sent at
	priorSentAt                       time.Duration
}

// A server as this gateway sees it.
type server struct {
	ServerEntry
	startedAt                    time.Duration          // start of its warming up, 0: long ago
	relativeLatency              float64                // EWMA of its latency over the usual
	outstanding                  []time.Duration        // send times of what it holds of ours, in order
	lastResponseAt, ejectedUntil time.Duration          // last sign of life; kept off until
	failures                     int                    // failures in a row
	errors, connectionFailures   int                    // errors, and connections lost, since its last good answer
	rejectShare                  estimate.FadingAverage // part of what it gets that it turns away...
	rejectLatency                float64                // ...and after how many seconds, EWMA
	throughput                   eventRate              // answers
}

// A customer has a mirror of its quota's store (level): filled at the rate, drained by what the totals
// show all gateways to have added. SQR-073 lets a window's count reach the allowance; here that is what the
// store carried into the window plus the refill since: no double at an edge, no starving after a burst.
type customer struct {
	id                                           uint64
	plan                                         *Plan
	gateways                                     float64
	quotaCounter, inFlightCounter, demandCounter windowCounter
	planIndex                                    int            // of the plan
	observedDemand                               demandEstimate // what all doors ask, over what fits
	quotaTokens, ceilingTokens                   float64        // the mirror; this gateway's part of the hard ceiling's store,
	ceilingBurst, ceilingRate, ceilingTotalLimit float64        // which holds and gains so much; what a window's total may show beside it
	isCeilingSplit                               bool           // and whether these are known
	othersRate, predictedUsage                   float64        // units a second that other doors take, EWMA; foretold since the last total
	lastSeen, quotaTokensAt, ceilingTokensAt     time.Duration
	inFlight                                     int     // requests sent from here and not ended
	inFlightCounted                              float64 // what this gateway has on the gauge, or about to
	underCapShare                                float64 // part of what all doors ask that fits the quota, by the totals of late
}

// SubsetSize is how many of the hosts that are up each ingress of a fleet uses while all is well.
func SubsetSize(hosts, ingresses int) int {
	return max(minSubsetSize, (minGatewaysPerServer*hosts+ingresses-1)/ingresses)
}
