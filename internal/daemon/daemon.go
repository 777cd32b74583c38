// Package daemon wires the parts of one ingress process together and controls its lifecycle: start, configuration
// reload, handover to or from another process of the same ingress, drain and exit. Run owns the event loop, and all
// state of a Daemon belongs to the loop's goroutine unless a comment says otherwise. The package decides nothing about
// requests; package admission does.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/figures"
	"ferryfront.example/ferryfront/internal/front/openapi"
	"ferryfront.example/ferryfront/internal/front/platform"
	"ferryfront.example/ferryfront/internal/front/routes"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/counter"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
	"ferryfront.example/ferryfront/internal/net/mgmt"
	"ferryfront.example/ferryfront/internal/net/upstream"
	"ferryfront.example/ferryfront/internal/telemetry"
)

// Options configures a daemon.
type Options struct {
	// LoadConfig reads the configuration at the start of the process.
	LoadConfig func() (config.Config, error)
	// ReloadConfig reads the configuration again while the daemon runs. It is called outside the loop's goroutine.
	ReloadConfig func(previous config.Config) (config.Config, error)
	// ReadFrontFile reads the file of the second front, which serves next to the platform's on an address of its own.
	// Nil: there is no second front.
	ReadFrontFile func() (openapi.File, error)
	// OTLPEndpoint is the URL to which telemetry is exported. Empty: none is.
	OTLPEndpoint string
	// ControlSocket is the path of the control socket. Empty: there is none.
	ControlSocket string
	// Version is the program's version, as logs and the control socket show it.
	Version string
	Log     *slog.Logger
	// UpgradeCommand is the path and the arguments of the binary that an upgrade starts. Empty: upgrades are refused.
	UpgradeCommand []string
	// HasMembership enables the membership protocol between ingresses.
	HasMembership bool
	// ControlReplicas are the addresses of the control group's replicas. Empty: there is no control group.
	ControlReplicas []string
	// OverrideLimits applies the program's own settings to the limits of a configuration. Nil: there are none.
	OverrideLimits func(*limits.Limits)
	// Signals delivers SIGTERM and SIGINT (drain and exit), SIGUSR2 (upgrade) and SIGHUP (reload).
	Signals <-chan os.Signal
	// Hangups delivers SIGHUP alone, so that many of them can't displace another signal from Signals. Nil: SIGHUP comes
	// with Signals.
	Hangups <-chan os.Signal
	// Notify sends state to the service manager; see sd_notify(3).
	Notify func(state ...string)
	// Getenv reads the environment.
	Getenv func(string) string
	// Embedded is set where several daemons share the process. Nil: the daemon has the process to itself.
	Embedded *Embedded
}

// Run runs a daemon and returns when it has ended. The process first tries to take over from a running process of the
// same ingress: the one that started it in an upgrade, or the one that it is to replace. Run returns an error if the
// start, the handover or the loop fails.
func Run(o Options) error {
	l, err := loop.New()
	if err != nil {
		return err
	}
	d := &Daemon{options: o, loop: l, log: o.Log, frontReload: make(chan struct{}, 1)}
	d.asPredecessor = &predecessorRole{daemon: d}
	fd, err := inheritedConnection(o.Getenv)
	if err != nil {
		return err
	}
	if fd < 0 {
		if fd, err = d.connectToPredecessor(); err != nil {
			return err
		}
		d.isReplacement = fd >= 0
	}
	if fd >= 0 {
		err = d.startAsSuccessor(fd)
	} else {
		err = d.start()
	}
	if err != nil {
		return err
	}
	for _, signals := range []<-chan os.Signal{o.Signals, o.Hangups} {
		if signals == nil {
			continue
		}
		go func() {
			for s := range signals {
				d.handleSignal(s)
			}
		}()
	}
	o.Embedded.attach(d)
	err = errors.Join(d.loop.Run(d), d.runError)
	if o.Embedded == nil {
		// The leases are released however the loop ended: no request uses the share any more. An embedded daemon may have
		// been ended as in a crash, which releases nothing.
		d.releaseLeases(nil)
	}
	o.Embedded.detach(d.loop)
	d.controlServer.closeAndWait()
	if d.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), endFlushTimeout)
		defer cancel()
		if err := d.telemetry.Shutdown(ctx); err != nil {
			d.log.Warn("telemetry not flushed", "error", err)
		}
	}
	return err
}

