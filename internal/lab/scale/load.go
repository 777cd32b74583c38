package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// What clients ask of the real ingresses: tenants within their quotas, each through three of them, and tenants with a
// ceiling, which ask through all real ones for half as much again as the ceiling lets through.
const (
	quotaTenants  = 60
	quotaSpread   = 3
	quotaRate     = 120.0 // requests a second of all within quotas
	greedyTenants = 2
	greedyFirst   = 5000 // number of the first
	greedyRate    = 60.0 // requests a second of each
)

// Of the ceiling of standin.Plans. A new version of the settings halves them.
const (
	ceilingRate  = 40
	ceilingBurst = 80
	ceilingSlack = 8
)

// avoidAfter is after which the front sends nothing more to an ingress that is down.
const avoidAfter = 300 * time.Millisecond

// load is requests that come at times drawn ahead, whatever becomes of earlier ones.
type load struct {
	fleet  *fleet
	cancel context.CancelFunc
	ctx    context.Context
	asking sync.WaitGroup
}

// begin begins to ask.
func (f *fleet) begin() *load {
	l := &load{fleet: f}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	spread := min(quotaSpread, f.topology.Real)
	l.stream(quotaRate, func(n int) (standin.Ask, int) { return l.withinQuota(n, spread) })
	for g := range greedyTenants {
		l.stream(greedyRate, func(n int) (standin.Ask, int) {
			return standin.Ask{ID: fmt.Sprintf("g%d-%d", g, n), Customer: standin.CustomerName(greedyFirst + g),
				Class: "catalogue", Plan: ceilingPlan, Spread: f.topology.Real}, l.ingress(0, f.topology.Real)
		})
	}
	return l
}

// end asks nothing more and waits for all answers.
func (l *load) end() {
	l.cancel()
	l.asking.Wait()
}

func (l *load) withinQuota(n, spread int) (standin.Ask, int) {
	tenant := rand.IntN(quotaTenants)
	ask := standin.Ask{ID: fmt.Sprint("a", n), Customer: standin.CustomerName(tenant), Class: "stock", Plan: "boutique",
		Spread: spread, First: tenant % l.fleet.topology.Real}
	switch x := rand.Float64(); {
	case x < 0.3:
		ask.Class, ask.Once = "commit", true
	case x < 0.5:
		ask.Class, ask.Key = "order", "k-"+ask.ID
	}
	return ask, l.ingress(ask.First, spread)
}

// ingress draws one of a tenant's, of those that the front does not know to be down.
func (l *load) ingress(first, spread int) int {
	now := time.Now()
	at := rand.IntN(spread)
	for k := range spread {
		m := (first + at + k) % l.fleet.topology.Real
		if l.fleet.timeline.runs(m) || !l.fleet.timeline.wasDown(m, now.Add(-time.Hour), now.Add(-avoidAfter)) {
			return m
		}
	}
	return (first + at) % l.fleet.topology.Real
}

func (l *load) stream(rate float64, next func(n int) (ask standin.Ask, ingress int)) {
	l.asking.Go(func() {
		due := time.Now()
		for n := 0; ; n++ {
			due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-time.After(time.Until(due)):
			case <-l.ctx.Done():
				return
			}
			ask, ingress := next(n)
			ask.Due = due
			l.asking.Go(func() { l.fleet.clients[ingress].Do(ask) })
		}
	})
}

// verdict is how the rules were kept.
type verdict struct {
	requests, lost, doubled, ceilingBreaks int
	faults                                 []string
}

// judge reads the record. halvedFrom is when all real ingresses acted on lower ceilings alone, zero: they did not.
// What an ingress had taken that was down meanwhile is its clients' to ask again.
func (f *fleet) judge(halvedFrom time.Time) verdict {
	rules := standin.Rules{Window: standin.Window, CeilingRate: ceilingRate, CeilingBurst: ceilingBurst, CeilingSlack: ceilingSlack}
	for g := range greedyTenants {
		rules.Customers = append(rules.Customers, standin.CustomerName(greedyFirst+g))
	}
	found := f.world.Record.Check(rules)
	v := verdict{doubled: found.ForbiddenRepeats + found.SecondCopies, ceilingBreaks: found.CeilingBreaks, faults: found.Faults}
	if !halvedFrom.IsZero() {
		rules.CeilingRate, rules.CeilingBurst, rules.CeilingSlack = ceilingRate/halved, ceilingBurst/halved, ceilingSlack/halved
		rules.From = halvedFrom
		v.ceilingBreaks += f.world.Record.Check(rules).CeilingBreaks
	}
	ran := map[string]int{}
	for _, r := range f.world.Record.Runs() {
		if r.Class == "commit" { // it must not run twice
			if ran[r.ID]++; ran[r.ID] == 2 {
				v.doubled++
			}
		}
	}
	for _, a := range f.world.Record.Answers() {
		v.requests++
		if f.timeline.wasDown(a.Via, a.Due, a.End) {
			continue
		}
		if a.Status == 0 || a.Twice {
			v.lost++
			f.run.Setup.Say("lost: %s through %d: %s", a.ID, a.Via, a.Lost)
		}
	}
	return v
}
