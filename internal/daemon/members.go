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

// members is the daemon's part in the membership: members are named by their numbers among the settings' gateways,
// and what of joint budgets is ours goes to the module as one event when it changes.
type members struct {
	*peers.Transport
	me     string
	gossip *gossip // nil where no versions are agreed on by it
	told   admission.FleetChanged
	states map[string]membership.State // as last logged,
	logged uint64                      // in this version of the view
}

// openMembers joins the others, where the program's settings say so.
func (d *Daemon) openMembers() error {
	cfg, lim := d.cfg, d.cfg.Limits
	switch {
	case !d.o.Members || d.members != nil:
		return nil
	case cfg.PeerListen == "":
		return errors.New("peer_listen is missing, and membership is enabled")
	case len(cfg.Peers) < cfg.Settings.Gateways:
		return fmt.Errorf("peers holds %d addresses, and there are %d ingresses", len(cfg.Peers), cfg.Settings.Gateways)
	}
	me, now := cfg.Settings.Index, d.loop.Now()
	c := peers.Config{Listen: cfg.PeerListen, Addrs: map[string]string{}, TickInterval: lim.MemberAckTimeout / 4, OnChange: d.membersChanged,
		AppPrefix: versions.Mark, OnAppMessage: d.gossipReceived}
	if d.o.Embedded != nil {
		c.IsReachable = d.o.Embedded.Reach
	}
	var roster []string
	for i, addr := range cfg.Peers {
		if i == me || addr == "" {
			continue
		}
		c.Addrs[strconv.Itoa(i)] = addr
		if i < cfg.Settings.Gateways {
			roster = append(roster, strconv.Itoa(i))
		}
	}
	// A later life must have the higher incarnation; where the clock was set back, the others' word raises it.
	node := membership.New(membership.Config{Me: strconv.Itoa(me), Incarnation: uint64(max(1, time.Now().UnixMilli())),
		Seed: cfg.Seed + uint64(me), Period: lim.MemberProbeInterval, AckWithin: lim.MemberAckTimeout, SuspectFor: lim.MemberSuspicionTimeout,
		// Whoever asks for an upgrade is turned down while this process is not settled; a process that the platform
		// starts beside another can't be.
		Assured: d.succ != nil && !d.beside,
		Helpers: lim.MemberIndirectProbes, Carry: lim.MemberUpdatesPerMessage, Least: cfg.Settings.Gateways}, now)
	node.Roster(roster, now)
	m := &members{me: strconv.Itoa(me), states: map[string]membership.State{}}
	d.members = m
	var err error
	if m.Transport, err = peers.Open(d.loop, lim, d.log, node, c); err != nil {
		d.members = nil
		return err
	}
	if len(d.o.ControlReplicas) == 0 {
		d.openGossip(now)
	}
	d.membersChanged(now)
	return nil
}

// openMembersAgain is for a process that takes another's place: it serves whether or not it can talk.
func (d *Daemon) openMembersAgain() {
	if err := d.openMembers(); err != nil {
		d.log.Error("membership not joined", "error", err)
		d.core.Enqueue(admission.FleetChanged{IsUncertain: true})
	}
}

// closeMembers says and hears no more.
func (d *Daemon) closeMembers() {
	if d.members != nil {
		if d.members.gossip != nil {
			d.agreement = nil
		}
		d.members.Close()
		d.members = nil
	}
}

// membersChanged tells the module of a change in what is ours, and the operator of each member's change of state.
func (d *Daemon) membersChanged(now time.Duration) {
	m := d.members
	if m == nil || m.Transport == nil {
		return
	}
	if m.gossip != nil {
		d.gossipTick(now)
	}
	if len(d.o.ControlReplicas) == 0 { // else the group grants the share
		d.shareChanged(now)
	}
	view := m.Node().View()
	if view.Version == m.logged {
		return
	}
	m.logged = view.Version
	for _, o := range view.Members {
		if was := m.states[o.Name]; was != o.State {
			m.states[o.Name] = o.State
			d.log.Info("member", "member", o.Name, "state", o.State.String(), "was", was.String(), "incarnation", o.Incarnation)
		}
	}
}

