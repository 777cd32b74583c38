package discovery

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

const (
	// propagationLimit is the time within which an ingress must have applied a change, from when discovery has the change and
	// can be reached, whatever failed before.
	propagationLimit = 6 * time.Second
	// drainGrace is how long after propagationLimit a leaving host may still get new requests.
	drainGrace = 500 * time.Millisecond
)

// failureMode is how watches fail while discovery is unavailable.
type failureMode int

const (
	refused         failureMode = iota // the connection is refused
	closed                             // the connection is closed without a response
	unavailable                        // the response has status 503
	noResponse                         // the connection is accepted and gets no response
	silentAfterList                    // the response sends the list and nothing after it
	closedAfterList                    // the response sends the list, then the connection is closed
	malformed                          // the response is not a valid message
	failureModes                       // number of modes
)

// flakyServer is a fake discovery service at a fixed address that fails watches in a way that can be set.
type flakyServer struct {
	t    *testing.T
	addr string

	mu      sync.Mutex
	ln      net.Listener
	failure failureMode
	isUp    bool
	list    string            // full list, sent while isUp
	conns   map[net.Conn]bool // all accepted; closed at the end of the test
}

func newFlakyServer(t *testing.T) *flakyServer {
	d := &flakyServer{t: t, conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", nettest.FreeAddress(t)) // stays free while the listener is closed
	require.NoError(t, err)
	d.addr = ln.Addr().String()
	d.serve(ln)
	t.Cleanup(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ln.Close()
		for c := range d.conns {
			c.Close()
		}
	})
	return d
}

func (d *flakyServer) serve(ln net.Listener) {
	d.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.answer(c)
		}
	}()
}

// setFailure makes further watches fail in this way.
func (d *flakyServer) setFailure(mode failureMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = mode
	if mode == refused {
		d.ln.Close()
	} else {
		d.relisten()
	}
}

// restore makes further watches succeed with a list. Watches that have fallen silent stay silent.
func (d *flakyServer) restore(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isUp, d.list = true, list
	d.relisten()
}

// relisten replaces the listener by a new one at the same address.
func (d *flakyServer) relisten() {
	d.ln.Close()
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Errorf("cannot listen again: %v", err)
		return
	}
	d.serve(ln)
}

func (d *flakyServer) answer(c net.Conn) {
	d.mu.Lock()
	mode, isUp, list := d.failure, d.isUp, d.list
	d.conns[c] = true
	d.mu.Unlock()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	switch {
	case isUp:
		startResponse(c)
		writeChunk(c, list)
	case mode == closed:
		c.Close()
	case mode == unavailable:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	case mode == silentAfterList, mode == closedAfterList:
		startResponse(c)
		writeChunk(c, hostList(1, "Ready"))
		if mode == closedAfterList {
			c.Close()
		}
	case mode == malformed:
		startResponse(c)
		writeChunk(c, "{\"version\":\n")
	}
}

func hostList(version int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"h","addr":"127.0.0.1:1","state":%q}]}`+"\n", version, state)
}

// leaveRecorder is a Hosts that records when the host is reported as leaving or gone: from then on it gets no new requests.
type leaveRecorder struct {
	discardSink
	loop   *loop.Loop
	leftAt time.Duration
}

func (l *leaveRecorder) SetHost(_, _ string, _ time.Duration, leaving bool) {
	if leaving && l.leftAt == 0 {
		l.leftAt = l.loop.Now()
	}
}

func (l *leaveRecorder) RemoveHost(string) {
	if l.leftAt == 0 {
		l.leftAt = l.loop.Now()
	}
}

// Watches fail in every way and in random order: refused, closed, answered with 503, silent from the start or after a list,
// malformed. Then discovery works again, and its list has a host that is draining or leaves it out. Each ingress must apply
// that within propagationLimit, in fleets of several sizes, whether or not discovery is an agent on its own machine.
func TestChangeIsAppliedInTimeAfterAnyFailures(t *testing.T) {
	const outage, rounds = 1500 * time.Millisecond, 12
	type ingress struct {
		name      string
		discovery *flakyServer
		leaves    *leaveRecorder
	}
	l, err := loop.New()
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(6, 500))
	start := l.Now()
	var all []ingress
	for _, ingresses := range []int{3, 60, 325, 650} {
		for _, hasLocalAgent := range []bool{true, false} {
			bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: ingresses,
				DrainGrace: drainGrace, HasLocalAgent: hasLocalAgent})
			require.NoError(t, err)
			for range rounds {
				in := ingress{discovery: newFlakyServer(t), leaves: &leaveRecorder{loop: l}}
				for at := time.Duration(0); at < outage; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
					mode := failureMode(rng.IntN(int(failureModes)))
					in.name += fmt.Sprintf(" %d@%v", mode, at)
					l.At(start+at, func() { in.discovery.setFailure(mode) })
				}
				in.name = fmt.Sprintf("%d ingresses, local agent %v:%s", ingresses, hasLocalAgent, in.name)
				list := hostList(2, "Terminating")
				if len(all)%2 == 0 {
					list = `{"version":2,"full":true,"servers":[]}` + "\n"
				}
				l.At(start+outage, func() { in.discovery.restore(list) })
				known := List{Entries: []Entry{{Addr: "127.0.0.1:1"}}}
				known.Entries[0].Name = "h"
				seed := uint64(len(all))
				l.At(start+time.Millisecond, func() {
					New(l, bounds, slog.New(slog.DiscardHandler), in.discovery.addr, discardSink{}, in.leaves, known, seed)
				})
				all = append(all, in)
			}
		}
	}
	deadline := start + outage + propagationLimit + drainGrace
	l.At(deadline, l.Stop)
	require.NoError(t, l.Run(turnFunc(func() {
		for _, in := range all {
			if in.leaves.leftAt == 0 {
				return
			}
		}
		l.Stop()
	})))
	longest := time.Duration(0)
	for _, in := range all {
		longest = max(longest, in.leaves.leftAt-start-outage)
		if in.leaves.leftAt == 0 || in.leaves.leftAt > deadline {
			t.Errorf("the leaving host is still in use %v after discovery could be reached with the change: %s",
				propagationLimit+drainGrace, in.name)
		}
	}
	t.Logf("%d ingresses: the last applied the change after %v", len(all), longest)
}
