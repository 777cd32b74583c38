package lab

import (
	"fmt"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// What upgrades may not add to: quotas, ceilings, and what a cold host is sent.

// burst compares what a tenant far over its quota gets with upgrades with what it gets without: the most of two spells, one
// right after the start, in which a busy machine lets less through, and one at the end.
func burst(b *harness) error {
	quota := func(d time.Duration) float64 { return 30 + 10*d.Seconds() } // of the plan "small"
	// spell tells which part of its quota a tenant got through.
	spell := func(first int, upgrades int) (float64, error) {
		stop := b.load(standin.Load{Rate: 70, Customers: 1, First: first, Plan: "small", Prefix: fmt.Sprint("burst", first, "-"), Seed: 5})
		began := time.Now()
		for range upgrades {
			if err := b.mustUpgrade(); err != nil {
				stop()
				return 0, err
			}
		}
		if upgrades == 0 {
			time.Sleep(burstLength) // the measurement's length
		}
		lasted := time.Since(began)
		stop()
		sent := b.countRuns(func(run standin.Run) bool { return run.Customer == standin.CustomerName(first) })
		return sent / quota(lasted), nil
	}
	first, err := spell(5000, 0)
	if err != nil {
		return err
	}
	with, err := spell(5001, burstUpgrades)
	if err != nil {
		return err
	}
	last, err := spell(5002, 0)
	if err != nil {
		return err
	}
	without := max(first, last)
	b.extra["sent_over_quota_without"], b.extra["sent_over_quota_with"] = without, with
	b.extra["quota_error"] = with - without
	if b.extra["quota_error"] > maxQuotaError {
		return fmt.Errorf("%d upgrades let %.2f of the quota in, one process %.2f at most", burstUpgrades, with, without)
	}
	return nil
}

const (
	burstLength   = 6 * time.Second
	burstUpgrades = 20
	maxQuotaError = 0.05 // of the quota: what upgrades may let in beyond one process
)

func ceiling(b *harness) error {
	stop := b.load(standin.Load{Rate: 300, Customers: ceilingTenants, First: firstCeilingTenant, Plan: "distributeur", Prefix: "c", Seed: 6})
	defer stop()
	for range 10 {
		if err := b.mustUpgrade(); err != nil {
			return err
		}
	}
	return nil
}

func coldHost(b *harness) error {
	h := &standin.Host{Name: "cold", Zone: "salle-a", Cell: 2, Slots: 2, Queue: 200, Work: 30 * time.Millisecond,
		ColdFor: 8 * time.Second, ColdFrom: 0.2}
	if err := b.world.AddHost(h); err != nil {
		return err
	}
	stop := b.load(standin.Load{Rate: 150, Customers: 100, First: 9000, Plan: "boutique", Prefix: "cold", Seed: 7})
	defer stop()
	for range 10 {
		if err := b.mustUpgrade(); err != nil {
			return err
		}
	}
	b.extra["sent_to_cold"] = b.countRuns(func(run standin.Run) bool { return run.Host == "cold" })
	return nil
}

// countRuns counts what hosts have been sent of one kind.
func (b *harness) countRuns(of func(standin.Run) bool) (n float64) {
	for _, run := range b.world.Record.Runs() {
		if of(run) {
			n++
		}
	}
	return n
}
