package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// settings are those of the configuration, which a test may change before the next reload.
func (w *world) settings() obj { return w.told["settings"].(obj) }

// reload has the daemon read its configuration again and waits until one of the two counts has moved.
func (w *world) reload() (taken bool) {
	w.t.Helper()
	before := w.figures()
	w.configure()
	return w.reloadFile(before)
}

func (w *world) reloadFile(before map[string]int) (taken bool) {
	w.t.Helper()
	w.signal(syscall.SIGHUP)
	now := before
	w.until(func() bool {
		now = w.figures()
		return now["app_reconfig_ok"]+now["app_reconfig_failed"] == before["app_reconfig_ok"]+before["app_reconfig_failed"]+1
	})
	return now["app_reconfig_ok"] > before["app_reconfig_ok"]
}

func TestClassesComeAndGo(t *testing.T) {
	w := newWorld(t).withDoor().start()
	try := func(class string) int {
		return w.get(w.request("GET", "/api/21", class, nil)).status
	}
	require.Equal(t, 200, try("stock"))
	require.Equal(t, 400, try("bulk"), "not known yet, and no refusal")
	all := w.settings()["classes"].([]obj)
	bulk := obj{"name": "bulk", "effect": "retryable", "onTime": 1000, "deadline": 2000, "value": 1, "dedupScope": "cell", "repeatWindow": 0}
	w.settings()["classes"] = []obj{bulk, all[2], all[1]} // stock has gone, and the places have changed
	require.True(t, w.reload())
	require.Equal(t, 200, try("bulk"))
	require.Equal(t, 400, try("stock"))
	got := w.get(w.request("POST", "/api/21", "order", strings.NewReader("x")))
	require.Equal(t, 200, got.status)
	now := w.figures()
	require.Equal(t, 1, now[ended("stock", "success")], "a line stays when its class has gone")
	require.Equal(t, 1, now[ended("bulk", "success")])
	require.Equal(t, 1, now[ended("order", "success")])
	require.Zero(t, now[ended("catalogue", "success")])
	w.settings()["classes"] = all
	require.True(t, w.reload())
	require.Equal(t, 200, try("stock"))
	require.Equal(t, 2, w.figures()[ended("stock", "success")])
}

// A class vanishes while an order of it is out, and returns stricter: the order has its answer by the class that it
// came with, a new one is held to the new.
func TestAClassVanishesUnderAnOrder(t *testing.T) {
	w := newWorld(t).withDoor()
	release := make(chan struct{})
	w.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "wait" {
			w.hold(release)
		}
		w.echo(rw, r)
	}
	w.start()
	first := make(chan reply, 1)
	r := w.request("POST", "/api/22?wait", "order", strings.NewReader("x"))
	go func() { got, _ := w.do(r); first <- got }()
	w.until(func() bool { return w.figures()["app_inflight"] == 1 })
	all := w.settings()["classes"].([]obj)
	w.settings()["classes"] = all[:2]
	require.True(t, w.reload())
	require.Equal(t, 400, w.get(w.request("POST", "/api/22", "order", strings.NewReader("x"))).status)
	strict := obj{"name": "order", "effect": "fragile", "onTime": 1000, "deadline": 3000, "value": 1, "dedupScope": "cell", "repeatWindow": 3000}
	w.settings()["classes"] = []obj{strict, all[0]}
	require.True(t, w.reload())
	close(release)
	got := <-first
	require.Equal(t, 200, got.status)
	require.Equal(t, 1, w.figures()[ended("order", "success")])
	require.Equal(t, 200, w.get(w.request("POST", "/api/22", "order", strings.NewReader("x"), "Request-Id", "r2",
		"Idempotency-Key", "k2")).status)
}

// Files that can't be used change nothing, whatever they hold beside; each moves one count, and the log names the field.
func TestBadFilesAreTurnedDownWhole(t *testing.T) {
	w := newWorld(t).withDoor().start()
	class := w.settings()["classes"].([]obj)[0]
	for i, bad := range []func() func(){
		func() func() { class["deadline"] = 0; return func() { class["deadline"] = 3000 } },
		func() func() { class["deadline"] = "soon"; return func() { class["deadline"] = 3000 } },
		func() func() { delete(class, "deadline"); return func() { class["deadline"] = 3000 } },
		func() func() {
			w.settings()["limits"].(obj)["maxAttempts"] = -1
			return func() { w.settings()["limits"].(obj)["maxAttempts"] = 3 }
		},
		func() func() {
			m := w.told["settings"]
			delete(w.told, "settings")
			return func() { w.told["settings"] = m }
		},
		func() func() { m := w.told["counter"]; w.told["counter"] = 5; return func() { w.told["counter"] = m } },
		func() func() {
			all := w.settings()["classes"].([]obj)
			w.settings()["classes"] = append(all[:len(all):len(all)], class)
			return func() { w.settings()["classes"] = all }
		},
	} {
		undo := bad()
		require.False(t, w.reload(), i)
		undo()
		require.Equal(t, i+1, strings.Count(w.log.String(), "configuration not reloaded"))
	}
	require.Contains(t, w.log.String(), "settings.classes[0].deadline is no time above 0")
	require.Equal(t, 200, w.get(w.request("GET", "/api/23", "stock", nil)).status)
	require.True(t, w.reload())
}

