package main

import (
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// refusedFile: a new configuration that lacks a key is turned down at SIGHUP, as it must be. Later the platform
// replaces the processes, while that file is still there.
func refusedFile(r *rig.Rig) error {
	w, err := r.NewWorld(6, 40*time.Millisecond)
	if err != nil {
		return err
	}
	racks := r.NewRacks()
	for _, h := range w.Hosts {
		h.Answer = racks.Serve(someFail(r.Seed, 0.1))
	}
	if err := w.Prepare(2, nil); err != nil {
		return err
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	load := w.StartLoad(60, usualKinds...)
	time.Sleep(4 * time.Second)
	if r.Trouble {
		r.Say("a new configuration lacks the key dedupScope of the class order (SIGHUP)")
		for _, in := range w.Ingresses {
			for _, class := range in.Settings()["classes"].([]any) {
				if class := class.(map[string]any); class["name"] == "order" {
					delete(class, "dedupScope")
				}
			}
			if err := in.WriteConfig(); err != nil {
				return err
			}
		}
		if err := w.SignalAll(syscall.SIGHUP); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	r.Say("the platform replaces the process of each ingress; orders run twice before: %d", len(racks.Twice()))
	for _, in := range w.Ingresses {
		if err := r.Replace(in); err != nil {
			return err
		}
	}
	r.Say("all ingresses are replaced")
	time.Sleep(16 * time.Second)
	load.Stop()
	for _, text := range racks.Twice() {
		r.Break("%s", text)
	}
	r.Say("answers %v", load.Count())
	return nil
}
