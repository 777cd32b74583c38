package daemon

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/net/peers"
	"ferryfront.example/ferryfront/internal/versions"
)

// members is the daemon's part in the membership protocol. A member's name is its number among the ingresses of the
// settings. When this ingress's share of joint budgets changes, the module is told by one event. It belongs to the
// loop's goroutine.
type members struct {
	*peers.Transport
	self          string                      // name of this ingress
	gossip        *gossip                     // nil: no versions are agreed on by gossip
	reportedShare admission.FleetChanged      // as the module was last told
	loggedStates  map[string]membership.State // by member, as last logged
	loggedView    uint64                      // version of the view that was last logged
}

// joinMembership joins the membership, if the options enable it. It fails if the configuration lacks an address that the
// membership needs, or this ingress's own address can't be opened.
func (d *Daemon) joinMembership() error {
	cfg, bounds := d.cfg, d.cfg.Limits
	switch {
	case !d.options.HasMembership || d.members != nil:
		return nil
	case cfg.PeerListen == "":
		return errors.New("peer_listen is missing, but membership is enabled")
	case len(cfg.Peers) < cfg.Settings.Gateways:
		return fmt.Errorf("peers has %d addresses, but there are %d ingresses", len(cfg.Peers), cfg.Settings.Gateways)
	}
	self, now := cfg.Settings.Index, d.loop.Now()
	c := peers.Config{Listen: cfg.PeerListen, Addrs: map[string]string{}, TickInterval: bounds.MemberAckTimeout / 4, OnChange: d.handleMembershipChange,
		AppPrefix: versions.MessagePrefix, OnAppMessage: d.receiveGossip}
	if d.options.Embedded != nil {
		c.IsReachable = d.options.Embedded.IsReachable
	}
	var roster []string
	for i, addr := range cfg.Peers {
		if i == self || addr == "" {
			continue
		}
		c.Addrs[strconv.Itoa(i)] = addr
		if i < cfg.Settings.Gateways {
			roster = append(roster, strconv.Itoa(i))
		}
	}
	// A later process must have the higher incarnation. If the clock was set back, the other members' messages raise it.
	node := membership.New(membership.Config{Name: strconv.Itoa(self), Incarnation: uint64(max(1, time.Now().UnixMilli())),
		Seed: cfg.Seed + uint64(self), ProbePeriod: bounds.MemberProbeInterval, AckTimeout: bounds.MemberAckTimeout, SuspicionTimeout: bounds.MemberSuspicionTimeout,
		// The predecessor of an upgrade was settled: an upgrade is refused until then, unless a control group decides about
		// the share. A replacement that the platform starts can't be refused, so its predecessor may be unsettled.
		IsSettledSuccessor: d.asSuccessor != nil && !d.isReplacement,
		IndirectProbes:     bounds.MemberIndirectProbes, MaxUpdates: bounds.MemberUpdatesPerMessage, MinMembers: cfg.Settings.Gateways}, now)
	node.AddMembers(roster, now)
	m := &members{self: strconv.Itoa(self), loggedStates: map[string]membership.State{}}
	d.members = m
	var err error
	if m.Transport, err = peers.Open(d.loop, bounds, d.log, node, c); err != nil {
		d.members = nil
		return err
	}
	if len(d.options.ControlReplicas) == 0 {
		d.openGossip(now)
	}
	d.handleMembershipChange(now)
	return nil
}

// rejoinMembership joins the membership in a process that takes over or takes its place back. If that fails, the process
// serves without a share of joint budgets.
func (d *Daemon) rejoinMembership() {
	if err := d.joinMembership(); err != nil {
		d.log.Error("membership not joined", "error", err)
		d.core.Enqueue(admission.FleetChanged{IsUncertain: true})
	}
}

// closeMembership stops sending and receiving membership messages, without telling the other members.
func (d *Daemon) closeMembership() {
	if d.members != nil {
		if d.members.gossip != nil {
			d.agreement = nil
		}
		d.members.Close()
		d.members = nil
	}
}

// handleMembershipChange updates this ingress's share of joint budgets after a change in the view or a tick, and logs
// each change of a member's state.
func (d *Daemon) handleMembershipChange(now time.Duration) {
	m := d.members
	if m == nil || m.Transport == nil {
		return
	}
	if m.gossip != nil {
		d.tickGossip(now)
	}
	if len(d.options.ControlReplicas) == 0 { // otherwise the control group grants the share
		d.updateShare(now)
	}
	view := m.Node().View()
	if view.Version == m.loggedView {
		return
	}
	m.loggedView = view.Version
	for _, member := range view.Members {
		if previous := m.loggedStates[member.Name]; previous != member.State {
			m.loggedStates[member.Name] = member.State
			d.log.Info("member", "member", member.Name, "state", member.State.String(), "was", previous.String(), "incarnation", member.Incarnation)
		}
	}
}

