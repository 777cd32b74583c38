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

// maxListDelay is how soon the daemon must have discovery's list once discovery can be reached. A host that drains gets no
// new request later than that plus the drain grace.
const maxListDelay = 6*time.Second + 500*time.Millisecond

// startIdleClients opens connections until the end of the test, faster than the daemon closes idle ones. Some stay silent,
// some send half a request, most send one request and stay open. The result counts the connections.
func (env *testEnv) startIdleClients() *atomic.Int64 {
	const completeRequest = "GET /up HTTP/1.1\r\n\r\n"
	idle, made := []string{"", "GET /api/1 HT", completeRequest, completeRequest, completeRequest}, &atomic.Int64{}
	for i := range 4 {
		go func() {
			for n := i; ; n++ {
				select {
				case <-env.testDone:
					return
				case <-time.After(8 * time.Millisecond): // 500 a second in all
				}
				c, err := net.Dial("tcp", env.addr)
				if err != nil { // the test is over, or fails because requests get no response
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

// openDescriptors returns how many descriptors the daemon has open.
func (env *testEnv) openDescriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", env.cmd.Process.Pid))
	require.NoError(env.t, err)
	return len(open)
}

// Idle clients take every descriptor for clients while discovery refuses connections or accepts them and stays silent. Other
// clients are still served by the known hosts, and the list counts in time once discovery is back, because the daemon
// reserves descriptors for discovery.
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
				if !refuses { // the kernel accepts connections, which nothing reads
					ln, err = net.Listen("tcp", discovery)
					require.NoError(t, err)
				}
			}
			env.start()
			made := env.startIdleClients()
			asked, held := 0, 0
			ask := func() (served bool) { // an idle client may take the connection's place first
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
			require.Greater(t, held, 50, "every descriptor for clients is taken")
			if ln != nil {
				ln.Close() // resets the accepted connections
			}
			back, err := net.Listen("tcp", discovery)
			require.NoError(t, err)
			list := discoveryMessage(7, true, hostEntry("h1", env.hostAddrs["h1"], "Terminating"), hostEntry("h2", env.hostAddrs["h2"], "Ready"))
			listSent := make(chan struct{}, 64)
			s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(rw, list)
				rw.(http.Flusher).Flush()
				listSent <- struct{}{}
				<-r.Context().Done()
			})}
			go func() { _ = s.Serve(back) }()
			t.Cleanup(func() { s.Close() })
			returned := time.Now()
			for len(listSent) == 0 {
				require.Less(t, time.Since(returned), maxListDelay)
				ask()
			}
			answered := time.Now()
			env.eventually(ask) // one turn after the daemon has read the list
			late.Store(true)
			served = 0
			for began := time.Now(); time.Since(began) < down; {
				if ask() {
					served++
				}
			}
			require.Greater(t, served, 20, "by the remaining host")
			require.NotContains(t, env.recorded(), "late", "no new request goes to the draining host")
			require.Less(t, held, sockets*2/3, "descriptors are reserved for discovery, the counter and hosts")
			t.Logf("%d descriptors of %d at the most, %d connections of idle clients, told after %v", held, sockets,
				made.Load(), answered.Sub(returned))
		})
	}
}
