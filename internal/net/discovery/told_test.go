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

// A change counts as told this long after discovery had it and could be reached, whatever failed before; nothing new may
// be sent to a host that leaves later than that plus the grace of drains.
const (
	countsAsTold = 6 * time.Second
	drainGrace   = 500 * time.Millisecond
)

// failure is what becomes of a call while discovery is away.
type failure int

const (
	refused      failure = iota // no connection comes up
	closed                      // it is closed without an answer
	turnedAway                  // it is answered with 503
	neverBegun                  // it is accepted, and nothing is heard on it
	fallenSilent                // it brings the list, and nothing after that
	brokenOff                   // it brings the list and ends
	unreadable                  // it brings what is no message
	failures
)

// flaky is a discovery that fails its calls as it is told to, at an address that stays.
type flaky struct {
	t    *testing.T
	addr string

	mu   sync.Mutex
	ln   net.Listener
	how  failure
	up   bool
	list string            // whole, as it is while discovery is up
	open map[net.Conn]bool // that are closed at the end of the test
}

func newFlaky(t *testing.T) *flaky {
	d := &flaky{t: t, open: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", nettest.FreeAddress(t)) // one that nobody is given while this is closed
	require.NoError(t, err)
	d.addr = ln.Addr().String()
	d.serve(ln)
	t.Cleanup(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ln.Close()
		for c := range d.open {
			c.Close()
		}
	})
	return d
}

func (d *flaky) serve(ln net.Listener) {
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

// fail has further calls fail in this way.
func (d *flaky) fail(how failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.how = how
	if how == refused {
		d.ln.Close()
	} else {
		d.listen()
	}
}

// recover has further calls answered with a list. Watches that have fallen silent stay so.
func (d *flaky) recover(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up, d.list = true, list
	d.listen()
}

func (d *flaky) listen() {
	d.ln.Close()
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Errorf("discovery can't be brought back: %v", err)
		return
	}
	d.serve(ln)
}

func (d *flaky) answer(c net.Conn) {
	d.mu.Lock()
	how, up, list := d.how, d.up, d.list
	d.open[c] = true
	d.mu.Unlock()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	switch {
	case up:
		begin(c)
		chunk(c, list)
	case how == closed:
		c.Close()
	case how == turnedAway:
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	case how == fallenSilent, how == brokenOff:
		begin(c)
		chunk(c, hostList(1, "Ready"))
		if how == brokenOff {
			c.Close()
		}
	case how == unreadable:
		begin(c)
		chunk(c, "{\"version\":\n")
	}
}

func hostList(version int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"h","addr":"127.0.0.1:1","state":%q}]}`+"\n", version, state)
}

// leaveTime notes when the upstream pool is told that the host leaves: from then on nothing new goes there.
type leaveTime struct {
	nobody
	loop *loop.Loop
	at   time.Duration
}

func (l *leaveTime) Host(_, _ string, _ time.Duration, leaving bool) {
	if leaving && l.at == 0 {
		l.at = l.loop.Now()
	}
}

func (l *leaveTime) Gone(string) {
	if l.at == 0 {
		l.at = l.loop.Now()
	}
}

// Calls to discovery fail in any order: refused, reset, turned away, silent from the start or after a list, unreadable.
// Then it can be reached again and has a host that drains, or whose absence says that it has left: that is known to
// each ingress in time, in fleets of any size, whether lists are pushed or have to be asked for.
func TestAChangeIsInForceInTimeWhateverFailedBefore(t *testing.T) {
	const away, rounds = 1500 * time.Millisecond, 12
	type ingress struct {
		name   string
		d      *flaky
		leaves *leaveTime
	}
	l, err := loop.New()
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(6, 500))
	start := l.Now()
	var all []ingress
	for _, gateways := range []int{3, 60, 325, 650} {
		for _, pushed := range []bool{true, false} {
			lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: gateways, DrainGrace: drainGrace, HasLocalAgent: pushed})
			require.NoError(t, err)
			for range rounds {
				in := ingress{d: newFlaky(t), leaves: &leaveTime{loop: l}}
				for at := time.Duration(0); at < away; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
					how := failure(rng.IntN(int(failures)))
					in.name += fmt.Sprintf(" %d@%v", how, at)
					l.At(start+at, func() { in.d.fail(how) })
				}
				in.name = fmt.Sprintf("%d ingresses, pushed %v:%s", gateways, pushed, in.name)
				list := hostList(2, "Terminating")
				if len(all)%2 == 0 {
					list = `{"version":2,"full":true,"servers":[]}` + "\n"
				}
				l.At(start+away, func() { in.d.recover(list) })
				known := List{Entries: []Entry{{Addr: "127.0.0.1:1"}}}
				known.Entries[0].Name = "h"
				seed := uint64(len(all))
				l.At(start+time.Millisecond, func() {
					New(l, lim, slog.New(slog.DiscardHandler), in.d.addr, nobody{}, in.leaves, known, seed)
				})
				all = append(all, in)
			}
		}
	}
	limit := start + away + countsAsTold + drainGrace
	l.At(limit, l.Stop)
	require.NoError(t, l.Run(turns(func() {
		for _, in := range all {
			if in.leaves.at == 0 {
				return
			}
		}
		l.Stop()
	})))
	worst := time.Duration(0)
	for _, in := range all {
		worst = max(worst, in.leaves.at-start-away)
		if in.leaves.at == 0 || in.leaves.at > limit {
			t.Errorf("the host that leaves is still in use %v after the change could be had: %s",
				countsAsTold+drainGrace, in.name)
		}
	}
	t.Logf("%d ingresses: at the latest after %v", len(all), worst)
}
