package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// fleet is the real processes of one experiment that know each other, with a network between them in which messages can
// be dropped and delayed.
type fleet struct {
	Setup
	n       int // members
	world   *standin.World
	links   *standin.Links
	cut     func(a, b int) bool   // the split that there is, nil: none
	group   *standin.ControlGroup // nil: there is none
	relays  *standin.Relays       // to it
	clients []*standin.Clients
	// newRules is when all had agreed on stricter settings that were rolled out, zero: none were.
	newRules time.Time

	mu     sync.Mutex
	spells []spell
}

// spell is a time for which a member was down.
type spell struct {
	member   int
	from, to time.Time // to is zero while it lasts
}

// third is how many members a fault of a third of them concerns, the first ones.
func (f *fleet) third() int { return max(1, f.n/3) }

// heal ends what is wrong with the network.
func (f *fleet) heal() { f.links.Set(nil, 0, 0) }

// down notes that a member goes down now.
func (f *fleet) down(member int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spells = append(f.spells, spell{member: member, from: time.Now()})
}

// signal sends a signal to a member, which is down between SIGSTOP and SIGCONT.
func (f *fleet) signal(member int, sig syscall.Signal) {
	if sig == syscall.SIGSTOP {
		f.down(member)
	}
	_ = syscall.Kill(f.world.Ingresses[member].Cmd.Process.Pid, sig)
	if sig == syscall.SIGCONT {
		f.up(member)
	}
}

// up notes that a member is back.
func (f *fleet) up(member int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.spells {
		if p := &f.spells[i]; p.member == member && p.to.IsZero() {
			p.to = time.Now()
		}
	}
}

// wasDown reports whether a member was down at some time between two.
func (f *fleet) wasDown(member int, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.spells {
		if p.member == member && p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// noticeTime is after which the front sends nothing more to a member that is down.
const noticeTime = 300 * time.Millisecond

// ingressFor is the member through which a request comes: one of its set, not known to be down.
func (f *fleet) ingressFor(first, spread int) int {
	now := time.Now()
	start := rand.IntN(spread)
	for i := range spread {
		member := (first + start + i) % f.n
		if !f.wasDown(member, now.Add(-time.Hour), now.Add(-noticeTime)) || f.isUp(member, now) {
			return member
		}
	}
	return (first + start) % f.n
}

func (f *fleet) isUp(member int, now time.Time) bool {
	return !f.wasDown(member, now, now.Add(time.Nanosecond))
}

// newFleet starts n members whose settings begin with a version; 0: they have none.
func newFleet(setup Setup, n, version int) (*fleet, error) {
	f := &fleet{Setup: setup, n: n}
	var err error
	if f.links, err = standin.NewLinks(n); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(setup.Dir, "fleet")
	if err != nil {
		f.links.Close()
		return nil, err
	}
	return f, f.start(dir, standin.Shape{Settings: "membership: enabled: true\n", Links: f.links, Version: version})
}

// start starts the members and all around them. On an error everything is ended again.
func (f *fleet) start(dir string, shape standin.Shape) error {
	if f.Say == nil {
		f.Say = func(string, ...any) {}
	}
	shape.Hosts, shape.Ingresses, shape.Work, shape.Sockets = 8, f.n, 30*time.Millisecond, 512
	var err error
	if f.world, err = standin.NewWorld(dir, shape); err != nil {
		f.close()
		return err
	}
	for i := range f.n {
		in, err := f.world.Start(f.Ferryfront, shape)
		if err != nil {
			f.close()
			return err
		}
		f.clients = append(f.clients, &standin.Clients{Addr: in.Addr, Record: f.world.Record, Via: i,
			Wait: 2500 * time.Millisecond})
	}
	return nil
}

func (f *fleet) close() {
	for i, c := range f.clients {
		f.signal(i, syscall.SIGCONT) // what is stopped can't be waited for
		c.Close()
	}
	if f.world != nil {
		f.world.Close()
	}
	f.links.Close()
	f.relays.Close()
	f.group.Close()
}

// Tenants of the experiment: those within their quotas come through three members each, those with a ceiling through
// all, and ask for half as much again as it lets through.
const (
	quotaTenants       = 60
	quotaSpread        = 3    // members that one of them uses
	overCeilingRate    = 60.0 // requests a second of each
	overCeilingTenants = 2
)

// load begins to ask; the function that is returned ends it and waits for the answers.
func (f *fleet) load(rate float64) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	requests.Go(func() { f.ask(ctx, &requests, rate, f.withinQuota) })
	for tenant := range overCeilingTenants {
		next := func(n int) (standin.Ask, int) { return f.overCeiling(tenant, n) }
		requests.Go(func() { f.ask(ctx, &requests, overCeilingRate, next) })
	}
	return func() {
		cancel()
		requests.Wait()
	}
}

// ask makes requests at random instants until the context ends, so many a second on average, whether or not earlier ones
// were answered. next returns the nth, and the member that it goes to.
func (f *fleet) ask(ctx context.Context, requests *sync.WaitGroup, rate float64, next func(n int) (standin.Ask, int)) {
	due := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		request, member := next(n)
		request.Due = due
		requests.Go(func() { f.clients[member].Do(request) })
	}
}

// withinQuota is a request of a tenant that keeps to its quota: three in ten must not run twice, two in ten have a key.
func (f *fleet) withinQuota(n int) (standin.Ask, int) {
	spread, tenant := min(quotaSpread, f.n), rand.IntN(quotaTenants)
	request := standin.Ask{ID: fmt.Sprint("a", n), Customer: standin.CustomerName(tenant), Class: "stock", Plan: "boutique",
		Spread: spread, First: tenant % f.n}
	switch class := rand.Float64(); {
	case class < 0.3:
		request.Class, request.Once = "commit", true
	case class < 0.5:
		request.Class, request.Key = "order", "k-"+request.ID
	}
	return request, f.ingressFor(request.First, spread)
}

// overCeiling is a request of a tenant that asks for more than its ceiling lets through.
func (f *fleet) overCeiling(tenant, n int) (standin.Ask, int) {
	request := standin.Ask{ID: fmt.Sprintf("g%d-%d", tenant, n), Customer: standin.CustomerName(firstCeilingTenant + tenant),
		Class: "catalogue", Plan: "distributeur", Spread: f.n}
	return request, f.ingressFor(0, f.n)
}
