package capacity

import "slices"

// ScaleRun is one line of the scale test: what an event did to a fleet. Fields that an event does not have are nil.
type ScaleRun struct {
	Event                string   `json:"event"`
	Agreement            string   `json:"agreement"` // on settings: AgreementGossip or AgreementControl
	Instances            int      `json:"instances"`
	Real                 int      `json:"real"`
	Hollow               int      `json:"hollow"`
	Processes            int      `json:"processes"`
	Hosts                int      `json:"hosts"`
	InForceP50MS         *float64 `json:"in_force_ms_p50"`
	InForceMaxMS         *float64 `json:"in_force_ms_max"`
	NotInForce           *float64 `json:"not_in_force"`
	SettledP90MS         *float64 `json:"settled_ms_p90"`
	ContradictionMS      *float64 `json:"contradiction_ms"`
	ContradictionBoundMS *float64 `json:"contradiction_bound_ms"`
	Lost                 *float64 `json:"lost"`
	Doubled              *float64 `json:"doubled"`
	CeilingBreaks        *float64 `json:"ceiling_breaks"`
	ControlCPUShareMax   *float64 `json:"control_cpu_share_max"`
	ControlBytesPerSMax  *float64 `json:"control_bytes_per_s_max"`
	ControlMemoryMBMax   *float64 `json:"control_memory_mb_max"`
	MemoryMBTotal        *float64 `json:"memory_mb_total"`
}

// The ways in which the ingresses come to agree on a version of the settings.
const (
	AgreementGossip  = "gossip"  // every member waits for the report of every other: the build before
	AgreementControl = "control" // the control group and its leases: the build after
)

// Events returns the events of the scale test, in the order of the page.
func Events() []string {
	return []string{"change", "change-dead", "restart", "rack", "zone", "regions", "leader", "control-down"}
}

// latest returns the last run of each event, agreement and size, the events in their order, each the earlier
// agreement first.
func latest(runs []ScaleRun) []ScaleRun {
	var last []ScaleRun
	for _, run := range runs {
		at := slices.IndexFunc(last, func(r ScaleRun) bool {
			return r.Event == run.Event && r.Agreement == run.Agreement && r.Instances == run.Instances
		})
		if at < 0 {
			last = append(last, run)
			continue
		}
		last[at] = run
	}
	order := func(r ScaleRun) int {
		place := 2 * slices.Index(Events(), r.Event)
		if r.Agreement != AgreementGossip {
			place++
		}
		return place
	}
	slices.SortStableFunc(last, func(a, b ScaleRun) int {
		if byEvent := order(a) - order(b); byEvent != 0 {
			return byEvent
		}
		return a.Instances - b.Instances
	})
	return last
}

// limit is a bound on a figure of a run.
type limit struct {
	figure    string
	value     *float64
	most      float64
	mechanism string
}

// The bounds on a run that are no budgets of the target.
const (
	mostInForceMS = BudgetInForceS * 1e3
	mostSettledMS = 1e3
)

// limits returns the figures of a run that have a bound, with it.
func (r ScaleRun) limits() []limit {
	all := []limit{
		{"control CPU, share of a core", r.ControlCPUShareMax, BudgetControlCPUShare, "delta distribution"},
		{"control bytes a second", r.ControlBytesPerSMax, BudgetControlBytesPerS, "delta distribution, subsetting"},
		{"control memory, MB", r.ControlMemoryMBMax, BudgetControlMemoryMB, "subsetting"},
		{"requests lost", r.Lost, 0, "a fault to mend"},
		{"requests run twice", r.Doubled, 0, "a fault to mend"},
		{"ceilings passed", r.CeilingBreaks, 0, "a fault to mend"},
	}
	if r.ContradictionBoundMS != nil {
		all = append(all, limit{"time in contradiction, ms", r.ContradictionMS, *r.ContradictionBoundMS, "lease"})
	}
	switch r.Event {
	case "change", "change-dead", "leader":
		all = append(all, limit{"change in force everywhere, ms", r.InForceMaxMS, mostInForceMS, "lease, quorum"},
			limit{"members on which the change is not in force", r.NotInForce, 0, "lease, quorum"})
	case "restart":
		all = append(all, limit{"restarted members settled, 90th percentile, ms", r.SettledP90MS, mostSettledMS, "lease"})
	}
	return all
}
