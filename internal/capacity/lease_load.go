package capacity

import (
	"context"
	"errors"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// Shape of the lease measurement.
const (
	leaseStep    = 5 * time.Millisecond // between the ticks of the leader's host
	leaseSettle  = time.Second          // in which every member gets its place
	leaseMeasure = 2 * time.Second      // of simulated time
	leaseRepeats = 3
)

// errNoLease tells that a member had no lease when all should have one.
var errNoLease = errors.New("a member holds no settings or no share lease")

// leaseGroup is the leader of a control group and the renewals of its members, in simulated time. Commands are applied
// as soon as they are given, and every check of leadership succeeds.
type leaseGroup struct {
	now      time.Duration
	state    *controlgroup.State
	leader   *controlgroup.Leader
	reports  []controlgroup.Report
	members  int
	sequence uint64
	frame    []byte

	renewals int
	refused  int // grants without one of the leases
	bytes    int // of renewals and grants
}

// newLeaseGroup returns a group with the documents of an ingress, each in one version.
func newLeaseGroup(members int) (*leaseGroup, error) {
	g := &leaseGroup{now: time.Hour, state: controlgroup.NewState(), members: members}
	for _, document := range []string{documentName, "drained"} {
		first := versions.NewDoc(1, make([]byte, documentBytes))
		err := g.state.Apply(controlgroup.ProposeVersion{Document: document, Version: first.Version, Text: first.Text})
		if err != nil {
			return nil, err
		}
		g.reports = append(g.reports, controlgroup.Report{Document: document, Acting: []versions.Version{first.Version}})
	}
	g.leader = controlgroup.NewLeader(controlgroup.DefaultTiming, g.state, 1, g.now)
	return g, nil
}

// run lets time pass. Members renew evenly over the time between two renewals of one.
func (g *leaseGroup) run(d time.Duration) error {
	renewal := controlgroup.DefaultTiming.Renewal
	for end := g.now + d; g.now < end; g.now += leaseStep {
		for _, command := range g.leader.Tick(g.now) {
			if err := g.state.Apply(command); err != nil {
				return err
			}
		}
		from, to := g.now%renewal, g.now%renewal+leaseStep
		first := (int(from)*g.members + int(renewal) - 1) / int(renewal)
		for member := first; member < g.members && time.Duration(member)*renewal < to*time.Duration(g.members); member++ {
			if err := g.renew(member); err != nil {
				return err
			}
		}
		for _, grant := range g.leader.Verified(g.leader.BeginVerify(), g.now) {
			g.frame = controlgroup.Append(g.frame[:0], grant)
			g.bytes += len(g.frame)
			if grant.Settings == 0 || grant.Share == 0 {
				g.refused++
			}
		}
	}
	return nil
}

// renew has a member's renewal arrive, as the frame that it sends.
func (g *leaseGroup) renew(member int) error {
	g.sequence++
	g.frame = controlgroup.Append(g.frame[:0], controlgroup.Renew{Member: controlgroup.MemberID(member), Incarnation: 1,
		Sequence: g.sequence, Reports: g.reports})
	g.bytes += len(g.frame)
	message, _, err := controlgroup.Next(g.frame)
	if err != nil {
		return err
	}
	renew, ok := message.(controlgroup.Renew)
	if !ok {
		return errors.New("a renewal was read as another message")
	}
	g.leader.Renew(renew, g.now)
	g.renewals++
	return nil
}

// leaseCost is what the renewals of a fleet cost its leader.
type leaseCost struct {
	perSecond float64       // renewals
	each      time.Duration // processor time of the leader for one
	bytes     float64       // a second of one member, both ways
}

// measureLeases lets the members of a fleet renew their leases.
func measureLeases(ctx context.Context, members int) (cost leaseCost, err error) {
	g, err := newLeaseGroup(members)
	if err != nil {
		return cost, err
	}
	if err := g.run(leaseSettle); err != nil {
		return cost, err
	}
	g.renewals, g.refused, g.bytes = 0, 0, 0
	least := leastProcessorTime(leaseRepeats, func() { err = errors.Join(err, g.run(leaseMeasure)) })
	if g.refused > 0 {
		err = errors.Join(err, errNoLease)
	}
	each := float64(g.renewals) / leaseRepeats
	cost.perSecond = each / leaseMeasure.Seconds()
	cost.each = time.Duration(float64(least) / each)
	cost.bytes = float64(g.bytes) / leaseRepeats / leaseMeasure.Seconds() / float64(members)
	return cost, errors.Join(err, ctx.Err())
}
