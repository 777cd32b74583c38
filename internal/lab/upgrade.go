// Package lab holds the experiments that drive real processes of the ingress against stand-ins.
package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// Setup is what every experiment needs: binaries, a folder, and where to report progress.
type Setup struct {
	Ferryfront string // path of the binary
	Lab        string // path of the binary that holds the misbehaving successors
	Dir        string // for files; the caller removes it
	Say        func(format string, args ...any)
}

// Upgrades is an experiment: one ingress is upgraded again and again under load, after the same load without.
type Upgrades struct {
	Setup
	Count     int
	Rate      float64       // requests a second
	Baseline  time.Duration // of the same load before them, for comparison
	Customers int
	Probation time.Duration
}

// UpgradeReport is the result of an experiment with upgrades.
type UpgradeReport struct {
	Scenario       string  `json:"scenario"`
	Upgrades       int     `json:"upgrades"`
	FailedUpgrades int     `json:"failed_upgrades"`
	FreezeP50      float64 `json:"freeze_ms_p50"`
	FreezeMax      float64 `json:"freeze_ms_max"`
	P99            float64 `json:"p99_ms"`
	P99Without     float64 `json:"p99_ms_without"`
	P50            float64 `json:"p50_ms"`
	P50Without     float64 `json:"p50_ms_without"`
	Seconds        float64 `json:"seconds"`
	HostDials      int     `json:"host_dials"` // connections that order hosts took during the upgrades
	ClientDials    int     `json:"client_dials"`
	Upstreams      int     `json:"upstreams_handed"`
	Clients        int     `json:"clients_handed"`
	CounterConns   int     `json:"counter_connections_most"`
	standin.Verdict
	Extra map[string]float64 `json:"extra,omitempty"`
	Error string             `json:"error,omitempty"`
}

// Failed tells whether a rule was broken or the experiment did not go as it must.
func (r UpgradeReport) Failed() bool { return r.Error != "" || r.Verdict.Broken() }

// harness is a world with one ingress under load.
type harness struct {
	Setup
	world         *standin.World
	ingress       *standin.Ingress
	clients       *standin.Clients
	shape         standin.Shape
	stop          func()
	allowedLosses int // requests that a process killed on purpose takes along
	extra         map[string]float64
	probes        int
}

func newHarness(s Setup, shape standin.Shape) (*harness, error) {
	if s.Say == nil {
		s.Say = func(string, ...any) {}
	}
	dir, err := os.MkdirTemp(s.Dir, "world")
	if err != nil {
		return nil, err
	}
	w, err := standin.NewWorld(dir, shape)
	if err != nil {
		return nil, err
	}
	b := &harness{Setup: s, world: w, shape: shape, stop: func() {}, extra: map[string]float64{}}
	if b.ingress, err = w.Start(s.Ferryfront, shape); err != nil {
		w.Close()
		return nil, err
	}
	b.clients = &standin.Clients{Addr: b.ingress.Addr, Record: w.Record, Wait: 2500 * time.Millisecond}
	return b, nil
}

func (b *harness) close() {
	b.stop()
	b.clients.Close()
	b.world.Close()
}

// load begins one; the function that is returned ends it and waits for its answers.
func (b *harness) load(l standin.Load) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, b.clients)
	}()
	return func() {
		cancel()
		<-done
	}
}

const (
	upgradeTimeout        = 30 * time.Second // of one upgrade
	maxCounterConnections = 32               // that the counter takes from one address; it resets what is over
)

func (b *harness) upgrade(tell func(phase string)) (daemon.Progress, error) {
	ctx, cancel := context.WithTimeout(context.Background(), upgradeTimeout)
	defer cancel()
	return daemon.Upgrade(ctx, b.ingress.Control, func(p daemon.Progress) {
		if tell != nil {
			tell(p.Text)
		}
	})
}

// waitIdle waits until no upgrade is under way any more: a process that has just taken over is on probation.
func (b *harness) waitIdle() error {
	for end := time.Now().Add(upgradeTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if s, err := b.status(); err == nil && (s.Phase == "idle" || s.Phase == "independent") {
			return nil
		}
	}
	return errors.New("an upgrade does not end")
}

