package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxReadyTime is how soon after a simultaneous restart nine in ten of the ingresses must be ready.
const maxReadyTime = 10 * time.Second

// discoveryState is how the shared discovery of a fleet handles calls.
type discoveryState string

const (
	answering discoveryState = "answering" // sends the list, and nothing after it
	refusing  discoveryState = "refusing"  // refuses connections
	holding   discoveryState = "silent"    // accepts calls and never responds
	queueing  discoveryState = "slow"      // handles calls one by one, each for a second
)

// sharedDiscovery is the discovery of several ingresses. Its address stays the same.
type sharedDiscovery struct {
	t      *testing.T
	addr   string
	list   string
	queue  sync.Mutex
	server *http.Server
}

// setState closes all calls and handles further ones as the state says.
func (d *sharedDiscovery) setState(state discoveryState) {
	if d.server != nil {
		_ = d.server.Close()
	}
	if d.server = nil; state == refusing {
		return
	}
	ln, err := net.Listen("tcp", d.addr)
	require.NoError(d.t, err)
	d.addr = ln.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch state {
		case queueing:
			d.queue.Lock()
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
			d.queue.Unlock()
		case holding:
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(rw, d.list)
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	s := d.server
	go func() { _ = s.Serve(ln) }()
}

// Ten ingresses of a large fleet are killed and restarted at once while their discovery is down, silent or slow. Nine in ten
// must be ready within maxReadyTime and all of them before they count as crashed, and each serves by its known hosts.
func TestIngressesRestartedAtOnceAreReadyInTime(t *testing.T) {
	const fleetSize, restartedIngresses, crashTimeout = 300, 10, 30 * time.Second
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			all := make([]*testEnv, restartedIngresses)
			for i := range all {
				all[i] = newTestEnv(t)
			}
			host := all[0].serve(all[0].echo)
			d := &sharedDiscovery{t: t, addr: "127.0.0.1:0", list: discoveryMessage(5, true, hostEntry("h1", host, "Ready"))}
			d.setState(answering)
			t.Cleanup(func() { d.setState(refusing) })
			for i, env := range all {
				env.hasNoKnownHosts = i%3 == 2 // some have no known hosts and must be ready nevertheless
				env.discoveryAddr, env.hosts, env.externalHostAddrs = d.addr, map[string]http.HandlerFunc{"h1": nil}, map[string]string{"h1": host}
				env.modifyConfig = func(_, settings map[string]any) {
					settings["balancers"], settings["me"], settings["discovery"] = fleetSize, i, mode
				}
				env.start()
			}
			for _, state := range []discoveryState{refusing, holding, queueing} {
				d.setState(state)
				var down sync.WaitGroup
				for _, env := range all {
					require.NoError(t, env.cmd.Process.Kill())
					down.Go(func() { _ = env.cmd.Wait() })
				}
				down.Wait()
				began := time.Now()
				for _, env := range all {
					env.launch()
				}
				took := make([]time.Duration, restartedIngresses)
				var up sync.WaitGroup
				for i, env := range all {
					up.Go(func() {
						for !env.isReady() && time.Since(began) < crashTimeout {
							time.Sleep(5 * time.Millisecond)
						}
						took[i] = time.Since(began)
					})
				}
				up.Wait()
				slices.Sort(took)
				require.Less(t, took[restartedIngresses*9/10-1], maxReadyTime, "discovery %s", state)
				require.Less(t, took[restartedIngresses-1], crashTimeout, "discovery %s", state)
				t.Logf("discovery %s: nine in ten ready after %v, all after %v", state, took[restartedIngresses*9/10-1], took[restartedIngresses-1])
				for i, env := range all {
					if env.hasNoKnownHosts {
						continue
					}
					r := env.request("GET", fmt.Sprintf("/api/%x", 0x100+i), "stock", nil, "X-Quota", "units=1,spread=300,first=0")
					require.Equal(t, 200, env.mustDo(r).status, "discovery %s", state)
				}
			}
		})
	}
}
