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
		addrs = append(addrs, ln.addr)
	}
	return addrs
}

// DuplicateListeners duplicates the listening sockets, in the order of Addresses.
func (s *Server) DuplicateListeners() (fds []int, err error) {
	for _, ln := range s.listeners {
		fd, err := loop.Duplicate(ln.src.FD())
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", ln.addr, err)
		}
		fds = append(fds, fd)
	}
	return fds, nil
}

// Suspend accepts and reads no more. What waits stays in the kernel.
func (s *Server) Suspend() {
	s.held = true
	for _, ln := range s.listeners {
		ln.src.SetEvents(0)
	}
	for c := range s.conns {
		c.want()
	}
}

// Resume accepts and reads again.
func (s *Server) Resume() {
	s.held, s.hand, s.paused = false, nil, false
	s.listen()
	for _, c := range s.all() {
		c.parse()
	}
}

func (s *Server) all() []*Conn {
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return int(a.opened - b.opened) })
	return conns
}

// HandOver gives every connection away, at once or when its answer is written; the descriptor is the
// receiver's. It is for a server that is held, and stays so.
func (s *Server) HandOver(to func(st ConnState, fd int)) {
	s.hand = to
	for _, c := range s.all() {
		if !c.busy {
			c.give()
		}
	}
}

// BusyConnections tells on how many connections an answer is owed.
func (s *Server) BusyConnections() (n int) {
	for c := range s.conns {
		if c.busy {
			n++
		}
	}
	return n
}

// SetPredecessorConnections tells how many connections another process of this ingress holds: they count in the common bound.
func (s *Server) SetPredecessorConnections(n int) { s.elsewhere = max(0, n) }

// give hands a connection over, unless it is one that ends here.
func (c *Conn) give() {
	if c.lingering || c.last || c.src.FD() < 0 {
		return
	}
	st := ConnState{ListenerAddress: c.ln.addr, Unsent: c.out, PhaseSince: c.since, OpenedAt: c.opened, WasServed: c.served, Parser: c.parser.State()}
	fd := c.src.Detach()
	c.unlist()
	delete(c.s.conns, c)
	c.s.hand(st, fd)
}

// AdoptListener opens a listener for a front on a socket that listens already.
func (s *Server) AdoptListener(fd int, addr string, f Handler) error { return s.watch(fd, addr, f) }

// AdoptConnection goes on with a connection of another process. One whose listener is not there any more is closed, as
// between requests any may be.
func (s *Server) AdoptConnection(st ConnState, fd int) error {
	i := slices.IndexFunc(s.listeners, func(ln *listener) bool { return ln.addr == st.ListenerAddress })
	if i < 0 {
		loop.CloseFD(fd)
		return nil
	}
	p, err := http1.RestoreRequestParser(st.Parser, s.lim.MaxHeaderBytes, s.lim.MaxBodyBytes, s.lim.MaxBufferedBodyBytes)
	if err != nil {
		loop.CloseFD(fd)
		return err
	}
	c := &Conn{s: s, ln: s.listeners[i], parser: p, out: st.Unsent, since: st.PhaseSince, opened: st.OpenedAt, moved: s.loop.Now(),
		served: st.WasServed}
	if err := s.enter(c, fd); err != nil {
		return err
	}
	s.elsewhere = max(0, s.elsewhere-1)
	c.parse()
	return nil
}
