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

// The documents that all ingresses agree on, as they are named among them.
const (
	settingsDocument = "settings"
	drainedDocument  = "drained"
)

// documentMost bounds a document, in bytes.
const documentMost = 64 << 10

// versionSource is where the versions of one document come from that this ingress acts on: the gossip between members,
// or the control group.
type versionSource interface {
	Document() string
	Acting() []versions.Doc // oldest first; none: there is no version of the document yet
	Newest() versions.Doc   // the last of them; number 0: none
	Changed() bool          // once: whether they are others than when it was last asked
	Refused() map[versions.Version]string
	Stale() []string              // other members not known to act on the newest
	Alone(now time.Duration) bool // whoever else decides on versions is not heard

	// Admissible tells why a version that came to this ingress can't be offered now, nil: it can, as far as is known
	// here. Offer proposes it; done is called once, with nil when it is in force.
	Admissible(doc versions.Doc) error
	Offer(doc versions.Doc, done func(error))
}

// agreement is the daemon's part in the agreement on versions: of the settings, and of the list of hosts that the
// operators drain. Either source is nil where the configuration has no version of that document.
type agreement struct {
	settings, drained versionSource
	ready             bool // this ingress may serve: it has heard what others act on, or has waited for it
	rejected          int
	logged            map[string][]versions.Version // by document: the versions acted on, as last logged
}

// sources are those that have a version.
func (a *agreement) sources() (list []versionSource) {
	for _, s := range []versionSource{a.settings, a.drained} {
		if withVersion(s) != nil {
			list = append(list, s)
		}
	}
	return list
}

// withVersion is a source that has a version to act on, nil otherwise.
func withVersion(s versionSource) versionSource {
	if s == nil || len(s.Acting()) == 0 {
		return nil
	}
	return s
}

// settingsSource is that of the settings; nil: there is none with a version, and each ingress goes by its own file.
func (d *Daemon) settingsSource() versionSource {
	if d.agreement == nil {
		return nil
	}
	return withVersion(d.agreement.settings)
}

// drainedSource is that of the drained list; nil: there is none with a version.
func (d *Daemon) drainedSource() versionSource {
	if d.agreement == nil {
		return nil
	}
	return withVersion(d.agreement.drained)
}

// fileDocuments are the versions that a configuration has of its own: the settings', the drained list's. Number 0: none.
func fileDocuments(c config.Config) (set, drained versions.Doc) {
	return versions.NewDoc(c.Version, c.Shared), versions.NewDoc(c.DrainedVersion, c.DrainedText())
}

// checkSettings tells why the text of a version of the settings can't be acted on here.
func (d *Daemon) checkSettings(text []byte) error {
	_, err := d.told.Under(text)
	return err
}

// checkDrained tells why the text of a version of the drained list can't be acted on.
func checkDrained(text []byte) error {
	_, err := config.ReadDrained(text)
	return err
}

// checkDocument tells why a text of a document can't be acted on here.
func (d *Daemon) checkDocument(document string, text []byte) error {
	switch document {
	case settingsDocument:
		return d.checkSettings(text)
	case drainedDocument:
		return checkDrained(text)
	}
	return fmt.Errorf("no document %q", document)
}

// versionsChanged goes on under the versions to act on, when these are others than before.
func (d *Daemon) versionsChanged() {
	a := d.agreement
	a.logRejected(d)
	if s := d.settingsSource(); s != nil && d.actingChanged(s, "settings version") {
		to, err := d.combined(d.told)
		if err != nil { // each was checked when it was taken
			d.log.Error("settings version not acted on", "error", err)
		} else {
			d.follow(to)
		}
	}
	if s := d.drainedSource(); s != nil && d.actingChanged(s, "drained list version") {
		d.watcher.SetDrained(a.drainedHosts())
	}
}

// logRejected logs what was turned down, when there is more of it than before.
func (a *agreement) logRejected(d *Daemon) {
	rejected := 0
	for _, s := range a.sources() {
		rejected += len(s.Refused())
	}
	if rejected > a.rejected {
		for _, s := range a.sources() {
			for v, why := range s.Refused() {
				d.log.Error("settings version turned down", "of", s.Document(), "version", v.String(), "error", why)
			}
		}
	}
	a.rejected = rejected
}

// actingChanged tells whether a source acts on other versions than before, and logs it. What it begins with, unless that
// was none, is followed already.
func (d *Daemon) actingChanged(s versionSource, message string) bool {
	if !s.Changed() {
		return false
	}
	var acting []versions.Version
	for _, doc := range s.Acting() {
		acting = append(acting, doc.Version)
	}
	was, begun := d.agreement.logged[s.Document()]
	if slices.Equal(acting, was) {
		return false
	}
	d.agreement.logged[s.Document()] = acting
	d.log.Info(message, "acting", numbers(acting), "newest", s.Newest().String())
	return begun
}

