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

// State is a connection on which nothing is owed but, maybe, the rest of an answer.
type State struct {
	Listener      string // its address
	Out           []byte
	Since, Opened time.Duration
	Served        bool
	Parser        http1.RequestParserState
}

// Addresses are those of the listeners, in the order in which they were opened.
func (s *Server) Addresses() (addrs []string) {
	for _, ln := range s.listeners {
		addrs = append(addrs, ln.addr)
	}
	return addrs
}

// Listeners duplicates the listening sockets, in the order of Addresses.
func (s *Server) Listeners() (fds []int, err error) {
	for _, ln := range s.listeners {
		fd, err := loop.Duplicate(ln.src.FD())
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", ln.addr, err)
		}
		fds = append(fds, fd)
	}
	return fds, nil
}

// Hold accepts and reads no more. What waits stays in the kernel.
func (s *Server) Hold() {
	s.held = true
	for _, ln := range s.listeners {
		ln.src.SetEvents(0)
	}
	for c := range s.conns {
		c.want()
	}
}

// Release accepts and reads again.
func (s *Server) Release() {
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
func (s *Server) HandOver(to func(st State, fd int)) {
	s.hand = to
	for _, c := range s.all() {
		if !c.busy {
			c.give()
		}
	}
}

// Busy tells on how many connections an answer is owed.
func (s *Server) Busy() (n int) {
	for c := range s.conns {
		if c.busy {
			n++
		}
	}
	return n
}

// Elsewhere tells how many connections another process of this ingress holds: they count in the common bound.
func (s *Server) Elsewhere(n int) { s.elsewhere = max(0, n) }

// give hands a connection over, unless it is one that ends here.
func (c *Conn) give() {
	if c.lingering || c.last || c.src.FD() < 0 {
		return
	}
	st := State{Listener: c.ln.addr, Out: c.out, Since: c.since, Opened: c.opened, Served: c.served, Parser: c.parser.State()}
	fd := c.src.Detach()
	c.unlist()
	delete(c.s.conns, c)
	c.s.hand(st, fd)
}

// Adopt opens a listener for a front on a socket that listens already.
func (s *Server) Adopt(fd int, addr string, f Front) error { return s.watch(fd, addr, f) }

// Take goes on with a connection of another process. One whose listener is not there any more is closed, as
// between requests any may be.
func (s *Server) Take(st State, fd int) error {
	i := slices.IndexFunc(s.listeners, func(ln *listener) bool { return ln.addr == st.Listener })
	if i < 0 {
		loop.CloseFD(fd)
		return nil
	}
	p, err := http1.RestoreRequestParser(st.Parser, s.lim.MaxHeaderBytes, s.lim.MaxBodyBytes, s.lim.MaxBufferedBodyBytes)
	if err != nil {
		loop.CloseFD(fd)
		return err
	}
	c := &Conn{s: s, ln: s.listeners[i], parser: p, out: st.Out, since: st.Since, opened: st.Opened, moved: s.loop.Now(),
		served: st.Served}
	if err := s.enter(c, fd); err != nil {
		return err
	}
	s.elsewhere = max(0, s.elsewhere-1)
	c.parse()
	return nil
}
