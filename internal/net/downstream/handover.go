package downstream

import (
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// What a server does while another process takes its place: it reads no more, and then either reads on or
// sends its connections after the listeners, each as soon as nothing is owed on it.

// ConnState is a connection on which nothing is owed but, maybe, the rest of an answer.
type ConnState struct {
	ListenerAddress      string // its address
	Unsent               []byte
	PhaseSince, OpenedAt time.Duration
	WasServed            bool
	Parser               http1.RequestParserState
}

// ListenerAddresses are those of the listeners, in the order in which they were opened.
func (s *Server) ListenerAddresses() (addrs []string) {
	for _, ln := range s.listeners {
		addrs = append(addrs, ln.address)
	}
	return addrs
}

// DuplicateListeners duplicates the listening sockets, in the order of Addresses.
func (s *Server) DuplicateListeners() (fds []int, err error) {
	for _, ln := range s.listeners {
		fd, err := loop.Duplicate(ln.source.FD())
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", ln.address, err)
		}
		fds = append(fds, fd)
	}
	return fds, nil
}

// Suspend accepts and reads no more. What waits stays in the kernel.
func (s *Server) Suspend() {
	s.suspended = true
	for _, ln := range s.listeners {
		ln.source.SetEvents(0)
	}
	for c := range s.conns {
		c.updateEvents()
	}
}

// Resume accepts and reads again.
func (s *Server) Resume() {
	s.suspended, s.transfer, s.acceptPaused = false, nil, false
	s.watchListeners()
	for _, c := range s.connsByAge() {
		c.parseRequests()
	}
}

func (s *Server) connsByAge() []*Conn {
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return int(a.openedAt - b.openedAt) })
	return conns
}

// HandOver gives every connection away, at once or when its answer is written; the descriptor is the
// receiver's. It is for a server that is held, and stays so.
func (s *Server) HandOver(to func(st ConnState, fd int)) {
	s.transfer = to
	for _, c := range s.connsByAge() {
		if !c.awaitingResponse {
			c.handOver()
		}
	}
}

// BusyConnections tells on how many connections an answer is owed.
func (s *Server) BusyConnections() (n int) {
	for c := range s.conns {
		if c.awaitingResponse {
			n++
		}
	}
	return n
}

// SetPredecessorConnections tells how many connections another process of this ingress holds: they count in the common bound.
func (s *Server) SetPredecessorConnections(n int) { s.predecessorConns = max(0, n) }

// handOver hands a connection over, unless it is one that ends here.
func (c *Conn) handOver() {
	if c.lingering || c.closeAfterResponse || c.source.FD() < 0 {
		return
	}
	st := ConnState{ListenerAddress: c.listener.address, Unsent: c.unsent, PhaseSince: c.phaseSince, OpenedAt: c.openedAt, WasServed: c.wasServed, Parser: c.parser.State()}
	fd := c.source.Detach()
	c.removeFromList()
	delete(c.server.conns, c)
	c.server.transfer(st, fd)
}

// AdoptListener opens a listener for a front on a socket that listens already.
func (s *Server) AdoptListener(fd int, addr string, f Handler) error {
	return s.addListener(fd, addr, f)
}

// AdoptConnection goes on with a connection of another process. One whose listener is not there any more is closed, as
// between requests any may be.
func (s *Server) AdoptConnection(st ConnState, fd int) error {
	i := slices.IndexFunc(s.listeners, func(ln *clientListener) bool { return ln.address == st.ListenerAddress })
	if i < 0 {
		loop.CloseFD(fd)
		return nil
	}
	p, err := http1.RestoreRequestParser(st.Parser, s.bounds.HeadBytes, s.bounds.BodyBytes, s.bounds.KeepBytes)
	if err != nil {
		loop.CloseFD(fd)
		return err
	}
	c := &Conn{server: s, listener: s.listeners[i], parser: p, unsent: st.Unsent, phaseSince: st.PhaseSince, openedAt: st.OpenedAt, lastReadAt: s.loop.Now(),
		wasServed: st.WasServed}
	if err := s.register(c, fd); err != nil {
		return err
	}
	s.predecessorConns = max(0, s.predecessorConns-1)
	c.parseRequests()
	return nil
}
