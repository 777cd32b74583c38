package lab

import (
	"syscall"
	"time"
)

// fleetFault is one kind of fault. begin starts it and returns what ends it; gone reports whether an observer should find
// a member dead meanwhile.
type fleetFault struct {
	name, about string
	length      time.Duration
	begin       func(*fleet) (end func())
	gone        func(f *fleet, observer, member int) bool
	version     int // of the settings that the fleet begins with; 0: they have none
}

// FleetFaults returns the names of the faults, and what each does.
func FleetFaults() (names, abouts []string) {
	for _, fault := range fleetFaults() {
		names, abouts = append(names, fault.name), append(abouts, fault.about)
	}
	return names, abouts
}

// findFault returns the fault of a name, of a network and processes or of a rollout.
func findFault(name string) (fleetFault, bool) {
	for _, fault := range append(fleetFaults(), rollouts()...) {
		if fault.name == name {
			return fault, true
		}
	}
	return fleetFault{}, false
}

func fleetFaults() []fleetFault {
	half := func(f *fleet, a, b int) bool { return a < f.n/2 != (b < f.n/2) }
	return []fleetFault{
		{name: "kill", about: "SIGKILL of a third", length: 6 * time.Second, begin: func(f *fleet) func() {
			for i := range f.third() {
				f.down(i)
				f.world.Ingresses[i].Kill()
			}
			return func() {}
		}, gone: func(f *fleet, o, m int) bool { return o >= f.third() && m < f.third() }},
		{name: "pause", about: "SIGSTOP of one, then SIGCONT", length: 5 * time.Second, begin: func(f *fleet) func() {
			f.signal(0, syscall.SIGSTOP)
			return func() { f.signal(0, syscall.SIGCONT) }
		}, gone: func(_ *fleet, o, m int) bool { return o != 0 && m == 0 }},
		{name: "partition", about: "two halves, healed", length: 10 * time.Second, begin: func(f *fleet) func() {
			f.cut = func(a, b int) bool { return half(f, a, b) }
			f.links.Set(f.cut, 0, 0)
			return f.heal
		}, gone: half},
		{name: "oneway", about: "the first hears the second, the second not the first", length: 8 * time.Second, begin: func(f *fleet) func() {
			f.links.Set(func(from, to int) bool { return from == 0 && to == 1 }, 0, 0)
			return f.heal
		}},
		{name: "loss", about: "30% of the messages dropped", length: 10 * time.Second, begin: func(f *fleet) func() {
			f.links.Set(nil, 0.3, 0)
			return f.heal
		}},
		{name: "delay", about: "200 ms added to each message", length: 10 * time.Second, begin: func(f *fleet) func() {
			f.links.Set(nil, 0, 200*time.Millisecond)
			return f.heal
		}},
		{name: "flap", about: "one stopped and going on, a second each", length: 8 * time.Second, begin: func(f *fleet) func() {
			stop, done := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(done)
				for {
					for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
						f.signal(0, sig)
						select {
						case <-time.After(time.Second):
						case <-stop:
							f.signal(0, syscall.SIGCONT)
							return
						}
					}
				}
			}()
			return func() { close(stop); <-done }
		}},
	}
}
