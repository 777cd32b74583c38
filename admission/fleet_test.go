package admission

import (
	"fmt"
	"testing"
	"time"

	"ferryfront.example/ferryfront/admission/estimate"
)

// fleet is many gateways in one process, on a common clock, before hosts whose answers the test determines.
type fleet struct {
	drivers        []*driver
	hosts          []ServerEntry
	lastRequestID  uint64
	sendsByHost    map[string]int             // attempts of all gateways
	gatewaysByHost map[string]map[int]bool    // gateways that have sent to the host
	attemptEnds    map[time.Duration][]func() // reports the ends of attempts, by their time
}

// newFleet returns gateways that have the list of all hosts. Each customer of ceilingPlan has a quota and a ceiling.
func newFleet(t *testing.T, gatewayCount, hostCount int) *fleet {
	f := &fleet{sendsByHost: map[string]int{}, gatewaysByHost: map[string]map[int]bool{},
		attemptEnds: map[time.Duration][]func(){}}
	for i := range hostCount {
		f.hosts = append(f.hosts, ServerEntry{Name: fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), Zone: "a", Size: 1})
	}
	for index := range gatewayCount {
		s := testSettings()
		s.Gateways, s.Index, s.MaxUnits = gatewayCount, index, 1
		s.Plans[ceilingPlan] = Plan{Name: "hard", Rate: 8, Burst: 20, CeilingRate: 18, CeilingBurst: 45, CeilingSlack: 4.5}
		d := newDriver(t, s)
		d.handle(ServerList{Kind: ListFull, Servers: f.hosts})
		f.drivers = append(f.drivers, d)
	}
	return f
}

// run makes requests arrive at even intervals, one at each gateway in turn. respond returns the outcome of an
// attempt at a host and after which time it ends.
func (f *fleet) run(requests int, interval time.Duration, respond func(host string) (Outcome, time.Duration)) {
	now := f.drivers[0].now
	for i := range requests {
		for end := now + interval; now < end; now += ms {
			due := f.attemptEnds[now]
			delete(f.attemptEnds, now)
			for _, endAttempt := range due {
				endAttempt()
			}
		}
		f.lastRequestID++
		f.handle(i%len(f.drivers), now, RequestArrived{ID: f.lastRequestID, Plan: -1, ExpiresIn: time.Second, Units: 1}, respond)
	}
	for _, d := range f.drivers {
		d.now = now
	}
}

// handle passes an event to a gateway and schedules the ends of the attempts that it starts.
func (f *fleet) handle(gateway int, now time.Duration, ev Event, respond func(string) (Outcome, time.Duration)) {
	for _, x := range actionsOf[Send](append([]Action(nil), f.drivers[gateway].gateway.Handle(now, ev)...)) {
		f.sendsByHost[x.Server]++
		if f.gatewaysByHost[x.Server] == nil {
			f.gatewaysByHost[x.Server] = map[int]bool{}
		}
		f.gatewaysByHost[x.Server][gateway] = true
		outcome, after := respond(x.Server)
		end := AttemptEnded{ID: x.ID, Server: x.Server, Outcome: outcome, Took: after, Done: outcome == OK,
			Attempt: len(f.drivers[gateway].gateway.requests[x.ID].attempts) - 1}
		at := now + max(ms, after)
		f.attemptEnds[at] = append(f.attemptEnds[at], func() { f.handle(gateway, at, end, respond) })
	}
}

// With many gateways, a full mesh of connections fills the connection table of every host, and no gateway gets
// enough answers of a host to learn from. Each host must be used by its share of the gateways, and by some.
func TestEachHostIsUsedByItsShareOfGateways(t *testing.T) {
	for _, size := range []struct{ gateways, hosts int }{{10, 12}, {80, 60}, {300, 60}} {
		f := newFleet(t, size.gateways, size.hosts)
		f.run(40*size.gateways, max(ms, 1000*ms/time.Duration(10*size.gateways)),
			func(string) (Outcome, time.Duration) { return OK, 60 * ms })
		share := f.drivers[0].gateway.subsetSize * size.gateways / size.hosts
		for _, h := range f.hosts {
			if n := len(f.gatewaysByHost[h.Name]); n == 0 || n > share*3/2+2 {
				t.Errorf("%d gateways, %d hosts: host %s is used by %d gateways, its share is %d", size.gateways, size.hosts,
					h.Name, n, share)
			}
		}
	}
}

// With few gateways each uses all hosts, as it gets enough answers of each to learn from.
func TestSmallFleetUsesAllHosts(t *testing.T) {
	f := newFleet(t, 3, 12)
	f.run(600, 20*ms, func(string) (Outcome, time.Duration) { return OK, 60 * ms })
	for _, h := range f.hosts {
		if len(f.gatewaysByHost[h.Name]) != 3 {
			t.Errorf("host %s is used by %d of 3 gateways", h.Name, len(f.gatewaysByHost[h.Name]))
		}
	}
}

