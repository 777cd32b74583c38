// Package scale runs a fleet of the size that is to come on one machine: a few real ingress processes under load, whose
// answers are checked against the rules, and hundreds of hollow ones, which are the real daemon without client or
// upstream traffic, many in a process. One event happens to the fleet, and what came of it is one line of figures.
package scale

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/lab"
	"ferryfront.example/ferryfront/internal/limits"
)

// Agreement is how the ingresses agree on versions of the settings and on their shares of joint budgets.
type Agreement string

// Agreements.
const (
	Gossip  Agreement = "gossip"  // by messages between all of them
	Control Agreement = "control" // by a replicated control group with leases
)

// Run is one run of the test.
type Run struct {
	Setup      lab.Setup
	Instances  int
	Real       int // of them; 0: five
	Hosts      int // listed upstream hosts; 0: as many as the target fleet has, in proportion
	PerProcess int // hollow members in a process; 0: 35
	MemoryMB   int // that all processes may hold together; 0: 12,000
	Event      string
	Agreement  Agreement
	Short      bool // it ends with the event: figures that are averages over 10 s may be null
}

// Line is what came of a run. Figures that the event gives no sense to, or that were not reached, are null.
//
// in_force is from giving a change of the settings until a live member acts on the new version alone, the old one
// retired. Live is a member that ran from then on without a break. Members that don't within 15 s are counted in
// not_in_force, and the percentiles are over the others.
//
// settled is from the start of a process of a restarted member until it may use its share of joint budgets. A member
// that has not when the wait is over counts with the length of that wait, and settled_of tells how many did.
//
// contradiction is the longest time for which there were, without a break, two serving members that acted on no version
// in common; the bound is what the design states for the event.
//
// control_cpu_share (of one core) and control_memory are those of hollow members, which have no other work: of each
// process, divided by its members. control_bytes_per_s counts, of any member, datagrams between ingresses (sent and
// received), what discovery sends, and what goes to and comes from the control group. All three are averages over 10 s,
// the largest of the run from the moment the fleet had settled.
type Line struct {
	Event     string    `json:"event"`
	Agreement Agreement `json:"agreement"`
	Instances int       `json:"instances"`
	Real      int       `json:"real"`
	Hollow    int       `json:"hollow"`
	Processes int       `json:"processes"`
	Hosts     int       `json:"hosts"`

	InForceP50MS *float64 `json:"in_force_ms_p50"`
	InForceMaxMS *float64 `json:"in_force_ms_max"`
	NotInForce   *int     `json:"not_in_force"`

	SettledP90MS *float64 `json:"settled_ms_p90"`
	SettledOf    *[2]int  `json:"settled_of"` // how many of how many settled in the wait

	ContradictionMS      *float64 `json:"contradiction_ms"`
	ContradictionBoundMS *float64 `json:"contradiction_bound_ms"`

	Lost          *int `json:"lost"`    // requests taken and not answered once by an ingress that ran
	Doubled       *int `json:"doubled"` // work run twice that must not be
	CeilingBreaks *int `json:"ceiling_breaks"`
	Requests      int  `json:"requests"`

	ControlCPUShareMax  *float64 `json:"control_cpu_share_max"`
	ControlBytesPerSMax *float64 `json:"control_bytes_per_s_max"`
	ControlMemoryMBMax  *float64 `json:"control_memory_mb_max"`
	MemoryMBTotal       float64  `json:"memory_mb_total"`  // most of all processes together
	StartSettledMS      *float64 `json:"start_settled_ms"` // from the start of the first until all had settled
	Seconds             float64  `json:"seconds"`
	Note                string   `json:"note,omitempty"`
	Warnings            []string `json:"warnings,omitempty"` // the most frequent in members' logs
	Faults              []string `json:"faults,omitempty"`
	Error               string   `json:"error"`
}

// Failed tells whether a rule was broken, the stated bound passed, or the run did not go as it must.
func (l Line) Failed() bool {
	above := func(n *int) bool { return n != nil && *n > 0 }
	return l.Error != "" || above(l.Lost) || above(l.Doubled) || above(l.CeilingBreaks) ||
		l.ContradictionMS != nil && l.ContradictionBoundMS != nil && *l.ContradictionMS > *l.ContradictionBoundMS
}

// Defaults of a run.
const (
	realDefault       = 5
	perProcessDefault = 35
)

// instancesMost bounds a run to what the addresses of a block hold.
const instancesMost = 2000

// fill puts defaults in place and tells what can't be run.
func (r *Run) fill() error {
	if r.Setup.Say == nil {
		r.Setup.Say = func(string, ...any) {}
	}
	if r.Real == 0 {
		r.Real = realDefault
	}
	if r.PerProcess == 0 {
		r.PerProcess = perProcessDefault
	}
	if r.MemoryMB == 0 {
		r.MemoryMB = memoryMostMB
	}
	if r.Hosts == 0 {
		r.Hosts = targetHosts * r.Instances / targetInstances
	}
	switch {
	case r.Agreement != Gossip && r.Agreement != Control:
		return fmt.Errorf("no agreement %q: need %s or %s", r.Agreement, Gossip, Control)
	case r.Real < 2 || r.Instances < 2*r.Real || r.Instances > instancesMost:
		return fmt.Errorf("%d instances with %d real ones, need %d to %d and at least 2 real ones", r.Instances, r.Real,
			2*r.Real, instancesMost)
	case r.Hosts < zones*hostsPerCell:
		return fmt.Errorf("%d hosts, need at least %d", r.Hosts, zones*hostsPerCell)
	case r.PerProcess < 1 || r.MemoryMB < 0:
		return errors.New("members per process and memory must be above 0")
	}
	return r.checkDescriptors()
}

func (r *Run) memoryMost() float64 { return float64(r.MemoryMB) }

// Descriptors that the test's own process needs: for listeners and connections of each part, and for what else there is.
const (
	descriptorsPerInstance = 4
	descriptorsPerHost     = 2
	descriptorsOther       = 1000
)

// checkDescriptors tells whether the system lets the test's process hold as many as it needs.
func (r *Run) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("RLIMIT_NOFILE: %w", err)
	}
	need := uint64(r.Instances*descriptorsPerInstance + r.Hosts*descriptorsPerHost + descriptorsOther)
	if limit.Max < need {
		return fmt.Errorf("RLIMIT_NOFILE is %d at the most, and the test needs %d: fewer instances or hosts, or a higher limit",
			limit.Max, need)
	}
	return nil
}

// gossipBound is the stated bound on contradiction without a control group: what a member that begins anew waits to
// hear what others act on, and two periods for an answer that is lost once.
func gossipBound(instances int) (time.Duration, error) {
	l, err := limits.For(limits.Site{Sockets: sockets})
	if err != nil {
		return 0, err
	}
	return time.Duration(instances+3) * l.MemberProbeInterval, nil
}
