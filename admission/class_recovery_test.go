package admission

import (
	"testing"
	"time"
)

// classMixes returns the request classes of several deployments, and the share of each class.
func classMixes() map[string]struct {
	classes []Class
	shares  []float64
} {
	class := func(worth float64, latencyTarget time.Duration, effect Effect) Class {
		c := Class{LatencyTarget: latencyTarget, Deadline: 2 * latencyTarget, Worth: worth, Effect: effect}
		if effect == Keyed {
			c.Scope, c.RepeatWindow = ScopeCell, 2*time.Second
		}
		return c
	}
	type classMix = struct {
		classes []Class
		shares  []float64
	}
	return map[string]classMix{
		"one unsafe":               {[]Class{class(1, time.Second, Unsafe)}, []float64{1}},
		"one urgent":               {[]Class{class(1, 250*ms, Safe)}, []float64{1}},
		"one keyed":                {[]Class{class(1, 500*ms, Keyed)}, []float64{1}},
		"nearly all unsafe":        {[]Class{class(2, 800*ms, Unsafe), class(1, 300*ms, Safe)}, []float64{0.95, 0.05}},
		"unsafe and keyed":         {[]Class{class(1, time.Second, Unsafe), class(3, 400*ms, Keyed)}, []float64{0.5, 0.5}},
		"a rare one of high worth": {[]Class{class(1, 700*ms, Safe), class(12, 300*ms, Unsafe)}, []float64{0.93, 0.07}},
		"urgent and patient":       {[]Class{class(3, 200*ms, Safe), class(1, 5*time.Second, Unsafe)}, []float64{0.6, 0.4}},
		"patient of highest worth": {[]Class{class(4, 3*time.Second, Keyed), class(1, 250*ms, Unsafe)}, []float64{0.4, 0.6}},
		"four": {
			[]Class{class(2, 350*ms, Unsafe), class(1, 250*ms, Safe), class(12, 500*ms, Keyed), class(0.5, 200*ms, Safe)},
			[]float64{0.23, 0.6, 0.07, 0.1},
		},
	}
}

// Ten seconds after any fault of all hosts, each class is served again, whatever other classes there are. What was
// learned during the fault must not keep out the only requests that could show that it is over.
func TestEveryClassRecoversAfterServerFault(t *testing.T) {
	faults := map[string]func(time.Duration) (Outcome, time.Duration){
		"errors":  func(time.Duration) (Outcome, time.Duration) { return Errored, 5 * ms },
		"resets":  func(time.Duration) (Outcome, time.Duration) { return Broken, 5 * ms },
		"refused": func(time.Duration) (Outcome, time.Duration) { return Unreachable, ms },
		"full":    func(time.Duration) (Outcome, time.Duration) { return Full, 2 * ms },
		"silent":  func(time.Duration) (Outcome, time.Duration) { return OK, time.Hour },
		"slow":    func(took time.Duration) (Outcome, time.Duration) { return OK, 6 * took },
		"stuck":   func(took time.Duration) (Outcome, time.Duration) { return OK, 20 * took },
	}
	const hosts, slots = 8, 2
	for name, mix := range classMixes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			meanServiceTime := 0.0
			for i, class := range mix.classes {
				meanServiceTime += mix.shares[i] * class.LatencyTarget.Seconds() / 8
			}
			rate := 0.4 * hosts * slots / meanServiceTime
			for fault, respond := range faults {
				for _, gateways := range []int{2, 20} {
					sim := newSimulation(t, mix.classes, gateways, hosts, slots)
					sim.generateLoad(3*time.Second, rate, mix.shares)
					for _, h := range sim.hosts {
						h.respond = respond
					}
					sim.generateLoad(8*time.Second, rate, mix.shares)
					for _, h := range sim.hosts {
						h.respond = nil
						clear(h.freeAt)
					}
					sim.countedFrom = sim.now + 10*time.Second
					sim.generateLoad(20*time.Second, rate, mix.shares)
					sim.runUntil(sim.now + 10*time.Second)
					for classIndex := range mix.classes {
						if share := float64(sim.answeredInTime[classIndex]) / float64(sim.arrived[classIndex]); share < 0.25 {
							t.Errorf("%s, %d gateways: class %d: %d of %d requests are answered in time, want a quarter",
								fault, gateways, classIndex, sim.answeredInTime[classIndex], sim.arrived[classIndex])
						}
					}
				}
			}
		})
	}
}
