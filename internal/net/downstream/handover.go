package downstream

import (
	"fmt"
	"slices"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// A server whose process is being replaced is suspended: it reads no new input. It then either resumes, or hands its
// connections over to the other process, each as soon as it has no unanswered request. The listeners go first.

// ConnState is the state of a connection without an unanswered request, for another process to continue it.
type ConnState struct {
	ListenerAddress      string                   // identifies the listener that accepted the connection
	Unsent               []byte                   // rest of the last response, not written yet
	PhaseSince, OpenedAt time.Duration            // loop times at which the phase began and the connection was accepted
	WasServed            bool                     // has had a response other than a client error; 429 counts as served
	Parser               http1.RequestParserState // buffered input and parser state
	Arrivals             []Arrival                // of the buffered input; missing if the predecessor does not tell
}

// ListenerAddresses returns the addresses of the listeners, in the order in which they were opened.
func (s *Server) ListenerAddresses() (addrs []string) {
	for _, ln := range s.listeners {
		addrs = append(addrs, ln.address)
	}
	return addrs
}

// DuplicateListeners returns duplicates of the listening sockets, in the order of ListenerAddresses. On an error it
// returns none, and duplicates made so far stay open.
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

// Suspend stops accepting connections and reading new requests. Waiting connections and input stay in the kernel.
func (s *Server) Suspend() {
	s.suspended = true
	for _, ln := range s.listeners {
		ln.source.SetEvents(0)
	}
	for c := range s.conns {
		c.updateEvents()
	}
}

// Resume ends Suspend and HandOver: connections are accepted and requests read again.
func (s *Server) Resume() {
	s.suspended, s.transfer, s.acceptPaused = false, nil, false
	s.watchListeners()
	for _, c := range s.connsByAge() {
		c.parseRequests()
	}
}

// connsByAge returns all connections, the oldest first.
func (s *Server) connsByAge() []*Conn {
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b *Conn) int { return int(a.openedAt - b.openedAt) })
	return conns
}

// HandOver passes every connection to receive: at once, or when its current request is answered. receive becomes the
// owner of the descriptor. The server must be suspended and stay so.
func (s *Server) HandOver(receive func(st ConnState, fd int)) {
	s.transfer = receive
	for _, c := range s.connsByAge() {
		if !c.awaitingResponse {
			c.handOver()
		}
	}
}

// EndHandOver ends a handover whose receiving process has ended, in a process that must not serve again. Each connection is
// closed behind its present response, and the listeners at once: they would hold clients that nobody accepts.
func (s *Server) EndHandOver() {
	s.transfer = nil
	for c := range s.conns {
		c.closeAfterResponse = true
	}
	s.closeListenerSockets()
}

// BusyConnections returns the number of connections with an unanswered request.
func (s *Server) BusyConnections() (n int) {
	for c := range s.conns {
		if c.awaitingResponse {
			n++
		}
	}
	return n
}

// SetPredecessorConnections sets how many client connections the predecessor process still holds. They count toward
// the common connection limit.
func (s *Server) SetPredecessorConnections(n int) { s.predecessorConns = max(0, n) }

// handOver passes the connection to the other process, unless it is closing anyway.
func (c *Conn) handOver() {
	if c.lingering || c.closeAfterResponse || c.source.FD() < 0 {
		return
	}
	st := ConnState{ListenerAddress: c.listener.address, Unsent: c.unsent, PhaseSince: c.phaseSince,
		OpenedAt: c.openedAt, WasServed: c.wasServed, Parser: c.parser.State(),
		Arrivals: c.arrivals.ofBuffered(c.parser.Buffered())}
	fd := c.source.Detach()
	c.removeFromList()
	delete(c.server.conns, c)
	c.server.transfer(st, fd)
}

// AdoptListener adds a listener on a socket that is already listening. It fails if the socket can't be polled.
func (s *Server) AdoptListener(fd int, address string, h Handler) error {
	return s.addListener(fd, address, h)
}

// AdoptConnection continues a connection of the predecessor process. If its listener no longer exists, the connection
// is closed without an error behind the rest of its last response, as a server may do between requests. It closes the
// descriptor and fails if the parser state is invalid or the socket can't be polled.
func (s *Server) AdoptConnection(st ConnState, fd int) error {
	parser, err := http1.RestoreRequestParser(st.Parser, s.bounds.MaxHeaderBytes, s.bounds.MaxBodyBytes,
		s.bounds.MaxBufferedBodyBytes)
	if err != nil {
		loop.CloseFD(fd)
		return err
	}
	c := &Conn{server: s, parser: parser, unsent: st.Unsent, phaseSince: st.PhaseSince,
		openedAt: st.OpenedAt, lastReadAt: s.loop.Now(), wasServed: st.WasServed,
		arrivals: restoreArrivals(st.Arrivals, len(st.Parser.Buffered))}
	c.recordWrite(0)
	if err := s.register(c, fd); err != nil {
		return err
	}
	s.predecessorConns = max(0, s.predecessorConns-1)
	i := slices.IndexFunc(s.listeners, func(ln *clientListener) bool { return ln.address == st.ListenerAddress })
	if i < 0 {
		c.closeGracefully(closedListenerGone)
		return nil
	}
	c.listener = s.listeners[i]
	c.parseRequests()
	if s.listenersClosed {
		c.closeIfIdle(closedDraining)
	}
	return nil
}