// Four in five hosts are unreachable although they are on the list. Each gateway must replace those of its subset
// by hosts that answer, with few attempts lost.
func TestSubsetOfDeadHostsIsWidened(t *testing.T) {
	f := newFleet(t, 80, 60)
	dead := map[string]bool{}
	for i, h := range f.hosts {
		dead[h.Name] = i%5 != 0
	}
	respond := func(host string) (Outcome, time.Duration) {
		if dead[host] {
			return Unreachable, ms
		}
		return OK, 60 * ms
	}
	f.run(1600, ms, respond)
	clear(f.sendsByHost)
	f.run(16000, 2*ms, respond)
	sentToDead, sent := 0, 0
	for name, n := range f.sendsByHost {
		if sent += n; dead[name] {
			sentToDead += n
		}
	}
	if sent < 15000 || sentToDead > sent/4 {
		t.Errorf("%d of %d attempts went to unreachable hosts after each gateway had tried some", sentToDead, sent)
	}
}

// A customer with a hard ceiling sends several times what it allows through many gateways, while the counter loses
// answers and once all its data. Together the gateways must never send more than the ceiling's bucket holds.
func TestManyGatewaysKeepCeilingTogether(t *testing.T) {
	for _, gateways := range []int{3, 26, 80} {
		f := newFleet(t, gateways, 12)
		s := f.drivers[0].gateway.settings
		p := s.Plans[ceilingPlan]
		tokens, minTokens, sent, lostCalls := p.CeilingBurst, 0.0, 0, 0
		totals, lastSentAt := map[string]float64{}, f.drivers[0].now
		start := lastSentAt
		for i := range 6000 {
			now := start + time.Duration(i)*5*ms
			if i == 3000 {
				clear(totals)
			}
			index := i * 7 % gateways
			g := f.drivers[index].gateway
			var handle func(ev Event)
			handle = func(ev Event) {
				for _, a := range append([]Action(nil), g.Handle(now, ev)...) {
					switch a := a.(type) {
					case CounterAdd:
						totals[a.Name] += a.Delta
						outcome := OK
						if i/400%4 == 3 && i%2 == 0 {
							outcome = TimedOut
							lostCalls++
						}
						handle(CounterAnswered{Name: a.Name, Total: totals[a.Name], Took: ms, Outcome: outcome})
					case Send:
						tokens = min(p.CeilingBurst, tokens+p.CeilingRate*(now-lastSentAt).Seconds()) - 1
						lastSentAt, minTokens, sent = now, min(minTokens, tokens), sent+1
						handle(AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Took: 50 * ms, Done: true})
					}
				}
			}
			handle(RequestArrived{ID: uint64(i + 1), Plan: ceilingPlan, Customer: 77, ExpiresIn: time.Second, Units: 1,
				Gateways: gateways})
		}
		if minTokens < -p.CeilingSlack || lostCalls == 0 {
			t.Errorf("%d gateways: the ceiling's bucket went down to %.1f, its slack is %.1f (%d calls lost, want some)",
				gateways, minTokens, p.CeilingSlack, lostCalls)
		}
		// With a demand of 25 times the quota at least half of the quota is admitted, however small a gateway's part
		// would be.
		if quota := p.Rate * 30; float64(sent) < 0.5*quota {
			t.Errorf("%d gateways sent %d, the quota is %.0f", gateways, sent, quota)
		}
	}
}

// When the demand exceeds the capacity, here at an admit share of 0.8, the class of lowest worth is refused first.
func TestLateAnswersShedTheClassOfLowestWorth(t *testing.T) {
	s := largeFleetSettings()
	s.Classes[0].Worth, s.Classes[1].Worth = 1, 3
	d := newDriver(t, s, "s1")
	d.gateway.admitShare = 0.8
	admitted := [2]int{}
	for id := uint64(1); id <= 400; id++ {
		class := int(id % 2)
		d.arrive(id, class, unlimitedPlan, 1)
		admitted[class] += len(actionsOf[Send](d.actions)) + len(d.gateway.held)
		for _, x := range actionsOf[Send](d.takeActions()) {
			delete(d.gateway.requests, x.ID)
		}
		d.gateway.held, d.gateway.liveAttempts, d.gateway.servers["s1"].outstanding = nil, 0, nil
	}
	if admitted[1] < 180 || admitted[0] < 118 || admitted[0] > 143 { // expected: shares of 0.94 and 0.66, 0.8 of all
		t.Errorf("of 200 requests each, %d of high and %d of low worth are admitted", admitted[1], admitted[0])
	}
	if all := admitted[0] + admitted[1]; all < 306 || all > 334 {
		t.Errorf("%d of 400 requests are admitted at an admit share of 0.8", all)
	}
}

