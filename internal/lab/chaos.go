package lab

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Chaos is a fleet of real processes that know each other, under load, with a fault between them.
type Chaos struct {
	Setup
	Members int
	Fault   string
	Length  time.Duration // of the fault; 0: its own
	Rate    float64       // requests a second over all, beside the tenants with a ceiling; 0: 120
}

// ChaosReport is the result of one experiment with a fleet.
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

// Failed reports whether a rule was broken or the experiment did not go as it must.
func (r ChaosReport) Failed() bool {
	return r.Error != "" || r.CeilingBreaks+r.OverrunHosts+r.Lost+r.Doubled+r.LateSends > 0 ||
		r.ContradictionMS != nil && *r.ContradictionMS > contradictionMost(r.Members) ||
		(r.Fault == "loss" || r.Fault == "delay") && r.FalseDead > 0 || r.Fault == "kill" && *r.DetectMS >= maxDetectMS
}

// maxDetectMS is the stated time, in ms, in which a killed member is dead in every view.
const maxDetectMS = 3000

// Run plays one fault, and judges what the members took, sent and logged.
func (c Chaos) Run() (ChaosReport, error) {
	r := ChaosReport{Members: c.Members, Fault: c.Fault}
	fault, ok := findFault(c.Fault)
	if !ok {
		return r, fmt.Errorf("no fault %q", c.Fault)
	}
	if c.Members < 2 || c.Members > maxMembers {
		return r, fmt.Errorf("%d members, need 2 to %d", c.Members, maxMembers)
	}
	f, err := newFleet(c.Setup, c.Members, fault.version)
	if err != nil {
		return r, err
	}
	defer f.close()
	if err := f.agree(); err != nil {
		return r, err
	}
	rate := c.Rate
	if rate == 0 {
		rate = defaultRate
	}
	end := f.load(rate)
	defer func() { end() }()
	time.Sleep(2 * time.Second) // all tenants are known
	// A host starts as the fault does: the members together must not push it over.
	cold := &standin.Host{Name: "cold", Zone: "salle-a", Cell: 90, Slots: 8, Queue: 16, Work: 30 * time.Millisecond,
		ColdFor: 8 * time.Second, ColdFrom: 0.2}
	if err := f.world.AddHost(cold); err != nil {
		return r, err
	}
	began, healed := c.inject(f, fault, &r)
	if err := f.agree(); err != nil {
		r.Error = err.Error()
	}
	r.HealMS = float64(time.Since(healed).Microseconds()) / 1e3
	if fault.version > 0 {
		f.agreed(&r, fault.version+1, healed)
	}
	time.Sleep(time.Second)
	end()
	end = func() {}
	f.judge(&r, fault, began, healed)
	if fault.version > 0 {
		f.contradictions(&r)
	}
	return r, nil
}

// inject begins the fault, has a host drain in the middle of it, and ends it. It returns when it began and was over.
func (c Chaos) inject(f *fleet, fault fleetFault, r *ChaosReport) (began, healed time.Time) {
	length := fault.length
	if c.Length > 0 {
		length = c.Length
	}
	began, carried := time.Now(), f.links.Carried()
	end := fault.begin(f)
	time.Sleep(length / 2)
	f.world.Discovery.Set(f.world.Hosts[0], "Terminating")
	time.Sleep(length - length/2)
	if fault.version > 0 {
		f.stale(r)
	}
	end()
	healed = time.Now()
	r.Seconds = healed.Sub(began).Seconds()
	r.MessagesS = float64(f.links.Carried()-carried) / r.Seconds / float64(c.Members)
	return began, healed
}

const (
	maxMembers  = 40    // processes of one experiment
	defaultRate = 120.0 // requests a second over all members
)
