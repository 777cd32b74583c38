package controlserver

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/nettest"
)

// direction is one way through a proxy, in which data can be held up.
type direction struct {
	mu   sync.Mutex
	held chan struct{} // closed when data flows again; nil: it flows
}

func (d *direction) hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == nil {
		d.held = make(chan struct{})
	}
}

func (d *direction) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held != nil {
		close(d.held)
		d.held = nil
	}
}

func (d *direction) wait() {
	d.mu.Lock()
	held := d.held
	d.mu.Unlock()
	if held != nil {
		<-held
	}
}

// copy passes data on until either side ends.
func (d *direction) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		d.wait()
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// proxy stands between a replica's raft port and the other replicas.
type proxy struct {
	listener net.Listener
	target   string
	requests direction
	answers  direction
}

func newProxy(t *testing.T) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: nettest.FreeAddress(t)}
	t.Cleanup(func() {
		_ = l.Close()
		p.requests.release()
		p.answers.release()
	})
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go p.requests.copy(to, from)
		go p.answers.copy(from, to)
	}
}

// Both followers have answered heartbeats that began before the check; the answers arrive after it began, as they do
// at a process that was paused. They are no proof that this replica still leads.
func TestAnswersFromBeforeTheCheckDoNotConfirmTheLeader(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	proxies := map[string]*proxy{}
	var replicas []Replica
	for _, r := range g.configs["a"].Replicas {
		proxies[r.ID] = newProxy(t)
		replicas = append(replicas, Replica{r.ID, proxies[r.ID].listener.Addr().String(), r.Listen})
	}
	for _, id := range g.ids {
		cfg := g.configs[id]
		cfg.Replicas = replicas
		cfg.Election = Election{Heartbeat: time.Second, Election: time.Second, Lease: time.Second, Commit: 25 * time.Millisecond}
		g.configs[id] = cfg
		listen, err := net.Listen("tcp", g.address(id))
		require.NoError(t, err)
		raftPort, err := net.Listen("tcp", proxies[id].target)
		require.NoError(t, err)
		g.servers[id], err = Open(cfg, Listeners{listen, raftPort})
		require.NoError(t, err)
	}
	leader := g.leader()
	node := g.servers[leader].node
	term, leads := node.leads()
	require.True(t, leads)
	require.NoError(t, node.verifyLeader(term))

	others := func(do func(p *proxy)) {
		for id, p := range proxies {
			if id != leader {
				do(p)
			}
		}
	}
	others(func(p *proxy) { p.answers.hold() })
	time.Sleep(300 * time.Millisecond) // longer than between two heartbeats: one to each follower has no answer yet
	others(func(p *proxy) { p.requests.hold() })
	result := make(chan error, 1)
	go func() { result <- node.verifyLeader(term) }()
	time.Sleep(50 * time.Millisecond)
	others(func(p *proxy) { p.answers.release() })
	require.Error(t, <-result)
	others(func(p *proxy) { p.requests.release() })
}
