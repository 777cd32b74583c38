package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/standin"
)

// noFaults injects nothing into any process.
func noFaults(int) string { return "" }

// sameFaults injects the same into each process.
func sameFaults(text string) func(int) string { return func(int) string { return text } }

// The operators' incident: each process is given several configurations in quick succession that move counter and
// discovery, while the counter answers nothing, so that calls are out at every address that is left.
func TestReloadsInQuickSuccessionAtASilentCounter(t *testing.T) {
	w := newWorld(t, 3, noFaults)
	w.run(5*time.Second, 120, 1, func() {
		for _, p := range w.counters {
			p.Set(standin.ProxyFault{Stall: true})
		}
		for round := range 6 {
			for ingress := range w.clients {
				w.reload(ingress, func(config, _ map[string]any) {
					config["counter"] = w.counters[round%len(w.counters)].Addr()
					config["discovery"] = w.discovery[(round+1)%len(w.discovery)].Addr()
				})
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// A process is stopped for longer than any slack, again and again, while clients leave: what they asked for is not begun
// when it goes on, and hosts are told what is left.
func TestStoppedAndContinued(t *testing.T) {
	w := newWorld(t, 2, noFaults)
	for ingress := range w.clients { // without a counter nothing is waited for between a request's reading and its sending
		w.reload(ingress, func(_, settings map[string]any) { settings["extra"].(map[string]any)["hasCounter"] = false })
	}
	w.run(6*time.Second, 250, 2, func() {
		for _, length := range []time.Duration{150, 300, 700, 1200} {
			require.NoError(t, w.signal(0, syscall.SIGSTOP))
			time.Sleep(length * time.Millisecond)
			require.NoError(t, w.signal(0, syscall.SIGCONT))
			time.Sleep(400 * time.Millisecond)
		}
	})
}

// System calls fail now and then for as long as the processes live. Nothing is lost by it, and next to nothing refused.
func TestSystemCallsThatFail(t *testing.T) {
	for _, text := range []string{"accept=0.3", "socket=0.3", "connect=0.3", "interrupt=0.5", "short=0.5", "broken=0.02",
		"accept=0.2,socket=0.2,connect=0.2,interrupt=0.2,short=0.2"} {
		t.Run(text, func(t *testing.T) {
			w := newWorld(t, 2, sameFaults("seed=7,"+text))
			w.run(2*time.Second, 120, 3, func() {})
			served, all := 0, 0
			for _, a := range w.world.Record.Answers() {
				if a.Plan != "boutique" {
					continue
				}
				if all++; a.Status == 200 {
					served++
				}
			}
			if !strings.Contains(text, "broken") { // a request on a connection that breaks may have run
				require.Greater(t, float64(served), 0.9*float64(all))
			}
		})
	}
}

// The wall clock is stepped while processes serve: deadlines, waits and slow starts go by real time. Hosts start cold after
// that, whose clocks were stepped, too, or were not.
func TestTheWallClockIsStepped(t *testing.T) {
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			w := newWorld(t, 3, sameFaults("from=1s,step="+step.String()))
			rng := rand.New(rand.NewPCG(1, 1))
			w.run(4500*time.Millisecond, 250, 4, func() {
				time.Sleep(1500 * time.Millisecond)
				w.startCold(rng)
				time.Sleep(500 * time.Millisecond)
				w.startColdStepped(rng, step)
			})
		})
	}
}

// Connections can't be accepted while a process is told to end: those that the system has taken meanwhile are not reset
// with what they have sent, but answered.
func TestAPlannedEndWhileNothingCanBeAccepted(t *testing.T) {
	// Of the 0.7 s in which new connections are taken after SIGTERM the last half is spoilt, and a moment more.
	w := newWorld(t, 1, func(int) string { return "from=1000ms,until=1700ms,accept=1" })
	started := time.Now()
	time.Sleep(time.Until(started.Add(700 * time.Millisecond)))
	require.NoError(t, w.signal(0, syscall.SIGTERM))
	time.Sleep(450 * time.Millisecond)
	var requests sync.WaitGroup
	for i := range 20 { // none of them can be accepted before the listener would have closed
		requests.Go(func() {
			w.clients[0].Do(standin.Ask{ID: fmt.Sprint("late", i), Customer: standin.CustomerName(i), Class: "stock", Plan: "boutique"})
		})
	}
	requests.Wait()
	<-w.world.Ingresses[0].Ended()
	for _, a := range w.world.Record.Answers() {
		require.NotZero(t, a.Status, "%s: %s", a.ID, a.Lost)
	}
	log, err := os.ReadFile(w.world.Ingresses[0].Log)
	require.NoError(t, err)
	require.Contains(t, string(log), "drained")
	require.Contains(t, string(log), "accepting paused")
}

// The machine is short of something, so that nothing can be accepted: that costs no connection which is there, since none of
// them would bring it back.
func TestAShortageOfTheMachineCostsNoConnection(t *testing.T) {
	w := newWorld(t, 1, sameFaults("from=1s,until=2s,shortage=1"))
	idle, err := net.Dial("tcp", w.world.Ingresses[0].Addr)
	require.NoError(t, err)
	defer idle.Close()
	answers := bufio.NewReader(idle)
	ask := func() {
		require.NoError(t, idle.SetDeadline(time.Now().Add(requestTimeout)))
		_, err := io.WriteString(idle, "GET /up HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
	}
	ask()
	time.Sleep(1200 * time.Millisecond) // into the shortage
	var requests sync.WaitGroup
	for i := range 10 {
		requests.Go(func() {
			w.clients[0].Do(standin.Ask{ID: fmt.Sprint("s", i), Customer: standin.CustomerName(i), Class: "stock", Plan: "boutique"})
		})
	}
	requests.Wait()
	ask()
	w.check()
}
