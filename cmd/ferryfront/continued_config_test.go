package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/daemon"
)

// withControlSocket gives the daemon a control socket and returns its path.
func (env *testEnv) withControlSocket() (socket string) {
	socket = filepath.Join(env.t.TempDir(), "control.sock")
	env.args = append(env.args, "--control", socket)
	return socket
}

// addClass adds a class to the settings of the configuration. It is served once they are in use.
func (env *testEnv) addClass(name string) {
	all := env.configSettings()["classes"].([]object)
	env.configSettings()["classes"] = append(all[:len(all):len(all)], object{"name": name, "effect": "retryable", "onTime": 1000,
		"deadline": 2000, "value": 1, "dedupScope": "cell", "repeatWindow": 0})
}

// servesClass reports whether requests of a class are served, and not rejected as unknown.
func (env *testEnv) servesClass(name string) bool {
	got, err := env.do(env.request("GET", "", name, nil))
	return err == nil && got.status == 200
}

// countingDiscovery is a discovery that counts the watches it was asked for.
func (env *testEnv) countingDiscovery(watches *atomic.Int32) string {
	handler := env.discoveryHandler(nil, hostEntry("h1", env.hostAddrs["h1"], "Ready"))
	return env.serve(func(rw http.ResponseWriter, r *http.Request) {
		watches.Add(1)
		handler(rw, r)
	})
}

// Guards against an address that a reload gave and that is lost with the process: the new process of an upgrade, or of a
// replacement, asked the discovery that GW_DISCOVERY names, and kept its list without end where nobody answered there.
func TestNewProcessKeepsDiscoveryOfReload(t *testing.T) {
	for _, way := range []string{"upgrade", "replacement"} {
		t.Run(way, func(t *testing.T) {
			env := newTestEnv(t).withHandoverDir()
			socket := env.withControlSocket()
			env.start()
			env.extraEnv = append(env.extraEnv, "GW_DISCOVERY="+fmt.Sprint(env.config["discovery"]))
			var atOld, atNew atomic.Int32
			env.config["discovery"] = env.countingDiscovery(&atOld)
			require.True(t, env.reloadConfig())
			env.eventually(func() bool { return atOld.Load() == 1 })
			env.config["discovery"] = env.countingDiscovery(&atNew)
			require.True(t, env.reloadConfig())
			env.eventually(func() bool { return atNew.Load() == 1 })
			if way == "upgrade" {
				env.requestUpgrade(socket)
			} else {
				env.eventually(env.startReplacement().isReady)
			}
			env.eventually(func() bool { return atNew.Load() == 2 })
			require.EqualValues(t, 1, atOld.Load())
		})
	}
}

// Guards against a configuration that is lost when a process takes its place back: it served under the settings of before
// the upgrade, and without end.
func TestProcessThatTakesItsPlaceBackKeepsConfigurationOfSuccessor(t *testing.T) {
	for _, readsReload := range []bool{true, false} {
		t.Run(fmt.Sprintf("successor reads the reload: %v", readsReload), func(t *testing.T) {
			env := newTestEnv(t)
			release := make(chan struct{})
			defer close(release)
			half := env.halfResponseHandler(release)
			env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Has("sized") {
					half(rw, r)
					return
				}
				env.echo(rw, r)
			}
			socket := env.withControlSocket()
			env.start()
			env.readHalfResponse("1", "sized", "HTTP/1.1", "") // keeps the old process
			successor := env.requestUpgrade(socket).Pid
			var watches atomic.Int32
			env.addClass("bulk")
			env.config["discovery"] = env.countingDiscovery(&watches)
			env.writeConfig()
			if readsReload {
				require.NoError(t, syscall.Kill(successor, syscall.SIGHUP))
				env.eventually(func() bool { return strings.Contains(env.log.String(), "configuration reloaded") })
				env.eventually(func() bool { return watches.Load() == 1 })
			} else {
				require.NoError(t, syscall.Kill(successor, syscall.SIGSTOP))
				env.signal(syscall.SIGHUP) // the old process passes it on
				env.eventually(func() bool { return strings.Contains(env.log.String(), "reload passed on") })
			}
			require.NoError(t, syscall.Kill(successor, syscall.SIGKILL))
			env.eventually(func() bool { return strings.Contains(env.log.String(), "listeners taken back") })
			env.eventually(func() bool { return env.servesClass("bulk") })
			env.eventually(func() bool { return watches.Load() > 0 })
			if readsReload {
				env.eventually(func() bool { return watches.Load() == 2 })
			}
		})
	}
}

// Guards against a file that a reload has turned down and that a new process acts on: an upgrade is refused as long as the
// file is wrong, and a replacement goes on under the configuration of the process before it.
func TestNewProcessDoesNotActOnRejectedFile(t *testing.T) {
	env := newTestEnv(t).withHandoverDir()
	socket := env.withControlSocket()
	env.start()
	accepted := env.configSettings()["classes"].([]object)
	env.addClass("bulk")
	delete(accepted[2], "dedupScope")
	require.False(t, env.reloadConfig())
	_, err := daemon.Upgrade(t.Context(), socket, func(daemon.Progress) {})
	require.ErrorContains(t, err, "dedupScope is missing")
	require.False(t, env.servesClass("bulk"))

	first := env.firstProcess()
	env.eventually(env.startReplacement().isReady)
	env.requireExit(first)
	require.Contains(t, env.log.String(), "taken over")
	require.False(t, env.servesClass("bulk"))
	require.True(t, env.servesClass("stock"))
}

// A file that a reload would turn down for what it has lacked from the start does not stand in the way of an upgrade.
func TestUpgradeKeepsFileThatLacksAKeyFromTheStart(t *testing.T) {
	env := newTestEnv(t)
	socket := env.withControlSocket()
	env.modifyConfig = func(_, settings map[string]any) { delete(settings["limits"].(object), "maxAttempts") }
	env.start()
	env.requestUpgrade(socket)
	require.True(t, env.servesClass("stock"))
}
