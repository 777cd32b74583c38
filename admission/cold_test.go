package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A coldServer has just started; it notes every attempt that is sent to it.
type coldServer struct {
	startedAt time.Duration
	sentAt    []time.Duration
}

// maxExcess tells by how many attempts the most crowded window of the settings' length was maxExcess what a cold server bears:
// N + 2 x root of N + 2, N being what the settings allow it in that window, which is their multiple of what it can do.
func (c *coldServer) maxExcess(s Settings, capacity float64) float64 {
	worst, first := math.Inf(-1), 0
	for last, at := range c.sentAt {
		for c.sentAt[first] <= at-s.ColdOverloadTime {
			first++
		}
		middle := c.sentAt[first] + s.ColdOverloadTime/2 - c.startedAt // the capacity comes up evenly
		if middle >= s.WarmUpTime {
			break
		}
		warm := s.InitialCapacity + (1-s.InitialCapacity)*middle.Seconds()/s.WarmUpTime.Seconds()
		n := s.ColdOverloadFactor * warm * capacity * s.ColdOverloadTime.Seconds()
		worst = max(worst, float64(last-first+1)-(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// Twenty to thirty gateways together, each seeing a part of the traffic, of which some see several times the mean. New
// servers join and others come back cold, one after the other and many at once, under a burst, while some fail what they
// get so that it is tried again elsewhere. No cold server gets more than it bears, and each gets something.
func TestColdServersSurviveLoadOfManyGateways(t *testing.T) {
	for _, gateways := range []int{20, 25, 30} {
		for _, cold := range []int{1, 4, 7} {
			for _, slots := range []int{1, 4} {
				for seed := range uint64(3) {
					name := fmt.Sprintf("%d gateways, %d cold of %d slots, seed %d", gateways, cold, slots, seed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						testColdServers(t, gateways, cold, slots, seed)
					})
				}
			}
		}
	}
}

func testColdServers(t *testing.T, gateways, cold, slots int, seed uint64) {
	const servers = 12
	class := Class{LatencyTarget: 500 * ms, Deadline: time.Second, Worth: 1, Effect: Safe}
	capacity := float64(slots) / (class.LatencyTarget / 8).Seconds() // see town.send
	w := newSimulation(t, []Class{class}, gateways, servers, slots)
	w.busyGateways, w.rng = gateways/6, rand.New(rand.NewPCG(seed, 2))
	for me, d := range w.gateways {
		*d.g.source = *rand.NewPCG(seed<<8+uint64(me), 0) // as in a fleet, each draws for itself
		d.g.settings.WarmUpTime, d.g.settings.InitialCapacity = 16*time.Second, 0.15
		d.g.settings.ColdOverloadFactor, d.g.settings.ColdOverloadTime = 2, 3*time.Second
	}
	s, alike, rate := w.gateways[0].g.settings, []float64{1}, 0.6*servers*capacity
	w.generateLoad(5*time.Second, rate, alike)
	began := map[string]*coldServer{}
	w.onSend = func(server string) {
		if c := began[server]; c != nil {
			c.sentAt = append(c.sentAt, w.now)
		}
	}
	names := w.hostNames()
	for i, name := range names[:cold] {
		if i%3 != 2 { // else at the same instant as the one before
			w.generateLoad(400*ms, rate, alike)
		}
		began[name] = &coldServer{startedAt: w.now}
		w.restartHost(name, s)
	}
	for _, name := range names[servers-2:] { // fail at once what they get
		w.hosts[name].respond = func(time.Duration) (Outcome, time.Duration) { return Errored, 5 * ms }
	}
	w.generateLoad(6*time.Second, 1.5*rate, alike)
	w.generateLoad(8*time.Second, rate, alike)
	for name, c := range began {
		if over := c.maxExcess(s, capacity); over > 0 {
			t.Errorf("%s got %.1f attempts more than it bears in %v", name, over, s.ColdOverloadTime)
		}
		if least := 0.1 * capacity * 14; float64(len(c.sentAt)) < least {
			t.Errorf("%s got %d attempts in all, want %.0f", name, len(c.sentAt), least)
		}
	}
}
