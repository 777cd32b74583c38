package daemon

import (
	"fmt"
	"maps"
	"slices"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// What a process has come to act on since its start, by reloads and by agreement with other ingresses, goes to its
// successor with Welcome and Snapshot, and back to the predecessor while that can still take its place back.

// savedAgreement is the state of the agreement on versions that the next one of this process begins with: its own from
// before a successor took over, or that of the other process of a handover.
type savedAgreement struct {
	activeVersions map[string][]versions.Doc // by document, oldest first
	isReady        bool                      // see agreement
}

// equal reports whether both are of the same versions and equally ready. other may be nil.
func (s *savedAgreement) equal(other *savedAgreement) bool {
	return other != nil && s.isReady == other.isReady &&
		maps.EqualFunc(s.activeVersions, other.activeVersions, func(a, b []versions.Doc) bool {
			return slices.Equal(versionsOf(a), versionsOf(b))
		})
}

// saveAgreement returns the state of the present agreement, or the saved one if there is no agreement now.
func (d *Daemon) saveAgreement() *savedAgreement {
	if d.agreement == nil {
		return d.savedAgreement
	}
	saved := &savedAgreement{activeVersions: map[string][]versions.Doc{}, isReady: d.agreement.isReady}
	for _, s := range d.agreement.sourcesWithVersion() {
		saved.activeVersions[s.Document()] = s.Acting()
	}
	return saved
}

// firstVersions returns the versions of a document that a new agreement begins with: the saved ones, or that of the
// configuration file.
func (d *Daemon) firstVersions(document string, file versions.Doc) []versions.Doc {
	if d.savedAgreement != nil && len(d.savedAgreement.activeVersions[document]) > 0 {
		return d.savedAgreement.activeVersions[document]
	}
	if file.Number == 0 {
		return nil
	}
	return []versions.Doc{file}
}

// newAgreement returns an agreement without sources that begins with the given versions of each document. They are
// applied already.
func (d *Daemon) newAgreement(first map[string][]versions.Doc) *agreement {
	a := &agreement{loggedVersions: map[string][]versions.Version{}}
	for document, docs := range first {
		a.loggedVersions[document] = versionsOf(docs)
	}
	if d.savedAgreement != nil {
		a.isReady = d.savedAgreement.isReady
	}
	return a
}

// versionsOf returns the versions of documents without their texts.
func versionsOf(docs []versions.Doc) []versions.Version {
	list := make([]versions.Version, 0, len(docs))
	for _, doc := range docs {
		list = append(list, doc.Version)
	}
	return list
}

// configurationInForce returns the message that tells another process what this one acts on.
func (d *Daemon) configurationInForce() *pb.Configuration {
	inForce := d.loadedConfig.InForce(d.options.Getenv)
	message := &pb.Configuration{Text: inForce.Text, Discovery: inForce.Discovery, RequiredKeys: inForce.RequiredKeys,
		EnvironmentDiscovery: inForce.EnvironmentDiscovery}
	if saved := d.saveAgreement(); saved != nil {
		message.Documents, message.IsReady = handover.EncodeDocuments(saved.activeVersions), saved.isReady
	}
	return message
}

// inForceOf returns the configuration that a message of the other process tells of.
func inForceOf(m *pb.Configuration) config.InForce {
	return config.InForce{Text: m.GetText(), Discovery: m.GetDiscovery(), RequiredKeys: m.GetRequiredKeys(),
		EnvironmentDiscovery: m.GetEnvironmentDiscovery()}
}

// savedAgreementOf returns the state of the agreement that a message tells of, or nil if the other process had none.
func savedAgreementOf(m *pb.Configuration) *savedAgreement {
	if len(m.GetDocuments()) == 0 && !m.GetIsReady() {
		return nil
	}
	return &savedAgreement{activeVersions: handover.DecodeDocuments(m.GetDocuments()), isReady: m.GetIsReady()}
}

// agreesOnVersions reports whether this process takes part in an agreement on versions.
func (d *Daemon) agreesOnVersions() bool {
	return len(d.options.ControlReplicas) > 0 || d.options.HasMembership
}

// startAgreement returns a configuration under the versions of the settings that the predecessor acts on, and has this
// process begin with them when it takes part in the agreement itself. A version that this process can't use is left to the
// agreement.
func (d *Daemon) startAgreement(cfg config.Config, m *pb.Configuration) config.Config {
	saved := savedAgreementOf(m)
	if saved == nil || !d.agreesOnVersions() {
		return cfg
	}
	d.savedAgreement = saved
	docs := saved.activeVersions[settingsDocument]
	if len(docs) == 0 {
		return cfg
	}
	combined, err := combineDocuments(cfg, docs)
	if err != nil {
		d.log.Error("settings version not acted on", "error", err)
		delete(saved.activeVersions, settingsDocument)
		return cfg
	}
	cfg.Settings, cfg.Limits.DrainTimeout = combined.Settings, combined.Limits.DrainTimeout
	return cfg
}

// adoptAgreement acts on the versions that the other process of a handover acts on, in a process that serves or is about to,
// unless it does so already.
func (d *Daemon) adoptAgreement(m *pb.Configuration) {
	if saved := savedAgreementOf(m); saved == nil || saved.equal(d.savedAgreement) {
		return
	}
	next := d.startAgreement(d.loadedConfig, m)
	kept, err := settings.KeepIndexes(d.cfg.Settings, next.Settings)
	if err != nil {
		d.log.Error("settings version not acted on", "error", err)
		return
	}
	next.Settings = kept
	d.applyConfig(next)
	d.drainByVersions()
}

// drainByVersions applies the saved versions of the drained list, if there are any.
func (d *Daemon) drainByVersions() {
	if d.savedAgreement == nil {
		return
	}
	if docs := d.savedAgreement.activeVersions[drainedDocument]; len(docs) > 0 {
		d.watcher.SetDrained(drainedBy(docs))
	}
}

// adoptConfiguration acts on what the successor acted on, in a process that takes its place back.
func (d *Daemon) adoptConfiguration(m *pb.Configuration) error {
	next, err := inForceOf(m).Config(d.options.Getenv)
	if err == nil {
		next.Settings, err = settings.KeepIndexes(d.cfg.Settings, next.Settings)
	}
	if err != nil {
		return fmt.Errorf("configuration of the new process: %w", err)
	}
	next.KnownHosts = d.loadedConfig.KnownHosts
	if d.options.OverrideLimits != nil {
		d.options.OverrideLimits(&next.Limits)
	}
	d.loadedConfig = next
	d.applyConfig(next)
	d.watcher.SetDrained(next.DrainedHosts)
	d.savedAgreement = nil
	d.adoptAgreement(m)
	return nil
}

// reportConfiguration tells the predecessor what this process acts on, if there is one that may still take its place back.
func (d *Daemon) reportConfiguration() {
	if d.isTakingOver() && d.asSuccessor.machine.IsServing() {
		d.asSuccessor.send(&pb.Envelope{Body: &pb.Envelope_Configuration{Configuration: d.configurationInForce()}})
	}
}