// shareChanged tells the module of a change in who shares joint budgets, by the view of the membership.
func (d *Daemon) shareChanged(now time.Duration) {
	m := d.members
	ev := admission.FleetChanged{IsUncertain: !m.Node().Settled(now)}
	for _, name := range m.Node().Absent(now) {
		if i, err := strconv.Atoi(name); err == nil && i < d.cfg.Settings.Gateways {
			ev.Absent = append(ev.Absent, i)
		}
	}
	if ev.IsUncertain != m.told.IsUncertain || !slices.Equal(ev.Absent, m.told.Absent) {
		m.told = ev
		d.core.Enqueue(ev)
		d.log.Info("share of joint budgets", "settled", !ev.IsUncertain, "counted_out", fmt.Sprint(ev.Absent))
	}
}

// present is what the admin endpoint tells.
func (d *Daemon) present(now time.Duration) figures.Membership {
	m := d.members
	v, c := m.Node().View(), m.Counts()
	f := figures.Membership{ViewVersion: v.Version, AbsentMembers: len(m.told.Absent), IsSettled: d.settled(now), MessagesSent: c.Sent, MessagesReceived: c.Received,
		MessagesDropped: c.Dropped}
	for _, s := range membership.States {
		f.States = append(f.States, figures.StateCount{Name: s.String(), Members: v.Count(s)})
	}
	return f
}

// view fills in what the control socket tells.
func (d *Daemon) view(to Members) Members {
	to.Name = d.cfg.Name
	if s := d.settingsSource(); s != nil {
		for _, doc := range s.Acting() {
			to.Acting = append(to.Acting, doc.Number)
		}
		to.Stale, to.CutOff = append(to.Stale, s.Stale()...), s.Alone(d.loop.Now())
		for v, why := range s.Refused() {
			to.Rejected = append(to.Rejected, fmt.Sprintf("%v: %s", v, why))
		}
	}
	if d.drainedSource() != nil {
		to.Drained = append(to.Drained, d.agreement.drainedHosts()...)
	}
	to.Settled = d.settled(d.loop.Now())
	m := d.members
	if m == nil {
		return to
	}
	v, c := m.Node().View(), m.Counts()
	to.Enabled, to.Version = true, v.Version
	to.Absent, to.Sent, to.Received, to.Dropped = append(to.Absent, m.told.Absent...), c.Sent, c.Received, c.Dropped
	to.SentBytes, to.ReceivedBytes = c.SentBytes, c.ReceivedBytes
	for _, o := range v.Members {
		to.Members = append(to.Members, Member{Name: o.Name, State: o.State.String(), Incarnation: o.Incarnation})
	}
	return to
}

// Leaving says so this often, so far apart: each time some hear it, and they tell the others.
const (
	leaveTimes = 5
	leaveEvery = 60 * time.Millisecond
)

// leave begins a planned end that is for good: the others share what was ours.
func (d *Daemon) leave() string {
	switch {
	case d.members == nil:
		return "membership is not enabled"
	case d.pred.machine.UnderWay() || d.trial():
		return "an upgrade is under way"
	}
	d.leaves = true
	d.drain()
	return ""
}

// goneForGood has a member that is dead here be left for all, as an operator knows it to be.
func (d *Daemon) goneForGood(name string) string {
	m := d.members
	if m == nil {
		return "membership is not enabled"
	}
	for _, o := range m.Node().View().Members {
		if o.Name == name && o.State == membership.Dead {
			m.ForceLeave(name)
			d.membersChanged(d.loop.Now())
			return ""
		}
	}
	return fmt.Sprintf("member %s is not dead here", name)
}

// sayLeave tells the others, once nothing is open here any more, and then goes on to the end.
func (d *Daemon) sayLeave(end func()) {
	if !d.leaves || d.members == nil {
		end()
		return
	}
	d.log.Info("left")
	for i := range leaveTimes {
		d.loop.After(time.Duration(i)*leaveEvery, d.members.Leave)
	}
	d.loop.After(leaveTimes*leaveEvery, end)
}
