package upstream

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// HandOver gives every idle connection away, now and from now on as requests end: a new one costs an upstream
// host a handshake, and its first request the time of it. The descriptor is the receiver's.
func (p *Pool) HandOver(to func(host string, since time.Duration, fd int)) {
	p.hand = to
	names := make([]string, 0, len(p.hosts))
	for name := range p.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		h := p.hosts[name]
		idle := h.idle
		h.idle = nil
		for _, c := range idle {
			c.give()
		}
	}
}

// StopHandOver ends giving away.
func (p *Pool) StopHandOver() { p.hand = nil }

// SetPredecessorConnections tells how many connections another process of this ingress holds: they count in the common bound.
func (p *Pool) SetPredecessorConnections(n int) { p.elsewhere = max(0, n) }

// ActiveRequests tells how many connections carry a request.
func (p *Pool) ActiveRequests() int { return len(p.out) }

func (c *conn) give() {
	fd := c.src.Detach()
	c.p.conns--
	c.p.hand(c.h.name, c.since, fd)
}

// AdoptConnection goes on with an idle connection of another process. One to a host that is not known here is closed.
func (p *Pool) AdoptConnection(name string, since time.Duration, fd int) error {
	p.elsewhere = max(0, p.elsewhere-1)
	h := p.hosts[name]
	if h == nil || h.leaving || p.conns+p.elsewhere >= p.lim.MaxUpstreamConns {
		loop.CloseFD(fd)
		return nil
	}
	c := &conn{p: p, h: h, addr: h.addr, up: true, since: since,
		parser: http1.NewResponseParser(p.lim.MaxHeaderBytes, p.lim.MaxBodyBytes, p.lim.MaxBufferedBodyBytes)}
	var err error
	if c.src, err = p.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	p.conns++
	at, _ := slices.BinarySearchFunc(h.idle, since, func(o *conn, t time.Duration) int { return int(o.since - t) })
	h.idle = slices.Insert(h.idle, at, c)
	return nil
}