// drainedHosts are those that any version acted on drains: a drain holds from the first version that names it.
func (a *agreement) drainedHosts() (all []string) {
	for _, doc := range a.drained.Acting() {
		hosts, _ := config.ReadDrained(doc.Text) // it was checked when it was taken
		all = append(all, hosts...)
	}
	return all
}

func numbers(list []versions.Version) string {
	var texts []string
	for _, v := range list {
		texts = append(texts, strconv.FormatUint(v.Number, 10))
	}
	return strings.Join(texts, ",")
}

// combined is a configuration under all versions of the settings to act on together, the newest one's but for what is
// stricter in an older one.
func (d *Daemon) combined(of config.Config) (to config.Config, err error) {
	source := d.settingsSource()
	if source == nil {
		of.Settings, err = settings.Follow(d.cfg.Settings, of.Settings)
		return of, err
	}
	for i, doc := range source.Acting() {
		c, err := of.Under(doc.Text)
		if err != nil {
			return to, err
		}
		if i > 0 {
			c.Settings = settings.Stricter(to.Settings, c.Settings)
		}
		to = c
	}
	most := to.Limits.DrainTimeout // of the bounds, what follows from settings; the others are as the program's own say
	to.Limits = of.Limits
	to.Limits.DrainTimeout = most
	to.Settings, err = settings.Follow(d.cfg.Settings, to.Settings)
	return to, err
}

// known tells whether requests may be served: the cluster is known, and so are the versions that others act on.
func (d *Daemon) known() bool {
	return d.watcher.IsReady() && (d.agreement == nil || d.agreement.ready)
}

// versionsKnown makes the ingress ready as far as its versions go.
func (d *Daemon) versionsKnown(alone bool) {
	d.agreement.ready = true
	d.log.Info("settings version heard", "alone", alone)
}

// follows tells why a version in a file can't follow the one in force; 0: it has none.
func follows(field string, was, now versions.Doc) error {
	switch {
	case was.Number == 0:
		return nil
	case now.Number == 0:
		return fmt.Errorf("%s is missing, and %d is in force", field, was.Number)
	}
	if err := was.Follows(now.Version); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// fileFollows tells why the versions of a file read again can't follow those in force: an older version never replaces
// a newer one, nor one of the same number with another content.
func (d *Daemon) fileFollows(to config.Config) error {
	inForce, drainedInForce := fileDocuments(d.told)
	if s := d.settingsSource(); s != nil {
		inForce = s.Newest()
	}
	if s := d.drainedSource(); s != nil {
		drainedInForce = s.Newest()
	}
	set, drained := fileDocuments(to)
	return errors.Join(follows("settings_version", inForce, set), follows("drained.version", drainedInForce, drained))
}

// offer is one version for one source.
type offer struct {
	source versionSource
	doc    versions.Doc
}

// offerFile takes a configuration read again, as far as its versions go, and calls done with what to go on under, now or
// once those versions are in force. On an error nothing is taken.
func (d *Daemon) offerFile(to config.Config, done func(config.Config, error)) {
	if err := d.fileFollows(to); err != nil {
		done(to, err)
		return
	}
	if d.settingsSource() == nil {
		now, err := d.combined(to)
		if err == nil && d.drainedSource() == nil {
			d.watcher.SetDrained(to.Drained)
		}
		if err != nil || d.agreement == nil {
			done(now, err)
			return
		}
	}
	offers := d.offersOf(to)
	for _, o := range offers { // all or none: what can be wrong with the list alone is found out first
		if err := o.source.Admissible(o.doc); err != nil {
			done(to, fmt.Errorf("%s: %w", o.source.Document(), err))
			return
		}
	}
	offerAll(offers, func(err error) {
		if err != nil {
			done(to, err)
			return
		}
		if d.drainedSource() != nil {
			d.watcher.SetDrained(d.agreement.drainedHosts())
		}
		done(d.combined(to))
	})
}

// offersOf are the versions of a configuration for which there is a source.
func (d *Daemon) offersOf(c config.Config) (offers []offer) {
	set, drained := fileDocuments(c)
	for _, o := range []offer{{d.agreement.settings, set}, {d.agreement.drained, drained}} {
		if o.source != nil && o.doc.Number != 0 {
			offers = append(offers, o)
		}
	}
	return offers
}

// offerAll offers one after the other, and ends with the first that fails.
func offerAll(offers []offer, done func(error)) {
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