// endFlushTimeout bounds each wait at the exit of the process: for answers on the control socket and for telemetry.
const endFlushTimeout = 150 * time.Millisecond

// Daemon is one ingress process with all its parts. Its state belongs to the loop's goroutine.
type Daemon struct {
	options     Options
	telemetry   *telemetry.Exporter // nil: no endpoint is set
	frontReload chan struct{}       // tells the second front's reloader, on a goroutine of its own, to reload
	loop        *loop.Loop

	// cfg is the configuration in force: the one read at the start with the settings and the drain timeout of all
	// active versions combined.
	cfg config.Config
	// loadedConfig is the configuration as last read and accepted. After a reload its settings are those of all active
	// versions combined.
	loadedConfig config.Config
	// pendingReloads counts the requested reloads that have not finished. They run one at a time.
	pendingReloads int

	log           *slog.Logger
	module        *admission.Gateway // the decision module
	core          *core.Core
	server        *downstream.Server
	upstreams     *upstream.Pool
	counter       *counter.Client // client of the shared counter; nil: there is none
	watcher       *discovery.Watcher
	fronts        []listeningFront
	controlServer *controlServer // nil: no control socket was opened
	admin         *mgmt.Endpoint // nil: no admin endpoint is open

	members        *members        // nil: membership is off, or was closed for a successor
	controlGroup   *controlGroup   // nil: there is none, or this process has released its leases
	agreement      *agreement      // nil: this ingress agrees on no versions with others
	savedAgreement *savedAgreement // what the next agreement of this process begins with; nil: the file
	metrics        figures.Metrics
	memory         *membudget.Budget // of all connections

	// successorListener accepts replacements that the platform starts. Nil: it is closed.
	successorListener *loop.Source
	// isReplacement is set if the platform started this process next to its predecessor.
	isReplacement       bool
	isDraining          bool
	isLeavingMembership bool          // after the drain the other ingresses take over this one's share
	hasDrained          bool          // the listeners, all streams and all connections are closed
	stallLoggedAt       time.Duration // loop time of the last log of a stall
	runError            error         // returned by Run

	asPredecessor *predecessorRole // handovers to a successor
	asSuccessor   *successorRole   // handover from a predecessor; nil: there was none
}

// listeningFront is a front and the address that it listens on.
type listeningFront struct {
	addr           string
	handler        downstream.Handler
	onServing      func() // called once the process serves
	updateSettings func(admission.Settings)
}

// noCounter takes the place of the shared counter in a deployment without one. The module does not call it there.
type noCounter struct{}

func (noCounter) Add(string, float64, time.Duration) {}

// start starts the daemon without a predecessor. It fails if the configuration can't be used or an address can't be
// opened.
func (d *Daemon) start() error {
	cfg, err := d.options.LoadConfig()
	if err != nil {
		return err
	}
	if err := d.assemble(cfg); err != nil {
		return err
	}
	for _, f := range d.fronts {
		if err := d.server.Listen(f.addr, f.handler); err != nil {
			return err
		}
	}
	for _, f := range d.fronts {
		f.onServing()
	}
	if err := errors.Join(d.openControl(), d.openAdmin(), d.joinMembership()); err != nil {
		return err
	}
	d.openControlGroup()
	d.listenForSuccessor()
	d.log.Info("serving", "version", d.options.Version, "listen", d.cfg.Listen)
	d.options.Notify("READY=1")
	return nil
}

