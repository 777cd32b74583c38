package main

import (
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// movedDiscovery: a new configuration moves discovery, later the ingresses are upgraded, later a server drains.
func movedDiscovery(r *rig.Rig) error {
	const grace = 550 * time.Millisecond // the settings' drainGrace, 50 ms longer on sockets
	w, err := r.NewWorld(6, 40*time.Millisecond)
	if err != nil {
		return err
	}
	if err := w.Prepare(2, nil); err != nil {
		return err
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	load := w.StartLoad(60, rig.Kind{Class: "stock", Share: 0.5, Timeout: 3 * time.Second},
		rig.Kind{Class: "catalogue", Share: 0.35, Timeout: 2 * time.Second},
		rig.Kind{Class: "order", IsPost: true, IsKeyed: true, Share: 0.15, Timeout: 3 * time.Second})
	time.Sleep(3 * time.Second)
	if r.Trouble {
		old, err := w.Agent, error(nil)
		if w.Agent, err = r.NewAgent(w.List); err != nil {
			return err
		}
		r.Say("a new configuration moves discovery from %s to %s", old.Addr(), w.Agent.Addr())
		for _, in := range w.Ingresses {
			in.Config["discovery"] = w.Agent.Addr()
			if err := in.WriteConfig(); err != nil {
				return err
			}
		}
		old.Leave()
		if err := w.SignalAll(syscall.SIGHUP); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	r.Say("upgrade of all ingresses (SIGUSR2)")
	if err := w.SignalAll(syscall.SIGUSR2); err != nil {
		return err
	}
	for _, in := range w.Ingresses {
		if !in.WaitEnded(15 * time.Second) {
			return errNotUpgraded
		}
	}
	r.Say("all ingresses are upgraded")
	time.Sleep(2 * time.Second)
	drained := w.Hosts[0]
	w.List.Set(drained, "Terminating")
	told := time.Now().Add(6 * time.Second) // the latest time that the pages allow
	r.Say("server %s drains", drained.Name)
	time.Sleep(12 * time.Second)
	lost := drained.Open()
	r.Say("server %s ends, with %d requests open", drained.Name, len(lost))
	drained.Stop()
	w.List.Set(drained, "Gone")
	time.Sleep(4 * time.Second)
	load.Stop()
	late := 0
	for _, got := range drained.Got() {
		if got.At.After(told.Add(grace)) {
			late++
			r.Break("request %s (%s) reached %s %v after it was told to drain", got.ID, got.Class, drained.Name, got.At.Sub(told.Add(-6*time.Second)).Round(time.Millisecond))
		}
	}
	r.Say("answers %v; requests at the draining server after its grace: %d", load.Count(), late)
	return nil
}
