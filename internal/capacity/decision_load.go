package capacity

import (
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/timerq"
)

// Of the load that drives the decision module.
const (
	decisionStep    = time.Second * TargetIngresses / TargetRequestRate // between requests: an ingress's part of the peak
	decisionFill    = time.Millisecond                                  // the same while all tenants ask for the first time, since one idle for 90 s is forgotten
	decisionService = 5 * time.Millisecond                              // a server's, for each request
	decisionSeed    = 1
)

// fleetSettings are those of one ingress of a fleet: its last, whose subset takes the most work to find.
func fleetSettings(ingresses int) admission.Settings {
	class := func(name string, effect admission.Effect, worth float64) admission.Class {
		return admission.Class{Name: name, LatencyTarget: 1200 * time.Millisecond, Deadline: 3 * time.Second, Worth: worth,
			Effect: effect, Scope: admission.ScopeCell, RepeatWindow: 3 * time.Second}
	}
	return admission.Settings{Gateways: ingresses, Index: ingresses - 1, Zone: zoneOf(ingresses - 1),
		Classes:   []admission.Class{class("stock", admission.Safe, 3), class("order", admission.Keyed, 2)},
		Plans:     []admission.Plan{{Name: "boutique", Rate: 50, Burst: 200, WorthFactor: 1.2}},
		CanCancel: true, MaxAttempts: 3, MaxUnits: 2, LateRetryAfter: 2 * time.Second, CanSendRetryAfter: true,
		DialTimeout: 250 * time.Millisecond, AnswerSlack: 16 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		WarmUpTime: 8 * time.Second, InitialCapacity: 0.2, ColdOverloadFactor: 2, ColdOverloadTime: 3 * time.Second, CrossZoneCost: 0.01}
}

// decisionLoad drives the decision module as the core does, in simulated time: every request is answered at once by
// the server that it was sent to.
type decisionLoad struct {
	gateway *admission.Gateway
	now     time.Duration
	lastID  uint64
	tenants int
	timers  timerq.Queue[uint64]
	sent    int
	spare   [][]admission.Action // copies of actions, for reuse
}

// newDecisionLoad starts a module of a fleet that knows its servers.
func newDecisionLoad(ingresses, servers, tenants int) (*decisionLoad, error) {
	gateway, err := admission.New(fleetSettings(ingresses), decisionSeed)
	if err != nil {
		return nil, err
	}
	d := &decisionLoad{gateway: gateway, now: time.Hour, tenants: tenants}
	d.handle(admission.ServerList{Kind: admission.ListFull, Version: 1, Servers: admissionServers(servers)})
	return d, nil
}

// request lets one request pass, some time after the last: it arrives, is decided on, sent and answered.
func (d *decisionLoad) request(after time.Duration) {
	d.now += after
	for {
		token, due := d.timers.Pop(d.now)
		if !due {
			break
		}
		d.handle(admission.TimerFired{Token: token})
	}
	d.lastID++
	d.handle(admission.RequestArrived{ID: d.lastID, Customer: d.lastID % uint64(d.tenants), Units: 1, Gateways: 1,
		ExpiresIn: 3 * time.Second})
}

// handle gives the module an event and carries out what it asks for.
func (d *decisionLoad) handle(event admission.Event) {
	var actions []admission.Action
	if n := len(d.spare); n > 0 {
		actions, d.spare = d.spare[n-1], d.spare[:n-1]
	}
	actions = append(actions[:0], d.gateway.Handle(d.now, event)...)
	for _, action := range actions {
		switch action := action.(type) {
		case admission.SetTimer:
			d.timers.Push(action.At, action.Token)
		case admission.Send:
			d.sent++
			d.handle(admission.AttemptEnded{ID: action.ID, Server: action.Server, Took: decisionService, Done: true})
		}
	}
	d.spare = append(d.spare, actions)
}
