package daemon

import (
	"strings"

	"ferryfront.example/ferryfront/internal/config"
)

// reloadConfig takes the configuration as it reads now, whole or not at all: where discovery and the counter are,
// and the settings. It is read on a goroutine of its own, one at a time, so that of two files the later counts. One
// that can't be used changes nothing, and what would need a restart is only told. A planned end does not stop it,
// since what is open then still needs it.
func (d *Daemon) reloadConfig() {
	if d.pendingReloads++; d.pendingReloads == 1 {
		d.startReload()
	}
}

func (d *Daemon) startReload() {
	was := d.loadedConfig
	go func() {
		to, err := d.options.ReloadConfig(was)
		if err == nil && d.options.OverrideLimits != nil {
			d.options.OverrideLimits(&to.Limits)
		}
		d.loop.Post(func() {
			if err != nil {
				d.finishReload(was, to, err)
				return
			}
			d.offerFileVersions(to, func(to config.Config, err error) { d.finishReload(was, to, err) })
		})
		select {
		case d.frontReload <- struct{}{}:
		default: // one is waiting already
		}
	}()
}

// finishReload ends one reading, and begins the next if one was asked for meanwhile.
func (d *Daemon) finishReload(was, to config.Config, err error) {
	if err != nil {
		d.figures.ReconfigFailed++
		d.log.Error("configuration not reloaded", "error", err)
	} else {
		d.applyReload(was, to)
	}
	if d.pendingReloads--; d.pendingReloads > 0 {
		d.startReload()
	}
}

// applyReload goes on under a configuration that was found good.
func (d *Daemon) applyReload(was, to config.Config) {
	d.figures.ReconfigOK++
	d.log.Info("configuration reloaded", "discovery", to.Discovery, "counter", to.Counter,
		"classes", len(to.Settings.Classes))
	if names := was.Changed(to); len(names) > 0 {
		d.log.Warn("changed configuration needs a restart", "fields", strings.Join(names, ","))
	}
	d.loadedConfig = to
	d.applyConfig(to)
}

// applyConfig goes on under other settings, and addresses.
func (d *Daemon) applyConfig(to config.Config) {
	to.Settings.CanSendRetryAfter = true // as at the start
	d.cfg.Settings, d.cfg.Limits.DrainTimeout = to.Settings, to.Limits.DrainTimeout
	d.addClassMetrics()
	d.core.UpdateSettings(d.loop.Now(), to.Settings)
	for _, f := range d.fronts {
		f.updateSettings(to.Settings)
	}
	if d.telemetry != nil {
		d.telemetry.Follow(to.Settings)
	}
	d.watcher.SetAddr(to.Discovery)
	switch {
	case d.counter != nil:
		d.counter.SetAddr(to.Counter)
	case to.Settings.HasCounter: // there was none before
		d.openCounter(to.Counter)
		d.core.SetCounter(d.counter)
	}
}
