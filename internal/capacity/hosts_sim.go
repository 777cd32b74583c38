package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// Simulated ingresses before upstream hosts.
const (
	hostServe     = 100 * time.Millisecond // an answer of a warm server, in the mean
	hostSample    = 4                      // ingresses of a fleet that are simulated where all fare alike
	poolIdle      = idleClose * 8 / 10     // internal/limits: an upstream connection idle this long is dropped
	poolSettle    = poolIdle + 2*time.Second
	poolMeasure   = 6 * time.Second
	failMeasure   = 5 * time.Second
	warmUse       = 0.54 // of a server's capacity on an ordinary day; 1.4 of the brief: 46 to 62%
	coldSettle    = time.Second
	coldMeasure   = 8 * time.Second
	coldWindowEnd = 250 * time.Millisecond // between the ends of the windows that are looked at
)

// serversFor is how many servers go with a fleet of so many ingresses, in the proportion of the target.
func serversFor(ingresses int) int { return int(math.Round(float64(ingresses) * serversPerIngress)) }

// withoutPlan makes a request of a tenant that no plan bounds.
func withoutPlan(random *rand.Rand) admission.RequestArrived {
	return admission.RequestArrived{Class: classOf(random), Plan: -1}
}

// simulateIngresses builds some ingresses of a fleet, each with its part of the requests at the target.
func simulateIngresses(fleet int, members []int, servers []admission.ServerEntry) (*simulatedFleet, error) {
	var settings []admission.Settings
	for _, me := range members {
		settings = append(settings, simulatedSettings(fleet, me, false))
	}
	f, err := newSimulatedFleet(settings, servers)
	if err != nil {
		return nil, err
	}
	for _, me := range members {
		f.arrivals(me, requestsPerIngress, withoutPlan)
	}
	return f, nil
}

// sampleMembers are some ingresses of a fleet, evenly apart.
func sampleMembers(fleet int) []int {
	var members []int
	for i := range min(fleet, hostSample) {
		members = append(members, i*fleet/min(fleet, hostSample))
	}
	return members
}

// serveTime draws how long a warm server takes.
func serveTime(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(hostServe))
}

// connectionPools keep an ingress's connections to its servers, as its upstream pool does: the one used last serves
// next, and one that stays idle is closed.
type connectionPools struct {
	fleet      *simulatedFleet
	idle       map[poolKey][]time.Duration // since when, the one used last at the end
	busy       int
	handshakes int
}

type poolKey struct {
	ingress int
	server  string
}

// use takes a connection for an attempt, a new one where none is idle, and gives it back after a while.
func (p *connectionPools) use(ingress int, server string, took time.Duration) {
	key := poolKey{ingress, server}
	p.expire(key)
	if idle := p.idle[key]; len(idle) > 0 {
		p.idle[key] = idle[:len(idle)-1]
	} else {
		p.handshakes++
	}
	p.busy++
	p.fleet.after(took, func() {
		p.busy--
		p.idle[key] = append(p.idle[key], p.fleet.now)
	})
}

func (p *connectionPools) expire(key poolKey) {
	idle := p.idle[key]
	for len(idle) > 0 && p.fleet.now-idle[0] > poolIdle {
		idle = idle[1:]
	}
	p.idle[key] = idle
}

// open is how many connections there are.
func (p *connectionPools) open() int {
	open := p.busy
	for key := range p.idle {
		p.expire(key)
		open += len(p.idle[key])
	}
	return open
}

// connectionLoad is what one ingress of a fleet asks of all its servers together.
type connectionLoad struct {
	fleet, servers int
	open           float64 // connections
	handshakes     float64 // a second
	first          float64 // handshakes in the first second after a start
}

