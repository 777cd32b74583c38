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
	p.transfer = to
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
			c.handOver()
		}
	}
}

// StopHandOver ends giving away.
func (p *Pool) StopHandOver() { p.transfer = nil }

// SetPredecessorConnections tells how many connections another process of this ingress holds: they count in the common bound.
func (p *Pool) SetPredecessorConnections(n int) { p.predecessorConns = max(0, n) }

// ActiveRequests tells how many connections carry a request.
func (p *Pool) ActiveRequests() int { return len(p.active) }

func (c *conn) handOver() {
	fd := c.source.Detach()
	c.pool.connCount--
	c.pool.transfer(c.host.name, c.idleSince, fd)
}

// AdoptConnection goes on with an idle connection of another process. One to a host that is not known here is closed.
func (p *Pool) AdoptConnection(name string, since time.Duration, fd int) error {
	p.predecessorConns = max(0, p.predecessorConns-1)
	h := p.hosts[name]
	if h == nil || h.leaving || p.connCount+p.predecessorConns >= p.bounds.Upstream {
		loop.CloseFD(fd)
		return nil
	}
	c := &conn{pool: p, host: h, address: h.address, isConnected: true, idleSince: since,
		parser: http1.NewResponseParser(p.bounds.HeadBytes, p.bounds.BodyBytes, p.bounds.KeepBytes)}
	var err error
	if c.source, err = p.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	p.connCount++
	at, _ := slices.BinarySearchFunc(h.idle, since, func(o *conn, t time.Duration) int { return int(o.idleSince - t) })
	h.idle = slices.Insert(h.idle, at, c)
	return nil
}
