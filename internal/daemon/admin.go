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
	d.figures.AddClasses(names)
}

// adminHandler answers operators for a daemon.
type adminHandler struct{ d *Daemon }

// IsReady tells whether a client's request would be served here.
func (o adminHandler) IsReady() bool {
	return o.d.known() && o.d.server.IsAccepting()
}

// StatusDetails tells the version of the settings, where they have one.
func (o adminHandler) StatusDetails() string {
	f := o.d.version()
	switch {
	case f.NewestVersion == 0:
		return ""
	case f.IsCutOff:
		return fmt.Sprintf(" settings=%d cut off", f.NewestVersion)
	case f.ActiveVersions > 1 || f.StaleMembers > 0:
		return fmt.Sprintf(" settings=%d not agreed, from %d", f.NewestVersion, f.OldestVersion)
	}
	return fmt.Sprintf(" settings=%d", f.NewestVersion)
}

// version is what is told of the settings, and of the list of drained hosts: their versions, and whether all members
// act on them.
func (d *Daemon) version() (f figures.SettingsVersions) {
	f = figures.SettingsVersions{NewestVersion: d.told.Version, OldestVersion: d.told.Version, ActiveVersions: 1, DrainedVersion: d.told.DrainedVersion}
	if s := d.drainedSource(); s != nil {
		f.DrainedVersion, f.DrainedStaleMembers = s.Newest().Number, len(s.Stale())
	}
	if s := d.settingsSource(); s != nil {
		f.NewestVersion, f.OldestVersion, f.ActiveVersions = s.Newest().Number, s.Acting()[0].Number, len(s.Acting())
		f.StaleMembers, f.RejectedVersions, f.IsCutOff = len(s.Stale()), len(s.Refused()), s.Alone(d.loop.Now())
	}
	return f
}

// AppendMetrics appends the figures as they stand.
func (o adminHandler) AppendMetrics(room []byte) []byte {
	d := o.d
	room = d.figures.AppendText(room, figures.Gauges{InFlight: d.core.CompleteRequests() + d.server.ActiveRelays(), ListedHosts: d.watcher.HostCount(),
		AvoidedHosts: d.module.AvoidedServers(d.loop.Now())})
	room = figures.AppendSettingsVersions(room, d.version())
	if d.group != nil {
		room = figures.AppendControlGroup(room, d.group.figures(d.loop.Now()))
	}
	if d.members == nil {
		return room
	}
	return figures.AppendMembership(room, d.present(d.loop.Now()))
}
