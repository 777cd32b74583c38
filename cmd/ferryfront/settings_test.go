package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// configSettings returns the settings of the configuration. A test may change them before the next reload.
func (env *testEnv) configSettings() object { return env.config["settings"].(object) }

// reloadConfig writes the configuration, has the daemon reload it and reports whether it was accepted.
func (env *testEnv) reloadConfig() (accepted bool) {
	env.t.Helper()
	before := env.metrics()
	env.writeConfig()
	return env.sendReload(before)
}

// sendReload sends SIGHUP, waits until one of the two reload metrics differs from before and reports whether the daemon
// accepted the file.
func (env *testEnv) sendReload(before map[string]int) (accepted bool) {
	env.t.Helper()
	env.signal(syscall.SIGHUP)
	now := before
	env.eventually(func() bool {
		now = env.metrics()
		return now["app_reconfig_ok"]+now["app_reconfig_failed"] == before["app_reconfig_ok"]+before["app_reconfig_failed"]+1
	})
	return now["app_reconfig_ok"] > before["app_reconfig_ok"]
}

func TestReloadAddsAndRemovesClasses(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	status := func(class string) int {
		return env.mustDo(env.request("GET", "/api/21", class, nil)).status
	}
	require.Equal(t, 200, status("stock"))
	require.Equal(t, 400, status("bulk"), "an unknown class is a client error")
	all := env.configSettings()["classes"].([]object)
	bulk := object{"name": "bulk", "effect": "retryable", "onTime": 1000, "deadline": 2000, "value": 1, "dedupScope": "cell", "repeatWindow": 0}
	env.configSettings()["classes"] = []object{bulk, all[2], all[1]} // without stock, in another order
	require.True(t, env.reloadConfig())
	require.Equal(t, 200, status("bulk"))
	require.Equal(t, 400, status("stock"))
	got := env.mustDo(env.request("POST", "/api/21", "order", strings.NewReader("x")))
	require.Equal(t, 200, got.status)
	now := env.metrics()
	require.Equal(t, 1, now[callsMetric("stock", "success")], "the metric of a removed class stays")
	require.Equal(t, 1, now[callsMetric("bulk", "success")])
	require.Equal(t, 1, now[callsMetric("order", "success")])
	require.Zero(t, now[callsMetric("catalogue", "success")])
	env.configSettings()["classes"] = all
	require.True(t, env.reloadConfig())
	require.Equal(t, 200, status("stock"))
	require.Equal(t, 2, env.metrics()[callsMetric("stock", "success")])
}

// A class is removed while an order of it is in flight, and added again with stricter settings. The order in flight gets its
// response by the old class, and a new order is handled by the new one.
func TestClassIsRemovedDuringOrder(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	release := make(chan struct{})
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "wait" {
			env.waitFor(release)
		}
		env.echo(rw, r)
	}
	env.start()
	first := make(chan response, 1)
	r := env.request("POST", "/api/22?wait", "order", strings.NewReader("x"))
	go func() { got, _ := env.do(r); first <- got }()
	env.eventually(func() bool { return env.metrics()["app_inflight"] == 1 })
	all := env.configSettings()["classes"].([]object)
	env.configSettings()["classes"] = all[:2]
	require.True(t, env.reloadConfig())
	require.Equal(t, 400, env.mustDo(env.request("POST", "/api/22", "order", strings.NewReader("x"))).status)
	strict := object{"name": "order", "effect": "fragile", "onTime": 1000, "deadline": 3000, "value": 1, "dedupScope": "cell", "repeatWindow": 3000}
	env.configSettings()["classes"] = []object{strict, all[0]}
	require.True(t, env.reloadConfig())
	close(release)
	got := <-first
	require.Equal(t, 200, got.status)
	require.Equal(t, 1, env.metrics()[callsMetric("order", "success")])
	require.Equal(t, 200, env.mustDo(env.request("POST", "/api/22", "order", strings.NewReader("x"), "Request-Id", "r2",
		"Idempotency-Key", "k2")).status)
}

