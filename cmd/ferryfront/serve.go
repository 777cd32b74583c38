package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/front/openapi"
	"ferryfront.example/ferryfront/internal/front/platform"
	"ferryfront.example/ferryfront/internal/front/routes"
	"ferryfront.example/ferryfront/internal/net/counter"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/upstream"
	"ferryfront.example/ferryfront/internal/telemetry"
)

func checkConfig(flags *flag.FlagSet, args []string, getenv func(string) string, out, _ io.Writer) error {
	if err := parse(flags, args); err != nil {
		return err
	}
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d classes, %d plans, ingress %d of %d, %d upstream hosts known\n", cfg.Name,
		len(cfg.Settings.Classes), len(cfg.Settings.Plans), cfg.Settings.Me, cfg.Settings.Gateways, len(cfg.Known.Entries))
	return err
}

func serve(flags *flag.FlagSet, args []string, getenv func(string) string, _, errs io.Writer) error {
	var opt options
	flags.StringVar(&opt.front, "front", "", "`file` of a second front, with routes from an OpenAPI description")
	flags.StringVar(&opt.otlp, "otlp", getenv("OTEL_EXPORTER_OTLP_ENDPOINT"), "`URL` of an OTLP/HTTP endpoint")
	if err := parse(flags, args); err != nil {
		return err
	}
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errs, nil)).With("name", cfg.Name)
	bound(cfg)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	d, err := newDaemon(cfg, opt, log)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				d.loop.Post(d.drain)
				continue
			}
			d.reconfigure(config.Reload(getenv))
			select {
			case d.reload <- struct{}{}:
			default: // one is waiting already
			}
		}
	}()
	log.Info("serving", "version", version, "listen", cfg.Listen)
	err = d.loop.Run(d)
	if d.telemetry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushMost)
		defer cancel()
		if err := d.telemetry.Shutdown(ctx); err != nil {
			log.Warn("telemetry not flushed", "error", err)
		}
	}
	return err
}

// flushMost is how long the end of the process may wait for telemetry.
const flushMost = 150 * time.Millisecond

// options are serve's flags.
type options struct{ front, otlp string }

// bound keeps the runtime within the machine: one core, and memory collected hard before the platform
// would kill the process. The live heap is small: to collect at twice its size costs little time, and the
// heap has its final size within seconds, so that growth that does not stop is seen for what it is.
func bound(cfg config.Config) {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetGCPercent(100)
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 6 / 10)
	}
}

// daemon is the program's parts, wired together.
type daemon struct {
	telemetry *telemetry.Exporter // nil unless an endpoint is set
	reload    chan struct{}
	loop      *loop.Loop
	cfg       config.Config
	told      config.Config // as read at the start
	log       *slog.Logger
	core      *core.Core
	server    *downstream.Server
	counter   *counter.Client // nil where there is none
	watcher   *discovery.Watcher
	draining  bool
	drained   bool // no new connections either
}

// noCounter stands where a deployment has none; the module does not call it there.
type noCounter struct{}

func (noCounter) Add(string, float64, time.Duration) {}

