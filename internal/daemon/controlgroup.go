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

// controlGroup is the daemon's part in the control group. The group decides which versions are in force, and its leases
// decide whether this ingress may use its share of joint budgets. It belongs to the loop's goroutine.
type controlGroup struct {
	daemon          *Daemon
	member          *controlgroup.Member
	client          *controlclient.Client
	moduleUsesShare bool                             // true at first: a module that was told nothing uses the share
	loggedLease     controlgroup.LeaseState          // state of the settings lease, as last logged
	ownVersions     []controlgroup.Document          // newest that this process knew at its start, from the file or another process
	newestInForce   map[string]versions.Version      // by document: newest version in force that the group has listed
	hasProposedOwn  bool                             // proposeOwnVersions has run
	pending         map[proposalKey]*pendingProposal // proposals without an outcome
	// isResumed is set in a process that continues the agreement of another process of a handover, or its own from before
	// one. Until it holds a lease it keeps to the versions that were applied then.
	isResumed bool
}

// openControlGroup connects to the control group, if the options name its replicas. This ingress uses no share of joint
// budgets until it is granted a lease.
func (d *Daemon) openControlGroup() {
	if len(d.options.ControlReplicas) == 0 || d.controlGroup != nil {
		return
	}
	now := d.loop.Now()
	g := &controlGroup{daemon: d, moduleUsesShare: true, newestInForce: map[string]versions.Version{}, pending: map[proposalKey]*pendingProposal{}}
	first := g.openAgreement()
	g.member = controlgroup.NewMember(controlgroup.MemberConfig{
		ID: controlgroup.MemberID(d.cfg.Settings.Index),
		// A later process of this ingress must have the higher incarnation.
		Incarnation: controlgroup.Incarnation(max(1, time.Now().UnixMilli())),
		First:       first, Check: d.checkDocument, ReadyWait: d.cfg.Limits.ControlReadyTimeout}, now)
	d.controlGroup = g
	g.setShare(false, d.core.Enqueue)
	g.client = controlclient.Open(d.loop, d.cfg.Limits, d.log, controlclient.Config{Replicas: d.options.ControlReplicas,
		IngressIndex: d.cfg.Settings.Index, Seed: d.cfg.Seed + uint64(d.cfg.Settings.Index), Member: observedMember{g.member, g},
		OnChange: g.handleChange})
	d.loop.OnTurnStart(g.checkShare)
	g.handleChange(now)
}

// openAgreement starts the agreement on versions from the saved ones, or from those of the file, and returns them. A
// document without a version in the file is applied, too, once the group has a version.
func (g *controlGroup) openAgreement() (first []controlgroup.Document) {
	d := g.daemon
	g.isResumed = d.savedAgreement != nil
	settingsDoc, drainedDoc := fileDocuments(d.loadedConfig)
	applied := map[string][]versions.Doc{}
	for document, file := range map[string]versions.Doc{settingsDocument: settingsDoc, drainedDocument: drainedDoc} {
		newest := file
		applied[document] = d.firstVersions(document, file) // none: see updateActiveVersions
		for _, version := range applied[document] {
			first = append(first, controlgroup.Document{Name: document, Version: version})
			if version.Number >= newest.Number {
				newest = version
			}
		}
		if newest.Number > 0 {
			g.ownVersions = append(g.ownVersions, controlgroup.Document{Name: document, Version: newest})
		}
	}
	d.agreement = d.newAgreement(applied)
	d.agreement.settings, d.agreement.drained = controlSource{g, settingsDocument}, controlSource{g, drainedDocument}
	return first
}

// observedMember is this ingress's member of the control group. It also records in newestInForce which versions the group
// lists.
type observedMember struct {
	*controlgroup.Member
	group *controlGroup
}

// Received passes a message of a replica to the member and returns the answers to send. The client closes the connection
// if it returns an error.
func (m observedMember) Received(msg controlgroup.Message, now time.Duration) ([]controlgroup.Message, error) {
	answers, err := m.Member.Received(msg, now)
	if list, ok := msg.(controlgroup.InForce); ok && err == nil && len(list.Versions) > 0 {
		m.group.newestInForce[list.Document] = list.Versions[len(list.Versions)-1]
	}
	return answers, err
}

// checkShare runs at the start of each turn, before any request of the turn reaches the module: requests that queued up
// while the process was stopped must not use a lease that expired meanwhile.
func (g *controlGroup) checkShare(now time.Duration) {
	if g.moduleUsesShare && !g.member.HoldsShare(now) {
		g.setShare(false, g.daemon.core.EnqueueFirst)
	}
	g.logLease(now)
}

// handleChange applies changes in the member's state: share, versions, lease, readiness and outcomes of proposals.
func (g *controlGroup) handleChange(now time.Duration) {
	d := g.daemon
	if d.controlGroup != g || g.client == nil { // the leases are released, or the client is not open yet
		return
	}
	if holds := g.member.HoldsShare(now); holds != g.moduleUsesShare {
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
		d.markAgreementReady(!held)
	}
	if held {
		g.proposeOwnVersions()
	}
	g.finishProposals()
}

