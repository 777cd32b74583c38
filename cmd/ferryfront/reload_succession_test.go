package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentCounter is a counter that takes calls and answers none.
func (w *world) silentCounter() string {
	over := make(chan struct{})
	addr := w.serve(func(http.ResponseWriter, *http.Request) { <-over })
	w.t.Cleanup(func() { close(over) }) // before the server is closed, which waits for its handlers
	return addr
}

// Configurations in quick succession move the counter while calls are out at each address that it leaves. What is left
// of every one of them ends in its own time, and the process serves on.
func TestReloadsInQuickSuccessionMoveTheCounter(t *testing.T) {
	const (
		moves = 4
		apart = 350 * time.Millisecond // less than the time for which calls at an address that was left may be answered
	)
	w := newWorld(t).withDoor()
	w.counter = func(http.ResponseWriter, *http.Request) { <-w.over }
	w.start()
	for range moves {
		require.Equal(t, 200, w.get(w.request("GET", "", "stock", nil)).status)
		w.told["counter"] = w.silentCounter()
		require.True(t, w.reload())
		time.Sleep(apart) // the distance of the reloads is what is tried
	}
	ended := make(chan struct{})
	go func() { _ = w.cmd.Wait(); close(ended) }()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-ended:
			require.FailNow(t, "the process has ended", w.cmd.ProcessState.String())
		default:
		}
		require.Equal(t, 200, w.get(w.request("GET", "", "stock", nil)).status)
	}
	require.NoError(t, syscall.Kill(w.cmd.Process.Pid, 0))
}

// A new configuration says that there is a counter where there was none: its calls are made from then on, and another that
// says there is none ends that.
func TestACounterThatComesAndGoes(t *testing.T) {
	w := newWorld(t).withDoor()
	door := w.change
	w.change = func(config, settings map[string]any) {
		door(config, settings)
		settings["extra"].(obj)["hasCounter"] = false
	}
	w.start()
	ask := func() { require.Equal(t, 200, w.get(w.request("GET", "", "stock", nil)).status) }
	ask()
	require.Zero(t, w.numbers.Calls())
	w.settings()["extra"].(obj)["hasCounter"] = true
	require.True(t, w.reload())
	w.until(func() bool { ask(); return w.numbers.Calls() > 0 })
	w.settings()["extra"].(obj)["hasCounter"] = false
	require.True(t, w.reload())
	ask()
	calls := w.numbers.Calls()
	ask()
	require.Equal(t, calls, w.numbers.Calls())
}

// runtimeStarts is the time in which a process that was started can't take any signal yet: its program has no say before the
// language's runtime runs.
const runtimeStarts = 12 * time.Millisecond

// A process is told to read its configuration again while it starts: it comes up and reads it.
func TestReloadsWhileAProcessStarts(t *testing.T) {
	w := newWorld(t).withDoor().start()
	w.signal(syscall.SIGTERM)
	require.Zero(t, w.ends())
	for range 5 {
		w.launch()
		time.Sleep(runtimeStarts)
		stop := time.Now().Add(150 * time.Millisecond)
		for time.Now().Before(stop) {
			w.signal(syscall.SIGHUP)
			time.Sleep(500 * time.Microsecond)
		}
		w.until(w.ready)
		w.until(func() bool { return w.figures()["app_reconfig_ok"] > 0 })
		w.signal(syscall.SIGTERM)
		require.Zero(t, w.ends())
	}
}
