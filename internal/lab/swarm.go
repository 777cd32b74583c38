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

// swarm is the fleet of one experiment.
type swarm struct {
	Setup
	n       int
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

func (s *swarm) third() int { return max(1, s.n/3) }

func (s *swarm) heal() { s.links.Set(nil, 0, 0) }

func (s *swarm) down(member int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spells = append(s.spells, spell{member: member, from: time.Now()})
}

func (s *swarm) signal(member int, sig syscall.Signal) {
	if sig == syscall.SIGSTOP {
		s.down(member)
	}
	_ = syscall.Kill(s.world.Ingresses[member].Cmd.Process.Pid, sig)
	if sig == syscall.SIGCONT {
		s.up(member)
	}
}

func (s *swarm) up(member int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.spells {
		if p := &s.spells[i]; p.member == member && p.to.IsZero() {
			p.to = time.Now()
		}
	}
}

// wasDown tells whether a member was down at some time between two.
func (s *swarm) wasDown(member int, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.spells {
		if p.member == member && p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// noticeMost is after which the front sends nothing more to a member that is down.
const noticeMost = 300 * time.Millisecond

// door is the member through which a request comes: one of its set, not known to be down.
func (s *swarm) door(first, spread int) int {
	now := time.Now()
	at := rand.IntN(spread)
	for k := range spread {
		m := (first + at + k) % s.n
		if !s.wasDown(m, now.Add(-time.Hour), now.Add(-noticeMost)) || s.isUp(m, now) {
			return m
		}
	}
	return (first + at) % s.n
}

func (s *swarm) isUp(member int, now time.Time) bool {
	return !s.wasDown(member, now, now.Add(time.Nanosecond))
}

func newSwarm(set Setup, n, version int) (*swarm, error) {
	s := &swarm{Setup: set, n: n}
	var err error
	if s.links, err = standin.NewLinks(n); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(set.Dir, "swarm")
	if err != nil {
		return nil, err
	}
	return s, s.start(dir, standin.Shape{Settings: "membership: enabled: true\n", Links: s.links, Version: version})
}

// start starts the ingresses and all around them. On an error everything is ended again.
func (s *swarm) start(dir string, shape standin.Shape) error {
	if s.Say == nil {
		s.Say = func(string, ...any) {}
	}
	shape.Hosts, shape.Ingresses, shape.Work, shape.Sockets = 8, s.n, 30*time.Millisecond, 512
	var err error
	if s.world, err = standin.NewWorld(dir, shape); err != nil {
		s.close()
		return err
	}
	for i := range s.n {
		in, err := s.world.Start(s.Ferryfront, shape)
		if err != nil {
			s.close()
			return err
		}
		s.clients = append(s.clients, &standin.Clients{Addr: in.Addr, Record: s.world.Record, Via: i,
			Wait: 2500 * time.Millisecond})
	}
	return nil
}

func (s *swarm) close() {
	for i, c := range s.clients {
		s.signal(i, syscall.SIGCONT) // what is stopped can't be waited for
		c.Close()
	}
	if s.world != nil {
		s.world.Close()
	}
	s.links.Close()
	s.relays.Close()
	s.group.Close()
}

// Dealers of the experiment: those within their quotas come through three members each, those with a ceiling through
// all, and ask for half as much again as it lets through.
const (
	swarmDealers = 60
	swarmSpread  = 3
	greedyRate   = 60.0
	greedy       = 2
)

// load begins to ask; the function that is returned ends it and waits for the answers.
func (s *swarm) load(rate float64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	stream := func(rate float64, next func(n int) (standin.Ask, int)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			due := time.Now()
			for n := 0; ctx.Err() == nil; n++ {
				due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
				select {
				case <-time.After(time.Until(due)):
				case <-ctx.Done():
					return
				}
				a, door := next(n)
				a.Due = due
				wg.Add(1)
				go func() {
					defer wg.Done()
					s.clients[door].Do(a)
				}()
			}
		}()
	}
	spread := min(swarmSpread, s.n)
	stream(rate, func(n int) (standin.Ask, int) {
		c := rand.IntN(swarmDealers)
		a := standin.Ask{ID: fmt.Sprint("a", n), Customer: standin.CustomerName(c), Class: "stock", Plan: "boutique",
			Spread: spread, First: c % s.n}
		switch x := rand.Float64(); {
		case x < 0.3:
			a.Class, a.Once = "commit", true
		case x < 0.5:
			a.Class, a.Key = "order", "k-"+a.ID
		}
		return a, s.door(a.First, spread)
	})
	for g := range greedy {
		stream(greedyRate, func(n int) (standin.Ask, int) {
			return standin.Ask{ID: fmt.Sprintf("g%d-%d", g, n), Customer: standin.CustomerName(ceilingFirst + g),
				Class: "catalogue", Plan: "distributeur", Spread: s.n}, s.door(0, s.n)
		})
	}
	return func() { cancel(); wg.Wait() }
}
