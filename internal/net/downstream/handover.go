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
	Arrivals             []Arrival                // of the buffered input and the byte behind it; missing if the predecessor does not tell
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
	s.suspended, s.receiver, s.acceptPaused = false, nil, false
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

// Receiver is another process that takes over connections.
type Receiver interface {
	// Receive takes over a connection and its descriptor.
	Receive(st ConnState, fd int)
	// HasRoom reports whether it can take a connection now. What it has been passed and not read yet is held in memory.
	HasRoom() bool
}

// HandOver passes every connection to the receiver, each as soon as its current request is answered and the receiver has
// room. The server must be suspended and stay so.
func (s *Server) HandOver(receiver Receiver) {
	s.receiver = receiver
	s.handOverIdle()
}

// handOverRetryInterval is the time after which connections are passed to a receiver that had no room.
const handOverRetryInterval = time.Millisecond

// handOverIdle passes on the connections without an unanswered request, as long as the receiver has room. It calls itself
// again for the rest.
func (s *Server) handOverIdle() {
	s.handOverTimer = nil
	for _, c := range s.connsByAge() {
		if s.receiver == nil {
			return
		}
		if c.awaitingResponse || c.lingering || c.closeAfterResponse {
			continue
		}
		if !s.receiver.HasRoom() {
			s.retryHandOver()
			return
		}
		c.handOver()
	}
}

// retryHandOver has handOverIdle called once the receiver may have room again.
func (s *Server) retryHandOver() {
	if s.handOverTimer == nil {
		s.handOverTimer = s.loop.After(handOverRetryInterval, s.handOverIdle)
	}
}

// EndHandOver ends a handover whose receiving process has ended, in a process that must not serve again. Each connection is
// closed behind its present response, and the listeners at once: they would hold clients that nobody accepts.
func (s *Server) EndHandOver() {
	s.receiver = nil
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

// handOverOrWait passes a connection that has just become idle to the other process, at once or when that has room.
func (c *Conn) handOverOrWait() {
	if c.server.receiver.HasRoom() {
		c.handOver()
		return
	}
	c.updateEvents()
	c.server.retryHandOver()
}

// handOver passes the connection to the other process, unless it is closing anyway.
func (c *Conn) handOver() {
	if c.lingering || c.closeAfterResponse || c.source.FD() < 0 {
		return
	}
	st := ConnState{ListenerAddress: c.listener.address, Unsent: c.unsent, PhaseSince: c.phaseSince,
		OpenedAt: c.openedAt, WasServed: c.wasServed, Parser: c.parser.State(),
		Arrivals: append(c.arrivals.ofBuffered(c.parser.Buffered()), c.unreadArrival())}
	fd := c.source.Detach()
	c.removeFromList()
	c.memory.Set(0)
	delete(c.server.conns, c)
	c.server.receiver.Receive(st, fd)
}

// unreadArrival returns the record of the first byte behind the buffered input. Its time is the earliest at which that may
// have arrived.
func (c *Conn) unreadArrival() Arrival {
	return Arrival{End: int64(c.parser.Buffered()) + 1, At: c.unread.since(c.server.loop.Now())}
}

// unreadSince returns the time of the record made by unreadArrival, or now if the predecessor does not tell.
func unreadSince(records []Arrival, buffered int, now time.Duration) time.Duration {
	if last := len(records) - 1; last >= 0 && records[last].End == int64(buffered)+1 {
		return min(now, records[last].At)
	}
	return now
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
	c := &Conn{server: s, parser: parser, unsent: st.Unsent, unsentHeld: cap(st.Unsent), phaseSince: st.PhaseSince,
		openedAt: st.OpenedAt, lastReadAt: s.loop.Now(), wasServed: st.WasServed,
		arrivals: restoreArrivals(st.Arrivals, len(st.Parser.Buffered))}
	c.unread.emptyAt = unreadSince(st.Arrivals, len(st.Parser.Buffered), s.loop.Now())
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
