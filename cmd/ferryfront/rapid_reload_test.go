package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveSilentCounter is a counter that takes calls and answers none.
func (env *testEnv) serveSilentCounter() string {
	over := make(chan struct{})
	addr := env.serve(func(http.ResponseWriter, *http.Request) { <-over })
	env.t.Cleanup(func() { close(over) }) // before the server is closed, which waits for its handlers
	return addr
}

// Configurations in quick succession move the counter while calls are out at each address that it leaves. What is left
// of every one of them ends in its own time, and the process serves on.
func TestRapidReloadsChangeCounterAddress(t *testing.T) {
	const (
		moves = 4
		apart = 350 * time.Millisecond // less than the time for which calls at an address that was left may be answered
	)
	env := newTestEnv(t).withAdmin()
	env.counterHandler = func(http.ResponseWriter, *http.Request) { <-env.testDone }
	env.start()
	for range moves {
		require.Equal(t, 200, env.mustDo(env.request("GET", "", "stock", nil)).status)
		env.config["counter"] = env.serveSilentCounter()
		require.True(t, env.reloadConfig())
		time.Sleep(apart) // the distance of the reloads is what is tried
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

// A new configuration says that there is a counter where there was none: its calls are made from then on, and another that
// says there is none ends that.
func TestReloadEnablesAndDisablesCounter(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	door := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		door(config, settings)
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

// runtimeStartTime is the time in which a process that was started can't take any signal yet: its program has no say before the
// language's runtime runs.
const runtimeStartTime = 12 * time.Millisecond

// A process is told to read its configuration again while it starts: it comes up and reads it.
func TestReloadSignalsDuringStart(t *testing.T) {
	env := newTestEnv(t).withAdmin().start()
	env.signal(syscall.SIGTERM)
	require.Zero(t, env.waitForExit())
	for range 5 {
		env.launch()
		time.Sleep(runtimeStartTime)
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