func newDaemon(cfg config.Config, opt options, log *slog.Logger) (*daemon, error) {
	told := cfg
	// Every refusal tells when to come back, also where clients are not known to heed it.
	cfg.Settings.RetryAfter = true
	// A front's file that is refused ends the start before anything is opened.
	var file openapi.File
	var table *routes.Table
	var stamp openapi.Stamp
	if opt.front != "" {
		var err error
		if file, err = openapi.ReadFile(opt.front); err != nil {
			return nil, err
		}
		stamp = file.Stamp()
		if table, err = file.Load(cfg.Settings); err != nil {
			return nil, err
		}
	}
	module, err := admission.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	d := &daemon{loop: l, cfg: cfg, told: told, log: log, reload: make(chan struct{}, 1)}
	hosts := upstream.New(l, cfg.Limits, log)
	parts := core.Config{Decider: module, Upstreams: hosts, Counter: noCounter{}, Cluster: d, Log: log,
		Margin: cfg.Limits.AnswerMargin}
	if opt.otlp != "" {
		if d.telemetry, err = newTelemetry(cfg, opt.otlp, log); err != nil {
			return nil, err
		}
		parts.Observer = d.telemetry
	}
	if cfg.Settings.HasCounter {
		d.counter = counter.New(l, cfg.Limits, log, cfg.Counter)
		parts.Counter = d.counter
	}
	d.core = core.New(parts)
	hosts.SetSink(d.core)
	if d.counter != nil {
		d.counter.SetSink(d.core)
	}
	d.watcher = discovery.New(l, cfg.Limits, log, cfg.Discovery, d.core, hosts, cfg.Known)
	d.server = downstream.New(l, cfg.Limits, log)
	if err := d.server.Listen(cfg.Listen, platform.New(d.core, cfg.Settings, d.watcher.Known)); err != nil {
		return nil, err
	}
	if table != nil {
		if err := d.secondFront(file, table, stamp); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// secondFront opens the front that a file describes, beside the platform's.
func (d *daemon) secondFront(file openapi.File, table *routes.Table, stamp openapi.Stamp) error {
	f := openapi.New(d.core, d.cfg.Settings, file, table, d.watcher.Known, d.log)
	if err := d.server.Listen(file.Listen, f); err != nil {
		return err
	}
	d.log.Info("second front", "listen", file.Listen, "routes", len(table.All()))
	if file.Description != "" {
		r := openapi.Reloader{File: file, Settings: d.cfg.Settings, Log: d.log, Every: time.Second, Kick: d.reload,
			Swap: func(t *routes.Table) { d.loop.Post(func() { f.Swap(t) }) }}
		go r.Run(stamp)
	}
	return nil
}

func newTelemetry(cfg config.Config, endpoint string, log *slog.Logger) (*telemetry.Exporter, error) {
	c := telemetry.Config{Endpoint: endpoint, Instance: cfg.Name, Version: version, Log: log,
		Every: cfg.Limits.TelemetryEvery, Queue: cfg.Limits.TelemetryQueue}
	for _, class := range cfg.Settings.Classes {
		c.Classes = append(c.Classes, class.Name)
	}
	for _, plan := range cfg.Settings.Plans {
		c.Plans = append(c.Plans, plan.Name)
	}
	return telemetry.New(c)
}

// listRoutes compiles a second front's file as serve would and prints its table.
func listRoutes(flags *flag.FlagSet, args []string, getenv func(string) string, out, _ io.Writer) error {
	path := flags.String("front", "", "`file` of the second front")
	if err := parse(flags, args); err != nil {
		return err
	}
	if *path == "" {
		return errors.New("routes: -front names no file")
	}
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	file, err := openapi.ReadFile(*path)
	if err != nil {
		return err
	}
	table, err := file.Load(cfg.Settings)
	if err != nil {
		return err
	}
	for _, r := range table.All() {
		if _, err := fmt.Fprintf(out, "%-6s %-40s %-12s %d\n", r.Method, r.Path, r.Class, r.Cost); err != nil {
			return err
		}
	}
	return nil
}

// reconfigure takes the configuration as it reads now, on the signals' goroutine: where discovery and the
// counter are. One that can't be used changes nothing, and what would need a restart is only told. A planned
// end does not stop it, since what is open then still needs both.
func (d *daemon) reconfigure(to config.Config, err error) {
	if err != nil {
		d.log.Error("configuration not reloaded", "error", err)
		return
	}
	d.log.Info("configuration reloaded", "discovery", to.Discovery, "counter", to.Counter)
	if names := d.told.Changed(to); len(names) > 0 {
		d.log.Warn("changed configuration needs a restart", "fields", strings.Join(names, ","))
	}
	d.loop.Post(func() {
		d.watcher.Move(to.Discovery)
		if d.counter != nil {
			d.counter.Move(to.Counter)
		}
	})
}

// Refetch asks discovery for the whole list.
func (d *daemon) Refetch() { d.watcher.Refetch() }

// Turn ends a turn of the loop.
func (d *daemon) Turn(now time.Duration) time.Duration {
	next := d.core.Turn(now)
	if d.drained && d.core.Open() == 0 && d.server.Connections() == 0 {
		d.log.Info("drained")
		d.loop.Stop()
	}
	return next
}

// drain is the planned end: new connections are taken a while longer, since the front notices late;
// every answer closes its connection; then the listener closes, and with the last answer the daemon ends.
func (d *daemon) drain() {
	if d.draining {
		return
	}
	d.draining = true
	d.log.Info("draining", "streams", d.core.Open(), "connections", d.server.Connections())
	d.server.Drain()
	d.loop.After(d.cfg.Limits.DrainAccept, func() {
		d.server.CloseListeners()
		d.drained = true
	})
	d.loop.After(d.cfg.Limits.DrainMost, func() {
		if open := d.core.Open(); open > 0 {
			d.log.Warn("drain cut short", "streams", open)
			d.core.Abandon(d.loop.Now())
		}
		d.loop.After(d.cfg.Limits.DrainFlush, d.loop.Stop)
	})
}
