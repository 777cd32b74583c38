package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveSilentCounter runs a counter that never responds and returns its address.
func (env *testEnv) serveSilentCounter() string {
	over := make(chan struct{})
	addr := env.serve(func(http.ResponseWriter, *http.Request) { <-over })
	env.t.Cleanup(func() { close(over) }) // runs before the server is closed, which waits for its handlers
	return addr
}

// Rapid reloads change the counter's address while calls are open at each old address. The calls at every old address end by
// their own timeouts, and the daemon keeps serving.
func TestRapidReloadsChangeCounterAddress(t *testing.T) {
	const (
		moves = 4
		apart = 350 * time.Millisecond // less than the time for which calls at an old address may still be answered
	)
	env := newTestEnv(t).withAdmin()
	env.counterHandler = func(http.ResponseWriter, *http.Request) { <-env.testDone }
	env.start()
	for range moves {
		require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
		env.config["counter"] = env.serveSilentCounter()
		require.True(t, env.reloadConfig())
		time.Sleep(apart) // the interval of the reloads is under test
	}
	ended := make(chan struct{})
	go func() { _ = env.cmd.Wait(); close(ended) }()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-ended:
			require.FailNow(t, "the process has ended", env.cmd.ProcessState.String())
		default:
		}
		require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
	}
	require.NoError(t, syscall.Kill(env.cmd.Process.Pid, 0))
}

// A reload enables a counter where there was none, and the daemon calls it from then on. Another reload disables it, and the
// calls stop.
func TestReloadEnablesAndDisablesCounter(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	withAdminAddr := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		withAdminAddr(config, settings)
		settings["extra"].(object)["hasCounter"] = false
	}
	env.start()
	ask := func() { require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status) }
	ask()
	require.Zero(t, env.counter.Calls())
	env.configSettings()["extra"].(object)["hasCounter"] = true
	require.True(t, env.reloadConfig())
	env.eventually(func() bool { ask(); return env.counter.Calls() > 0 })
	env.configSettings()["extra"].(object)["hasCounter"] = false
	require.True(t, env.reloadConfig())
	ask()
	calls := env.counter.Calls()
	ask()
	require.Equal(t, calls, env.counter.Calls())
}

// waitUntilHangupsAreHandled waits until a process that was just started ignores or catches SIGHUP. That is when its program
// is loaded, before the runtime starts.
func (env *testEnv) waitUntilHangupsAreHandled() {
	status := fmt.Sprintf("/proc/%d/status", env.cmd.Process.Pid)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		text, err := os.ReadFile(status)
		require.NoError(env.t, err)
		if (signalMask(env.t, string(text), "SigIgn:")|signalMask(env.t, string(text), "SigCgt:"))&signalBit(syscall.SIGHUP) != 0 {
			return
		}
	}
	require.Fail(env.t, "the process does not handle SIGHUP")
}

// signalMask returns the signal mask with a name from the status of a process, as the system shows it.
func signalMask(t *testing.T, status, name string) uint64 {
	_, rest, found := strings.Cut(status, name)
	require.True(t, found, name)
	text, _, _ := strings.Cut(rest, "\n")
	mask, err := strconv.ParseUint(strings.TrimSpace(text), 16, 64)
	require.NoError(t, err)
	return mask
}

// signalBit returns the bit of a signal in a signal mask.
func signalBit(s syscall.Signal) uint64 { return 1 << (uint(s) - 1) }

// SIGHUP arrives while a process starts, from when its program is loaded. It becomes ready and reads its configuration
// again.
func TestReloadSignalsDuringStart(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())
	for range 5 {
		env.launch()
		env.waitUntilHangupsAreHandled()
		stop := time.Now().Add(150 * time.Millisecond)
		for time.Now().Before(stop) {
			env.signal(syscall.SIGHUP)
			time.Sleep(500 * time.Microsecond)
		}
		env.eventually(env.isReady)
		env.eventually(func() bool { return env.metrics()["app_reconfig_ok"] > 0 })
		env.signal(syscall.SIGTERM)
		require.Zero(t, env.waitForExit())
	}
}
