package main

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/second/rig"
)

// freeUDP is a free address of loopback for datagrams.
func freeUDP() string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// lateDrain: with gossip and versions of the settings, a new configuration begins to have a list of drained hosts. This
// has no case: the report says why.
func lateDrain(r *rig.Rig) error {
	w, err := r.NewWorld(6, 40*time.Millisecond)
	if err != nil {
		return err
	}
	peers, n := []string{freeUDP(), freeUDP()}, 0
	if err := w.Prepare(2, func(c map[string]any) {
		c["settings_version"], c["peers"], c["peer_listen"] = 1, peers, peers[n]
		n++
	}); err != nil {
		return err
	}
	for _, in := range w.Ingresses {
		path, _, err := r.OwnSettings(in.Name, nil, "membership: enabled: true")
		if err != nil {
			return err
		}
		in.Args = "--config " + path
	}
	if err := w.StartAll(); err != nil {
		return err
	}
	load := w.StartLoad(60, usualKinds...)
	time.Sleep(3 * time.Second)
	for _, in := range w.Ingresses {
		in.Config["drained"] = map[string]any{"version": 1, "hosts": []string{"s-0"}}
		if err := in.WriteConfig(); err != nil {
			return err
		}
	}
	if err := w.SignalAll(syscall.SIGHUP); err != nil {
		return err
	}
	at := time.Now()
	time.Sleep(8 * time.Second)
	load.Stop()
	late := 0
	for _, got := range w.Hosts[0].Got() {
		if got.At.Sub(at) > 2*time.Second {
			late++
		}
	}
	if late > 0 {
		r.Break("%s", fmt.Sprintf("%d requests reached s-0 more than 2 s after SIGHUP with s-0 in drained", late))
	}
	return nil
}
