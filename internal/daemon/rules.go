package daemon

import (
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/membership"
	"ferryfront.example/ferryfront/internal/settings"
	"ferryfront.example/ferryfront/internal/versions"
)

// rules is the daemon's part in the agreement on the settings' version, where members talk and the settings have one.
type rules struct {
	*versions.Node
	ready    bool // this ingress may serve: it has heard what others act on, or has waited for it
	rejected uint64
	told     []versions.Version // the versions acted on, as last logged
}

// textMost bounds the shared part of settings, in bytes.
const textMost = 64 << 10

// openRules begins with the version of the file.
func (d *Daemon) openRules(now time.Duration) {
	cfg, lim := d.cfg, d.cfg.Limits
	if cfg.Version == 0 {
		return
	}
	d.members.rules = &rules{Node: versions.New(versions.Config{Me: d.members.me, Doc: "settings", Seed: cfg.Seed + uint64(cfg.Settings.Me),
		Period: lim.MemberPeriod, AskAgain: lim.MemberAck, Lease: time.Duration(cfg.Settings.Gateways+1) * lim.MemberPeriod,
		TextMost: textMost, PieceMost: membership.Datagram - versions.Overhead - len("settings") - len(d.members.me),
		Check: func(text []byte) error {
			_, err := d.told.Under(text)
			return err
		}}, versions.NewDoc(cfg.Version, cfg.Shared), now)}
}

// rulesTold takes a message of another member.
func (d *Daemon) rulesTold(b []byte) error {
	msg, err := versions.Parse(b)
	if err != nil {
		return err
	}
	if m := d.members; m != nil && m.rules != nil {
		d.rulesSend(m.rules.Handle(msg, d.loop.Now()))
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
	var others []string
	for _, o := range m.Node().View().Members {
		if o.Name != m.me && o.State != membership.Left {
			others = append(others, o.Name)
		}
	}
	r := m.rules
	d.rulesSend(r.Fleet(others, now))
	d.rulesSend(r.Tick(now))
	if !r.ready && r.Ready(now) {
		r.ready = true
		d.log.Info("settings version heard", "alone", r.Alone(now))
	}
	d.rulesChanged()
}

// rulesChanged goes on under the versions to act on, when these are others than before.
func (d *Daemon) rulesChanged() {
	r := d.members.rules
	for v, why := range r.Refused() {
		if n := uint64(len(r.Refused())); n > r.rejected {
			r.rejected = n
			d.log.Error("settings version turned down", "version", v.String(), "error", why)
		}
	}
	if !r.Changed() {
		return
	}
	var acting []versions.Version
	for _, doc := range r.Acting() {
		acting = append(acting, doc.Version)
	}
	if slices.Equal(acting, r.told) {
		return
	}
	begun := r.told == nil
	r.told = acting
	d.log.Info("settings version", "acting", numbers(acting), "newest", r.Newest().String())
	if begun {
		return
	}
	to, err := d.combined(d.told)
	if err != nil { // each was checked when it was taken
		d.log.Error("settings version not acted on", "error", err)
		return
	}
	d.follow(to)
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

// combined is a configuration under all versions to act on together, the newest one's but for what is stricter in
// an older one.
func (d *Daemon) combined(of config.Config) (to config.Config, err error) {
	docs := d.members.rules.Acting()
	for i, doc := range docs {
		c, err := of.Under(doc.Text)
		if err != nil {
			return to, err
		}
		if i > 0 {
			c.Settings = settings.Stricter(to.Settings, c.Settings)
		}
		to = c
	}
	to.Settings, err = settings.Follow(d.cfg.Settings, to.Settings)
	return to, err
}

// offered takes a configuration read again, as far as its version goes, and returns what to go on under. An older
// version never replaces a newer one, nor one of the same number with another content.
func (d *Daemon) offered(to config.Config) (config.Config, error) {
	if to.Version == 0 && d.told.Version == 0 {
		var err error
		to.Settings, err = settings.Follow(d.cfg.Settings, to.Settings)
		return to, err
	}
	if to.Version == 0 {
		return to, fmt.Errorf("settings_version is missing, and %d is in force", d.told.Version)
	}
	now := d.loop.Now()
	if m := d.members; m != nil && m.rules != nil {
		out, err := m.rules.Offer(versions.NewDoc(to.Version, to.Shared), now)
		if err != nil {
			return to, fmt.Errorf("settings_version: %w", err)
		}
		d.rulesSend(out)
		return d.combined(to)
	}
	if was := versions.NewDoc(d.told.Version, d.told.Shared); d.told.Version > 0 {
		if err := was.Follows(versions.NewDoc(to.Version, to.Shared).Version); err != nil {
			return to, fmt.Errorf("settings_version: %w", err)
		}
	}
	var err error
	to.Settings, err = settings.Follow(d.cfg.Settings, to.Settings)
	return to, err
}

// known tells whether requests may be served: the cluster is known, and so are the settings that others act on.
func (d *Daemon) known() bool {
	return d.watcher.Known() && (d.members == nil || d.members.rules == nil || d.members.rules.ready)
}

// version is what the door tells of the settings: their version, and whether all members act on it.
func (d *Daemon) version() figures.Rules {
	f := figures.Rules{Newest: d.told.Version, Oldest: d.told.Version, Acting: 1}
	if m := d.members; m != nil && m.rules != nil {
		r := m.rules
		docs := r.Acting()
		f = figures.Rules{Newest: r.Newest().Number, Oldest: docs[0].Number, Acting: len(docs), Stale: len(r.Stale()),
			Rejected: len(r.Refused()), Alone: r.Alone(d.loop.Now())}
	}
	return f
}
