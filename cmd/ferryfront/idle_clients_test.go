package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What discovery has counts as told this long after it can be reached, and a host that leaves gets nothing new later than
// that and the grace of drains.
const maxListDelay = 6*time.Second + 500*time.Millisecond

// startIdleClients has clients connect again and again, faster than any is given up, until the test is over: some say nothing, some
// half a request, most ask once and rest. It tells how many connections were made.
func (env *testEnv) startIdleClients() *atomic.Int64 {
	const rests = "GET /up HTTP/1.1\r\n\r\n"
	idle, made := []string{"", "GET /api/1 HT", rests, rests, rests}, &atomic.Int64{}
	for i := range 4 {
		go func() {
			for n := i; ; n++ {
				select {
				case <-env.testDone:
					return
				case <-time.After(8 * time.Millisecond): // 500 a second in all
				}
				c, err := net.Dial("tcp", env.addr)
				if err != nil { // the test is over, or sees that nobody is served
					continue
				}
				env.t.Cleanup(func() { c.Close() })
				_, _ = io.WriteString(c, idle[n%len(idle)])
				made.Add(1)
			}
		}()
	}
	return made
}

// openDescriptors is how many the process holds.
func (env *testEnv) openDescriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", env.cmd.Process.Pid))
	require.NoError(env.t, err)
	return len(open)
}

// Idle clients take all descriptors that there are for clients, from before discovery can be reached until long after: it
// refuses, or takes calls and stays silent. Usual clients are served meanwhile by the known hosts, and once it is back its
// list counts in time: the descriptors for that are kept.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	const sockets, down = 192, time.Second
	for _, refuses := range []bool{true, false} {
		t.Run(fmt.Sprintf("refuses %v", refuses), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.isDiscoveryDown, env.maxDescriptors = true, sockets
			env.hosts["h2"] = env.echo
			var late atomic.Bool
			env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
				if late.Load() {
					env.record("late")
				}
				env.echo(rw, r)
			}
			var discovery string
			var ln net.Listener
			env.modifyConfig = func(config, settings map[string]any) {
				config["limits"].(object)["sockets"] = sockets
				discovery = config["discovery"].(string)
				var err error
				if !refuses { // calls are taken by the system and never read
					ln, err = net.Listen("tcp", discovery)
					require.NoError(t, err)
				}
			}
			env.start()
			made := env.startIdleClients()
			asked, held := 0, 0
			ask := func() (served bool) { // a place may be taken before the request is read
				asked++
				got, err := env.do(env.request("GET", fmt.Sprintf("/api/%x", asked), "stock", nil))
				held = max(held, env.openDescriptors())
				return err == nil && got.status == 200
			}
			served := 0
			for began := time.Now(); time.Since(began) < down || made.Load() < 300; {
				if ask() {
					served++
				}
			}
			require.Greater(t, served, 20, "by the hosts known before")
			require.Greater(t, held, 50, "all that clients may hold is taken")
			if ln != nil {
				ln.Close() // resets the calls that it has taken
			}
			back, err := net.Listen("tcp", discovery)
			require.NoError(t, err)
			list := discoveryMessage(7, true, hostEntry("h1", env.hostAddrs["h1"], "Terminating"), hostEntry("h2", env.hostAddrs["h2"], "Ready"))
			told := make(chan struct{}, 64)
			s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(rw, list)
				rw.(http.Flusher).Flush()
				told <- struct{}{}
				<-r.Context().Done()
			})}
			go func() { _ = s.Serve(back) }()
			t.Cleanup(func() { s.Close() })
			returned := time.Now()
			for len(told) == 0 {
				require.Less(t, time.Since(returned), maxListDelay)
				ask()
			}
			answered := time.Now()
			env.eventually(ask) // a turn after it has read the list
			late.Store(true)
			served = 0
			for began := time.Now(); time.Since(began) < down; {
				if ask() {
					served++
				}
			}
			require.Greater(t, served, 20, "by the host that stays")
			require.NotContains(t, env.recorded(), "late", "nothing new goes to the host that leaves")
			require.Less(t, held, sockets*2/3, "what clients may not hold is kept for discovery, the counter and hosts")
			t.Logf("%d descriptors of %d at the most, %d connections of idle clients, told after %v", held, sockets,
				made.Load(), answered.Sub(returned))
		})
	}
}
