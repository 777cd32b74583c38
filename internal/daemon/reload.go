package daemon

import (
	"strings"

	"ferryfront.example/ferryfront/internal/config"
)

// reloadConfig reads the configuration again and applies the addresses of discovery and the counter and the settings,
// all or nothing. A configuration that can't be used changes none of these; offerFileVersions says what a failed offer
// leaves behind. Fields that need a restart are only logged. A drain does not stop reloads, since open streams still need
// the configuration.
func (d *Daemon) reloadConfig() {
	if d.pendingReloads++; d.pendingReloads == 1 {
		d.startReload()
	}
}

// startReload reads the configuration on a goroutine of its own. Only one runs at a time, so that of two files the later
// one counts.
func (d *Daemon) startReload() {
	previous := d.loadedConfig
	go func() {
		reloaded, err := d.options.ReloadConfig(previous)
		if err == nil && d.options.OverrideLimits != nil {
			d.options.OverrideLimits(&reloaded.Limits)
		}
		d.loop.Post(func() {
			if err != nil {
				d.finishReload(previous, reloaded, err)
				return
			}
			d.offerFileVersions(reloaded, func(next config.Config, err error) { d.finishReload(previous, next, err) })
		})
		select {
		case d.frontReload <- struct{}{}:
		default: // a reload of the second front is due already
		}
	}()
}

// finishReload applies a reloaded configuration or logs why it can't be used, and starts the next reload if one was
// requested meanwhile.
func (d *Daemon) finishReload(previous, next config.Config, err error) {
	if err != nil {
		d.metrics.ReconfigFailed++
		d.log.Error("configuration not reloaded", "error", err)
	} else {
		d.applyReload(previous, next)
	}
	d.reportConfiguration()
	if d.pendingReloads--; d.pendingReloads > 0 {
		d.startReload()
	}
}

// applyReload applies a reloaded configuration that was found valid.
func (d *Daemon) applyReload(previous, next config.Config) {
	d.metrics.ReconfigOK++
	d.log.Info("configuration reloaded", "discovery", next.Discovery, "counter", next.Counter,
		"classes", len(next.Settings.Classes))
	if names := previous.FieldsNeedingRestart(next); len(names) > 0 {
		d.log.Warn("changed configuration needs a restart", "fields", strings.Join(names, ","))
	}
	d.loadedConfig = next
	d.applyConfig(next)
}

// applyConfig passes the settings, the drain timeout and the addresses of a configuration to all parts.
func (d *Daemon) applyConfig(next config.Config) {
	next.Settings.CanSendRetryAfter = true // as at the start
	d.cfg.Settings, d.cfg.Limits.DrainTimeout = next.Settings, next.Limits.DrainTimeout
	d.addClassMetrics()
	d.core.UpdateSettings(d.loop.Now(), next.Settings)
	for _, f := range d.fronts {
		f.updateSettings(next.Settings)
	}
	if d.telemetry != nil {
		d.telemetry.Follow(next.Settings)
	}
	d.watcher.SetAddr(next.Discovery)
	switch {
	case d.counter != nil:
		d.counter.SetAddr(next.Counter)
	case next.Settings.HasCounter: // the settings had no counter before
		d.openCounter(next.Counter)
		d.core.SetCounter(d.counter)
	}
}
