package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Fault is a hard case of an upgrade. Its Name is what selects it; About says in a phrase what happens.
type Fault struct {
	Name, About string
	shape       func(*standin.Shape)
	quiet       bool // without the usual load
	run         func(*harness) error
}

// Faults returns all hard cases: first those with a binary that fails, then those with a good one.
func Faults() []Fault {
	bad := func(name, about, says string) Fault {
		return Fault{Name: name, About: about, run: func(b *harness) error { return b.mustFail(b.installMisbehaving(name), says) }}
	}
	return append([]Fault{
		{Name: "missing", About: "no binary at the path", run: func(b *harness) error {
			return b.mustFail(func() error { return os.Remove(b.ingress.Binary) }, "not started")
		}},
		{Name: "not-executable", About: "a file that may not be run", run: func(b *harness) error {
			return b.mustFail(func() error { return b.ingress.Put([]byte("#!/bin/sh\n"), 0o600) }, "not started")
		}},
		{Name: "exits-at-once", About: "it ends before it says a word", run: func(b *harness) error {
			return b.mustFail(func() error { return b.ingress.Put([]byte("#!/bin/sh\nexit 3\n"), 0o700) }, "exit status 3")
		}},
		{Name: "refuses-configuration", About: "the configuration has become unreadable", run: func(b *harness) error {
			path := filepath.Join(filepath.Dir(b.ingress.Binary), "config.json")
			good, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			err = b.mustFail(func() error { return os.WriteFile(path, []byte("{"), 0o600) }, "refused by the new process")
			if err != nil {
				return err
			}
			return os.WriteFile(path, good, 0o600)
		}},
		bad("hangs-at-start", "it says nothing", "too long while starting"),
		bad("garbage", "it sends what is no message", "garbage"),
		bad("other-protocol", "it speaks another version", "protocol 99"),
		bad("exits-after-hello", "it ends while it prepares", "exit status 7"),
		bad("closes-after-hello", "it closes its end and lives on", "has ended while preparing"),
		bad("hangs-before-prepared", "it never gets ready", "too long while preparing"),
		bad("skips-a-phase", "it says that it has what it was not given", "restored while preparing"),
		bad("hangs-while-copying", "it takes customers and never says that it has them", "too long while copying"),
		bad("hangs-after-snapshot", "it takes the state and says no more", "too long while frozen"),
	}, goodBinaryFaults()...)
}

// goodBinaryFaults are those in which the new binary is good.
func goodBinaryFaults() []Fault {
	var list []Fault
	for _, phase := range []string{"starting", "preparing", "copying", "frozen", "probation"} {
		list = append(list,
			Fault{Name: "terminated-" + phase, About: "SIGTERM goes to the old process while " + phase, quiet: true,
				run: func(b *harness) error { return b.terminated(phase) }},
			Fault{Name: "old-killed-" + phase, About: "the old process is killed while " + phase, quiet: phase != "probation",
				run: func(b *harness) error { return b.oldKilled(phase) }})
	}
	return append(list, []Fault{
		{Name: "killed-in-probation", About: "the new process is killed after it took over", run: killedInProbation},
		{Name: "reload-during", About: "SIGHUP comes while the new process prepares", run: reloadDuring},
		{Name: "second-upgrade", About: "an upgrade is asked for while one is under way", run: secondUpgrade},
		{Name: "counter-outage", About: "the counter is silent throughout", run: func(b *harness) error {
			b.world.Counter.Set(standin.Silent)
			defer b.world.Counter.Set(standin.Answering)
			return b.mustUpgrade()
		}},
		{Name: "discovery-outage", About: "discovery is silent throughout", run: func(b *harness) error {
			b.world.Discovery.Silence(true)
			defer b.world.Discovery.Silence(false)
			return b.mustUpgrade()
		}},
		{Name: "half-requests", About: "200 connections have sent half a request",
			shape: func(s *standin.Shape) { s.Work = 3 * time.Millisecond }, run: halfRequests},
		{Name: "order-in-flight", About: "an order is out at the old process, and is asked again at the new one",
			shape: func(s *standin.Shape) { s.Work = 400 * time.Millisecond }, quiet: true, run: orderInFlight},
		{Name: "burst", About: "a tenant asks for 7 times its quota through 20 upgrades", run: burst},
		{Name: "ceiling", About: "tenants with a ceiling ask for far more through 10 upgrades", run: ceiling},
		{Name: "cold-host", About: "a host has just started, and there are 10 upgrades", run: coldHost},
	}...)
}

// RunFault plays one fault against a world of its own, and then makes an upgrade that has to succeed.
func RunFault(s Setup, f Fault) (UpgradeReport, error) {
	r := UpgradeReport{Scenario: f.Name}
	shape := standin.Shape{Hosts: 4, Work: 30 * time.Millisecond, Settings: `handover: {
	prepare: "1500ms", copy: "500ms", freeze: "300ms", probation: "300ms"
}
`}
	if f.shape != nil {
		f.shape(&shape)
	}
	b, err := newHarness(s, shape)
	if err != nil {
		return r, err
	}
	defer b.close()
	end := func() {}
	if !f.quiet {
		end = b.load(standin.Load{Rate: 100, Customers: 50, Plan: "boutique", Retries: true, Prefix: "a", Orders: 0.15, Seed: 3})
	}
	began := time.Now()
	err = f.run(b)
	if err == nil && !f.quiet {
		if err = b.reinstall(); err == nil {
			err = b.mustUpgrade()
			r.Upgrades++
		}
	}
	end()
	r.Seconds = time.Since(began).Seconds()
	r.Verdict, r.Extra, r.CounterConns = b.verdict(), b.extra, b.world.Counter.MostConnections()
	if r.CounterConns > maxCounterConnections && err == nil {
		err = fmt.Errorf("%d connections to the counter, it holds %d", r.CounterConns, maxCounterConnections)
	}
	if err != nil {
		log, _ := os.ReadFile(b.ingress.Log)
		r.Error = err.Error()
		b.Say("%s\n%s", err, log)
	}
	return r, nil
}

// reinstall puts the good binary in place again, and waits until no upgrade is under way.
func (b *harness) reinstall() error {
	if err := b.ingress.Install(b.Ferryfront); err != nil {
		return err
	}
	return b.waitIdle()
}
