package daemon

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// Names of the documents that all ingresses agree on, as messages between ingresses and with control replicas have them.
const (
	settingsDocument = "settings"
	drainedDocument  = "drained"
)

// maxDocumentBytes is the maximum size of a version's text, in bytes.
const maxDocumentBytes = 64 << 10

// versionSource supplies the active versions of one document: those whose rules this ingress applies, all of them
// together. The versions come from the gossip between ingresses or from the control group.
type versionSource interface {
	// Document returns the name of the document.
	Document() string
	// Acting returns the active versions, oldest first. Empty: the document has no version yet.
	Acting() []versions.Doc
	// Newest returns the newest active version. Number 0: there is none.
	Newest() versions.Doc
	// Changed reports whether the active versions have changed since its last call.
	Changed() bool
	// Refused returns the versions that this ingress rejected, each with the reason.
	Refused() map[versions.Version]string
	// Stale returns the other ingresses that are not known to apply the newest version.
	Stale() []string
	// Alone reports whether this ingress is cut off from the other ingresses or the control group.
	Alone(now time.Duration) bool

	// Admissible returns an error if this ingress knows a reason that a version can't be offered now.
	Admissible(doc versions.Doc) error
	// Offer proposes a version. done is called once: with nil when the version is in force, else with the reason.
	Offer(doc versions.Doc, done func(error))
}

// agreement is the daemon's part in the agreement on versions of the settings and of the drained list, which names the
// hosts that the operators drain. With gossip, a source is nil if the configuration has no version of its document.
type agreement struct {
	settings, drained versionSource
	// isReady is set once this ingress knows the versions that others apply, or has waited long enough for them.
	isReady          bool
	loggedRejections int                           // number of rejected versions at the last check
	loggedVersions   map[string][]versions.Version // active versions by document, as last logged
}

// sourcesWithVersion returns the sources whose document has a version.
func (a *agreement) sourcesWithVersion() (list []versionSource) {
	for _, s := range []versionSource{a.settings, a.drained} {
		if nilWithoutVersion(s) != nil {
			list = append(list, s)
		}
	}
	return list
}

// nilWithoutVersion returns the source, or nil if its document has no version.
func nilWithoutVersion(s versionSource) versionSource {
	if s == nil || len(s.Acting()) == 0 {
		return nil
	}
	return s
}

// settingsSource returns the source of the settings, or nil if they have no version. Each ingress then applies its own
// file.
func (d *Daemon) settingsSource() versionSource {
	if d.agreement == nil {
		return nil
	}
	return nilWithoutVersion(d.agreement.settings)
}

// drainedSource returns the source of the drained list, or nil if the list has no version.
func (d *Daemon) drainedSource() versionSource {
	if d.agreement == nil {
		return nil
	}
	return nilWithoutVersion(d.agreement.drained)
}

// fileDocuments returns the versions of the settings and of the drained list in a configuration file. Number 0: the file
// has none.
func fileDocuments(c config.Config) (settingsDoc, drainedDoc versions.Doc) {
	return versions.NewDoc(c.SettingsVersion, c.SharedSettings), versions.NewDoc(c.DrainedVersion, c.EncodeDrainedHosts())
}

// checkSettings returns an error if this ingress can't apply the text of a version of the settings.
func (d *Daemon) checkSettings(text []byte) error {
	_, err := d.loadedConfig.WithSharedSettings(text)
	return err
}

// checkDrained returns an error if the text of a version of the drained list can't be applied.
func checkDrained(text []byte) error {
	_, err := config.DecodeDrainedHosts(text)
	return err
}

// checkDocument returns an error if this ingress can't apply the text of a version of a document.
func (d *Daemon) checkDocument(document string, text []byte) error {
	switch document {
	case settingsDocument:
		return d.checkSettings(text)
	case drainedDocument:
		return checkDrained(text)
	}
	return fmt.Errorf("no document %q", document)
}

