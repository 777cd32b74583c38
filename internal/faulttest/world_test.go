package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

// binary is the ingress, built so that system calls can be made to fail.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ferryfront")
	build := exec.Command("go", "build", "-tags", "faultinject", "-o", binary, "../../cmd/ferryfront")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// What a world is made of.
const (
	plainHosts     = 4 // whose records are checked
	proxiedHosts   = 2 // behind a proxy, whose requests may arrive late
	requestTimeout = 2500 * time.Millisecond
	work           = 30 * time.Millisecond
)

// ceilingCustomers are of the plan that has a ceiling.
var ceilingCustomers = []string{standin.CustomerName(900)}

// outage is a time in which an ingress could not answer: it was killed, ending or not up again.
type outage struct {
	from, to time.Time // to is zero while it lasts
}

// world is some ingresses with all that is around them. Counter and discovery are reached by way of proxies, several of
// each, so that a new configuration can move them.
type world struct {
	t          *testing.T
	shape      standin.Shape
	world      *standin.World
	clients    []*standin.Clients
	counters   []*standin.Proxy
	discovery  []*standin.Proxy
	hosts      []*standin.Proxy // to the proxied ones
	began      time.Time
	steps      sync.WaitGroup
	mu         sync.Mutex
	down       [][]outage // by ingress
	configured sync.Mutex
}

// newWorld starts so many ingresses; faults is the text of what is injected into each, "": nothing.
func newWorld(t *testing.T, ingresses int, faults func(me int) string) *world {
	t.Helper()
	w := &world{t: t, down: make([][]outage, ingresses)}
	w.shape = standin.Shape{Hosts: plainHosts, Ingresses: ingresses, Work: work, Sockets: 512, Bare: true,
		Args: []string{"--log-level", "debug"},
		Env: func(me int, addr string) []string {
			env := []string{"TMPDIR=" + t.TempDir()}
			if text := faults(me); text != "" {
				env = append(env, "FERRYFRONT_FAULTS="+text+",spare="+port(addr))
			}
			return env
		},
		Adjust: func(_ int, config, _ map[string]any) {
			if len(w.counters) > 0 {
				config["counter"], config["discovery"] = w.counters[0].Addr(), w.discovery[0].Addr()
			}
		}}
	var err error
	w.world, err = standin.NewWorld(t.TempDir(), w.shape)
	require.NoError(t, err)
	t.Cleanup(w.close)
	for range 4 {
		w.counters = append(w.counters, w.proxy(w.world.Counter.Addr()))
		w.discovery = append(w.discovery, w.proxy(w.world.Discovery.Addr()))
	}
	for i := range proxiedHosts {
		listen, err := standin.Free()
		require.NoError(t, err)
		p := w.proxy(listen)
		w.hosts = append(w.hosts, p)
		require.NoError(t, w.world.AddHost(&standin.Host{Name: fmt.Sprint("p", i), Zone: "salle-a", Cell: 50 + i, Slots: 16,
			Queue: 32, Work: work, Listen: listen, Advertise: p.Addr(), Apart: true}))
	}
	for i := range ingresses {
		in, err := w.world.Start(binary, w.shape)
		require.NoError(t, err)
		w.clients = append(w.clients, &standin.Clients{Addr: in.Addr, Record: w.world.Record, Via: i, Wait: requestTimeout})
	}
	w.began = time.Now()
	return w
}

func port(addr string) string {
	for i := len(addr) - 1; i >= 0; i-- {
		if addr[i] == ':' {
			return addr[i+1:]
		}
	}
	return "0"
}

func (w *world) proxy(target string) *standin.Proxy {
	p, err := standin.NewProxy(target)
	require.NoError(w.t, err)
	w.t.Cleanup(p.Close)
	return p
}

func (w *world) close() {
	for i, c := range w.clients {
		_ = w.signal(i, syscall.SIGCONT) // what is stopped can't be waited for
		c.Close()
	}
	w.world.Close()
}

func (w *world) signal(ingress int, s syscall.Signal) error {
	return syscall.Kill(w.world.Ingresses[ingress].Cmd.Process.Pid, s)
}

// beginOutage records that an ingress is down from now on, and returns a function that records that it is up again.
func (w *world) beginOutage(ingress int) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[ingress] = append(w.down[ingress], outage{from: time.Now()})
	at := len(w.down[ingress]) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.down[ingress][at].to = time.Now()
	}
}

// wasDown reports whether an ingress was down at some time between two.
func (w *world) wasDown(ingress int, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.down[ingress] {
		if o.from.Before(to) && (o.to.IsZero() || o.to.After(from)) {
			return true
		}
	}
	return false
}

// load asks at random instants, so many requests a second over all ingresses, until the context ends and all are
// answered. One in ten clients leaves early.
func (w *world) load(ctx context.Context, rate float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var requests sync.WaitGroup
	defer requests.Wait()
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		c := w.clients[rng.IntN(len(w.clients))]
		a := standin.Ask{ID: fmt.Sprint("r", n), Customer: standin.CustomerName(rng.IntN(40)), Class: "stock", Plan: "boutique",
			Spread: len(w.clients), Due: due}
		switch x := rng.Float64(); {
		case x < 0.2:
			a.Class, a.Once = "commit", true
		case x < 0.4:
			a.Class, a.Key = "order", "k-"+a.ID
		case x < 0.6:
			a.Class = "catalogue"
		}
		if rng.Float64() < 0.3 { // far more than their ceiling lets through
			a.Customer, a.Plan = ceilingCustomers[rng.IntN(len(ceilingCustomers))], "distributeur"
		}
		if rng.Float64() < 0.1 {
			after := time.Duration(rng.IntN(60)) * time.Millisecond
			requests.Go(func() { c.DoAndLeave(a, after) })
			continue
		}
		requests.Go(func() { c.Do(a) })
	}
}

// run generates load for a time while steps are taken, and then checks the records.
func (w *world) run(length time.Duration, rate float64, seed uint64, steps func()) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	w.steps.Go(steps)
	w.load(ctx, rate, seed)
	w.steps.Wait()
	w.check()
}
