package main

import (
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// usualKinds is the site's mix of requests.
var usualKinds = []rig.Kind{{Class: "stock", Share: 0.48, Timeout: 3 * time.Second}, {Class: "catalogue", Share: 0.27, Timeout: 2 * time.Second},
	{Class: "order", IsPost: true, IsKeyed: true, Share: 0.25, Timeout: 3 * time.Second}}

// setScope sets in a configuration which order servers drop a repeat of an order.
func setScope(config map[string]any, scope string) {
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		if class := class.(map[string]any); class["name"] == "order" {
			class["dedupScope"] = scope
		}
	}
}

// someFail returns a function that has this share of the orders fail after they were run.
func someFail(seed uint64, share float64) func(string) bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < share
	}
}

// upgradeInOutage: the control group has put settings in force under which an order is repeated in its rack only. Then no
// replica can be reached for a while, and in that time the ingresses are upgraded.
func upgradeInOutage(r *rig.Rig) error {
	w, err := r.NewWorld(6, 40*time.Millisecond)
	if err != nil {
		return err
	}
	racks := r.NewRacks()
	for _, h := range w.Hosts {
		h.Answer = racks.Serve(someFail(r.Seed, 0.1))
	}
	group, err := r.StartControlGroup()
	if err != nil {
		return err
	}
	versioned := func(config map[string]any) {
		config["settings_version"] = 1
		setScope(config, "all")
	}
	if err := w.Prepare(2, versioned); err != nil {
		return err
	}
	for _, in := range w.Ingresses {
		path, _, err := r.OwnSettings(in.Name, group.Addrs, "")
		if err != nil {
			return err
		}
		in.Args = "--config " + path
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	next := &rig.Ingress{Config: rig.Config(2, w.Agent.Addr(), w.Counter.Addr(), w.List.Known()), ConfigPath: filepath.Join(r.Dir, "next.json")}
	next.Config["name"], next.Config["listen"], next.Config["settings_version"] = "next", "127.0.0.1:9", 2
	if err := next.WriteConfig(); err != nil { // its order class has the scope cell
		return err
	}
	if err := group.Propose(next.ConfigPath); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	r.Say("in force: %s", group.Status())
	load := w.StartLoad(60, usualKinds...)
	time.Sleep(4 * time.Second)
	if r.Trouble {
		r.Say("the replicas of the control group end, for 20 s")
		for _, replica := range group.Replicas {
			replica.Kill()
		}
	}
	time.Sleep(4 * time.Second)
	before := len(racks.Twice())
	r.Say("upgrade of all ingresses (SIGUSR2); orders run twice before: %d", before)
	if err := w.SignalAll(syscall.SIGUSR2); err != nil {
		return err
	}
	for _, in := range w.Ingresses {
		if !in.WaitEnded(15 * time.Second) {
			return errNotUpgraded
		}
	}
	r.Say("all ingresses are upgraded")
	time.Sleep(12 * time.Second)
	if r.Trouble {
		for i := range group.Replicas {
			if err := group.Restart(i); err != nil {
				return err
			}
		}
		r.Say("the replicas are started again")
	}
	time.Sleep(4 * time.Second)
	load.Stop()
	for _, text := range racks.Twice() {
		r.Break("%s", text)
	}
	r.Say("answers %v", load.Count())
	return nil
}
