package lab

import (
	"fmt"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Chaos is a fleet of real processes that know each other, under load, with a fault between them.
type Chaos struct {
	Setup
	Members int
	Fault   string
	Length  time.Duration // of the fault; 0: its own
	Rate    float64       // requests a second over all, beside the dealers with a ceiling; 0: 120
}

// ChaosReport is what came of it.
type ChaosReport struct {
	Members       int      `json:"members"`
	Fault         string   `json:"fault"`
	Seconds       float64  `json:"seconds"`    // of the fault
	DetectMS      *float64 `json:"detect_ms"`  // from it until all that should hold who is gone dead: p99; null: nobody is
	HealMS        float64  `json:"heal_ms"`    // from its end until all views agree
	FalseDead     int      `json:"false_dead"` // declared dead while there and not cut off
	CeilingBreaks int      `json:"ceiling_breaks"`
	OverrunHosts  int      `json:"overrun_hosts"`
	Lost          int      `json:"lost"`         // taken, and not answered once by a member that ran
	Doubled       int      `json:"doubled"`      // work run twice that must not be
	LateSends     int      `json:"late_sends"`   // to hosts that drain
	ServedShare   float64  `json:"served_share"` // of what is asked within quotas at members that ran
	Requests      int      `json:"requests"`
	MessagesS     float64  `json:"messages_s"`    // sent by a member a second
	DownRequests  int      `json:"down_requests"` // that met a member which was down
	Faults        []string `json:"faults,omitempty"`
	Error         string   `json:"error,omitempty"`

	// Of a rollout: the longest time for which two members that served acted on versions of which neither knew the
	// other's, members that did not act on the new one at the fault's end, and versions turned down.
	ContradictionMS *float64 `json:"contradiction_ms,omitempty"`
	StaleMembers    *int     `json:"stale_members,omitempty"`
	Rejected        *int     `json:"rejected,omitempty"`
	AgreedMS        *float64 `json:"agreed_ms,omitempty"` // from the fault's end until all act on the new one alone
}

// Failed tells whether a rule was broken or the experiment did not go as it must.
func (r ChaosReport) Failed() bool {
	return r.Error != "" || r.CeilingBreaks+r.OverrunHosts+r.Lost+r.Doubled+r.LateSends > 0 ||
		r.ContradictionMS != nil && *r.ContradictionMS > contradictionMost(r.Members) ||
		(r.Fault == "loss" || r.Fault == "delay") && r.FalseDead > 0 || r.Fault == "kill" && *r.DetectMS >= detectMost
}

// detectMost is the stated time, in ms, in which a killed member is dead in every view.
const detectMost = 3000

// disorder is one kind of fault. begin starts it and returns what ends it; gone tells whom an observer should find
// dead meanwhile.
type disorder struct {
	name, about string
	length      time.Duration
	begin       func(*swarm) (end func())
	gone        func(s *swarm, observer, member int) bool
	version     int // of the settings that the fleet begins with; 0: they have none
}

// Disorders names the faults, with what each does.
func Disorders() (names, abouts []string) {
	for _, d := range disorders() {
		names, abouts = append(names, d.name), append(abouts, d.about)
	}
	return names, abouts
}

func disorders() []disorder {
	half := func(s *swarm, a, b int) bool { return a < s.n/2 != (b < s.n/2) }
	return []disorder{
		{name: "kill", about: "SIGKILL of a third", length: 6 * time.Second, begin: func(s *swarm) func() {
			for i := range s.third() {
				s.down(i)
				s.world.Ingresses[i].Kill()
			}
			return func() {}
		}, gone: func(s *swarm, o, m int) bool { return o >= s.third() && m < s.third() }},
		{name: "pause", about: "SIGSTOP of one, then SIGCONT", length: 5 * time.Second, begin: func(s *swarm) func() {
			s.signal(0, syscall.SIGSTOP)
			return func() { s.signal(0, syscall.SIGCONT) }
		}, gone: func(_ *swarm, o, m int) bool { return o != 0 && m == 0 }},
		{name: "partition", about: "two halves, healed", length: 10 * time.Second, begin: func(s *swarm) func() {
			s.cut = func(a, b int) bool { return half(s, a, b) }
			s.links.Set(s.cut, 0, 0)
			return s.heal
		}, gone: half},
		{name: "oneway", about: "the first hears the second, the second not the first", length: 8 * time.Second, begin: func(s *swarm) func() {
			s.links.Set(func(from, to int) bool { return from == 0 && to == 1 }, 0, 0)
			return s.heal
		}},
		{name: "loss", about: "30% of the messages dropped", length: 10 * time.Second, begin: func(s *swarm) func() {
			s.links.Set(nil, 0.3, 0)
			return s.heal
		}},
		{name: "delay", about: "200 ms added to each message", length: 10 * time.Second, begin: func(s *swarm) func() {
			s.links.Set(nil, 0, 200*time.Millisecond)
			return s.heal
		}},
		{name: "flap", about: "one stopped and going on, a second each", length: 8 * time.Second, begin: func(s *swarm) func() {
			stop, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				for {
					for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
						s.signal(0, sig)
						select {
						case <-time.After(time.Second):
						case <-stop:
							s.signal(0, syscall.SIGCONT)
							return
						}
					}
				}
			}()
			return func() { close(stop); <-done }
		}},
	}
}

