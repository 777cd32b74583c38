package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/front/platform"
	"ferryfront.example/ferryfront/internal/net/counter"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/upstream"
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
	if err := parse(flags, args); err != nil {
		return err
	}
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errs, nil)).With("name", cfg.Name)
	bound(cfg)
	d, err := newDaemon(cfg, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			d.loop.Post(d.drain)
		}
	}()
	log.Info("serving", "version", version, "listen", cfg.Listen)
	return d.loop.Run(d)
}

// bound keeps the runtime within the machine: one core, and memory collected hard before the platform
// would kill the process. The live heap is small, so collecting seldom costs little memory and saves time.
func bound(cfg config.Config) {
	runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	debug.SetGCPercent(400)
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 6 / 10)
	}
}

// daemon is the program's parts, wired together.
type daemon struct {
	loop     *loop.Loop
	cfg      config.Config
	log      *slog.Logger
	core     *core.Core
	server   *downstream.Server
	watcher  *discovery.Watcher
	draining bool
	drained  bool // no new connections either
}

// noCounter stands where a deployment has none; the module does not call it there.
type noCounter struct{}

func (noCounter) Add(string, float64, time.Duration) {}

func newDaemon(cfg config.Config, log *slog.Logger) (*daemon, error) {
	// Every refusal tells when to come back, also where clients are not known to heed it.
	cfg.Settings.RetryAfter = true
	module, err := admission.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	d := &daemon{loop: l, cfg: cfg, log: log}
	hosts := upstream.New(l, cfg.Limits, log)
	parts := core.Config{Decider: module, Upstreams: hosts, Counter: noCounter{}, Cluster: d, Log: log,
		Margin: cfg.Limits.AnswerMargin}
	var calls *counter.Client
	if cfg.Settings.HasCounter {
		calls = counter.New(l, cfg.Limits, log, cfg.Counter)
		parts.Counter = calls
	}
	d.core = core.New(parts)
	hosts.SetSink(d.core)
	if calls != nil {
		calls.SetSink(d.core)
	}
	d.watcher = discovery.New(l, cfg.Limits, log, cfg.Discovery, d.core, hosts, cfg.Known)
	d.server = downstream.New(l, cfg.Limits, log)
	if err := d.server.Listen(cfg.Listen, platform.New(d.core, cfg.Settings, d.watcher.Known)); err != nil {
		return nil, err
	}
	return d, nil
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
		}
		d.loop.Stop()
	})
}
