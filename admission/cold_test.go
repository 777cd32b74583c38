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
	maxOver, first := math.Inf(-1), 0
	for last, at := range c.sentAt {
		for c.sentAt[first] <= at-s.ColdOverloadTime {
			first++
		}
		middle := c.sentAt[first] + s.ColdOverloadTime/2 - c.startedAt // the capacity comes up evenly
		if middle >= s.WarmUpTime {
			break
		}
		capacityShare := s.InitialCapacity + (1-s.InitialCapacity)*middle.Seconds()/s.WarmUpTime.Seconds()
		allowed := s.ColdOverloadFactor * capacityShare * capacity * s.ColdOverloadTime.Seconds()
		maxOver = max(maxOver, float64(last-first+1)-(allowed+2*math.Sqrt(allowed)+2))
	}
	return maxOver
}

// Twenty to thirty gateways together, each seeing a part of the traffic, of which some see several times the mean. New
// servers join and others come back cold, one after the other and many at once, under a burst, while some fail what they
// get so that it is tried again elsewhere. No cold server gets more than it bears, and each gets something.
func TestColdServersSurviveLoadOfManyGateways(t *testing.T) {
	for _, gateways := range []int{20, 25, 30} {
		for _, coldHosts := range []int{1, 4, 7} {
			for _, slots := range []int{1, 4} {
				for seed := range uint64(3) {
					name := fmt.Sprintf("%d gateways, %d cold of %d slots, seed %d", gateways, coldHosts, slots, seed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						testColdServers(t, gateways, coldHosts, slots, seed)
					})
				}
			}
		}
	}
}

func testColdServers(t *testing.T, gateways, coldHosts, slots int, seed uint64) {
	const servers = 12
	class := Class{LatencyTarget: 500 * ms, Deadline: time.Second, Worth: 1, Effect: Safe}
	capacity := float64(slots) / (class.LatencyTarget / 8).Seconds() // see town.send
	sim := newSimulation(t, []Class{class}, gateways, servers, slots)
	sim.busyGateways, sim.rng = gateways/6, rand.New(rand.NewPCG(seed, 2))
	for index, d := range sim.gateways {
		*d.g.source = *rand.NewPCG(seed<<8+uint64(index), 0) // as in a fleet, each draws for itself
		d.g.settings.WarmUpTime, d.g.settings.InitialCapacity = 16*time.Second, 0.15
		d.g.settings.ColdOverloadFactor, d.g.settings.ColdOverloadTime = 2, 3*time.Second
	}
	s, shares, rate := sim.gateways[0].g.settings, []float64{1}, 0.6*servers*capacity
	sim.generateLoad(5*time.Second, rate, shares)
	coldServers := map[string]*coldServer{}
	sim.onSend = func(server string) {
		if c := coldServers[server]; c != nil {
			c.sentAt = append(c.sentAt, sim.now)
		}
	}
	names := sim.hostNames()
	for i, name := range names[:coldHosts] {
		if i%3 != 2 { // else at the same instant as the one before
			sim.generateLoad(400*ms, rate, shares)
		}
		coldServers[name] = &coldServer{startedAt: sim.now}
		sim.restartHost(name, s)
	}
	for _, name := range names[servers-2:] { // fail at once what they get
		sim.hosts[name].respond = func(time.Duration) (Outcome, time.Duration) { return Errored, 5 * ms }
	}
	sim.generateLoad(6*time.Second, 1.5*rate, shares)
	sim.generateLoad(8*time.Second, rate, shares)
	for name, c := range coldServers {
		if excess := c.maxExcess(s, capacity); excess > 0 {
			t.Errorf("%s got %.1f attempts more than it bears in %v", name, excess, s.ColdOverloadTime)
		}
		if minSent := 0.1 * capacity * 14; float64(len(c.sentAt)) < minSent {
			t.Errorf("%s got %d attempts in all, want %.0f", name, len(c.sentAt), minSent)
		}
	}
}
