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
	d                *Daemon
	member           *controlgroup.Member
	client           *controlclient.Client
	usesShare        bool                        // as the module was last notified
	loggedLease      controlgroup.LeaseState     // as last logged
	fileVersions     []controlgroup.Document     // versions that this process began with
	newestInForce    map[string]versions.Version // newest of each document, as far as the group has told
	hasProposedFiles bool                        // the files' versions were proposed where the group had none or older ones
	pending          map[proposalKey]*pendingProposal
	// isResumed: this process had taken part before, and a successor since. It goes on under the versions that it acted
	// on until it holds a lease.
	isResumed bool
}

// openControlGroup connects to the control group, where the program's settings name its replicas. Until a lease is
// granted this ingress has no share of joint budgets.
func (d *Daemon) openControlGroup() {
	if len(d.options.ControlReplicas) == 0 || d.controlGroup != nil {
		return
	}
	now := d.loop.Now()
	g := &controlGroup{d: d, usesShare: true, newestInForce: map[string]versions.Version{}, pending: map[proposalKey]*pendingProposal{}}
	g.openAgreement()
	g.member = controlgroup.NewMember(controlgroup.MemberConfig{
		ID: controlgroup.MemberID(d.cfg.Settings.Index),
		// A later process must have the higher incarnation.
		Incarnation: controlgroup.Incarnation(max(1, time.Now().UnixMilli())),
		First:       g.fileVersions, Check: d.checkDocument, ReadyWait: d.cfg.Limits.ControlReadyTimeout}, now)
	d.controlGroup = g
	g.setShare(false, d.core.Enqueue)
	g.client = controlclient.Open(d.loop, d.cfg.Limits, d.log, controlclient.Config{Replicas: d.options.ControlReplicas,
		Number: d.cfg.Settings.Index, Seed: d.cfg.Seed + uint64(d.cfg.Settings.Index), Member: observedMember{g.member, g},
		Changed: g.handleChange})
	d.loop.OnTurnStart(g.checkShare)
	g.handleChange(now)
}

// openAgreement begins with the versions of the file, or with the newest that this process has acted on. Documents of
// which the file has no version are followed, too, once the group has one.
func (g *controlGroup) openAgreement() {
	d := g.d
	a := &agreement{loggedVersions: map[string][]versions.Version{}}
	if d.savedAgreement != nil {
		a.loggedVersions, a.isReady, g.isResumed = d.savedAgreement.loggedVersions, d.savedAgreement.isReady, true
	}
	set, drained := fileDocuments(d.cfg)
	for document, first := range map[string]versions.Doc{settingsDocument: set, drainedDocument: drained} {
		if d.savedAgreement != nil {
			first = d.savedAgreement.newestVersions[document]
		}
		if first.Number > 0 {
			g.fileVersions = append(g.fileVersions, controlgroup.Document{Name: document, Version: first})
		} else {
			a.loggedVersions[document] = []versions.Version{} // it begins with none
		}
	}
	a.settings, a.drained = controlSource{g, settingsDocument}, controlSource{g, drainedDocument}
	d.agreement = a
}

// savedAgreement is what a process remembers of the agreement when a successor takes its place, in case it has to go on.
type savedAgreement struct {
	newestVersions map[string]versions.Doc
	loggedVersions map[string][]versions.Version
	isReady        bool
}

// observedMember notes which versions the group says are in force.
type observedMember struct {
	*controlgroup.Member
	group *controlGroup
}

// Received hands a message on to the member.
func (m observedMember) Received(msg controlgroup.Message, now time.Duration) ([]controlgroup.Message, error) {
	answers, err := m.Member.Received(msg, now)
	if list, ok := msg.(controlgroup.InForce); ok && err == nil && len(list.Versions) > 0 {
		m.group.newestInForce[list.Document] = list.Versions[len(list.Versions)-1]
	}
	return answers, err
}

// checkShare runs before any request of the turn reaches the module: a lease that ran out while this process was stopped
// must not be used by what queued up in the meantime.
func (g *controlGroup) checkShare(now time.Duration) {
	if g.usesShare && !g.member.HoldsShare(now) {
		g.setShare(false, g.d.core.EnqueueFirst)
	}
	g.logLease(now)
}

// handleChange follows what the member tells: share, versions, lease, readiness and the ends of proposals.
func (g *controlGroup) handleChange(now time.Duration) {
	d := g.d
	if d.controlGroup != g || g.client == nil { // given up, or not open yet
		return
	}
	if holds := g.member.HoldsShare(now); holds != g.usesShare {
		g.setShare(holds, d.core.Enqueue)
	}
	held := g.member.LeaseState(now) == controlgroup.LeaseHeld
	if held {
		g.isResumed = false
	}
	if !g.isResumed {
		d.applyVersions()
	}
	g.logLease(now)
	if !d.agreement.isReady && g.member.Ready(now) {
		d.markVersionsKnown(!held)
	}
	if held {
		g.proposeFileVersions()
	}
	g.finishProposals()
}

