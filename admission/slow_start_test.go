package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldServer records the attempts that are sent to a server after its restart.
type coldServer struct {
	startedAt time.Duration
	sentAt    []time.Duration // in order
}

// maxExcess returns the largest excess of attempts over what the server survives, in any window of
// ColdOverloadTime during its warm-up. It survives N + 2 sqrt(N) + 2 attempts, where N is ColdOverloadFactor times
// what it can answer in that window. The capacity of the warm server is in requests a second.
func (c *coldServer) maxExcess(s Settings, capacity float64) float64 {
	maxOver, first := math.Inf(-1), 0
	for last, at := range c.sentAt {
		for c.sentAt[first] <= at-s.ColdOverloadTime {
			first++
		}
		middle := c.sentAt[first] + s.ColdOverloadTime/2 - c.startedAt // the capacity rises evenly, so this is its mean
		if middle >= s.WarmUpTime {
			break
		}
		capacityShare := s.InitialCapacity + (1-s.InitialCapacity)*middle.Seconds()/s.WarmUpTime.Seconds()
		allowed := s.ColdOverloadFactor * capacityShare * capacity * s.ColdOverloadTime.Seconds()
		maxOver = max(maxOver, float64(last-first+1)-(allowed+2*math.Sqrt(allowed)+2))
	}
	return maxOver
}

// Servers restart cold, one after the other and several at once, before a burst of requests, while two others fail
// all they get and cause retries. Each of 20 to 30 gateways sees a part of the traffic, some of them four times
// that of the others. Together they must not overload a cold server, and each cold server must get requests.
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

// testColdServers restarts coldHosts of 12 servers under load and checks what they are sent.
func testColdServers(t *testing.T, gateways, coldHosts, slots int, seed uint64) {
	const servers = 12
	class := Class{LatencyTarget: 500 * ms, Deadline: time.Second, Worth: 1, Effect: Safe}
	capacity := float64(slots) / (class.LatencyTarget / 8).Seconds() // see simulation.startAttempt
	sim := newSimulation(t, []Class{class}, gateways, servers, slots)
	sim.busyGateways, sim.rng = gateways/6, rand.New(rand.NewPCG(seed, 2))
	for index, d := range sim.drivers {
		*d.gateway.source = *rand.NewPCG(seed<<8+uint64(index), 0) // each gateway has random draws of its own
		d.gateway.settings.WarmUpTime, d.gateway.settings.InitialCapacity = 16*time.Second, 0.15
		d.gateway.settings.ColdOverloadFactor, d.gateway.settings.ColdOverloadTime = 2, 3*time.Second
	}
	s, shares, rate := sim.drivers[0].gateway.settings, []float64{1}, 0.6*servers*capacity
	sim.generateLoad(5*time.Second, rate, shares)
	coldServers := map[string]*coldServer{}
	sim.onSend = func(server string) {
		if c := coldServers[server]; c != nil {
			c.sentAt = append(c.sentAt, sim.now)
		}
	}
	names := sim.hostNames()
	for i, name := range names[:coldHosts] {
		if i%3 != 2 { // otherwise it restarts together with the one before
			sim.generateLoad(400*ms, rate, shares)
		}
		coldServers[name] = &coldServer{startedAt: sim.now}
		sim.restartHost(name, s)
	}
	for _, name := range names[servers-2:] { // these fail every request at once
		sim.hosts[name].respond = func(time.Duration) (Outcome, time.Duration) { return Errored, 5 * ms }
	}
	sim.generateLoad(6*time.Second, 1.5*rate, shares)
	sim.generateLoad(8*time.Second, rate, shares)
	for name, c := range coldServers {
		if excess := c.maxExcess(s, capacity); excess > 0 {
			t.Errorf("%s got %.1f attempts more than it survives in %v", name, excess, s.ColdOverloadTime)
		}
		if minSent := 0.1 * capacity * 14; float64(len(c.sentAt)) < minSent {
			t.Errorf("%s got %d attempts in all, want at least %.0f", name, len(c.sentAt), minSent)
		}
	}
}
