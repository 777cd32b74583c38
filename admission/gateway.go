package admission

// The decision module of ferryfront. Its interface (settings, events, actions and the host's contract)
// is in api.go. All that is decided, and every tuned value, is in the files that deploy/balancer.toml
// names under policy: this one, where events come in, and one for each concern.

import (
	"math"
	"math/rand/v2"
	"time"
)

// New returns a gateway for these settings, or an error that names what it can't work with.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	g := &Gateway{source: source, rng: rand.New(source), requests: map[uint64]*request{},
		customers: map[uint64]*customer{}, calls: map[string][]*call{}, servers: map[string]*server{},
		usual: firstGuess, outFor: firstGuess, callRate: 1, admit: 1,
		budget: math.Min(budgetMost, budgetSum/float64(s.Gateways)),
		asked:  foretellAt, askShare: min(1, max(askLeast, askAtFirst/float64(s.Gateways)))}
	g.use(s)
	return g, nil
}

// stake is what turning a request of a class away costs. Worth squared left the least under half of its due.
func (c Class) stake() float64 { return math.Pow(c.Worth, worthPower) }

// Handle takes one event at the time now and returns what is to be done; the next call reuses the slice.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = g.out[:0]
	g.now = max(now, g.now)
	if !g.started {
		g.started, g.began, g.answeredAt = true, now, now // no answer was due before the start
		g.timer(timerSweep, 0, g.now+sweepEvery)
		if g.s.MustSubscribe {
			g.do(Subscribe{On: true})
		}
	}
	switch ev := ev.(type) {
	case RequestArrived:
		g.arrive(ev)
	case AttemptEnded:
		g.ended(ev)
	case ClientLeft:
		if r := g.requests[ev.ID]; r != nil {
			g.callOff(r)
			g.finish(r)
		}
	case ServerList:
		g.list(ev)
	case CounterAnswered:
		g.answered(ev)
	case TimerFired:
		g.fired(ev.Token)
	default:
		g.note(ev)
	}
	return g.out
}

func (g *Gateway) fired(token uint64) {
	r := g.requests[token/timerKinds]
	switch token % timerKinds {
	case timerPatience:
		if r != nil && len(r.calls) > 0 {
			g.decideAlone(r)
		}
	case timerHold:
		g.recheck()
	case timerSweep:
		g.timer(timerSweep, 0, g.now+sweepEvery)
		g.forget()
	}
}
