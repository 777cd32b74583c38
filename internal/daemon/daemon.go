// Package daemon wires the parts of an ingress together and takes it through its life: start, reload, upgrade
// and end.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
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
	"ferryfront.example/ferryfront/internal/net/mgmt"
	"ferryfront.example/ferryfront/internal/net/upstream"
	"ferryfront.example/ferryfront/internal/telemetry"
)

// Options are what a daemon is started with.
type Options struct {
	LoadConfig     func() (config.Config, error)                  // reads the configuration for a start
	ReloadConfig   func(was config.Config) (config.Config, error) // reads it again while running
	ReadFrontFile  func() (openapi.File, error)                   // reads the file of a second front, nil: none
	OTLPEndpoint   string                                         // endpoint, empty: no telemetry
	ControlSocket  string                                         // path of the control socket, empty: none
	Version        string
	Log            *slog.Logger
	UpgradeCommand []string // what starts the next process of an upgrade: the binary's path, its arguments
	HasMembership  bool     // ingresses tell each other who is there
	// ControlReplicas are the addresses of the control group's replicas, none: there is no control group.
	ControlReplicas []string
	OverrideLimits  func(*limits.Limits)  // changes bounds as the program's own settings say, nil: none
	Signals         <-chan os.Signal      // SIGTERM and SIGINT end, SIGHUP reloads, SIGUSR2 upgrades
	Hangups         <-chan os.Signal      // SIGHUP alone, nil: it comes with the others, which a crowd of it may crowd out
	Notify          func(state ...string) // tells the service manager, see sd_notify(3)
	Getenv          func(string) string   // environment
	Embedded        *Embedded             // where the process holds other daemons, too; nil: it has the process to itself
}