// Ten in a second: each is read, in order, and the last one counts.
func TestManyReloads(t *testing.T) {
	w := newWorld(t).withDoor().start()
	for i := range 10 {
		w.settings()["classes"] = append(w.settings()["classes"].([]obj)[:3:3], obj{"name": fmt.Sprint("c", i),
			"effect": "retryable", "onTime": 1000, "deadline": 2000, "value": 1, "dedupScope": "", "repeatWindow": 0})
		require.True(t, w.reload())
	}
	require.Equal(t, 200, w.get(w.request("GET", "/api/24", "c9", nil)).status)
	require.Equal(t, 400, w.get(w.request("GET", "/api/24", "c8", nil)).status)
	for range 10 {
		w.signal(syscall.SIGHUP)
	}
	w.until(func() bool { return w.figures()["app_reconfig_ok"] > 10 })
	require.Equal(t, 200, w.get(w.request("GET", "/api/24", "c9", nil)).status)
}

// A route whose class has gone is no route of the second front's as long as it is gone; the others go on.
func TestARouteWhoseClassHasGone(t *testing.T) {
	w, _, _ := shops(t, described, nil)
	require.Equal(t, 200, w.get(w.shop("GET", "/stock?part=1", "")).status)
	all := w.settings()["classes"].([]obj)
	w.settings()["classes"] = all[1:] // without stock
	w.configure()
	w.signal(syscall.SIGHUP)
	w.until(func() bool { return w.get(w.shop("GET", "/stock?part=1", "")).status == 404 })
	require.Equal(t, 200, w.get(w.shop("GET", "/prices/1", "")).status)
	w.settings()["classes"] = all
	w.configure()
	w.signal(syscall.SIGHUP)
	w.until(func() bool { return w.get(w.shop("GET", "/stock?part=1", "")).status == 200 })
}

// A planned end does not stop new settings: what is still open may need the addresses, and the counts move.
func TestAReloadDuringADrain(t *testing.T) {
	w := newWorld(t).withDoor()
	release := make(chan struct{})
	w.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		w.hold(release)
		w.echo(rw, r)
	}
	w.start()
	first := make(chan reply, 1)
	r := w.request("GET", "/api/25", "stock", nil)
	go func() { got, _ := w.do(r); first <- got }()
	w.until(func() bool { return w.figures()["app_inflight"] == 1 })
	w.signal(syscall.SIGTERM)
	w.until(func() bool { return w.call("STATUS") == "400 not ready\n" })
	w.settings()["classes"] = w.settings()["classes"].([]obj)[1:]
	require.True(t, w.reload())
	close(release)
	require.Equal(t, 200, (<-first).status)
	require.Zero(t, w.ends())
}

// Settings with a version are taken in its order only, also by an ingress that talks to no other; the door tells which
// one is in force.
func TestSettingsVersions(t *testing.T) {
	w := newWorld(t).withDoor()
	door := w.change
	w.change = func(config, settings map[string]any) {
		door(config, settings)
		config["settings_version"] = 4
	}
	w.start()
	version := func(n int) {
		t.Helper()
		require.Equal(t, fmt.Sprintf("200 ready settings=%d\n", n), w.call("STATUS"))
		now := w.figures()
		require.Equal(t, []int{n, n, 1, 0, 0}, []int{now["app_settings_version"], now["app_settings_oldest_version"],
			now["app_settings_versions_acting"], now["app_settings_stale_members"], now["app_settings_cut_off"]})
	}
	version(4)
	w.told["settings_version"] = 3
	require.False(t, w.reload())
	require.Contains(t, w.log.String(), "version 3 is older than 4")
	w.told["settings_version"], w.settings()["period"] = 4, 5
	require.False(t, w.reload())
	require.Contains(t, w.log.String(), "another content")
	w.settings()["period"] = 4
	require.True(t, w.reload(), "the same once more")
	version(4)
	w.told["settings_version"], w.settings()["period"] = 6, 5
	require.True(t, w.reload())
	version(6)
}
