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
	Load      func() (config.Config, error)                  // reads the configuration for a start
	Reload    func(was config.Config) (config.Config, error) // reads it again while running
	ReadFront func() (openapi.File, error)                   // reads the file of a second front, nil: none
	OTLP      string                                         // endpoint, empty: no telemetry
	Control   string                                         // path of the control socket, empty: none
	Version   string
	Log       *slog.Logger
	Command   []string // what starts the next process of an upgrade: the binary's path, its arguments
	Members   bool     // ingresses tell each other who is there
	// ControlReplicas are the addresses of the control group's replicas, none: there is no control group.
	ControlReplicas []string
	Limit           func(*limits.Limits)  // changes bounds as the program's own settings say, nil: none
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
	d := &Daemon{o: o, loop: l, log: o.Log, reload: make(chan struct{}, 1)}
	d.pred = &predecessor{d: d}
	fd, err := inherited(o.Getenv)
	if err != nil {
		return err
	}
	if fd < 0 {
		if fd, err = d.predecessor(); err != nil {
			return err
		}
		d.beside = fd >= 0
	}
	if fd >= 0 {
		err = d.succeed(fd)
	} else {
		err = d.begin()
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
				d.signal(s)
			}
		}()
	}
	o.Embedded.attach(d)
	err = errors.Join(d.loop.Run(d), d.fault)
	if o.Embedded == nil {
		d.endControlGroup(nil) // nothing is sent on any more, however it came to the end
	}
	o.Embedded.detach(d.loop)
	d.control.finish()
	if d.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushMost)
		defer cancel()
		if err := d.telemetry.Shutdown(ctx); err != nil {
			d.log.Warn("telemetry not flushed", "error", err)
		}
	}
	return err
}

// flushMost is how long the end of the process may wait for telemetry.
const flushMost = 150 * time.Millisecond

// Daemon is the program's parts, wired together. All but what is said to be otherwise belongs to the loop.
type Daemon struct {
	o         Options
	telemetry *telemetry.Exporter // nil unless an endpoint is set
	reload    chan struct{}
	loop      *loop.Loop
	cfg       config.Config
	told      config.Config // as last read and taken
	reloads   int           // asked for and not done; one is read at a time
	log       *slog.Logger
	module    *admission.Gateway
	core      *core.Core
	server    *downstream.Server
	hosts     *upstream.Pool
	counter   *counter.Client // nil where there is none
	watcher   *discovery.Watcher
	fronts    []opening
	control   *control
	admin     *mgmt.Endpoint // nil where operators have none
	members   *members       // nil where ingresses do not talk
	group     *controlGroup  // nil where there is none, or while another process has this one's place
	agreement *agreement     // nil where no versions are agreed on with others
	agreed    *agreed        // from the last time that another process took this one's place
	figures   figures.Metrics
	awaits    *loop.Source // where a successor is awaited, nil: nowhere
	beside    bool         // somebody else has started us as a successor
	draining  bool
	leaves    bool          // the planned end is for good
	leaving   bool          // nothing is open any more
	stallTold time.Duration // when it was last logged that the process stood still
	fault     error

	pred *predecessor // our part in an upgrade that replaces us
	succ *successor   // our part in the upgrade that started us, nil if none did
}

// opening is a front and where it listens.
type opening struct {
	addr   string
	front  downstream.Handler
	ready  func()
	follow func(admission.Settings)
}

// noCounter stands where a deployment has none; the module does not call it there.
type noCounter struct{}

func (noCounter) Add(string, float64, time.Duration) {}

// begin starts without a predecessor.
func (d *Daemon) begin() error {
	if err := d.assemble(); err != nil {
		return err
	}
	for _, f := range d.fronts {
		if err := d.server.Listen(f.addr, f.front); err != nil {
			return err
		}
	}
	for _, f := range d.fronts {
		f.ready()
	}
	if err := errors.Join(d.openControl(), d.openAdmin(), d.openMembers()); err != nil {
		return err
	}
	d.openControlGroup()
	d.await()
	d.log.Info("serving", "version", d.o.Version, "listen", d.cfg.Listen)
	d.o.Notify("READY=1")
	return nil
}

// bound keeps the runtime within the machine: one core, and memory collected hard before the platform
// would kill the process. The live heap is small: to collect at twice its size costs little time, and the
// heap has its final size within seconds, so that growth that does not stop is seen for what it is.
func bound(cfg config.Config) {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetGCPercent(100)
	shareMemory(cfg.Limits, 1)
}

