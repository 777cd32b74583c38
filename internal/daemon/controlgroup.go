package daemon

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/net/controlclient"
	"ferryfront.example/ferryfront/internal/versions"
)

// controlGroup is the daemon's part in the control group: the versions that are in force come from it, and the leases
// that it grants tell whether this ingress may use its share of joint budgets.
type controlGroup struct {
	d       *Daemon
	member  *controlgroup.Member
	client  *controlclient.Client
	share   bool                        // as the module was last notified
	lease   controlgroup.LeaseState     // as last logged
	files   []controlgroup.Document     // versions that this process began with
	inForce map[string]versions.Version // newest of each document, as far as the group has told
	seeded  bool                        // the files' versions were proposed where the group had none or older ones
	waiting map[proposal]*waiters
	// resumed: this process had taken part before, and a successor since. It goes on under the versions that it acted
	// on until it holds a lease.
	resumed bool
}

// openControlGroup connects to the control group, where the program's settings name its replicas. Until a lease is
// granted this ingress has no share of joint budgets.
func (d *Daemon) openControlGroup() {
	if len(d.o.ControlReplicas) == 0 || d.group != nil {
		return
	}
	now := d.loop.Now()
	g := &controlGroup{d: d, share: true, inForce: map[string]versions.Version{}, waiting: map[proposal]*waiters{}}
	g.openAgreement()
	g.member = controlgroup.NewMember(controlgroup.MemberConfig{
		ID: controlgroup.MemberID(d.cfg.Settings.Index),
		// A later process must have the higher incarnation.
		Incarnation: controlgroup.Incarnation(max(1, time.Now().UnixMilli())),
		First:       g.files, Check: d.checkDocument, ReadyWait: d.cfg.Limits.ControlReadyTimeout}, now)
	d.group = g
	g.notifyShare(false, d.core.Enqueue)
	g.client = controlclient.Open(d.loop, d.cfg.Limits, d.log, controlclient.Config{Replicas: d.o.ControlReplicas,
		Number: d.cfg.Settings.Index, Seed: d.cfg.Seed + uint64(d.cfg.Settings.Index), Member: observedMember{g.member, g},
		Changed: g.changed})
	d.loop.OnTurnStart(g.turnStart)
	g.changed(now)
}

// openAgreement begins with the versions of the file, or with the newest that this process has acted on. Documents of
// which the file has no version are followed, too, once the group has one.
func (g *controlGroup) openAgreement() {
	d := g.d
	a := &agreement{logged: map[string][]versions.Version{}}
	if d.agreed != nil {
		a.logged, a.ready, g.resumed = d.agreed.logged, d.agreed.ready, true
	}
	set, drained := fileDocuments(d.cfg)
	for document, first := range map[string]versions.Doc{settingsDocument: set, drainedDocument: drained} {
		if d.agreed != nil {
			first = d.agreed.newest[document]
		}
		if first.Number > 0 {
			g.files = append(g.files, controlgroup.Document{Name: document, Version: first})
		} else {
			a.logged[document] = []versions.Version{} // it begins with none
		}
	}
	a.settings, a.drained = controlSource{g, settingsDocument}, controlSource{g, drainedDocument}
	d.agreement = a
}

// agreed is what a process remembers of the agreement when a successor takes its place, in case it has to go on.
type agreed struct {
	newest map[string]versions.Doc
	logged map[string][]versions.Version
	ready  bool
}

// observedMember notes which versions the group says are in force.
type observedMember struct {
	*controlgroup.Member
	g *controlGroup
}

// Received hands a message on to the member.
func (m observedMember) Received(msg controlgroup.Message, now time.Duration) ([]controlgroup.Message, error) {
	answers, err := m.Member.Received(msg, now)
	if list, ok := msg.(controlgroup.InForce); ok && err == nil && len(list.Versions) > 0 {
		m.g.inForce[list.Document] = list.Versions[len(list.Versions)-1]
	}
	return answers, err
}

// turnStart runs before any request of the turn reaches the module: a lease that ran out while this process was stopped
// must not be used by what queued up in the meantime.
func (g *controlGroup) turnStart(now time.Duration) {
	if g.share && !g.member.HoldsShare(now) {
		g.notifyShare(false, g.d.core.EnqueueFirst)
	}
	g.logLease(now)
}

// changed follows what the member tells: share, versions, lease, readiness and the ends of proposals.
func (g *controlGroup) changed(now time.Duration) {
	d := g.d
	if d.group != g || g.client == nil { // given up, or not open yet
		return
	}
	if holds := g.member.HoldsShare(now); holds != g.share {
		g.notifyShare(holds, d.core.Enqueue)
	}
	held := g.member.LeaseState(now) == controlgroup.LeaseHeld
	if held {
		g.resumed = false
	}
	if !g.resumed {
		d.versionsChanged()
	}
	g.logLease(now)
	if !d.agreement.ready && g.member.Ready(now) {
		d.versionsKnown(!held)
	}
	if held {
		g.seed()
	}
	g.endProposals()
}