// applyVersions applies the active versions if they have changed.
func (d *Daemon) applyVersions() {
	a := d.agreement
	a.logRejected(d)
	haveChanged := false
	if s := d.settingsSource(); s != nil && d.updateActiveVersions(s, "settings version") {
		haveChanged = true
		next, err := d.combineVersions(d.loadedConfig)
		if err != nil { // unexpected: each version was checked before it became active
			d.log.Error("settings version not acted on", "error", err)
		} else {
			d.applyConfig(next)
		}
	}
	if s := d.drainedSource(); s != nil && d.updateActiveVersions(s, "drained list version") {
		haveChanged = true
		d.watcher.SetDrained(a.drainedHosts())
	}
	if haveChanged {
		d.reportConfiguration()
	}
}

// logRejected logs all rejected versions if there are more than at the last check.
func (a *agreement) logRejected(d *Daemon) {
	rejected := 0
	for _, s := range a.sourcesWithVersion() {
		rejected += len(s.Refused())
	}
	if rejected > a.loggedRejections {
		for _, s := range a.sourcesWithVersion() {
			for version, reason := range s.Refused() {
				d.log.Error("settings version turned down", "of", s.Document(), "version", version.String(), "error", reason)
			}
		}
	}
	a.loggedRejections = rejected
}

// updateActiveVersions logs the active versions of a source if they have changed, and reports whether they must be
// applied. The first versions of a source come from the file and are applied already, so for them it returns false. A
// source that begins without versions has an empty entry in loggedVersions, and its first version must be applied.
func (d *Daemon) updateActiveVersions(s versionSource, message string) bool {
	if !s.Changed() {
		return false
	}
	active := versionsOf(s.Acting())
	previous, hasPrevious := d.agreement.loggedVersions[s.Document()]
	if slices.Equal(active, previous) {
		return false
	}
	d.agreement.loggedVersions[s.Document()] = active
	d.log.Info(message, "acting", joinNumbers(active), "newest", s.Newest().String())
	return hasPrevious
}

// drainedHosts returns the hosts that any active version drains: a drain holds from the first version that names it.
func (a *agreement) drainedHosts() (all []string) {
	return drainedBy(a.drained.Acting())
}

// drainedBy returns the hosts that any of the given versions drains.
func drainedBy(docs []versions.Doc) (all []string) {
	for _, doc := range docs {
		hosts, _ := config.DecodeDrainedHosts(doc.Text) // it was checked before it became active
		all = append(all, hosts...)
	}
	return all
}

// joinNumbers returns the numbers of versions, separated by commas.
func joinNumbers(list []versions.Version) string {
	var texts []string
	for _, v := range list {
		texts = append(texts, strconv.FormatUint(v.Number, 10))
	}
	return strings.Join(texts, ",")
}

// combineVersions returns a configuration under all active versions of the settings. The newest version counts, except
// where an older one is stricter. Without versions the configuration's own settings count.
func (d *Daemon) combineVersions(base config.Config) (combined config.Config, err error) {
	source := d.settingsSource()
	if source == nil {
		base.Settings, err = settings.KeepIndexes(d.cfg.Settings, base.Settings)
		return base, err
	}
	if combined, err = combineDocuments(base, source.Acting()); err != nil {
		return combined, err
	}
	combined.Settings, err = settings.KeepIndexes(d.cfg.Settings, combined.Settings)
	return combined, err
}

// combineDocuments returns a configuration under all given versions of the settings, the oldest first.
func combineDocuments(base config.Config, docs []versions.Doc) (combined config.Config, err error) {
	for i, doc := range docs {
		version, err := base.WithSharedSettings(doc.Text)
		if err != nil {
			return combined, err
		}
		if i > 0 {
			version.Settings = settings.Stricter(combined.Settings, version.Settings)
		}
		combined = version
	}
	// DrainTimeout follows from the settings. The other limits stay as the program's own settings have them.
	drainTimeout := combined.Limits.DrainTimeout
	combined.Limits = base.Limits
	combined.Limits.DrainTimeout = drainTimeout
	return combined, nil
}