// setShare tells the module, through enqueue, whether to use this ingress's share of joint budgets.
func (g *controlGroup) setShare(holds bool, enqueue func(admission.Event)) {
	if holds == g.moduleUsesShare {
		return
	}
	g.moduleUsesShare = holds
	ev := admission.FleetChanged{IsUncertain: !holds}
	enqueue(ev)
	g.daemon.log.Info("share of joint budgets", "settled", holds, "counted_out", fmt.Sprint(ev.Absent))
}

// logLease logs each change in the state of the settings lease.
func (g *controlGroup) logLease(now time.Duration) {
	state := g.member.LeaseState(now)
	if state == g.loggedLease {
		return
	}
	g.loggedLease = state
	logAtLevel := g.daemon.log.Info
	if state != controlgroup.LeaseHeld {
		logAtLevel = g.daemon.log.Warn
	}
	logAtLevel("control lease", "state", state.String(), "term", g.member.Term(), "version", g.newestSettings())
}

// newestSettings returns the number of the newest active version of the settings. 0: they have none.
func (g *controlGroup) newestSettings() uint64 { return g.daemon.settingsVersions().NewestVersion }

// releaseShareAndLeases stops using this process's share and then releases its leases, so that the next process of this
// ingress gets them at once. done is called as by releaseLeases; it may be nil.
func (d *Daemon) releaseShareAndLeases(done func()) {
	if g := d.controlGroup; g != nil {
		g.setShare(false, d.core.Enqueue)
		for d.core.HasPendingEvents() { // the module must stop using the share before the group grants it to another process
			d.core.Turn(d.loop.Now())
		}
	}
	d.releaseLeases(done)
}

// releaseLeases releases the leases of a process that no longer uses its share, by closing the connection to the control
// group. done is called once the replica has closed it too, or after ControlReleaseTimeout, or at once if no replica is
// connected; it may be nil.
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

// suspendControlGroup releases share and leases for a successor.
func (d *Daemon) suspendControlGroup() {
	if d.controlGroup == nil {
		return
	}
	d.releaseShareAndLeases(nil)
	d.agreement = nil
}

// usesShare reports whether this ingress uses its share of joint budgets. It is always false if there is neither a
// control group nor membership.
func (d *Daemon) usesShare(now time.Duration) bool {
	switch {
	case d.controlGroup != nil:
		return d.controlGroup.member.HoldsShare(now)
	case d.members != nil:
		return d.members.Node().IsSettled(now)
	}
	return false
}

// ControlGroupStatus is the part of Status about the control group.
type ControlGroupStatus struct {
	Replica         string `json:"replica"` // address of the connected replica; empty: none
	SettingsLease   string `json:"lease"`   // state, as controlgroup.LeaseState names it
	HoldsShareLease bool   `json:"share"`
	Term            uint64 `json:"term"`    // of the leader that answered last; 0: none yet
	SettingsVersion uint64 `json:"version"` // newest active version of the settings; 0: they have none
}

// controlGroupStatus returns the state of the control group, or nil without one.
func (d *Daemon) controlGroupStatus() *ControlGroupStatus {
	g, now := d.controlGroup, d.loop.Now()
	if g == nil {
		return nil
	}
	return &ControlGroupStatus{Replica: g.client.Replica(), SettingsLease: g.member.LeaseState(now).String(),
		HoldsShareLease: g.member.HoldsShare(now), Term: g.member.Term(), SettingsVersion: g.newestSettings()}
}

// metrics returns the metrics of the control group.
func (g *controlGroup) metrics(now time.Duration) figures.ControlGroup {
	counts := g.client.Counts()
	return figures.ControlGroup{IsConnected: g.client.Replica() != "", HoldsSettingsLease: g.member.LeaseState(now) == controlgroup.LeaseHeld,
		HoldsShareLease: g.member.HoldsShare(now), Term: g.member.Term(), Connections: counts.Connections, BytesSent: counts.SentBytes,
		BytesReceived: counts.ReceivedBytes}
}

// proposeOwnVersions proposes the versions that this process began with, once, for each document of which the group has no
// version or an older one. So the first files of a fleet come into force, and a file that was changed while its ingress
// was down counts like one reloaded by SIGHUP.
func (g *controlGroup) proposeOwnVersions() {
	if g.hasProposedOwn {
		return
	}
	g.hasProposedOwn = true
	for _, own := range g.ownVersions {
		if newest, ok := g.newestInForce[own.Name]; ok && newest.Number >= own.Version.Number {
			continue
		}
		controlSource{g, own.Name}.propose(own.Version, func(err error) {
			if err != nil {
				g.daemon.log.Warn("file's version not taken by the control group", "of", own.Name,
					"version", own.Version.String(), "error", err)
			}
		})
	}
}
