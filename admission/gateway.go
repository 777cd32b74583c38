package admission

// The decision module of ferryfront. Its interface (settings, events, actions and the host's contract) is in
// api.go. All code that decides, and every tuned value, is in the files that deploy/balancer.toml names under
// policy: this one, which dispatches events, and one for each concern.

import (
	"math"
	"math/rand/v2"
	"time"
)

// New returns a gateway with these settings, or an error if it can't work with them. The seed determines all
// its random draws.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	g := &Gateway{source: source, rng: rand.New(source), requests: map[uint64]*request{},
		customers: map[uint64]*customer{}, counterCalls: map[string][]*counterCall{},
		servers:     map[string]*server{},
		meanLatency: initialLatency, meanTimeInFlight: initialLatency, callsPerRequest: 1, admitShare: 1,
		retryBudget:       math.Min(maxRetryBudget, initialFleetRetries/float64(s.Gateways)),
		queryShareAverage: predictionThreshold,
		queryShare:        min(1, max(minQueryShare, initialFleetQueryShare/float64(s.Gateways)))}
	g.applySettings(s)
	return g, nil
}

// refusalCost returns the cost of refusing a request of the class. Only ratios of costs have a meaning.
func (c Class) refusalCost() float64 { return math.Pow(c.Worth, worthExponent) }

// Handle processes one event at the time now and returns the actions to carry out. The next call reuses the
// slice. A time before that of the previous call is taken for the previous time.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = g.actions[:0]
	g.now = max(now, g.now)
	if !g.isStarted {
		// The time before the start must not count as time without an answer of the counter.
		g.isStarted, g.ceilingStart, g.counterAnsweredAt = true, now, now
		g.setTimer(timerExpiry, 0, g.now+expiryInterval)
		if g.settings.MustSubscribe {
			g.emit(Subscribe{On: true})
		}
	}
	switch ev := ev.(type) {
	case RequestArrived:
		g.onArrival(ev)
	case AttemptEnded:
		g.onAttemptEnded(ev)
	case ClientLeft:
		if r := g.requests[ev.ID]; r != nil {
			g.cancelAttempts(r)
			g.finish(r)
		}
	case ServerList:
		g.onServerList(ev)
	case CounterAnswered:
		g.onCounterAnswer(ev)
	case TimerFired:
		g.onTimer(ev.Token)
	default:
		g.onUpdate(ev)
	}
	return g.actions
}

// onTimer handles a timer of this gateway; one whose request is over is ignored.
func (g *Gateway) onTimer(token uint64) {
	r := g.requests[token/timerKindCount]
	switch token % timerKindCount {
	case timerCounterWait:
		if r != nil && len(r.pendingCalls) > 0 {
			g.decideLocally(r)
		}
	case timerRecheck:
		g.recheckHeld()
	case timerExpiry:
		g.setTimer(timerExpiry, 0, g.now+expiryInterval)
		g.expireCustomers()
	}
}