// setShare has the module use this ingress's share of joint budgets, or not.
func (g *controlGroup) setShare(holds bool, tell func(admission.Event)) {
	if holds == g.usesShare {
		return
	}
	g.usesShare = holds
	ev := admission.FleetChanged{IsUncertain: !holds}
	tell(ev)
	g.d.log.Info("share of joint budgets", "settled", holds, "counted_out", fmt.Sprint(ev.Absent))
}

// logLease logs each change of the lease's state.
func (g *controlGroup) logLease(now time.Duration) {
	state := g.member.LeaseState(now)
	if state == g.loggedLease {
		return
	}
	g.loggedLease = state
	level := g.d.log.Info
	if state != controlgroup.LeaseHeld {
		level = g.d.log.Warn
	}
	level("control lease", "state", state.String(), "term", g.member.Term(), "version", g.newestSettings())
}

// newestSettings is the number of the newest version of the settings that is acted on, 0: they have none.
func (g *controlGroup) newestSettings() uint64 { return g.d.settingsVersions().NewestVersion }

// releaseShareAndLeases gives up this process's share and then its leases, so that the next process of this ingress gets
// them at once. Done is called when the group can know; nil: nobody waits.
func (d *Daemon) releaseShareAndLeases(done func()) {
	if g := d.controlGroup; g != nil {
		g.setShare(false, d.core.Enqueue)
		for d.core.HasPendingEvents() { // the module is to know before the group does
			d.core.Turn(d.loop.Now())
		}
	}
	d.releaseLeases(done)
}

// releaseLeases gives up the leases of a process that uses its share no more.
func (d *Daemon) releaseLeases(done func()) {
	g := d.controlGroup
	if g == nil {
		if done != nil {
			done()
		}
		return
	}
	d.loop.OnTurnStart(nil)
	d.controlGroup = nil
	g.failProposals(errLeasesReleased)
	g.client.GiveUp(done)
}

// suspendControlGroup gives up for a successor, and remembers what to go on with should that one fail.
func (d *Daemon) suspendControlGroup() {
	if d.controlGroup == nil {
		return
	}
	d.savedAgreement = &savedAgreement{newestVersions: map[string]versions.Doc{}, loggedVersions: d.agreement.loggedVersions, isReady: d.agreement.isReady}
	for _, s := range d.agreement.sourcesWithVersion() {
		d.savedAgreement.newestVersions[s.Document()] = s.Newest()
	}
	d.releaseShareAndLeases(nil)
	d.agreement = nil
}

// usesShare tells whether this ingress takes its share of joint budgets.
func (d *Daemon) usesShare(now time.Duration) bool {
	switch {
	case d.controlGroup != nil:
		return d.controlGroup.member.HoldsShare(now)
	case d.members != nil:
		return d.members.Node().Settled(now)
	}
	return false
}

// ControlGroupStatus is what the status tells of the control group.
type ControlGroupStatus struct {
	Replica         string `json:"replica"` // that is connected; empty: none
	SettingsLease   string `json:"lease"`   // state of the settings lease
	HoldsShareLease bool   `json:"share"`   // the share lease is held
	Term            uint64 `json:"term"`    // of the leader that granted last
	SettingsVersion uint64 `json:"version"` // newest of the settings acted on; 0: they have none
}

// controlGroupStatus is nil without a control group.
func (d *Daemon) controlGroupStatus() *ControlGroupStatus {
	g, now := d.controlGroup, d.loop.Now()
	if g == nil {
		return nil
	}
	return &ControlGroupStatus{Replica: g.client.Replica(), SettingsLease: g.member.LeaseState(now).String(),
		HoldsShareLease: g.member.HoldsShare(now), Term: g.member.Term(), SettingsVersion: g.newestSettings()}
}

// metrics are those that stand at the control group.
func (g *controlGroup) metrics(now time.Duration) figures.ControlGroup {
	counts := g.client.Counts()
	return figures.ControlGroup{IsConnected: g.client.Replica() != "", HoldsSettingsLease: g.member.LeaseState(now) == controlgroup.LeaseHeld,
		HoldsShareLease: g.member.HoldsShare(now), Term: g.member.Term(), Connections: counts.Connections, BytesSent: counts.Sent,
		BytesReceived: counts.Received}
}

// proposeFileVersions proposes the versions of this ingress's files once, where the group has none of a document or an older one: so the
// first files of a fleet come in force, and one that was changed while its ingress was down counts as one read by SIGHUP.
func (g *controlGroup) proposeFileVersions() {
	if g.hasProposedFiles {
		return
	}
	g.hasProposedFiles = true
	for _, file := range g.fileVersions {
		if newest, ok := g.newestInForce[file.Name]; ok && newest.Number >= file.Version.Number {
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