// measureConnections simulates some ingresses of a fleet until their connections have settled.
func measureConnections(ctx context.Context, fleet, servers int) (connectionLoad, error) {
	members := sampleMembers(fleet)
	f, err := simulateIngresses(fleet, members, admissionServers(servers))
	if err != nil {
		return connectionLoad{}, err
	}
	random := rand.New(rand.NewPCG(uint64(fleet), uint64(servers)))
	pools := &connectionPools{fleet: f, idle: map[poolKey][]time.Duration{}}
	f.serve = func(me int, server string) (admission.Outcome, time.Duration) {
		took := serveTime(random)
		pools.use(me, server, took)
		return admission.OK, took
	}
	each := 1 / float64(len(members))
	load := connectionLoad{fleet: fleet, servers: servers}
	f.run(time.Second)
	load.first = float64(pools.handshakes) * each
	f.run(poolSettle - time.Second)
	settled := pools.handshakes
	f.run(poolMeasure)
	load.handshakes = float64(pools.handshakes-settled) * each / poolMeasure.Seconds()
	load.open = float64(pools.open()) * each
	return load, ctx.Err()
}

// measureColdRamp starts one server cold, and returns the work that the fleet sends it, as a part of what makes it
// fall over: the worst of all spans of that length.
func measureColdRamp(ctx context.Context, ranked subsets) (float64, error) {
	cold, users := ranked.busiest()
	f, err := simulateIngresses(len(ranked.of), users, ranked.servers)
	if err != nil {
		return 0, err
	}
	name := ranked.servers[cold].Name
	random := rand.New(rand.NewPCG(uint64(len(ranked.of)), 0x636f6c64))
	f.serve = func(int, string) (admission.Outcome, time.Duration) { return admission.OK, serveTime(random) }
	f.run(coldSettle)
	boot := f.now
	started := ranked.servers[cold]
	started.Boot = boot
	for _, me := range users {
		f.deliver(me, admission.ServerList{Kind: admission.ListChanges, Version: 2, Servers: []admission.ServerEntry{started}})
	}
	var sent []time.Duration // since the boot
	f.sent = func(_ int, server string, _ int) {
		if server == name {
			sent = append(sent, f.now-boot)
		}
	}
	f.run(coldMeasure)
	return worstSpan(sent, float64(len(ranked.of))*requestsPerIngress/float64(len(ranked.servers))/warmUse), ctx.Err()
}

// worstSpan is the most work sent in a span of tipTime, over tipMultiple times what a server of a capacity, in requests
// a second, that started cold can do in that span.
func worstSpan(sent []time.Duration, capacity float64) (worst float64) {
	for end := tipTime; end <= coldMeasure; end += coldWindowEnd {
		work := 0
		for _, at := range sent {
			if at > end-tipTime && at <= end {
				work++
			}
		}
		middle := (end - tipTime/2).Seconds() / coldFor.Seconds()
		can := capacity * (coldFrom + (1-coldFrom)*middle) * tipTime.Seconds()
		worst = max(worst, float64(work)/(tipMultiple*can))
	}
	return worst
}

// failure is how a server that fails answers, and after how long.
type failure struct {
	outcome admission.Outcome
	took    time.Duration
}

// Failures of servers.
var (
	failsWithErrors = failure{admission.Errored, 10 * time.Millisecond}
	failsToConnect  = failure{admission.Unreachable, 250 * time.Millisecond} // it is gone, and the list does not say so yet
)

// measureRetries is how many further attempts a fleet makes for 100 requests while a part of the servers fails.
func measureRetries(ctx context.Context, fleet int, failing float64, how failure) (float64, error) {
	servers := admissionServers(serversFor(fleet))
	f, err := simulateIngresses(fleet, sampleMembers(fleet), servers)
	if err != nil {
		return 0, err
	}
	random := rand.New(rand.NewPCG(uint64(fleet), uint64(failing*1e6)))
	fails := map[string]bool{}
	for _, server := range servers {
		fails[server.Name] = random.Float64() < failing
	}
	f.serve = func(_ int, server string) (admission.Outcome, time.Duration) {
		if fails[server] {
			return how.outcome, how.took
		}
		return admission.OK, serveTime(random)
	}
	first, further := 0, 0
	f.sent = func(_ int, _ string, attempt int) {
		if attempt == 0 {
			first++
		} else {
			further++
		}
	}
	f.run(failMeasure)
	return 100 * float64(further) / max(1, float64(first)), ctx.Err()
}