// Run runs a daemon until its end. A process that was started by another's upgrade takes that one's place.
func Run(o Options) error {
	l, err := loop.New()
	if err != nil {
		return err
	}
	d := &Daemon{options: o, loop: l, log: o.Log, frontReload: make(chan struct{}, 1)}
	d.asPredecessor = &predecessorRole{d: d}
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
		d.releaseLeases(nil) // nothing is sent on any more, however it came to the end
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

// endFlushTimeout is how long the end of the process may wait for telemetry.
const endFlushTimeout = 150 * time.Millisecond

// Daemon is the program's parts, wired together. All but what is said to be otherwise belongs to the loop.
type Daemon struct {
	options             Options
	telemetry           *telemetry.Exporter // nil unless an endpoint is set
	frontReload         chan struct{}
	loop                *loop.Loop
	cfg                 config.Config
	loadedConfig        config.Config // as last read and taken
	pendingReloads      int           // asked for and not done; one is read at a time
	log                 *slog.Logger
	module              *admission.Gateway
	core                *core.Core
	server              *downstream.Server
	upstreams           *upstream.Pool
	counter             *counter.Client // nil where there is none
	watcher             *discovery.Watcher
	fronts              []listeningFront
	controlServer       *controlServer
	admin               *mgmt.Endpoint  // nil where operators have none
	members             *members        // nil where ingresses do not talk
	controlGroup        *controlGroup   // nil where there is none, or while another process has this one's place
	agreement           *agreement      // nil where no versions are agreed on with others
	savedAgreement      *savedAgreement // from the last time that another process took this one's place
	figures             figures.Metrics
	successorListener   *loop.Source // where a successor is awaited, nil: nowhere
	isReplacement       bool         // somebody else has started us as a successor
	isDraining          bool
	isLeavingMembership bool          // the planned end is for good
	hasDrained          bool          // nothing is open any more
	stallLoggedAt       time.Duration // when it was last logged that the process stood still
	runError            error

	asPredecessor *predecessorRole // our part in an upgrade that replaces us
	asSuccessor   *successorRole   // our part in the upgrade that started us, nil if none did
}

// listeningFront is a front and where it listens.
type listeningFront struct {
	addr           string
	handler        downstream.Handler
	onServing      func()
	updateSettings func(admission.Settings)
}

// noCounter stands where a deployment has none; the module does not call it there.
type noCounter struct{}

func (noCounter) Add(string, float64, time.Duration) {}

// start starts without a predecessor.
func (d *Daemon) start() error {
	if err := d.assemble(); err != nil {
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

// limitRuntime keeps the runtime within the machine: one core, and memory collected hard before the platform
// would kill the process. The live heap is small: to collect at twice its size costs little time, and the
// heap has its final size within seconds, so that growth that does not stop is seen for what it is.
func limitRuntime(cfg config.Config) {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetGCPercent(100)
	setMemoryLimit(cfg.Limits, 1)
}

// setMemoryLimit sets the heap's soft limit: alone to six tenths of what this ingress may have, and while an upgrade
// is under way, when two processes live on that, to less than a half for each.
func setMemoryLimit(lim limits.Limits, processes int) {
	tenths := int64(6)
	if processes > 1 {
		tenths = 4
	}
	if mb := lim.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * tenths / 10)
	}
}

// assemble reads the configuration and builds all parts; nothing listens yet.
func (d *Daemon) assemble() error {
	cfg, err := d.options.LoadConfig()
	if err != nil {
		return err
	}
	if d.options.OverrideLimits != nil {
		d.options.OverrideLimits(&cfg.Limits)
	}
	d.log = d.log.With("name", cfg.Name)
	if d.options.Embedded == nil {
		limitRuntime(cfg)
	}
	d.loadedConfig = cfg
	// Every refusal tells when to come back, also where clients are not known to heed it.
	cfg.Settings.CanSendRetryAfter = true
	d.cfg = cfg
	// A front's file that is refused ends the start before anything is opened.
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
	l := d.loop
	d.upstreams = upstream.New(l, cfg.Limits, d.log, &d.figures.UpstreamRequests)
	d.addClassMetrics()
	parts := core.Config{Decider: d.module, Upstreams: d.upstreams, Counter: noCounter{}, Cluster: d, Log: d.log, Metrics: &d.figures,
		DeadlineMargin: cfg.Limits.DeadlineMargin}
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
	d.watcher = discovery.New(l, cfg.Limits, d.log, cfg.Discovery, d.core, d.upstreams, cfg.Known, cfg.Seed)
	d.watcher.SetDrained(cfg.Drained)
	d.server = downstream.New(l, cfg.Limits, d.log)
	first := platform.New(d.core, cfg.Settings, d.canServe)
	d.fronts = append(d.fronts, listeningFront{cfg.Listen, first, func() {}, first.Follow})
	if table != nil {
		d.fronts = append(d.fronts, d.secondFront(file, table, stamp))
	}
	return nil
}

// openCounter makes the client of the shared counter.
func (d *Daemon) openCounter(addr string) {
	d.counter = counter.New(d.loop, d.cfg.Limits, d.log, addr)
	d.counter.SetSink(d.core)
}

// secondFront is the front that a file describes, beside the platform's.
func (d *Daemon) secondFront(file openapi.File, table *routes.Table, stamp openapi.Stamp) listeningFront {
	f := openapi.New(d.core, d.cfg.Settings, file, table, d.watcher.IsReady, d.log)
	settings := &atomic.Pointer[admission.Settings]{} // read by the reloader's goroutine
	start := d.cfg.Settings
	settings.Store(&start)
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

func newTelemetry(cfg config.Config, o Options, log *slog.Logger) (*telemetry.Exporter, error) {
	c := telemetry.Config{Endpoint: o.OTLPEndpoint, Instance: cfg.Name, Version: o.Version, Log: log,
		Every: cfg.Limits.TelemetryInterval, Queue: cfg.Limits.TelemetryQueueLength, Settings: cfg.Settings}
	return telemetry.New(c)
}

// handleSignal runs on the signals' goroutine. What a handleSignal asks for is decided on the loop's.
func (d *Daemon) handleSignal(s os.Signal) {
	switch s {
	case syscall.SIGHUP:
		d.loop.Post(d.handleReloadRequest)
	case syscall.SIGUSR2:
		d.loop.Post(func() {
			if why := d.upgrade(func(Progress) {}); why != "" {
				d.log.Warn("upgrade not begun", "cause", why)
			}
		})
	default:
		d.loop.Post(d.handleEndRequest)
	}
}

// isTakingOver tells whether the upgrade that started us is not over.
func (d *Daemon) isTakingOver() bool {
	return d.asSuccessor != nil && d.asSuccessor.machine.State != phase.Independent
}

func (d *Daemon) handleEndRequest() {
	if d.isTakingOver() {
		d.asSuccessor.isEndRequested = true
		d.asSuccessor.handle(phase.EndAsked{})
		return
	}
	d.asPredecessor.handle(phase.EndAsked{})
}

func (d *Daemon) handleReloadRequest() {
	if d.isTakingOver() {
		d.asSuccessor.handle(phase.ReloadAsked{})
		return
	}
	d.asPredecessor.handle(phase.ReloadAsked{})
	if !d.asPredecessor.machine.Committed() {
		d.reloadConfig()
	}
}

// Refetch asks discovery for the whole list.
func (d *Daemon) Refetch() { d.watcher.Refetch() }

// Turn ends a turn of the loop.
func (d *Daemon) Turn(now time.Duration) time.Duration {
	if d.core == nil { // a successor that has not been told whose place it takes
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

// stallLogInterval: a process that stands still again and again says so that often.
const stallLogInterval = 10 * time.Second

// logStall tells the operator that the process stood still: stopped, or without a processor.
func (d *Daemon) logStall(now time.Duration) {
	if late := d.loop.MaxReadDelay(); late > 0 && now-d.stallLoggedAt > stallLogInterval {
		d.stallLoggedAt = now
		d.log.Warn("process stood still", "at_most", late)
	}
}

// drain is the planned end: new connections are taken a while longer, since the front notices late;
// every answer closes its connection; then the listener closes, and with the last answer the daemon ends.
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

// fail ends the process with an error.
func (d *Daemon) fail(format string, args ...any) {
	d.runError = fmt.Errorf(format, args...)
	d.loop.Stop()
}
