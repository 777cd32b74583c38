package simwire

import (
	"cmp"
	"errors"
	"fmt"

	"ferryfront.example/ferryfront/admission"
)

// wireParams are the settings of an instance; a pointer is one that must be there.
type wireParams struct {
	Balancers *int        `json:"balancers"`
	Me        *int        `json:"me"`
	Period    *ms         `json:"period"`
	Zone      string      `json:"zone"`
	Discovery string      `json:"discovery"`
	Classes   []wireClass `json:"classes"`
	Plans     []wirePlan  `json:"tiersOfService"`
	Extra     struct {
		CounterTimeout ms   `json:"counterTimeout"`
		HasCounter     bool `json:"hasCounter"`
		MaxUnits       int  `json:"maxUnits"`
		Settles        bool `json:"settles"`
	} `json:"extra"`
	Limits *struct {
		Cancelling    bool `json:"cancelling"`
		DialTimeout   ms   `json:"dialTimeout"`
		MaxAttempts   int  `json:"maxAttempts"`
		MaxRetryAfter ms   `json:"maxRetryAfter"`
		MayTell       bool `json:"mayTell"`
		ParallelTries bool `json:"parallelTries"`
		Probes        bool `json:"probes"`
		RetryAfter    bool `json:"retryAfter"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Rules *struct {
		AnswerSlack ms      `json:"answerSlack"`
		AskWithin   ms      `json:"askWithin"`
		Cold        ms      `json:"cold"`
		ColdFrom    float64 `json:"coldFrom"`
		DrainGrace  ms      `json:"drainGrace"`
		Fall        ms      `json:"fall"`
		TipMultiple float64 `json:"tipMultiple"`
	} `json:"rules"`
	Stats wireStats `json:"stats"`
}

type wireStats struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

type wireClass struct {
	Name         string  `json:"name"`
	OnTime       ms      `json:"onTime"`
	Deadline     ms      `json:"deadline"`
	Value        float64 `json:"value"`
	LateShare    float64 `json:"lateShare"`
	Effect       string  `json:"effect"`
	DedupScope   string  `json:"dedupScope"`
	RepeatWindow ms      `json:"repeatWindow"`
	Stream       bool    `json:"stream"`
}

type wirePlan struct {
	Name           string  `json:"name"`
	QuotaRate      float64 `json:"quotaRate"`
	StoreSize      float64 `json:"storeSize"`
	AtOnce         int     `json:"atOnce"`
	ValueFactor    float64 `json:"valueFactor"`
	OverWorth      float64 `json:"overWorth"`
	OverrunCost    float64 `json:"overrunCost"`
	HardRate       float64 `json:"hardRate"`
	NeverOverDepth float64 `json:"neverOverDepth"`
	HardSlack      float64 `json:"hardSlack"`
}

var effects = map[string]admission.Effect{
	"retryable": admission.Safe, "dedup": admission.Keyed, "fragile": admission.Unsafe,
}

var groups = map[string]admission.Scope{
	"all": admission.ScopeAll, "": admission.ScopeAll, "zone": admission.ScopeZone, "cell": admission.ScopeCell,
}

// reports gives the fields of a load report their usual names.
var reports = map[string]string{
	"active": "inflight", "waiting": "queued", "cpu": "utilization", "avg_ms": "latency_ms",
	"rps": "rate", "err_rps": "errors",
}

func (w wireStats) reportNames() []string {
	var names []string
	for _, n := range w.Names {
		names = append(names, cmp.Or(reports[n], n))
	}
	return names
}

func (p *wireParams) settings() (admission.Settings, error) {
	var none admission.Settings
	switch {
	case p.Balancers == nil:
		return none, errors.New("params.balancers is missing")
	case p.Me == nil:
		return none, errors.New("params.me is missing")
	case p.Period == nil:
		return none, errors.New("params.period is missing")
	case p.Limits == nil:
		return none, errors.New("params.limits is missing")
	case p.Rules == nil:
		return none, errors.New("params.rules is missing")
	case p.Discovery != "push" && p.Discovery != "ask":
		return none, fmt.Errorf("params.discovery: %q is neither push nor ask", p.Discovery)
	}
	s := admission.Settings{
		Gateways: *p.Balancers, Me: *p.Me, Zone: p.Zone, Tick: p.Period.duration(),
		MustAsk: p.Discovery == "ask", HasCounter: p.Extra.HasCounter, Settles: p.Extra.Settles,
		CounterLimit: p.Extra.CounterTimeout.duration(), MaxUnits: p.Extra.MaxUnits,
		MaxAttempts: p.Limits.MaxAttempts, MaxRetryAfter: p.Limits.MaxRetryAfter.duration(),
		RetryAfter: p.Limits.RetryAfter, CanCancel: p.Limits.Cancelling, CanProbe: p.Limits.Probes,
		CanTell: p.Limits.MayTell, SecondCopies: p.Limits.ParallelTries,
		DialLimit: p.Limits.DialTimeout.duration(), ReportNames: p.Stats.reportNames(),
		ReportsOnAns: p.Stats.How == "answers", AnswerSlack: p.Rules.AnswerSlack.duration(),
		AskWithin: p.Rules.AskWithin.duration(), DrainGrace: p.Rules.DrainGrace.duration(),
		ColdFor: p.Rules.Cold.duration(), ColdFrom: p.Rules.ColdFrom, TipMultiple: p.Rules.TipMultiple,
		TipTime: p.Rules.Fall.duration(), CrossZone: p.Prices.CrossZone,
	}
	for _, c := range p.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return none, fmt.Errorf("params.classes: effect %q of %q is not known", c.Effect, c.Name)
		}
		group, ok := groups[c.DedupScope]
		if !ok {
			return none, fmt.Errorf("params.classes: dedupScope %q of %q is not known", c.DedupScope, c.Name)
		}
		s.Classes = append(s.Classes, admission.Class{Name: c.Name, Aim: c.OnTime.duration(),
			Deadline: c.Deadline.duration(), Worth: c.Value, LateShare: c.LateShare, Effect: effect,
			Scope: group, RepeatWindow: c.RepeatWindow.duration(), Stream: c.Stream})
	}
	for _, t := range p.Plans {
		s.Plans = append(s.Plans, admission.Plan{Name: t.Name, Rate: t.QuotaRate, Burst: t.StoreSize,
			AtOnce: t.AtOnce, Price: t.ValueFactor, OverWorth: t.OverWorth, OverCost: t.OverrunCost,
			CeilingRate: t.HardRate, CeilingBurst: t.NeverOverDepth, CeilingSlack: t.HardSlack})
	}
	return s, nil
}