// Run plays one fault.
func (c Chaos) Run() (ChaosReport, error) {
	r := ChaosReport{Members: c.Members, Fault: c.Fault}
	var d disorder
	for _, o := range append(disorders(), rollouts()...) {
		if o.name == c.Fault {
			d = o
		}
	}
	if d.begin == nil {
		return r, fmt.Errorf("no fault %q", c.Fault)
	}
	if c.Members < 2 || c.Members > membersMost {
		return r, fmt.Errorf("%d members, need 2 to %d", c.Members, membersMost)
	}
	s, err := newSwarm(c.Setup, c.Members, d.version)
	if err != nil {
		return r, err
	}
	defer s.close()
	if err := s.agree(); err != nil {
		return r, err
	}
	rate := c.Rate
	if rate == 0 {
		rate = 120
	}
	end := s.load(rate)
	defer func() { end() }()
	time.Sleep(2 * time.Second) // all dealers are known
	// A host starts as the fault does: the members together must not push it over.
	cold := &standin.Host{Name: "cold", Zone: "salle-a", Cell: 90, Slots: 8, Queue: 16, Work: 30 * time.Millisecond,
		ColdFor: 8 * time.Second, ColdFrom: 0.2}
	if err := s.world.AddHost(cold); err != nil {
		return r, err
	}
	length := d.length
	if c.Length > 0 {
		length = c.Length
	}
	began, carried := time.Now(), s.links.Carried()
	over := d.begin(s)
	time.Sleep(length / 2)
	s.world.Discovery.Set(s.world.Hosts[0], "Terminating") // and one drains in the middle of it
	time.Sleep(length - length/2)
	if d.version > 0 {
		s.stale(&r)
	}
	over()
	healed := time.Now()
	r.Seconds = healed.Sub(began).Seconds()
	r.MessagesS = float64(s.links.Carried()-carried) / r.Seconds / float64(c.Members)
	if err := s.agree(); err != nil {
		r.Error = err.Error()
	}
	r.HealMS = float64(time.Since(healed).Microseconds()) / 1e3
	if d.version > 0 {
		s.agreed(&r, d.version+1, healed)
	}
	time.Sleep(time.Second)
	end()
	end = func() {}
	s.judge(&r, d, began, healed)
	if d.version > 0 {
		s.contradictions(&r)
	}
	return r, nil
}

// membersMost bounds the processes of one experiment.
const membersMost = 40
