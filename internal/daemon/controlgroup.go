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
	daemon           *Daemon
	member           *controlgroup.Member
	client           *controlclient.Client
	moduleUsesShare  bool                             // true at first: a module that was told nothing uses the share
	loggedLease      controlgroup.LeaseState          // state of the settings lease, as last logged
	fileVersions     []controlgroup.Document          // versions that this process started with
	newestInForce    map[string]versions.Version      // by document: newest version in force that the group has listed
	hasProposedFiles bool                             // proposeFileVersions has run
	pending          map[proposalKey]*pendingProposal // proposals without an outcome
	// isResumed is set in a process that took part before and has taken its place back from a successor. Until it holds a
	// lease it keeps to the versions that it applied then.
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
	g.openAgreement()
	g.member = controlgroup.NewMember(controlgroup.MemberConfig{
		ID: controlgroup.MemberID(d.cfg.Settings.Index),
		// A later process of this ingress must have the higher incarnation.
		Incarnation: controlgroup.Incarnation(max(1, time.Now().UnixMilli())),
		First:       g.fileVersions, Check: d.checkDocument, ReadyWait: d.cfg.Limits.ControlReadyTimeout}, now)
	d.controlGroup = g
	g.setShare(false, d.core.Enqueue)
	g.client = controlclient.Open(d.loop, d.cfg.Limits, d.log, controlclient.Config{Replicas: d.options.ControlReplicas,
		IngressIndex: d.cfg.Settings.Index, Seed: d.cfg.Seed + uint64(d.cfg.Settings.Index), Member: observedMember{g.member, g},
		OnChange: g.handleChange})
	d.loop.OnTurnStart(g.checkShare)
	g.handleChange(now)
}

// openAgreement starts the agreement on versions from those of the file, or from the newest that this process applied
// before a successor took over. A document without a version in the file is applied, too, once the group has a version.
func (g *controlGroup) openAgreement() {
	d := g.daemon
	a := &agreement{loggedVersions: map[string][]versions.Version{}}
	if d.savedAgreement != nil {
		a.loggedVersions, a.isReady, g.isResumed = d.savedAgreement.loggedVersions, d.savedAgreement.isReady, true
	}
	settingsDoc, drainedDoc := fileDocuments(d.cfg)
	for document, first := range map[string]versions.Doc{settingsDocument: settingsDoc, drainedDocument: drainedDoc} {
		if d.savedAgreement != nil {
			first = d.savedAgreement.newestVersions[document]
		}
		if first.Number > 0 {
			g.fileVersions = append(g.fileVersions, controlgroup.Document{Name: document, Version: first})
		} else {
			a.loggedVersions[document] = []versions.Version{} // no version is applied yet: see updateActiveVersions
		}
	}
	a.settings, a.drained = controlSource{g, settingsDocument}, controlSource{g, drainedDocument}
	d.agreement = a
}

// savedAgreement keeps a process's state of the agreement while a successor has its place, in case it takes that back.
type savedAgreement struct {
	newestVersions map[string]versions.Doc       // by document
	loggedVersions map[string][]versions.Version // see agreement
	isReady        bool                          // see agreement
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
		g.proposeFileVersions()
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

// suspendControlGroup releases share and leases for a successor, and saves the state of the agreement in case this
// process takes its place back.
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

// proposeFileVersions proposes the versions of this ingress's file, once, for each document of which the group has no
// version or an older one. So the first files of a fleet come into force, and a file that was changed while its ingress
// was down counts like one reloaded by SIGHUP.
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
				g.daemon.log.Warn("file's version not taken by the control group", "of", file.Name,
					"version", file.Version.String(), "error", err)
			}
		})
	}
}
