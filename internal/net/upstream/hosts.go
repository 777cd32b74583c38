package upstream

import (
	"cmp"
	"slices"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
)

// upstreamHost is one upstream host. Its idle connections are used last in, first out: the few that suffice stay
// in frequent use, and the others reach the idle timeout.
type upstreamHost struct {
	name, address string
	bootTime      time.Duration // last start of the host; 0: not known
	leaving       bool          // no new requests are sent to it
	idle          []*conn       // longest idle first
}

// SetHost adds an upstream host, or updates it. The address has the form ip:port; bootTime is the last start of the host,
// 0 if it is not known. A host that is leaving gets no new requests.
func (p *Pool) SetHost(name, address string, bootTime time.Duration, leaving bool) {
	h := p.hosts[name]
	if h == nil {
		p.hosts[name] = &upstreamHost{name: name, address: address, bootTime: bootTime, leaving: leaving}
		return
	}
	// Connections to a process that no longer exists may still look open here: a request on one would be lost.
	moved, restarted := h.address != address, bootTime != h.bootTime && bootTime != 0
	h.address, h.bootTime, h.leaving = address, bootTime, leaving
	if moved || restarted || leaving {
		p.CloseIdle(name)
	}
	switch {
	case moved || leaving:
		p.withdrawPending(h)
	case restarted:
		p.moveResting(h)
	}
}

// moveResting starts the requests that wait until their connection has rested on others: the process at the other end has
// ended.
func (p *Pool) moveResting(host *upstreamHost) {
	for _, c := range p.waitingFor(host) {
		if c.isResting() {
			c.moveRequest()
		}
	}
}

// RemoveHost removes a host. Requests that are in progress on it continue; those that wait for a connection end as not sent.
func (p *Pool) RemoveHost(name string) {
	p.CloseIdle(name)
	h := p.hosts[name]
	delete(p.hosts, name)
	if h != nil {
		p.withdrawPending(h)
	}
}

// withdrawPending ends the requests that wait for a connection to a host that leaves or has moved, or until it has rested,
// as not sent. Written then, they would reach the host after the change was announced.
func (p *Pool) withdrawPending(host *upstreamHost) {
	for _, c := range p.waitingFor(host) {
		p.Cancel(c.ref)
		p.reportOutcome(c.ref, c.isProbe, admission.NotSent, core.Answer{})
	}
}

// waitingFor returns the connections to a host whose request is not written yet, in the order of the requests.
func (p *Pool) waitingFor(host *upstreamHost) (waiting []*conn) {
	for _, c := range p.active {
		if c.host == host && c.message != nil {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.ref.Stream, b.ref.Stream), cmp.Compare(a.ref.Attempt, b.ref.Attempt))
	})
	return waiting
}

// CloseIdle closes the idle connections to a host.
func (p *Pool) CloseIdle(name string) {
	if h := p.hosts[name]; h != nil {
		for len(h.idle) > 0 {
			h.idle[len(h.idle)-1].close(errHostChanged)
		}
	}
}