// An invalid file changes nothing, even if the rest of it is valid. Each is counted once, and the log names the field.
func TestInvalidFilesAreRejected(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	class := env.configSettings()["classes"].([]object)[0]
	for i, bad := range []func() func(){
		func() func() { class["deadline"] = 0; return func() { class["deadline"] = 3000 } },
		func() func() { class["deadline"] = "soon"; return func() { class["deadline"] = 3000 } },
		func() func() { delete(class, "deadline"); return func() { class["deadline"] = 3000 } },
		func() func() {
			env.configSettings()["limits"].(object)["maxAttempts"] = -1
			return func() { env.configSettings()["limits"].(object)["maxAttempts"] = 3 }
		},
		func() func() {
			m := env.config["settings"]
			delete(env.config, "settings")
			return func() { env.config["settings"] = m }
		},
		func() func() {
			m := env.config["counter"]
			env.config["counter"] = 5
			return func() { env.config["counter"] = m }
		},
		func() func() {
			all := env.configSettings()["classes"].([]object)
			env.configSettings()["classes"] = append(all[:len(all):len(all)], class)
			return func() { env.configSettings()["classes"] = all }
		},
	} {
		undo := bad()
		require.False(t, env.reloadConfig(), i)
		undo()
		require.Equal(t, i+1, strings.Count(env.log.String(), "configuration not reloaded"))
	}
	require.Contains(t, env.log.String(), "settings.classes[0].deadline is no time above 0")
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/23", "stock", nil)).status)
	require.True(t, env.reloadConfig())
}

// Ten reloads in quick succession are all read in order, and the last one is in force.
func TestManyReloads(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	for i := range 10 {
		env.configSettings()["classes"] = append(env.configSettings()["classes"].([]object)[:3:3], object{"name": fmt.Sprint("c", i),
			"effect": "retryable", "onTime": 1000, "deadline": 2000, "value": 1, "dedupScope": "", "repeatWindow": 0})
		require.True(t, env.reloadConfig())
	}
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/24", "c9", nil)).status)
	require.Equal(t, 400, env.mustDo(env.request("GET", "/api/24", "c8", nil)).status)
	for range 10 {
		env.signal(syscall.SIGHUP)
	}
	env.eventually(func() bool { return env.metrics()["app_reconfig_ok"] > 10 })
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/24", "c9", nil)).status)
}

// While a class is missing from the settings, the second front has no route of it. Other routes stay.
func TestRouteOfRemovedClass(t *testing.T) {
	env, _, _ := newFrontEnv(t, openAPIDescription, nil)
	require.Equal(t, 200, env.mustDo(env.frontRequest("GET", "/stock?part=1", "")).status)
	all := env.configSettings()["classes"].([]object)
	env.configSettings()["classes"] = all[1:] // without stock
	env.writeConfig()
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return env.mustDo(env.frontRequest("GET", "/stock?part=1", "")).status == 404 })
	require.Equal(t, 200, env.mustDo(env.frontRequest("GET", "/prices/1", "")).status)
	env.configSettings()["classes"] = all
	env.writeConfig()
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return env.mustDo(env.frontRequest("GET", "/stock?part=1", "")).status == 200 })
}

// Reloads still work during a drain, because open requests may need the new addresses. They are counted as usual.
func TestReloadDuringDrain(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	release := make(chan struct{})
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.waitFor(release)
		env.echo(rw, r)
	}
	env.start()
	first := make(chan response, 1)
	r := env.request("GET", "/api/25", "stock", nil)
	go func() { got, _ := env.do(r); first <- got }()
	env.eventually(func() bool { return env.metrics()["app_inflight"] == 1 })
	env.signal(syscall.SIGTERM)
	env.eventually(func() bool { return env.queryAdmin("STATUS") == "400 not ready\n" })
	env.configSettings()["classes"] = env.configSettings()["classes"].([]object)[1:]
	require.True(t, env.reloadConfig())
	close(release)
	require.Equal(t, 200, (<-first).status)
	require.Zero(t, env.waitForExit())
}

// Settings with a version number are accepted only in ascending order, also by an ingress without peers. The admin endpoint
// shows the version in force.
func TestSettingsVersions(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	withAdminAddr := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		withAdminAddr(config, settings)
		config["settings_version"] = 4
	}
	env.start()
	version := func(n int) {
		t.Helper()
		require.Equal(t, fmt.Sprintf("200 ready settings=%d\n", n), env.queryAdmin("STATUS"))
		now := env.metrics()
		require.Equal(t, []int{n, n, 1, 0, 0}, []int{now["app_settings_version"], now["app_settings_oldest_version"],
			now["app_settings_versions_acting"], now["app_settings_stale_members"], now["app_settings_cut_off"]})
	}
	version(4)
	env.config["settings_version"] = 3
	require.False(t, env.reloadConfig())
	require.Contains(t, env.log.String(), "version 3 is older than 4")
	env.config["settings_version"], env.configSettings()["period"] = 4, 5
	require.False(t, env.reloadConfig())
	require.Contains(t, env.log.String(), "another content")
	env.configSettings()["period"] = 4
	require.True(t, env.reloadConfig(), "the same version and content again")
	version(4)
	env.config["settings_version"], env.configSettings()["period"] = 6, 5
	require.True(t, env.reloadConfig())
	version(6)
}
