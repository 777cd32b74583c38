package upstream

import (
	"cmp"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
)

// upstreamHost is one upstream upstreamHost. Its idle connections are used last in, first out: the few that are in
// use stay warm, the others grow old and are dropped.
type upstreamHost struct {
	name, address string
	bootTime      time.Duration // when it last started, as far as that is told
	leaving       bool          // nothing new goes there
	idle          []*conn
}

// Host enters an upstream host, or what is new of it.
func (p *Pool) Host(name, addr string, boot time.Duration, leaving bool) {
	h := p.hosts[name]
	if h == nil {
		p.hosts[name] = &upstreamHost{name: name, address: addr, bootTime: boot, leaving: leaving}
		return
	}
	// Connections to a process that is no more may stand without a word: a request on one would be lost.
	moved, begun := h.address != addr, boot != h.bootTime && boot != 0
	h.address, h.bootTime, h.leaving = addr, boot, leaving
	if moved || begun || leaving {
		p.CloseIdle(name)
	}
	if moved || leaving {
		p.withdrawPending(h)
	}
}

// Gone drops a host. What is out on it goes on, but for what waits for a connection.
func (p *Pool) Gone(name string) {
	p.CloseIdle(name)
	h := p.hosts[name]
	delete(p.hosts, name)
	if h != nil {
		p.withdrawPending(h)
	}
}

// withdrawPending takes back what waits for a connection to a host that leaves, or was at another address: written
// once that is up, it would come to the host long after it was told.
func (p *Pool) withdrawPending(h *upstreamHost) {
	var waiting []*conn
	for _, c := range p.active {
		if c.host == h && !c.isConnected {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.ref.Stream, b.ref.Stream), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	for _, c := range waiting {
		p.Cancel(c.ref)
		p.reportOutcome(c.ref, c.isProbe, admission.NotSent, core.Answer{})
	}
}

// CloseIdle closes a host's idle connections.
func (p *Pool) CloseIdle(name string) {
	if h := p.hosts[name]; h != nil {
		for len(h.idle) > 0 {
			h.idle[len(h.idle)-1].close(errHostChanged)
		}
	}
}
