package upstream

import (
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// HandOver passes every idle connection to receive, now and whenever a connection becomes idle. Without it, the hosts
// would have to accept new handshakes, and the first requests of the other process would wait for them. receive gets the
// host's name, the loop time since which the connection has been idle, and the descriptor, which it then owns.
func (p *Pool) HandOver(receive func(host string, since time.Duration, fd int)) {
	p.transfer = receive
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

// StopHandOver ends the handover: idle connections are kept again.
func (p *Pool) StopHandOver() { p.transfer = nil }

// SetPredecessorConnections sets how many upstream connections the predecessor process still holds. They count toward
// the common connection limit.
func (p *Pool) SetPredecessorConnections(n int) { p.predecessorConns = max(0, n) }

// ActiveRequests returns the number of requests and probes whose outcome has not been reported.
func (p *Pool) ActiveRequests() int { return len(p.active) }

// handOver passes the idle connection to the other process.
func (c *conn) handOver() {
	fd := c.source.Detach()
	c.memory.Set(0)
	c.pool.connCount--
	c.pool.transfer(c.host.name, c.idleSince, fd)
}

// AdoptConnection continues an idle connection of the predecessor process. It closes the connection without an error if
// the host is unknown or leaving, has moved or restarted since, or at the connection limit. It closes the descriptor and fails if the socket can't be
// polled.
func (p *Pool) AdoptConnection(name string, since time.Duration, fd int) error {
	p.predecessorConns = max(0, p.predecessorConns-1)
	h := p.hosts[name]
	if h == nil || h.leaving || p.isFull() || h.bootTime > since || loop.RemoteAddress(fd) != h.address {
		loop.CloseFD(fd)
		return nil
	}
	c := &conn{pool: p, host: h, address: h.address, memory: p.memory.Open(), isConnected: true, idleSince: since,
		parser: http1.NewResponseParser(p.bounds.MaxHeaderBytes, p.bounds.MaxBodyBytes, p.bounds.MaxBufferedBodyBytes)}
	var err error
	if c.source, err = p.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	p.connCount++
	index, _ := slices.BinarySearchFunc(h.idle, since, func(o *conn, t time.Duration) int { return int(o.idleSince - t) })
	h.idle = slices.Insert(h.idle, index, c)
	return nil
}
