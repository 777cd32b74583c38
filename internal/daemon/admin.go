package daemon

import (
	"fmt"

	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/net/mgmt"
)

// openAdmin opens the admin endpoint, if the configuration has one and it is not open yet.
func (d *Daemon) openAdmin() (err error) {
	if d.cfg.Mgmt == "" || d.admin != nil {
		return nil
	}
	if d.admin, err = mgmt.Open(d.loop, d.cfg.Limits, d.log, d.cfg.Mgmt, adminHandler{d}); err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	return nil
}

// addClassMetrics adds the metrics of each class of the settings.
func (d *Daemon) addClassMetrics() {
	var names []string
	for _, c := range d.cfg.Settings.Classes {
		names = append(names, c.Name)
	}
	d.metrics.AddClasses(names)
}

// adminHandler answers the requests of the admin endpoint. It runs on the loop's goroutine.
type adminHandler struct{ daemon *Daemon }

// IsReady reports whether this process would serve a client's request.
func (h adminHandler) IsReady() bool {
	return h.daemon.canServe() && h.daemon.server.IsAccepting()
}

// StatusDetails returns the version of the settings and its state among the ingresses, or nothing without a version.
func (h adminHandler) StatusDetails() string {
	v := h.daemon.settingsVersions()
	switch {
	case v.NewestVersion == 0:
		return ""
	case v.IsCutOff:
		return fmt.Sprintf(" settings=%d cut off", v.NewestVersion)
	case v.ActiveVersions > 1 || v.StaleMembers > 0:
		return fmt.Sprintf(" settings=%d not agreed, from %d", v.NewestVersion, v.OldestVersion)
	}
	return fmt.Sprintf(" settings=%d", v.NewestVersion)
}

// settingsVersions returns the state of the versions of the settings and of the drained list: those of the
// configuration file if the ingresses agree on none.
func (d *Daemon) settingsVersions() (v figures.SettingsVersions) {
	v = figures.SettingsVersions{NewestVersion: d.loadedConfig.SettingsVersion, OldestVersion: d.loadedConfig.SettingsVersion, ActiveVersions: 1, DrainedVersion: d.loadedConfig.DrainedVersion}
	if s := d.drainedSource(); s != nil {
		v.DrainedVersion, v.DrainedStaleMembers = s.Newest().Number, len(s.Stale())
	}
	if s := d.settingsSource(); s != nil {
		v.NewestVersion, v.OldestVersion, v.ActiveVersions = s.Newest().Number, s.Acting()[0].Number, len(s.Acting())
		v.StaleMembers, v.RejectedVersions, v.IsCutOff = len(s.Stale()), len(s.Refused()), s.Alone(d.loop.Now())
	}
	return v
}

// AppendMetrics appends the current metrics to a buffer, in the text format of Prometheus.
func (h adminHandler) AppendMetrics(buffer []byte) []byte {
	d := h.daemon
	buffer = d.metrics.AppendText(buffer, figures.Gauges{InFlight: d.core.CompleteRequests() + d.server.ActiveRelays(), ListedHosts: d.watcher.HostCount(),
		AvoidedHosts: d.module.AvoidedServers(d.loop.Now())})
	counts := d.server.Counts()
	buffer = figures.AppendConnections(buffer, figures.Connections{Open: d.server.OpenConnections(), MemoryHeld: d.memory.Held(),
		MemoryLimit: d.memory.Limit(), Accepted: counts.Accepted, Evicted: counts.Evicted, RefusedForMemory: counts.RefusedForMemory})
	buffer = figures.AppendSettingsVersions(buffer, d.settingsVersions())
	if d.controlGroup != nil {
		buffer = figures.AppendControlGroup(buffer, d.controlGroup.metrics(d.loop.Now()))
	}
	if d.members == nil {
		return buffer
	}
	return figures.AppendMembership(buffer, d.membershipMetrics(d.loop.Now()))
}