// A third of the hosts restart cold at the same time. All gateways together must send each of them requests, but
// never as many as overload it: its real capacity may be as low as the slow-start settings say.
func TestManyGatewaysWarmUpHostsTogether(t *testing.T) {
	for _, gateways := range []int{3, 80} {
		f := newFleet(t, gateways, 30)
		s := f.drivers[0].gateway.settings
		boot := f.drivers[0].now
		for _, d := range f.drivers {
			for i := range f.hosts[:10] {
				f.hosts[i].Boot = boot
			}
			d.handle(ServerList{Kind: ListFull, Servers: f.hosts})
		}
		const perHost = 12.0 // requests a second for a warm host, 0.6 of its capacity
		requests := int(perHost * 30 * 3)
		f.run(requests, time.Second/(perHost*30), func(string) (Outcome, time.Duration) { return OK, 60 * ms })
		coldCapacity := perHost / 0.6 * 3 * (s.InitialCapacity + (1-s.InitialCapacity)*1.5/s.WarmUpTime.Seconds())
		sentToCold := 0
		for _, h := range f.hosts[:10] {
			sentToCold += f.sendsByHost[h.Name]
			if float64(f.sendsByHost[h.Name]) > s.ColdOverloadFactor*coldCapacity {
				t.Errorf("%d gateways sent %d requests to a cold host with a capacity for %.1f", gateways,
					f.sendsByHost[h.Name], coldCapacity)
			}
		}
		if float64(sentToCold) < 6*coldCapacity {
			t.Errorf("%d gateways sent %d requests to 10 cold hosts with a capacity for %.1f each", gateways, sentToCold,
				coldCapacity)
		}
	}
}

// Late answers of a host that is slow compared to the others are its own fault. Admission is throttled only if the
// others are late, too.
func TestOneSlowHostDoesNotThrottleAdmission(t *testing.T) {
	for _, slowHosts := range []int{1, 8} {
		s := largeFleetSettings()
		d := newDriver(t, s, "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
		d.gateway.classLatency[0] = estimate.LatencyModel{Latency: 0.05, Units: 1}
		for i := range slowHosts {
			d.gateway.preferred[i].relativeLatency, d.gateway.preferred[i].lastResponseAt = 4, d.now
		}
		for id := uint64(1); id <= 20; id++ {
			r := &request{id: id, class: &s.Classes[0], arrivedAt: d.now, due: d.now + 500*ms}
			slowAttempt := attempt{server: d.gateway.preferred[int(id)%slowHosts], sentAt: d.now}
			d.gateway.learnFromAttempt(&slowAttempt, r, AttemptEnded{ID: id, Outcome: OK, Took: 400 * ms})
		}
		if isOneSlow := slowHosts == 1; isOneSlow && d.gateway.admitShare < 1 || !isOneSlow && d.gateway.admitShare > 0.5 {
			t.Errorf("%d of 8 hosts are slow: the admit share is %.2f", slowHosts, d.gateway.admitShare)
		}
	}
}

// Under load shedding the class of least worth is refused first, but not nearly all of it: of 0.8 of all requests
// that are admitted, the best class gets nearly all, and a class of a third of its worth gets two thirds.
func TestClassesOfLowWorthAreNotStarved(t *testing.T) {
	s := testSettings()
	s.Classes = s.Classes[:2:2]
	s.Classes[0].Worth, s.Classes[1].Worth = 3, 1
	d := newDriver(t, s, "s1")
	sentOfClass := [2]int{}
	for id := range uint64(4000) {
		d.gateway.admitShare = 0.8
		class := int(id % 2)
		d.handle(RequestArrived{ID: id + 1, Class: class, Plan: unlimitedPlan, Customer: id, ExpiresIn: time.Second,
			Units: 1, Gateways: 1})
		for _, send := range actionsOf[Send](d.takeActions()) {
			sentOfClass[class]++
			d.handle(AttemptEnded{ID: send.ID, Server: send.Server, Outcome: OK, Took: ms, Done: true})
		}
		d.advance(5 * ms)
		d.takeActions()
	}
	if highWorth, lowWorth := float64(sentOfClass[0])/2000, float64(sentOfClass[1])/2000; highWorth < 0.9 ||
		lowWorth < 0.6 || lowWorth > 0.7 {
		t.Errorf("admitted: %.2f of the class of high worth, %.2f of the class of low worth", highWorth, lowWorth)
	}
}
