package daemon

import (
	"strings"

	"ferryfront.example/ferryfront/internal/config"
)

// reconfigure takes the configuration as it reads now, whole or not at all: where discovery and the counter are,
// and the settings. It is read on a goroutine of its own, one at a time, so that of two files the later counts. One
// that can't be used changes nothing, and what would need a restart is only told. A planned end does not stop it,
// since what is open then still needs it.
func (d *Daemon) reconfigure() {
	if d.reloads++; d.reloads == 1 {
		d.readAgain()
	}
}

func (d *Daemon) readAgain() {
	was := d.told
	go func() {
		to, err := d.o.Reload(was)
		if err == nil && d.o.Limit != nil {
			d.o.Limit(&to.Limits)
		}
		d.loop.Post(func() {
			if err != nil {
				d.reloaded(was, to, err)
				return
			}
			d.offerFile(to, func(to config.Config, err error) { d.reloaded(was, to, err) })
		})
		select {
		case d.reload <- struct{}{}:
		default: // one is waiting already
		}
	}()
}

// reloaded ends one reading, and begins the next if one was asked for meanwhile.
func (d *Daemon) reloaded(was, to config.Config, err error) {
	if err != nil {
		d.figures.ReconfigFailed++
		d.log.Error("configuration not reloaded", "error", err)
	} else {
		d.take(was, to)
	}
	if d.reloads--; d.reloads > 0 {
		d.readAgain()
	}
}

// take goes on under a configuration that was found good.
func (d *Daemon) take(was, to config.Config) {
	d.figures.ReconfigOK++
	d.log.Info("configuration reloaded", "discovery", to.Discovery, "counter", to.Counter,
		"classes", len(to.Settings.Classes))
	if names := was.Changed(to); len(names) > 0 {
		d.log.Warn("changed configuration needs a restart", "fields", strings.Join(names, ","))
	}
	d.told = to
	d.follow(to)
}

// follow goes on under other settings, and addresses.
func (d *Daemon) follow(to config.Config) {
	to.Settings.CanSendRetryAfter = true // as at the start
	d.cfg.Settings, d.cfg.Limits.DrainTimeout = to.Settings, to.Limits.DrainTimeout
	d.nameClasses()
	d.core.UpdateSettings(d.loop.Now(), to.Settings)
	for _, f := range d.fronts {
		f.follow(to.Settings)
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
