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

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

func (g *Gateway) timer(kind int, id uint64, at time.Duration) {
	g.do(SetTimer{Token: id*timerKinds + uint64(kind), At: at})
}

// log tells the operator of a change of state, up to most lines in the life of a gateway.
func (g *Gateway) log(most int, format string, args ...any) {
	if g.logs++; g.logs <= most {
		g.do(Log{Text: fmt.Sprintf(format, args...)})
	}
}

// spent tells whether a request has had all its attempts, a limit of 0 is none, or can't be sent again.
func (g *Gateway) spent(r *request) bool {
	return r.gone || g.s.MaxAttempts > 0 && len(r.tries) >= g.s.MaxAttempts
}

// enroll books a request that has arrived. One of which an attempt may have run is a repeat from the start.
func (g *Gateway) enroll(ev RequestArrived) *request {
	r := &request{id: ev.ID, class: &g.s.Classes[ev.Class], ci: ev.Class,
		units: math.Max(1, float64(ev.Units)), at: g.now, deadline: g.now + ev.ExpiresIn,
		lot: g.rng.Float64()}
	r.due, r.open = min(r.at+r.class.LatencyTarget, r.deadline), ev.IsPartial
	if e := ev.PriorAttempt; e != nil {
		there := ServerEntry{Name: e.Server, Zone: e.Zone, Cell: e.Cell}
		r.maybe, r.maybeAt = &server{ServerEntry: there}, e.SentAt
	}
	g.requests[ev.ID] = r
	g.mix.Learn(r.ci, mixGain)
	return r
}

// insert books a server that the list names for the first time, in order of name.
func (g *Gateway) insert(e ServerEntry) *server {
	s := &server{resp: 1, coldAt: e.Boot}
	g.servers[e.Name] = s
	at, _ := slices.BinarySearchFunc(g.ring, e.Name,
		func(s *server, name string) int { return strings.Compare(s.Name, name) })
	g.ring = slices.Insert(g.ring, at, s)
	return s
}

// book takes the entries of a list or of changes. One that is gone is forgotten once nothing is out there.
func (g *Gateway) book(ev ServerList) {
	if ev.Kind != ListChanges {
		for _, s := range g.ring {
			s.State = Gone
		}
	}
	for _, e := range ev.Servers {
		s := g.servers[e.Name]
		if s == nil {
			s = g.insert(e)
		} else if e.Boot != s.Boot && e.Boot != 0 { // restarted within its id, also where its clock was set back
			s.coldAt, s.resp, s.bad, s.broken, s.ejected = e.Boot, 1, 0, 0, 0
		}
		s.ServerEntry = e
	}
	g.ring = slices.DeleteFunc(g.ring, func(s *server) bool {
		if s.State != Gone || len(s.out) > 0 {
			return false
		}
		delete(g.servers, s.Name)
		return true
	})
}

// forget drops the customers unseen for long.
func (g *Gateway) forget() {
	for id, c := range g.customers {
		if g.now-c.used > forgetAfter && c.out == 0 {
			delete(g.customers, id)
		}
	}
}

// begin books an attempt of a request at a server, from now on.
func (g *Gateway) begin(r *request, s *server) {
	r.sent = true
	r.tries = append(r.tries, attempt{s: s, at: g.now, live: true})
	r.live++
	g.live++
	if !r.open { // else the server has nothing to run yet, and its silence tells nothing
		s.out = append(s.out, g.now)
	}
}

// ejection is how long a server is kept off that has failed so often.
func (s *server) ejection() time.Duration { return min(ejectMost, ejectFirst<<max(0, min(s.bad-1, 8))) }

// over books an attempt's end and what it tells of its server. It returns nil, and does nothing, where no such
// attempt is out.
func (g *Gateway) over(r *request, ev AttemptEnded) *attempt {
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return nil
	}
	t := &r.tries[ev.Attempt]
	t.live = false
	r.live--
	g.live--
	r.gone = ev.NotReplayable
	g.observe(t, r, ev)
	return t
}

// most is for how many seconds at the most an answer of a class is of use.
func (c *Class) most() float64 {
	return min(c.LatencyTarget, cmp.Or(c.Deadline, c.LatencyTarget)).Seconds()
}

// detach lets go of the calls not answered yet: their answers decide nothing any more.
func (r *request) detach() {
	for _, k := range r.calls {
		k.r, k.own = nil, 0
	}
	r.calls = nil
}

// enter notes that a ledger holds so much more for the request.
func (r *request) enter(l *ledger, units float64) {
	if l == &r.cust.rate {
		r.inRate, r.rateWindow = r.inRate+units, l.window
	} else if l == &r.cust.gauge {
		r.inGauge += units
		r.cust.reg += units
	}
}

// key is a customer's part of the counter's names.
func (c *customer) key() string { return strconv.FormatUint(c.id, 36) }

// spread gives each id a place of its own in [0,1) (Fibonacci hashing).
func spread(id uint64) float64 { return float64(id*0x9e3779b97f4a7c15>>32) / (1 << 32) }

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 1e9) * float64(time.Second))
}

