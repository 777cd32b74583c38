package lab

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/standin"
)

// Faults by signal, and a second request for an upgrade, while one is under way.

func killedInProbation(b *harness) error {
	old, err := b.status()
	if err != nil {
		return err
	}
	var struck time.Time
	_, err = b.upgradeDuring("probation", func() error {
		return until("the new process answers", func() bool {
			s, err := b.status()
			if err != nil || s.Pid == old.Pid {
				return false
			}
			b.allowedLosses = s.Streams + 20 // what it has taken dies with it
			struck = time.Now()
			return syscall.Kill(s.Pid, syscall.SIGKILL) == nil
		})
	})
	if err == nil || !strings.Contains(err.Error(), "ended after it took over") {
		return fmt.Errorf("the upgrade ended with: %v", err)
	}
	err = until("the old process serves again", func() bool {
		s, err := b.status()
		return err == nil && s.Pid == old.Pid && s.Phase == "idle"
	})
	b.extra["takeback_ms"] = float64(time.Since(struck).Microseconds()) / 1e3
	if err == nil && b.extra["takeback_ms"] > maxTakebackMS {
		err = fmt.Errorf("the listeners were taken back after %.0f ms", b.extra["takeback_ms"])
	}
	if err != nil {
		return err
	}
	return b.checkServing()
}

// maxTakebackMS is the stated time in which the old process serves again, in ms.
const maxTakebackMS = 250

// prolong makes a phase last long enough for something to be done in it.
func (b *harness) prolong(phase string) error {
	switch phase {
	case "starting":
		return b.ingress.Put(fmt.Appendf(nil, "#!/bin/sh\nsleep 0.3\nexec %s \"$@\"\n", b.Ferryfront), 0o700)
	case "preparing":
		b.world.Discovery.Silence(true) // it waits for a second
	case "copying":
		return b.installMisbehaving("hangs-while-copying")()
	case "frozen":
		return b.installMisbehaving("hangs-after-snapshot")()
	}
	return nil
}

// oldKilled kills the old process. Before all of the state is over, the ingress is down, as with any crash, and
// nothing is left behind; after that the new one serves.
func (b *harness) oldKilled(phase string) error {
	old, err := b.status()
	if err != nil {
		return err
	}
	b.allowedLosses = old.Streams + 60
	if phase != "frozen" { // which is too short to be hit for sure with a good successor: either end will do
		if err := b.prolong(phase); err != nil {
			return err
		}
	}
	switch _, err = b.upgradeDuring(phase, func() error { return syscall.Kill(old.Pid, syscall.SIGKILL) }); {
	case errors.Is(err, errPhaseMissed):
		return err
	case err == nil:
		return errors.New("a killed process has told that all is well")
	}
	if phase == "probation" {
		return b.waitIdle()
	}
	if err := b.awaitEnd(); err != nil {
		return err
	}
	return until("one process serves, or none is left", func() bool {
		s, err := b.status()
		return err == nil && s.Pid != old.Pid && s.Phase == "idle" || !b.ingress.Alive()
	})
}

func (b *harness) terminated(phase string) error {
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.clients.Do(standin.Ask{ID: fmt.Sprint("open", i), Customer: standin.CustomerName(i), Class: "stock", Plan: "boutique"})
		}()
	}
	err := until("requests are at the hosts", func() bool { return len(b.world.Record.Runs()) >= 20 })
	if err != nil {
		return err
	}
	if err := b.prolong(phase); err != nil {
		return err
	}
	pid := b.ingress.Cmd.Process.Pid
	switch _, err := b.upgradeDuring(phase, func() error { return syscall.Kill(pid, syscall.SIGTERM) }); {
	case errors.Is(err, errPhaseMissed):
		return err
	case err == nil && phase != "probation":
		return errors.New("the upgrade succeeded though the ingress was told to end")
	}
	wg.Wait()
	if err := b.awaitEnd(); err != nil {
		return err
	}
	if code := b.ingress.Cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("the old process has ended with %d", code)
	}
	return until("no process is left", func() bool {
		_, err := b.status()
		return err != nil
	})
}

func reloadDuring(b *harness) error {
	pid := b.ingress.Cmd.Process.Pid
	if _, err := b.upgradeDuring("preparing", func() error { return syscall.Kill(pid, syscall.SIGHUP) }); err != nil {
		return err
	}
	return until("the new process has read the configuration again", func() bool {
		log, err := os.ReadFile(b.ingress.Log)
		text := string(log)
		i := strings.Index(text, "taken over")
		return err == nil && i >= 0 && strings.Contains(text[i:], "configuration reloaded")
	})
}

func secondUpgrade(b *harness) error {
	const phase = "preparing"
	if err := b.prolong(phase); err != nil {
		return err
	}
	var second error
	_, err := b.upgradeDuring(phase, func() error {
		_, second = b.upgrade(nil)
		b.world.Discovery.Silence(false)
		return nil
	})
	if err == nil && (second == nil || !strings.Contains(second.Error(), "under way")) {
		err = fmt.Errorf("the second one ended with: %v", second)
	}
	return err
}