func (b *harness) verdict() standin.Verdict {
	v := b.world.Record.Check(b.rules())
	v.Lost = max(0, v.Lost-b.allowedLosses)
	return v
}

// rules are those of the world's plan with a ceiling.
func (b *harness) rules() standin.Rules { return ceilingRules(ceilingTenants) }

// ceilingRules are those for so many tenants with a ceiling.
func ceilingRules(tenants int) standin.Rules {
	r := standin.Rules{Window: standin.Window}
	for _, p := range standin.Plans() {
		if rate, ok := p["hardRate"].(int); ok {
			r.CeilingRate, r.CeilingBurst = float64(rate), float64(p["neverOverDepth"].(int))
			r.CeilingSlack = float64(p["hardSlack"].(int))
		}
	}
	for i := range tenants {
		r.Customers = append(r.Customers, standin.CustomerName(firstCeilingTenant+i))
	}
	return r
}

// Tenants with a ceiling have numbers of their own.
const (
	firstCeilingTenant = 1 << 20
	ceilingTenants     = 4
)

func settings(probation time.Duration) string {
	return fmt.Sprintf("handover: probation: %q\n", probation)
}

// Run upgrades one ingress again and again under load, after the same load without.
func (u Upgrades) Run() (UpgradeReport, error) {
	r := UpgradeReport{Scenario: "plain"}
	b, err := newHarness(u.Setup, standin.Shape{Hosts: 4, Work: 30 * time.Millisecond, Settings: settings(u.Probation)})
	if err != nil {
		return r, err
	}
	defer b.close()
	load := standin.Load{Rate: u.Rate, Customers: u.Customers, Plan: "boutique", Retries: true, Prefix: "a", Orders: 0.15, Seed: 1}
	end := b.load(load)
	time.Sleep(u.Baseline) // the measurement's length
	end()
	without := b.world.Record.Answers()
	dials, clientDials := b.world.Record.Dials(), b.clients.Opened()
	load.Prefix, load.Seed = "b", 2
	end = b.load(load)
	began := time.Now()
	var freezes []float64
	for i := range u.Count {
		got, err := b.upgrade(nil)
		if err != nil {
			r.FailedUpgrades++
			b.Say("upgrade %d: %v", i+1, err)
		} else {
			r.Upgrades++
			freezes = append(freezes, float64(got.FreezeMicroseconds)/1e3)
			r.Upstreams += got.UpstreamConnections
			r.Clients += got.ClientConnections
		}
		if err := b.waitIdle(); err != nil {
			end()
			return r, err
		}
	}
	end()
	r.Seconds = time.Since(began).Seconds()
	r.HostDials, r.ClientDials = b.world.Record.Dials()-dials, b.clients.Opened()-clientDials
	r.CounterConns = b.world.Counter.MostConnections()
	r.Verdict = b.verdict()
	r.P50Without, r.P99Without = quantiles(without)
	r.P50, r.P99 = quantiles(b.world.Record.Answers()[len(without):])
	if slices.Sort(freezes); len(freezes) > 0 {
		r.FreezeP50, r.FreezeMax = freezes[len(freezes)/2], freezes[len(freezes)-1]
	}
	if r.FailedUpgrades > 0 {
		r.Error = fmt.Sprintf("%d upgrades failed", r.FailedUpgrades)
	}
	if r.CounterConns > maxCounterConnections {
		r.Error = fmt.Sprintf("%d connections to the counter, it holds %d", r.CounterConns, maxCounterConnections)
	}
	return r, nil
}

// quantiles are of the time from when a request was due, in ms.
func quantiles(answers []standin.Answer) (p50, p99 float64) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	for _, a := range answers {
		if a.Status == 200 {
			_ = h.RecordValue(a.End.Sub(a.Due).Microseconds()) // a minute is more than any client waits
		}
	}
	return float64(h.ValueAtQuantile(50)) / 1e3, float64(h.ValueAtQuantile(99)) / 1e3
}
