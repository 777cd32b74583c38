package admission

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission/estimate"
)

// classPairs returns pairs of classes, that of lower worth first. In one the class of higher worth has the shorter
// latency target, in the other the longer one.
func classPairs() map[string][]Class {
	class := func(worth float64, latencyTarget time.Duration, effect Effect) Class {
		return Class{LatencyTarget: latencyTarget, Deadline: 3 * time.Second, Worth: worth, Effect: effect}
	}
	return map[string][]Class{
		"the higher worth is urgent":  {class(1, 1200*ms, Safe), class(3, 800*ms, Unsafe)},
		"the higher worth is patient": {class(1, 600*ms, Safe), class(3, 1200*ms, Safe)},
	}
}

// newClassDriver returns a driver with these classes and two servers.
func newClassDriver(t *testing.T, classes []Class) *driver {
	s := testSettings()
	s.Classes = classes
	return newDriver(t, s, "a", "b")
}

// fillServers makes 20 requests arrive, more than the gateway sends at a time, and returns how many it sends.
func (d *driver) fillServers(first uint64, class int) (sent int) {
	for id := first; id < first+20; id++ {
		d.arrive(id, class, unlimitedPlan, 1)
		sent += len(actionsOf[Send](d.takeActions()))
	}
	return sent
}

// answerAll answers all open attempts, and those that are started when a server becomes free.
func (d *driver) answerAll() {
	for d.gateway.liveAttempts > 0 {
		for _, id := range slices.Sorted(maps.Keys(d.gateway.requests)) {
			if r := d.gateway.requests[id]; r != nil && r.liveAttempts > 0 {
				d.advance(5 * ms)
				d.handle(AttemptEnded{ID: id, Attempt: len(r.attempts) - 1, Outcome: OK, Took: 100 * ms, Done: true})
			}
		}
	}
	d.takeActions()
}

// While requests of higher worth find no server in time, a class of lower worth must leave capacity at every server
// for them, however long its own latency target is, and is refused at once instead of being held. When they find
// servers again, it may use all.
func TestLowWorthLeavesCapacityForHighWorth(t *testing.T) {
	for name, classes := range classPairs() {
		t.Run(name, func(t *testing.T) {
			d := newClassDriver(t, classes)
			require.Equal(t, 6, d.fillServers(1, 0), "three at each server: no class of higher worth lacks a server")
			require.Zero(t, d.gateway.topClassShortage.Value, "requests of lower worth do not count as a shortage")
			require.Zero(t, d.fillServers(100, 1))
			d.answerAll()
			admitted := d.fillServers(200, 0)
			require.GreaterOrEqual(t, admitted, 2, "one at each server")
			require.Less(t, admitted, 6)
			require.Empty(t, d.gateway.held, "no request is held for capacity that it may not use")
			require.Equal(t, 6-admitted, d.fillServers(300, 1), "the remaining capacity is for the higher worth")
			d.answerAll()
			for id := range uint64(400) {
				d.arrive(1000+id, 1, unlimitedPlan, 1)
				d.answerAll()
			}
			require.GreaterOrEqual(t, d.fillServers(2000, 0), 6, "the shortage is over")
		})
	}
}

// A class whose last latencies were high is still sent to idle servers. Otherwise no answer could show that it has
// become faster.
func TestLowWorthIsSentToIdleServers(t *testing.T) {
	for name, classes := range classPairs() {
		t.Run(name, func(t *testing.T) {
			d := newClassDriver(t, classes)
			requestAndAnswer := func(id uint64, took time.Duration) bool {
				d.arrive(id, 0, unlimitedPlan, 1)
				sends := actionsOf[Send](d.takeActions())
				if len(sends) == 0 {
					return false
				}
				d.advance(took)
				d.handle(AttemptEnded{ID: id, Attempt: 0, Outcome: OK, Took: took, Server: sends[0].Server, Done: true})
				d.takeActions()
				return true
			}
			slowLatency := classes[0].LatencyTarget * 4 / 10 // far above its limit at a server with open attempts
			for id := range uint64(20) {
				d.gateway.topClassShortage = estimate.FadingAverage{Value: 1, At: d.now}
				require.True(t, requestAndAnswer(id+1, slowLatency))
			}
			for id := range uint64(400) {
				d.gateway.topClassShortage = estimate.FadingAverage{Value: 1, At: d.now}
				require.True(t, requestAndAnswer(id+100, 50*ms))
			}
			require.GreaterOrEqual(t, d.fillServers(1000, 0), 2)
		})
	}
}

