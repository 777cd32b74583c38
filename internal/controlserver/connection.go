package controlserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/tcpstate"
)

const (
	connectionsMost = 4096 // accepted at one replica
	readBuffer      = 4 << 10
	firstFrameLimit = 10 * time.Second // for the first byte and frame of a connection
	writeLimit      = 5 * time.Second  // for one write: a peer that takes longer is disconnected
	acceptBackoff   = 50 * time.Millisecond
)

// connectionTable holds the connections that were accepted.
type connectionTable struct {
	mu     sync.Mutex
	closed bool
	all    map[net.Conn]struct{}
	relays map[*relayConn]struct{}
}

// add returns false if the connection is one too many.
func (t *connectionTable) add(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.all) >= connectionsMost {
		return false
	}
	if t.all == nil {
		t.all, t.relays = map[net.Conn]struct{}{}, map[*relayConn]struct{}{}
	}
	t.all[c] = struct{}{}
	return true
}

func (t *connectionTable) remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, c)
}

func (t *connectionTable) addRelay(r *relayConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays[r] = struct{}{}
}

func (t *connectionTable) removeRelay(r *relayConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.relays, r)
}

// closeRelays disconnects the followers: this replica no longer leads.
func (t *connectionTable) closeRelays() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.relays {
		r.close()
	}
}

func (t *connectionTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.all {
		reset(c)
	}
}

// reset closes a connection in a way that its peer can tell from an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves the port for members, followers and operators.
func (s *Server) accept() {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		c, err := s.listener.Accept()
		if s.context.Err() != nil {
			if err == nil {
				reset(c)
			}
			return
		}
		if err != nil { // no descriptors are left
			s.log.Warn("connection not accepted", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.connections.add(c) {
			s.log.Warn("too many connections", "from", c.RemoteAddr())
			reset(c)
			continue
		}
		serving.Go(func() {
			defer s.connections.remove(c)
			defer reset(c)
			s.serveConnection(c)
		})
	}
}

// serveConnection finds out from the first bytes who has connected. A frame begins with its length, whose first byte
// is below that of an operator's request, which is a line of JSON.
func (s *Server) serveConnection(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(firstFrameLimit))
	reader := bufio.NewReaderSize(c, readBuffer)
	first, err := reader.Peek(1)
	if err != nil {
		return
	}
	if first[0] == adminFirstByte {
		s.serveAdmin(c, reader)
		return
	}
	frames := &frameReader{from: reader}
	m, err := frames.next()
	if err != nil {
		s.logFrameError(c, err)
		return
	}
	switch m := m.(type) {
	case controlgroup.Relay:
		s.serveRelay(c, frames, m)
	case controlgroup.Renew, controlgroup.Propose:
		s.serveMember(c, frames, m)
	}
}

func (s *Server) logFrameError(c net.Conn, err error) {
	if errors.Is(err, controlgroup.ErrFrame) {
		s.log.Warn("malformed frame", "from", c.RemoteAddr(), "error", err)
	}
}

// frameReader reads the messages of a connection.
type frameReader struct {
	from   io.Reader
	buffer []byte
}

// next returns the next message. io.EOF: the connection has ended in an orderly way, between two frames.
func (r *frameReader) next() (controlgroup.Message, error) {
	for {
		m, rest, err := controlgroup.Next(r.buffer)
		if err != nil {
			return nil, err
		}
		if m != nil {
			r.buffer = rest
			return m, nil
		}
		if err := r.read(); err != nil {
			return nil, err
		}
	}
}

// read appends what comes to what is left, in memory that does not grow with the number of frames.
func (r *frameReader) read() error {
	chunk := make([]byte, readBuffer)
	n, err := r.from.Read(chunk)
	if n > 0 {
		r.buffer = append(append(make([]byte, 0, len(r.buffer)+n), r.buffer...), chunk[:n]...)
		return nil
	}
	if err == io.EOF && len(r.buffer) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// endedInOrder tells whether a connection on which reading ended with an error was closed by the other side in the orderly
// way, and not reset.
func endedInOrder(conn net.Conn, err error) bool {
	if !errors.Is(err, io.EOF) {
		return false
	}
	tcp, ok := conn.(*net.TCPConn)
	return !ok || !tcpstate.WasReset(tcp)
}
