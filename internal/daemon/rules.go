package daemon

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// rules is the daemon's part in the agreement on versions, where members talk: of the settings, and of the list of
// hosts that the operators drain. Either is nil where the configuration has no version of it.
type rules struct {
	settings *versions.Node
	drained  *versions.Node
	seen     uint64 // version of the view that the nodes were last told of
	ready    bool   // this ingress may serve: it has heard what others act on, or has waited for it
	rejected int
	told     map[*versions.Node][]versions.Version // the versions acted on, as last logged
}

// textMost bounds a document, in bytes.
const textMost = 64 << 10

// nodes are those that there are.
func (r *rules) nodes() (list []*versions.Node) {
	for _, n := range []*versions.Node{r.settings, r.drained} {
		if n != nil {
			list = append(list, n)
		}
	}
	return list
}

// openRules begins with the versions of the file.
func (d *Daemon) openRules(now time.Duration) {
	cfg, lim := d.cfg, d.cfg.Limits
	if cfg.Version == 0 && cfg.DrainedVersion == 0 {
		return
	}
	node := func(doc string, first versions.Doc, check func([]byte) error) *versions.Node {
		if first.Number == 0 {
			return nil
		}
		return versions.New(versions.Config{Me: d.members.me, Doc: doc, Seed: cfg.Seed + uint64(cfg.Settings.Me),
			Period: lim.MemberPeriod, AskAgain: lim.MemberAck, Check: check, TextMost: textMost,
			Lease:     time.Duration(cfg.Settings.Gateways+1) * lim.MemberPeriod,
			PieceMost: membership.Datagram - versions.Overhead - len(doc) - len(d.members.me)}, first, now)
	}
	d.members.rules = &rules{told: map[*versions.Node][]versions.Version{},
		settings: node("settings", versions.NewDoc(cfg.Version, cfg.Shared), func(text []byte) error {
			_, err := d.told.Under(text)
			return err
		}),
		drained: node("drained", versions.NewDoc(cfg.DrainedVersion, cfg.DrainedText()), func(text []byte) error {
			_, err := config.ReadDrained(text)
			return err
		})}
}

// rulesTold takes a message of another member.
func (d *Daemon) rulesTold(b []byte) error {
	msg, err := versions.Parse(b)
	if err != nil {
		return err
	}
	if m := d.members; m != nil && m.rules != nil {
		if err := m.Knows(msg.From); err != nil {
			return err
		}
		for _, n := range m.rules.nodes() {
			d.rulesSend(n.Handle(msg, d.loop.Now()))
		}
		d.rulesChanged()
	}
	return nil
}

func (d *Daemon) rulesSend(out []versions.Send) {
	for _, s := range out {
		d.members.Send(s.To, versions.Append(nil, s.Msg))
	}
}

// rulesTick lets time pass. Others that take part are all that have not left.
func (d *Daemon) rulesTick(now time.Duration) {
	m := d.members
	if v := m.Node().View(); v.Version != m.rules.seen {
		m.rules.seen = v.Version
		var others []string
		for _, o := range v.Members {
			if o.Name != m.me && o.State != membership.Left {
				others = append(others, o.Name)
			}
		}
		for _, n := range m.rules.nodes() {
			d.rulesSend(n.Fleet(others, now))
		}
	}
	ready, alone := true, false
	for _, n := range m.rules.nodes() {
		d.rulesSend(n.Tick(now))
		ready, alone = ready && n.Ready(now), alone || n.Alone(now)
	}
	if !m.rules.ready && ready {
		m.rules.ready = true
		d.log.Info("settings version heard", "alone", alone)
	}
	d.rulesChanged()
}

// rulesChanged goes on under the versions to act on, when these are others than before.
func (d *Daemon) rulesChanged() {
	r := d.members.rules
	rejected := 0
	for _, n := range r.nodes() {
		rejected += len(n.Refused())
	}
	if rejected > r.rejected {
		for _, n := range r.nodes() {
			for v, why := range n.Refused() {
				d.log.Error("settings version turned down", "of", n.Document(), "version", v.String(), "error", why)
			}
		}
	}
	r.rejected = rejected
	if d.rulesMoved(r.settings, "settings version") {
		to, err := d.combined(d.told)
		if err != nil { // each was checked when it was taken
			d.log.Error("settings version not acted on", "error", err)
		} else {
			d.follow(to)
		}
	}
	if d.rulesMoved(r.drained, "drained list version") {
		d.watcher.Drain(r.hosts())
	}
}

// rulesMoved tells whether a node acts on other versions than before, and logs it. What it begins with is in force.
func (d *Daemon) rulesMoved(n *versions.Node, what string) bool {
	if n == nil || !n.Changed() {
		return false
	}
	var acting []versions.Version
	for _, doc := range n.Acting() {
		acting = append(acting, doc.Version)
	}
	was, begun := d.members.rules.told[n]
	if slices.Equal(acting, was) {
		return false
	}
	d.members.rules.told[n] = acting
	d.log.Info(what, "acting", numbers(acting), "newest", n.Newest().String())
	return begun
}

