package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/daemon"
	"ferryfront.example/ferryfront/internal/standin"
)

// What the faults have in common: installing binaries, upgrades that fail or succeed as they must, and waiting.

// installMisbehaving returns a function that puts a successor in place which fails in the stated way.
func (b *harness) installMisbehaving(how string) func() error {
	return func() error {
		return b.ingress.Put(fmt.Appendf(nil, "#!/bin/sh\nexec %s misbehave %s\n", b.Lab, how), 0o700)
	}
}

// mustFail makes an upgrade that must fail for a reason, and sees that the old process carries on.
func (b *harness) mustFail(spoil func() error, says string) error {
	before, err := b.status()
	if err != nil {
		return err
	}
	if err := spoil(); err != nil {
		return err
	}
	_, err = b.upgrade(nil)
	if err == nil || !strings.Contains(err.Error(), says) {
		return fmt.Errorf("the upgrade ended with %v, and not with %q", err, says)
	}
	after, err := b.status()
	if err != nil {
		return err
	}
	if after.Pid != before.Pid || after.Phase != "idle" {
		return fmt.Errorf("process %d served before, %d (%s) after", before.Pid, after.Pid, after.Phase)
	}
	return b.checkServing()
}

// mustUpgrade makes an upgrade that must succeed.
func (b *harness) mustUpgrade() error {
	if _, err := b.upgrade(nil); err != nil {
		return err
	}
	return b.waitIdle()
}

// errPhaseMissed: an upgrade ended before the phase in which something was to be done.
var errPhaseMissed = errors.New("the upgrade has not come to the phase")

// upgradeDuring does something at a phase of an upgrade, and returns that one's end. The error wraps errPhaseMissed if
// the upgrade never came to that phase.
func (b *harness) upgradeDuring(phase string, do func() error) (end daemon.Progress, err error) {
	var did error
	reached := false
	end, err = b.upgrade(func(text string) {
		if text == phase {
			reached = true
			did = do()
		}
	})
	switch {
	case !reached:
		return end, fmt.Errorf("%w %s: it ended with: %w", errPhaseMissed, phase, cmp.Or(err, errors.New("success")))
	case did != nil:
		return end, did
	}
	return end, err
}

// awaitEnd waits until the ingress's first process has ended.
func (b *harness) awaitEnd() error {
	select {
	case <-b.ingress.Ended():
		return nil
	case <-time.After(upgradeTimeout):
		return errors.New("the old process goes on")
	}
}

// checkServing makes sure that the process that is there now reads: on a new connection, and on those that were open.
func (b *harness) checkServing() error {
	for i := range 20 {
		fresh := &standin.Clients{Addr: b.ingress.Addr, Record: b.world.Record, Wait: 2500 * time.Millisecond}
		c := b.clients
		if i%2 == 0 {
			c = fresh
		}
		b.probes++
		got := c.Do(standin.Ask{ID: fmt.Sprint("probe", b.probes), Customer: standin.CustomerName(7000 + b.probes), Class: "stock", Plan: "boutique"})
		fresh.Close()
		if got.Status == 0 { // a refusal is an answer, too: just after a freeze there may be no room
			return fmt.Errorf("a request after it had no answer: %s", got.Lost)
		}
	}
	return nil
}

func (b *harness) status() (daemon.Status, error) {
	var s daemon.Status
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := daemon.SendCommand(ctx, b.ingress.Control, daemon.Command{Name: "status"}, func(line []byte) error { return json.Unmarshal(line, &s) })
	if err == nil && s.Error != "" {
		err = fmt.Errorf("status: %s", s.Error)
	}
	return s, err
}

// until waits for a condition, which what names for the error, no longer than for an upgrade.
func until(what string, cond func() bool) error {
	for end := time.Now().Add(upgradeTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("it has not come about: %s", what)
}