// updateShare tells the module when this ingress starts or stops to be settled in the membership, and when the set of
// ingresses changes that have left and have no share of joint budgets.
func (d *Daemon) updateShare(now time.Duration) {
	m := d.members
	ev := admission.FleetChanged{IsUncertain: !m.Node().IsSettled(now)}
	for _, name := range m.Node().Absent(now) {
		if i, err := strconv.Atoi(name); err == nil && i < d.cfg.Settings.Gateways {
			ev.Absent = append(ev.Absent, i)
		}
	}
	if ev.IsUncertain != m.reportedShare.IsUncertain || !slices.Equal(ev.Absent, m.reportedShare.Absent) {
		m.reportedShare = ev
		d.core.Enqueue(ev)
		d.log.Info("share of joint budgets", "settled", !ev.IsUncertain, "counted_out", fmt.Sprint(ev.Absent))
	}
}

// membershipMetrics returns the metrics of the membership.
func (d *Daemon) membershipMetrics(now time.Duration) figures.Membership {
	m := d.members
	view, counts := m.Node().View(), m.Counts()
	metrics := figures.Membership{ViewVersion: view.Version, AbsentMembers: len(m.reportedShare.Absent), IsSettled: d.usesShare(now), MessagesSent: counts.Sent, MessagesReceived: counts.Received,
		MessagesDropped: counts.Dropped}
	for _, state := range membership.States {
		metrics.States = append(metrics.States, figures.StateCount{Name: state.String(), Members: view.Count(state)})
	}
	return metrics
}

// membershipStatus fills in and returns the answer to the command "members".
func (d *Daemon) membershipStatus(status MembershipStatus) MembershipStatus {
	status.Name = d.cfg.Name
	if s := d.settingsSource(); s != nil {
		for _, doc := range s.Acting() {
			status.ActiveVersions = append(status.ActiveVersions, doc.Number)
		}
		status.StaleMembers, status.IsCutOff = append(status.StaleMembers, s.Stale()...), s.Alone(d.loop.Now())
		for version, reason := range s.Refused() {
			status.RejectedVersions = append(status.RejectedVersions, fmt.Sprintf("%v: %s", version, reason))
		}
	}
	if d.drainedSource() != nil {
		status.DrainedHosts = append(status.DrainedHosts, d.agreement.drainedHosts()...)
	}
	status.IsSettled = d.usesShare(d.loop.Now())
	m := d.members
	if m == nil {
		return status
	}
	view, counts := m.Node().View(), m.Counts()
	status.IsEnabled, status.ViewVersion = true, view.Version
	status.AbsentMembers, status.MessagesSent, status.MessagesReceived, status.MessagesDropped = append(status.AbsentMembers, m.reportedShare.Absent...), counts.Sent, counts.Received, counts.Dropped
	status.BytesSent, status.BytesReceived = counts.SentBytes, counts.ReceivedBytes
	for _, member := range view.Members {
		status.Members = append(status.Members, MemberStatus{Name: member.Name, State: member.State.String(), Incarnation: member.Incarnation})
	}
	return status
}

// A leave is announced leaveRepeats times, leaveInterval apart. Each time it reaches some members, which pass it on.
const (
	leaveRepeats  = 5
	leaveInterval = 60 * time.Millisecond
)

// leave begins a drain after which this ingress leaves the membership, so that the others take over its share. If it
// can't, it returns the reason, else an empty string.
func (d *Daemon) leave() string {
	switch {
	case d.members == nil:
		return "membership is not enabled"
	case d.asPredecessor.machine.IsInProgress() || d.isTakingOver():
		return "an upgrade is under way"
	}
	d.isLeavingMembership = true
	d.drain()
	return ""
}

// forceLeave makes all members consider a member left, on the word of an operator who knows that it is permanently
// dead. The member must be dead in this ingress's view. If it can't, it returns the reason, else an empty string.
func (d *Daemon) forceLeave(name string) string {
	m := d.members
	if m == nil {
		return "membership is not enabled"
	}
	for _, member := range m.Node().View().Members {
		if member.Name == name && member.State == membership.Dead {
			m.ForceLeave(name)
			d.handleMembershipChange(d.loop.Now())
			return ""
		}
	}
	return fmt.Sprintf("member %s is not dead here", name)
}

// announceLeave tells the other members that this one has left, if a leave was asked for, and then calls done. It is
// called once the drain is complete.
func (d *Daemon) announceLeave(done func()) {
	if !d.isLeavingMembership || d.members == nil {
		done()
		return
	}
	d.log.Info("left")
	for i := range leaveRepeats {
		d.loop.After(time.Duration(i)*leaveInterval, d.members.Leave)
	}
	d.loop.After(leaveRepeats*leaveInterval, done)
}