// canServe reports whether requests may be served: the cluster's hosts are known, and the agreement on versions is
// ready.
func (d *Daemon) canServe() bool {
	return d.watcher.IsReady() && (d.agreement == nil || d.agreement.isReady)
}

// markAgreementReady marks the agreement on versions ready. isAlone is only logged: it says that this ingress is cut off
// from the other ingresses or the control group.
func (d *Daemon) markAgreementReady(isAlone bool) {
	d.agreement.isReady = true
	d.log.Info("settings version heard", "alone", isAlone)
	d.reportConfiguration()
}

// checkNextVersion returns an error if the version in a file can't replace the one in force. Any can if none is in force.
// field is the version's name in the file.
func checkNextVersion(field string, inForce, next versions.Doc) error {
	switch {
	case inForce.Number == 0:
		return nil
	case next.Number == 0:
		return fmt.Errorf("%s is missing, and %d is in force", field, inForce.Number)
	}
	if err := inForce.CheckSuccessor(next.Version); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// checkFileVersions returns an error if the versions in a reloaded file can't replace those in force. An older version
// never replaces a newer one, and a version's content can't change under the same number.
func (d *Daemon) checkFileVersions(reloaded config.Config) error {
	inForce, drainedInForce := fileDocuments(d.loadedConfig)
	if s := d.settingsSource(); s != nil {
		inForce = s.Newest()
	}
	if s := d.drainedSource(); s != nil {
		drainedInForce = s.Newest()
	}
	settingsDoc, drainedDoc := fileDocuments(reloaded)
	return errors.Join(checkNextVersion("settings_version", inForce, settingsDoc), checkNextVersion("drained.version", drainedInForce, drainedDoc))
}

// versionOffer is a version to offer to a source.
type versionOffer struct {
	source versionSource
	doc    versions.Doc
}

// offerFileVersions offers the versions in a reloaded configuration to their sources. It calls done with the
// configuration to apply: at once, or when the versions are in force. If a check finds an error in any version, nothing
// is offered. If a source fails an offer, done gets the error, and offers made before stay made. If neither
// document has an active version, the file's drained list is applied first, and stays so if an offer then fails.
func (d *Daemon) offerFileVersions(reloaded config.Config, done func(config.Config, error)) {
	if err := d.checkFileVersions(reloaded); err != nil {
		done(reloaded, err)
		return
	}
	if d.settingsSource() == nil {
		combined, err := d.combineVersions(reloaded)
		if err == nil && d.drainedSource() == nil {
			d.watcher.SetDrained(reloaded.DrainedHosts)
		}
		if err != nil || d.agreement == nil {
			done(combined, err)
			return
		}
	}
	offers := d.fileOffers(reloaded)
	for _, o := range offers { // all are checked first: an error in the drained list alone must prevent every offer
		if err := o.source.Admissible(o.doc); err != nil {
			done(reloaded, fmt.Errorf("%s: %w", o.source.Document(), err))
			return
		}
	}
	offerAll(offers, func(err error) {
		if err != nil {
			done(reloaded, err)
			return
		}
		if d.drainedSource() != nil {
			d.watcher.SetDrained(d.agreement.drainedHosts())
		}
		done(d.combineVersions(reloaded))
	})
}

// fileOffers returns the offers for the versions in a configuration that have a source.
func (d *Daemon) fileOffers(c config.Config) (offers []versionOffer) {
	settingsDoc, drainedDoc := fileDocuments(c)
	for _, o := range []versionOffer{{d.agreement.settings, settingsDoc}, {d.agreement.drained, drainedDoc}} {
		if o.source != nil && o.doc.Number != 0 {
			offers = append(offers, o)
		}
	}
	return offers
}

// offerAll makes the offers one after the other. done is called after the last, or with the first error.
func offerAll(offers []versionOffer, done func(error)) {
	if len(offers) == 0 {
		done(nil)
		return
	}
	first := offers[0]
	first.source.Offer(first.doc, func(err error) {
		if err != nil {
			done(fmt.Errorf("%s: %w", first.source.Document(), err))
			return
		}
		offerAll(offers[1:], done)
	})
}