// assemble builds all parts for a configuration. Nothing listens yet.
func (d *Daemon) assemble(cfg config.Config) (err error) {
	if d.options.OverrideLimits != nil {
		d.options.OverrideLimits(&cfg.Limits)
	}
	d.log = d.log.With("name", cfg.Name)
	d.loadedConfig = cfg
	d.limitMemory(cfg)
	// Every rejection carries a Retry-After, whether or not the configuration says that clients honor it.
	cfg.Settings.CanSendRetryAfter = true
	d.cfg = cfg
	// An invalid file of the second front fails the start before anything is opened.
	var file openapi.File
	var table *routes.Table
	var stamp openapi.Stamp
	if d.options.ReadFrontFile != nil {
		if file, err = d.options.ReadFrontFile(); err != nil {
			return err
		}
		stamp = file.Stamp()
		if table, err = file.Load(cfg.Settings); err != nil {
			return err
		}
	}
	if d.module, err = admission.New(cfg.Settings, cfg.Seed); err != nil {
		return err
	}
	d.module.SetMaxCustomers(cfg.Limits.MaxCustomers)
	l := d.loop
	d.upstreams = upstream.New(l, cfg.Limits, d.log, &d.metrics.UpstreamRequests)
	d.addClassMetrics()
	parts := core.Config{Decider: d.module, Upstreams: d.upstreams, Counter: noCounter{}, Cluster: d, Log: d.log, Metrics: &d.metrics,
		DeadlineMargin: cfg.Limits.DeadlineMargin, MaxKeys: cfg.Limits.MaxIdempotencyKeys}
	parts.RepeatWindows = core.RepeatWindows(cfg.Settings.Classes)
	if d.options.OTLPEndpoint != "" {
		if d.telemetry, err = newTelemetry(cfg, d.options, d.log); err != nil {
			return err
		}
		parts.Observer = d.telemetry
	}
	d.core = core.New(parts)
	d.upstreams.SetSink(d.core)
	if cfg.Settings.HasCounter {
		d.openCounter(cfg.Counter)
		d.core.SetCounter(d.counter)
	}
	d.watcher = discovery.New(l, cfg.Limits, d.log, cfg.Discovery, d.core, d.upstreams, cfg.KnownHosts, cfg.Seed)
	d.watcher.SetDrained(cfg.DrainedHosts)
	d.server = downstream.New(l, cfg.Limits, d.log)
	d.server.SetMemory(d.memory)
	d.upstreams.SetMemory(d.memory)
	platformFront := platform.New(d.core, cfg.Settings, d.canServe)
	d.fronts = append(d.fronts, listeningFront{cfg.Listen, platformFront, func() {}, platformFront.Follow})
	if table != nil {
		d.fronts = append(d.fronts, d.secondFront(file, table, stamp))
	}
	return nil
}

// openCounter creates the client of the shared counter.
func (d *Daemon) openCounter(addr string) {
	d.counter = counter.New(d.loop, d.cfg.Limits, d.log, addr)
	d.counter.SetSink(d.core)
}

// secondFront returns the front that a file describes; it serves next to the platform's front.
func (d *Daemon) secondFront(file openapi.File, table *routes.Table, stamp openapi.Stamp) listeningFront {
	f := openapi.New(d.core, d.cfg.Settings, file, table, d.watcher.IsReady, d.log)
	settings := &atomic.Pointer[admission.Settings]{} // the reloader's goroutine reads it
	initial := d.cfg.Settings
	settings.Store(&initial)
	return listeningFront{file.Listen, f, func() {
		d.log.Info("second front", "listen", file.Listen, "routes", len(table.All()))
		if file.Description != "" {
			r := openapi.Reloader{File: file, Settings: settings.Load, Log: d.log, Every: time.Second, Kick: d.frontReload,
				Swap: func(t *routes.Table) { d.loop.Post(func() { f.Swap(t) }) }}
			go r.Run(stamp)
		}
	}, func(s admission.Settings) {
		settings.Store(&s)
		f.Follow(s)
	}}
}

// newTelemetry starts the export of telemetry to the endpoint of the options.
func newTelemetry(cfg config.Config, o Options, log *slog.Logger) (*telemetry.Exporter, error) {
	c := telemetry.Config{Endpoint: o.OTLPEndpoint, Instance: cfg.Name, Version: o.Version, Log: log,
		Every: cfg.Limits.TelemetryInterval, Queue: cfg.Limits.TelemetryQueueLength, Settings: cfg.Settings}
	return telemetry.New(c)
}