// decaying counts events with exponential forgetting; rate is events a second.
type decaying struct {
	n  float64
	at time.Duration
}

func (d *decaying) add(now time.Duration, memory float64) {
	d.n, d.at = d.rate(now, memory)*memory+1, now
}

func (d *decaying) rate(now time.Duration, memory float64) float64 {
	return d.n * estimate.Decay(now-d.at, memory) / memory
}

// An evidence is how much was asked, in seconds' worth of what fits, over how many seconds looked at; both
// fade with time.
type evidence struct {
	asked, span float64
	at          time.Duration
}

func (e *evidence) fade(now time.Duration, memory float64) {
	f := estimate.Decay(now-e.at, memory)
	e.asked, e.span, e.at = e.asked*f, e.span*f, now
}

// mean is what is asked over what fits, with a prior that counts like so many seconds looked at.
func (e *evidence) mean(prior, weight float64) float64 {
	return (prior*weight + e.asked) / (weight + e.span)
}

// Windows turn at a time of the customer's own (phase), so that a fleet's do not turn all at once.
func newLedger(prefix string, span time.Duration, phase float64) ledger {
	return ledger{prefix: prefix, span: span, phase: seconds(span.Seconds() * phase)}
}

func (l *ledger) index(now time.Duration) int64        { return int64((now + l.phase) / l.span) }
func (l *ledger) into(now time.Duration) time.Duration { return (now + l.phase) % l.span }

func (l *ledger) name(w int64) string { return l.prefix + strconv.FormatInt(w, 36) }

// Timer tokens: the kind in the low bits, a request id above.
const (
	timerPatience = iota
	timerHold
	timerSweep
	timerKinds
)

// A ledger is one named number a window. The ordinary path adds a request's units and reads the total.
type ledger struct {
	prefix string
	span   time.Duration
	phase  time.Duration // of the time that its windows are ahead
	window int64
	seen   float64       // last total read...
	seenAt time.Duration // ...and when, or the window's start
	fold   float64       // settlements and give-backs that ride on the next call
}

// A call is one counter call not yet answered.
type call struct {
	r       *request // the request that waits on it, nil when decided or none
	c       *customer
	l       *ledger
	window  int64
	by, own float64 // own: the part of by that is r's, not yet in the mirror
}

// An attempt of a request.
type attempt struct {
	s    *server
	at   time.Duration
	live bool
}

// A request knows what is still legal: anything while nothing may have run, then what its class says.
type request struct {
	id              uint64
	ci              int
	class           *Class
	cust            *customer
	units           float64
	at, deadline    time.Duration
	due             time.Duration // an answer after it is late: its aim, or before that its client's leaving
	calls           []*call       // not answered yet
	inRate, inGauge float64       // of it on the counter, or about to be
	drawn           float64       // taken off the mirror for it
	rateWindow      int64         // the window that inRate is in
	lot             float64       // in [0,1): the one server that may take its next attempt while cold
	over            bool
	open, gone      bool // it has not wholly come; part of it is held nowhere any more
	sent, done      bool
	shown           bool // by a total to be under its ceiling
	theirs, aside   bool // the predecessor's, and its units are kept off the ceiling's store
	tries           []attempt
	live            int
	maybe           *server // where it may have run first, sent at
	maybeAt         time.Duration
}

// A server as this gateway sees it.
type server struct {
	ServerEntry
	coldAt         time.Duration          // start of its warming up, 0: long ago
	resp           float64                // EWMA of its latency over the usual
	out            []time.Duration        // send times of what it holds of ours, in order
	heard, ejected time.Duration          // last sign of life; kept off until
	bad            int                    // failures in a row
	errors, broken int                    // errors, and connections lost, since its last good answer
	turned         estimate.FadingAverage // part of what it gets that it turns away...
	turnTook       float64                // ...and after how many seconds, EWMA
	thru           decaying               // answers
}

// A customer has a mirror of its quota's store (level): filled at the rate, drained by what the totals
// show all gateways to have added. SQR-073 lets a window's count reach the allowance; here that is what the
// store carried into the window plus the refill since: no double at an edge, no starving after a burst.
type customer struct {
	id                    uint64
	plan                  *Plan
	doors                 float64
	rate, gauge, demand   ledger
	index                 int      // of the plan
	press                 evidence // what all doors ask, over what fits
	level, hard           float64  // the mirror; this gateway's part of the hard ceiling's store,
	part, fill, shows     float64  // which holds and gains so much; what a window's total may show beside it
	dealt                 bool     // and whether these are known
	take, taken           float64  // units a second that other doors take, EWMA; foretold since the last total
	used, levelAt, hardAt time.Duration
	out                   int     // requests sent from here and not ended
	reg                   float64 // what this gateway has on the gauge, or about to
	fit                   float64 // part of what all doors ask that fits the quota, by the totals of late
}

// SubsetSize is how many of the hosts that are up each ingress of a fleet uses while all is well.
func SubsetSize(hosts, ingresses int) int {
	return max(leastHosts, (leastDoors*hosts+ingresses-1)/ingresses)
}