// shareMemory sets the heap's soft limit: alone to six tenths of what this ingress may have, and while an upgrade
// is under way, when two processes live on that, to less than a half for each.
func shareMemory(lim limits.Limits, processes int) {
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
	cfg, err := d.o.Load()
	if err != nil {
		return err
	}
	if d.o.Limit != nil {
		d.o.Limit(&cfg.Limits)
	}
	d.log = d.log.With("name", cfg.Name)
	if d.o.Embedded == nil {
		bound(cfg)
	}
	d.told = cfg
	// Every refusal tells when to come back, also where clients are not known to heed it.
	cfg.Settings.CanSendRetryAfter = true
	d.cfg = cfg
	// A front's file that is refused ends the start before anything is opened.
	var file openapi.File
	var table *routes.Table
	var stamp openapi.Stamp
	if d.o.ReadFront != nil {
		if file, err = d.o.ReadFront(); err != nil {
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
	d.hosts = upstream.New(l, cfg.Limits, d.log, &d.figures.UpstreamRequests)
	d.nameClasses()
	parts := core.Config{Decider: d.module, Upstreams: d.hosts, Counter: noCounter{}, Cluster: d, Log: d.log, Metrics: &d.figures,
		DeadlineMargin: cfg.Limits.DeadlineMargin}
	parts.RepeatWindows = core.RepeatWindows(cfg.Settings.Classes)
	if d.o.OTLP != "" {
		if d.telemetry, err = newTelemetry(cfg, d.o, d.log); err != nil {
			return err
		}
		parts.Observer = d.telemetry
	}
	d.core = core.New(parts)
	d.hosts.SetSink(d.core)
	if cfg.Settings.HasCounter {
		d.openCounter(cfg.Counter)
		d.core.SetCounter(d.counter)
	}
	d.watcher = discovery.New(l, cfg.Limits, d.log, cfg.Discovery, d.core, d.hosts, cfg.Known, cfg.Seed)
	d.watcher.SetDrained(cfg.Drained)
	d.server = downstream.New(l, cfg.Limits, d.log)
	first := platform.New(d.core, cfg.Settings, d.known)
	d.fronts = append(d.fronts, opening{cfg.Listen, first, func() {}, first.Follow})
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
func (d *Daemon) secondFront(file openapi.File, table *routes.Table, stamp openapi.Stamp) opening {
	f := openapi.New(d.core, d.cfg.Settings, file, table, d.watcher.IsReady, d.log)
	settings := &atomic.Pointer[admission.Settings]{} // read by the reloader's goroutine
	start := d.cfg.Settings
	settings.Store(&start)
	return opening{file.Listen, f, func() {
		d.log.Info("second front", "listen", file.Listen, "routes", len(table.All()))
		if file.Description != "" {
			r := openapi.Reloader{File: file, Settings: settings.Load, Log: d.log, Every: time.Second, Kick: d.reload,
				Swap: func(t *routes.Table) { d.loop.Post(func() { f.Swap(t) }) }}
			go r.Run(stamp)
		}
	}, func(s admission.Settings) {
		settings.Store(&s)
		f.Follow(s)
	}}
}

func newTelemetry(cfg config.Config, o Options, log *slog.Logger) (*telemetry.Exporter, error) {
	c := telemetry.Config{Endpoint: o.OTLP, Instance: cfg.Name, Version: o.Version, Log: log,
		Every: cfg.Limits.TelemetryInterval, Queue: cfg.Limits.TelemetryQueueLength, Settings: cfg.Settings}
	return telemetry.New(c)
}

// signal runs on the signals' goroutine. What a signal asks for is decided on the loop's.
func (d *Daemon) signal(s os.Signal) {
	switch s {
	case syscall.SIGHUP:
		d.loop.Post(d.reloadAsked)
	case syscall.SIGUSR2:
		d.loop.Post(func() {
			if why := d.upgrade(func(Progress) {}); why != "" {
				d.log.Warn("upgrade not begun", "cause", why)
			}
		})
	default:
		d.loop.Post(d.endAsked)
	}
}

// trial tells whether the upgrade that started us is not over.
func (d *Daemon) trial() bool { return d.succ != nil && d.succ.machine.State != phase.Independent }

func (d *Daemon) endAsked() {
	if d.trial() {
		d.succ.told = true
		d.succ.handle(phase.EndAsked{})
		return
	}
	d.pred.handle(phase.EndAsked{})
}

func (d *Daemon) reloadAsked() {
	if d.trial() {
		d.succ.handle(phase.ReloadAsked{})
		return
	}
	d.pred.handle(phase.ReloadAsked{})
	if !d.pred.machine.Committed() {
		d.reconfigure()
	}
}

// Refetch asks discovery for the whole list.
func (d *Daemon) Refetch() { d.watcher.Refetch() }

// Turn ends a turn of the loop.
func (d *Daemon) Turn(now time.Duration) time.Duration {
	if d.core == nil { // a successor that has not been told whose place it takes
		return 0
	}
	d.noteStall(now)
	next := d.core.Turn(now)
	d.pred.turn(now)
	if d.server.ListenersClosed() && d.core.OpenStreams() == 0 && d.server.OpenConnections() == 0 && !d.leaving {
		d.leaving = true
		d.log.Info("drained")
		d.sayLeave(func() { d.giveUpControlGroup(d.loop.Stop) })
	}
	return next
}

// stallEvery: a process that stands still again and again says so that often.
const stallEvery = 10 * time.Second

// noteStall tells the operator that the process stood still: stopped, or without a processor.
func (d *Daemon) noteStall(now time.Duration) {
	if late := d.loop.MaxReadDelay(); late > 0 && now-d.stallTold > stallEvery {
		d.stallTold = now
		d.log.Warn("process stood still", "at_most", late)
	}
}

// drain is the planned end: new connections are taken a while longer, since the front notices late;
// every answer closes its connection; then the listener closes, and with the last answer the daemon ends.
func (d *Daemon) drain() {
	if d.draining {
		return
	}
	d.draining = true
	d.o.Notify("STOPPING=1")
	d.log.Info("draining", "streams", d.core.OpenStreams(), "connections", d.server.OpenConnections())
	d.server.Drain()
	d.loop.After(d.cfg.Limits.DrainAcceptPeriod, d.server.CloseListeners)
	d.endInTime()
}

// fail ends the process with an error.
func (d *Daemon) fail(format string, args ...any) {
	d.fault = fmt.Errorf(format, args...)
	d.loop.Stop()
}