// notifyShare has the module use this ingress's share of joint budgets, or not.
func (g *controlGroup) notifyShare(holds bool, tell func(admission.Event)) {
	if holds == g.share {
		return
	}
	g.share = holds
	ev := admission.FleetChanged{IsUncertain: !holds}
	tell(ev)
	g.d.log.Info("share of joint budgets", "settled", holds, "counted_out", fmt.Sprint(ev.Absent))
}

// logLease logs each change of the lease's state.
func (g *controlGroup) logLease(now time.Duration) {
	state := g.member.LeaseState(now)
	if state == g.lease {
		return
	}
	g.lease = state
	level := g.d.log.Info
	if state != controlgroup.LeaseHeld {
		level = g.d.log.Warn
	}
	level("control lease", "state", state.String(), "term", g.member.Term(), "version", g.newestSettings())
}

// newestSettings is the number of the newest version of the settings that is acted on, 0: they have none.
func (g *controlGroup) newestSettings() uint64 { return g.d.version().NewestVersion }

// giveUpControlGroup gives up this process's share and then its leases, so that the next process of this ingress gets
// them at once. Done is called when the group can know; nil: nobody waits.
func (d *Daemon) giveUpControlGroup(done func()) {
	if g := d.group; g != nil {
		g.notifyShare(false, d.core.Enqueue)
		for d.core.HasPendingEvents() { // the module is to know before the group does
			d.core.Turn(d.loop.Now())
		}
	}
	d.endControlGroup(done)
}

// endControlGroup gives up the leases of a process that uses its share no more.
func (d *Daemon) endControlGroup(done func()) {
	g := d.group
	if g == nil {
		if done != nil {
			done()
		}
		return
	}
	d.loop.OnTurnStart(nil)
	d.group = nil
	g.failProposals(errClosed)
	g.client.GiveUp(done)
}

// suspendControlGroup gives up for a successor, and remembers what to go on with should that one fail.
func (d *Daemon) suspendControlGroup() {
	if d.group == nil {
		return
	}
	d.agreed = &agreed{newest: map[string]versions.Doc{}, logged: d.agreement.logged, ready: d.agreement.ready}
	for _, s := range d.agreement.sources() {
		d.agreed.newest[s.Document()] = s.Newest()
	}
	d.giveUpControlGroup(nil)
	d.agreement = nil
}

// settled tells whether this ingress takes its share of joint budgets.
func (d *Daemon) settled(now time.Duration) bool {
	switch {
	case d.group != nil:
		return d.group.member.HoldsShare(now)
	case d.members != nil:
		return d.members.Node().Settled(now)
	}
	return false
}

// ControlStatus is what the status tells of the control group.
type ControlStatus struct {
	Replica string `json:"replica"` // that is connected; empty: none
	Lease   string `json:"lease"`   // state of the settings lease
	Share   bool   `json:"share"`   // the share lease is held
	Term    uint64 `json:"term"`    // of the leader that granted last
	Version uint64 `json:"version"` // newest of the settings acted on; 0: they have none
}

// controlStatus is nil without a control group.
func (d *Daemon) controlStatus() *ControlStatus {
	g, now := d.group, d.loop.Now()
	if g == nil {
		return nil
	}
	return &ControlStatus{Replica: g.client.Replica(), Lease: g.member.LeaseState(now).String(),
		Share: g.member.HoldsShare(now), Term: g.member.Term(), Version: g.newestSettings()}
}

// figures are those that stand at the control group.
func (g *controlGroup) figures(now time.Duration) figures.ControlGroup {
	counts := g.client.Counts()
	return figures.ControlGroup{IsConnected: g.client.Replica() != "", HoldsSettingsLease: g.member.LeaseState(now) == controlgroup.LeaseHeld,
		HoldsShareLease: g.member.HoldsShare(now), Term: g.member.Term(), Connections: counts.Connections, BytesSent: counts.Sent,
		BytesReceived: counts.Received}
}

// seed proposes the versions of this ingress's files once, where the group has none of a document or an older one: so the
// first files of a fleet come in force, and one that was changed while its ingress was down counts as one read by SIGHUP.
func (g *controlGroup) seed() {
	if g.seeded {
		return
	}
	g.seeded = true
	for _, file := range g.files {
		if newest, ok := g.inForce[file.Name]; ok && newest.Number >= file.Version.Number {
			continue
		}
		controlSource{g, file.Name}.propose(file.Version, func(err error) {
			if err != nil {
				g.d.log.Warn("file's version not taken by the control group", "of", file.Name,
					"version", file.Version.String(), "error", err)
			}
		})
	}
}