// hosts are those that any version acted on drains: a drain holds from the first version that names it.
func (r *rules) hosts() (all []string) {
	for _, doc := range r.drained.Acting() {
		hosts, _ := config.ReadDrained(doc.Text) // it was checked when it was taken
		all = append(all, hosts...)
	}
	return all
}

func numbers(list []versions.Version) (text string) {
	for i, v := range list {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprint(v.Number)
	}
	return text
}

// combined is a configuration under all versions of the settings to act on together, the newest one's but for what is
// stricter in an older one.
func (d *Daemon) combined(of config.Config) (to config.Config, err error) {
	if m := d.members; m == nil || m.rules == nil || m.rules.settings == nil {
		of.Settings, err = settings.Follow(d.cfg.Settings, of.Settings)
		return of, err
	}
	for i, doc := range d.members.rules.settings.Acting() {
		c, err := of.Under(doc.Text)
		if err != nil {
			return to, err
		}
		if i > 0 {
			c.Settings = settings.Stricter(to.Settings, c.Settings)
		}
		to = c
	}
	most := to.Limits.DrainMost // of the bounds, what follows from settings; the others are as the program's own say
	to.Limits = of.Limits
	to.Limits.DrainMost = most
	to.Settings, err = settings.Follow(d.cfg.Settings, to.Settings)
	return to, err
}

// follows tells why a version in a file can't follow the one of the last file; 0: it has none.
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

// offered takes a configuration read again, as far as its versions go, and returns what to go on under. An older
// version never replaces a newer one, nor one of the same number with another content; then nothing is taken.
func (d *Daemon) offered(to config.Config) (config.Config, error) {
	set, list := versions.NewDoc(to.Version, to.Shared), versions.NewDoc(to.DrainedVersion, to.DrainedText())
	was, wasList := versions.NewDoc(d.told.Version, d.told.Shared), versions.NewDoc(d.told.DrainedVersion, d.told.DrainedText())
	m := d.members
	fleet := m != nil && m.rules != nil
	if fleet && m.rules.settings != nil {
		was = m.rules.settings.Newest()
	}
	if fleet && m.rules.drained != nil {
		wasList = m.rules.drained.Newest()
	}
	if err := errors.Join(follows("settings_version", was, set), follows("drained.version", wasList, list)); err != nil {
		return to, err
	}
	if !fleet || m.rules.settings == nil {
		now, err := d.combined(to)
		if err == nil && (!fleet || m.rules.drained == nil) {
			d.watcher.Drain(to.Drained)
		}
		if err != nil || !fleet {
			return now, err
		}
	}
	type offer struct {
		n   *versions.Node
		doc versions.Doc
	}
	offers := slices.DeleteFunc([]offer{{m.rules.settings, set}, {m.rules.drained, list}},
		func(o offer) bool { return o.n == nil || o.doc.Number == 0 })
	for _, o := range offers { // all or none: what can be wrong with the list alone is found out first
		if o.n.Full() && o.doc.Version != o.n.Newest().Version {
			return to, fmt.Errorf("%s: %w", o.n.Document(), versions.ErrRollouts)
		}
	}
	for _, offer := range offers {
		out, err := offer.n.Offer(offer.doc, d.loop.Now())
		if err != nil {
			return to, fmt.Errorf("%s: %w", offer.n.Document(), err)
		}
		d.rulesSend(out)
	}
	if m.rules.drained != nil {
		d.watcher.Drain(m.rules.hosts())
	}
	return d.combined(to)
}

// known tells whether requests may be served: the cluster is known, and so are the versions that others act on.
func (d *Daemon) known() bool {
	return d.watcher.Known() && (d.members == nil || d.members.rules == nil || d.members.rules.ready)
}

// version is what the door tells of the settings, and of the list of drained hosts: their versions, and whether all
// members act on them.
func (d *Daemon) version() (f figures.Rules) {
	f = figures.Rules{Newest: d.told.Version, Oldest: d.told.Version, Acting: 1, Drained: d.told.DrainedVersion}
	m := d.members
	if m == nil || m.rules == nil {
		return f
	}
	if n := m.rules.drained; n != nil {
		f.Drained, f.DrainedStale = n.Newest().Number, len(n.Stale())
	}
	if n := m.rules.settings; n != nil {
		f.Newest, f.Oldest, f.Acting = n.Newest().Number, n.Acting()[0].Number, len(n.Acting())
		f.Stale, f.Rejected, f.Alone = len(n.Stale()), len(n.Refused()), n.Alone(d.loop.Now())
	}
	return f
}
