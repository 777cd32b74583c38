package faulttest

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

// step is one fault, from its beginning to its end.
type step struct {
	name string
	take func(w *world, rng *rand.Rand)
}

// steps are all that a combination is drawn from.
var steps = []step{
	{"reloads in quick succession", (*world).reloads},
	{"stopped and continued", (*world).stopAndContinue},
	{"killed and started again", (*world).killAndRestart},
	{"told to end and started again", (*world).endAndRestart},
	{"counter disturbed", func(w *world, rng *rand.Rand) { w.disturb(w.counters, rng) }},
	{"discovery disturbed", func(w *world, rng *rand.Rand) { w.disturb(w.discovery, rng) }},
	{"hosts disturbed", func(w *world, rng *rand.Rand) { w.disturb(w.hosts, rng) }},
	{"a host fails", (*world).failHost},
	{"a host drains", (*world).drainHost},
	{"a host starts cold", (*world).startCold},
}

// reloads gives an ingress several configurations that move counter and discovery and change settings.
func (w *world) reloads(rng *rand.Rand) {
	ingress := rng.IntN(len(w.clients))
	for range 3 + rng.IntN(4) {
		counter, discovery := w.counters[rng.IntN(len(w.counters))].Addr(), w.discovery[rng.IntN(len(w.discovery))].Addr()
		rate, attempts := 40+rng.IntN(30), 2+rng.IntN(2)
		w.reload(ingress, func(config, settings map[string]any) {
			config["counter"], config["discovery"] = counter, discovery
			plans := settings["tiersOfService"].([]map[string]any)
			plans[0]["quotaRate"], plans[2]["quotaRate"], plans[2]["storeSize"] = rate, 15+rng.IntN(10), 30+rng.IntN(20)
			settings["limits"].(map[string]any)["maxAttempts"] = attempts
		})
		time.Sleep(time.Duration(50+rng.IntN(400)) * time.Millisecond)
	}
}

func (w *world) reload(ingress int, change func(config, settings map[string]any)) {
	w.configured.Lock()
	defer w.configured.Unlock()
	if err := w.world.Ingresses[ingress].Configure(change); err != nil {
		w.t.Error(err)
	}
	_ = w.signal(ingress, syscall.SIGHUP) // it may be between two processes
}

// stopAndContinue holds an ingress up. What it owes is owed all the same, unless it stood still past its time.
func (w *world) stopAndContinue(rng *rand.Rand) {
	ingress := rng.IntN(len(w.clients))
	length := time.Duration(200+rng.IntN(1000)) * time.Millisecond
	_ = w.signal(ingress, syscall.SIGSTOP)
	time.Sleep(length)
	_ = w.signal(ingress, syscall.SIGCONT)
}

func (w *world) killAndRestart(rng *rand.Rand) {
	w.configured.Lock()
	defer w.configured.Unlock()
	ingress := rng.IntN(len(w.clients))
	endOutage := w.beginOutage(ingress)
	w.world.Ingresses[ingress].Kill()
	w.restart(ingress)
	endOutage()
}

// endAndRestart tells an ingress to end, which may take no new connections from some time on and exits by itself.
func (w *world) endAndRestart(rng *rand.Rand) {
	w.configured.Lock()
	defer w.configured.Unlock()
	ingress := rng.IntN(len(w.clients))
	endOutage := w.beginOutage(ingress)
	_ = w.signal(ingress, syscall.SIGTERM)
	select {
	case <-w.world.Ingresses[ingress].Ended():
	case <-time.After(requestTimeout + 2*time.Second):
		w.t.Errorf("n%d was told to end and goes on", ingress)
		w.world.Ingresses[ingress].Kill()
	}
	w.restart(ingress)
	endOutage()
}

func (w *world) restart(ingress int) {
	if err := w.world.Again(ingress); err != nil {
		w.t.Error(err)
	}
}

// disturb has some proxies misbehave for a while.
func (w *world) disturb(proxies []*standin.Proxy, rng *rand.Rand) {
	faults := []standin.ProxyFault{{Stall: true}, {Late: 20 * time.Millisecond}, {Piece: 7}, {Cut: 0.2}, {Reset: 0.2}, {Deaf: true}}
	f := faults[rng.IntN(len(faults))]
	for _, p := range proxies {
		p.Set(f)
	}
	time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	for _, p := range proxies {
		p.Set(standin.ProxyFault{})
	}
}

// failHost has a host reset what it has worked on, or take ten times as long.
func (w *world) failHost(rng *rand.Rand) {
	h := w.world.Hosts[rng.IntN(plainHosts)]
	if rng.IntN(2) == 0 {
		h.Fail(0.5)
	} else {
		h.Slow(10)
	}
	time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
	h.Fail(0)
	h.Slow(1)
}

// drainHost has a host drain while it answers, and then be gone for good. The first hosts stay.
func (w *world) drainHost(rng *rand.Rand) {
	h := w.world.Hosts[plainHosts-1]
	w.world.Discovery.Set(h, "Terminating")
	time.Sleep(time.Duration(800+rng.IntN(700)) * time.Millisecond)
	w.world.Discovery.Set(h, "Gone")
}

// startCold adds a host that has just started, and can do a part of its capacity.
func (w *world) startCold(rng *rand.Rand) { w.startColdStepped(rng, 0) }

// startColdStepped adds one whose clock was stepped before.
func (w *world) startColdStepped(rng *rand.Rand, step time.Duration) {
	h := &standin.Host{Name: fmt.Sprint("c", rng.IntN(1e6)), Zone: "salle-a", Cell: 70, Slots: 1, Queue: 1, Work: work,
		ColdFor: 8 * time.Second, ColdFrom: 0.2, Stepped: step}
	require.NoError(w.t, w.world.AddHost(h))
}
