package daemon

import (
	"fmt"

	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/net/mgmt"
)

// openAdmin opens the admin endpoint where the configuration has one.
func (d *Daemon) openAdmin() (err error) {
	if d.cfg.Mgmt == "" || d.admin != nil {
		return nil
	}
	if d.admin, err = mgmt.Open(d.loop, d.cfg.Limits, d.log, d.cfg.Mgmt, adminHandler{d}); err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	return nil
}

// nameClasses has a count for each class of the settings.
func (d *Daemon) nameClasses() {
	var names []string
	for _, c := range d.cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	d.figures.Name(names)
}

// adminHandler answers operators for a daemon.
type adminHandler struct{ d *Daemon }

// Ready tells whether a client's request would be served here.
func (o adminHandler) Ready() bool {
	return o.d.known() && o.d.server.Serving()
}

// About tells the version of the settings, where they have one.
func (o adminHandler) About() string {
	f := o.d.version()
	switch {
	case f.Newest == 0:
		return ""
	case f.Alone:
		return fmt.Sprintf(" settings=%d cut off", f.Newest)
	case f.Acting > 1 || f.Stale > 0:
		return fmt.Sprintf(" settings=%d not agreed, from %d", f.Newest, f.Oldest)
	}
	return fmt.Sprintf(" settings=%d", f.Newest)
}

// version is what is told of the settings, and of the list of drained hosts: their versions, and whether all members
// act on them.
func (d *Daemon) version() (f figures.Rules) {
	f = figures.Rules{Newest: d.told.Version, Oldest: d.told.Version, Acting: 1, Drained: d.told.DrainedVersion}
	if s := d.drainedSource(); s != nil {
		f.Drained, f.DrainedStale = s.Newest().Number, len(s.Stale())
	}
	if s := d.settingsSource(); s != nil {
		f.Newest, f.Oldest, f.Acting = s.Newest().Number, s.Acting()[0].Number, len(s.Acting())
		f.Stale, f.Rejected, f.Alone = len(s.Stale()), len(s.Refused()), s.Alone(d.loop.Now())
	}
	return f
}

// Metrics appends the figures as they stand.
func (o adminHandler) Metrics(room []byte) []byte {
	d := o.d
	room = d.figures.Append(room, figures.Present{InFlight: d.core.Taken() + d.server.Relaying(), Listed: d.watcher.Listed(),
		Down: d.module.AvoidedServers(d.loop.Now())})
	room = figures.AppendRules(room, d.version())
	if d.group != nil {
		room = figures.AppendControl(room, d.group.figures(d.loop.Now()))
	}
	if d.members == nil {
		return room
	}
	return figures.AppendFleet(room, d.present(d.loop.Now()))
}