// A request whose expected wait only just fits its latency target is refused early, while its client can still try
// elsewhere: waits vary.
func TestExpectedWaitNeedsMargin(t *testing.T) {
	d := newClassDriver(t, []Class{{LatencyTarget: 450 * ms, Deadline: 3 * time.Second, Worth: 1}})
	require.Equal(t, 6, d.fillServers(1, 0),
		"three at each server: the third has an expected wait of 300 ms, 390 ms with the margin")
	d = newClassDriver(t, []Class{{LatencyTarget: 350 * ms, Deadline: 3 * time.Second, Worth: 1}})
	require.Equal(t, 4, d.fillServers(1, 0), "two at each server")
}

// A repeat of a request that may have run can't be refused. It is allowed to finish, whatever capacity is to be left
// for higher worth.
func TestRepeatThatMayHaveRunIsNotLimitedByShortage(t *testing.T) {
	d := newClassDriver(t, []Class{
		{LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Worth: 1, Effect: Keyed, Scope: ScopeZone,
			RepeatWindow: 3 * time.Second},
		{LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Worth: 3},
	})
	for id := range uint64(6) {
		d.gateway.topClassShortage = estimate.FadingAverage{Value: 1, At: d.now}
		d.handle(RequestArrived{ID: id + 1, Plan: unlimitedPlan, Customer: 5, ExpiresIn: 3 * time.Second, Units: 1,
			Gateways: 2, PriorAttempt: &PriorAttempt{Server: "gone", Zone: "a", SentAt: d.now}})
		onlyAction[Send](d)
	}
}

// Whatever the worths and shares of the classes: when 0.57 of all requests can be admitted, the class of least worth
// still gets half of an even share.
func TestEachClassGetsHalfOfEvenShare(t *testing.T) {
	const admitShare = 0.57
	for name, c := range map[string]struct{ worth, share []float64 }{
		"two of equal shares":               {[]float64{1, 3}, []float64{0.5, 0.5}},
		"a rare class of very high worth":   {[]float64{2, 1, 12, 0.5}, []float64{0.23, 0.6, 0.07, 0.1}},
		"three of similar shares":           {[]float64{1.5, 1, 2.5}, []float64{0.35, 0.37, 0.28}},
		"most classes of the highest worth": {[]float64{4, 4, 1}, []float64{0.2, 0.2, 0.6}},
	} {
		s := testSettings()
		s.Classes = nil
		for _, w := range c.worth {
			s.Classes = append(s.Classes, Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Worth: w})
		}
		g := newDriver(t, s, "a", "b").gateway
		g.classMix = c.share
		level, sum := g.classMix.Level(g.admitExponents, admitShare), 0.0
		for i, share := range c.share {
			admitted := math.Pow(level, g.admitExponents[i])
			sum += share * admitted
			require.GreaterOrEqual(t, admitted, admitShare/2, "%s: class %d", name, i)
		}
		require.InDelta(t, admitShare, sum, 1e-4, name)
	}
}

// The class of highest worth may be rare, or removed from the settings. A shortage of a minute ago must not limit the
// other classes.
func TestShortageOfTopClassIsForgotten(t *testing.T) {
	for name, classes := range classPairs() {
		d := newClassDriver(t, classes)
		d.gateway.topClassShortage = estimate.FadingAverage{Value: 1, At: d.now}
		require.Less(t, d.fillServers(1, 0), 6, name)
		d.answerAll()
		d.advance(time.Minute)
		require.Equal(t, 6, d.fillServers(100, 0), name)
	}
	s := testSettings()
	d := newClassDriver(t, s.Classes)
	s.Classes[0].Worth = 5
	d.handle(SettingsChanged{Settings: s})
	require.Greater(t, d.gateway.admitExponents[1], 1.0)
	s.Classes = append([]Class(nil), s.Classes...)
	s.Classes[0].IsRemoved = true
	d.handle(SettingsChanged{Settings: s})
	require.Equal(t, 1.0, d.gateway.admitExponents[1], "the highest worth of the remaining classes counts")
}