// handleSignal runs on the goroutine that receives signals. The loop's goroutine decides what to do about each.
func (d *Daemon) handleSignal(s os.Signal) {
	switch s {
	case syscall.SIGHUP:
		d.loop.Post(d.handleReloadRequest)
	case syscall.SIGUSR2:
		d.loop.Post(func() {
			if reason := d.upgrade(func(Progress) {}); reason != "" {
				d.log.Warn("upgrade not begun", "cause", reason)
			}
		})
	default:
		d.loop.Post(d.handleEndRequest)
	}
}

// isTakingOver reports whether the handover from this process's predecessor is not finished.
func (d *Daemon) isTakingOver() bool {
	return d.asSuccessor != nil && d.asSuccessor.machine.State != phase.Independent
}

// handleEndRequest passes a request to end the process to the state machine of the handover from the predecessor until
// that is finished, then to the one of handovers to a successor. That drains this process or, after a commit, tells the
// successor of an upgrade to end or ends what a replacement has left here.
func (d *Daemon) handleEndRequest() {
	if d.isTakingOver() {
		d.asSuccessor.isEndRequested = true
		d.asSuccessor.handle(phase.TerminateRequested{})
		return
	}
	if d.asPredecessor.machine.State == phase.Finished { // it waits until the successor has read its last messages
		d.scheduleForcedEnd()
		return
	}
	d.asPredecessor.handle(phase.TerminateRequested{})
}

// handleReloadRequest reloads the configuration, unless a successor serves: the request is then passed to it. A successor
// that does not serve yet ignores the request.
func (d *Daemon) handleReloadRequest() {
	if d.isTakingOver() {
		d.asSuccessor.handle(phase.ReloadRequested{})
		return
	}
	d.asPredecessor.handle(phase.ReloadRequested{})
	if !d.asPredecessor.machine.IsCommitted() {
		d.reloadConfig()
	}
}

// Refetch asks discovery for the whole list of hosts.
func (d *Daemon) Refetch() { d.watcher.Refetch() }

// Turn does what is due at the end of a turn of the loop. It returns the time of the next turn that the core needs, or 0
// if it needs none.
func (d *Daemon) Turn(now time.Duration) time.Duration {
	if d.core == nil { // a successor that has received no Welcome has no parts yet
		return 0
	}
	d.logStall(now)
	next := d.core.Turn(now)
	d.asPredecessor.endTurn(now)
	if d.server.ListenersClosed() && d.core.OpenStreams() == 0 && d.server.OpenConnections() == 0 && !d.hasDrained {
		d.hasDrained = true
		d.log.Info("drained")
		d.announceLeave(func() { d.releaseShareAndLeases(d.loop.Stop) })
	}
	return next
}

// stallLogInterval is the minimum time between two logs of a stall.
const stallLogInterval = 10 * time.Second

// logStall logs, at most once per stallLogInterval, that the process stalled: it was stopped, or got no processor.
func (d *Daemon) logStall(now time.Duration) {
	if delay := d.loop.MaxReadDelay(); delay > 0 && now-d.stallLoggedAt > stallLogInterval {
		d.stallLoggedAt = now
		d.log.Warn("process stood still", "at_most", delay)
	}
}

// drain begins the planned end of the process. New connections are accepted for DrainAcceptPeriod more, since whatever
// sends clients here learns of the drain late, and every answer closes its connection. Then the listeners close, and
// the daemon ends after the last answer, or DrainTimeout after the drain began.
func (d *Daemon) drain() {
	if d.isDraining {
		return
	}
	d.isDraining = true
	d.options.Notify("STOPPING=1")
	d.log.Info("draining", "streams", d.core.OpenStreams(), "connections", d.server.OpenConnections())
	d.server.Drain()
	d.loop.After(d.cfg.Limits.DrainAcceptPeriod, d.server.CloseListeners)
	d.scheduleForcedEnd()
}

// fail stops the loop; Run then returns an error with the text.
func (d *Daemon) fail(format string, args ...any) {
	d.runError = fmt.Errorf(format, args...)
	d.loop.Stop()
}
