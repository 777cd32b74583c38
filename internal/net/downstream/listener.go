package downstream

import (
	"errors"
	"fmt"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// clientListener is a listening socket. It tracks how long connections may have waited to be accepted, since a client's
// timeout runs during that wait, too.
type clientListener struct {
	server  *Server
	source  *loop.Source
	address string // as configured, ip:port
	handler Handler

	// backlogSince is the time since which connections may be waiting to be accepted; 0: none is known to wait.
	backlogSince time.Duration
	// armedPoll is the loop's poll count when polling last resumed, or when accept last stopped before the queue was known
	// to be empty. If connections waited then, the next poll reports the socket.
	armedPoll uint64
}

// backlogDelay returns how long a connection that is accepted now may have waited.
func (ln *clientListener) backlogDelay() time.Duration {
	if ln.backlogSince == 0 {
		return ln.server.loop.MaxReadDelay()
	}
	return ln.server.loop.Now() - ln.backlogSince
}

// noteBacklog records that connections may still be waiting after accept has stopped.
func (ln *clientListener) noteBacklog() {
	l := ln.server.loop
	ln.armedPoll = l.PollCount()
	if ln.backlogSince == 0 {
		ln.backlogSince = l.Now() - l.MaxReadDelay()
	}
}

// expireBacklog clears the backlog if a poll has passed without reporting the socket: connections that are accepted now
// arrived later.
func (ln *clientListener) expireBacklog() {
	if !ln.server.acceptPaused && ln.server.loop.PollCount() > ln.armedPoll+1 {
		ln.backlogSince = 0
	}
}

// Listen opens a listener on an address of the form ip:port. It fails if the address can't be bound.
func (s *Server) Listen(address string, h Handler) error {
	fd, err := loop.ListenReusePort(address)
	if err != nil {
		return err
	}
	return s.addListener(fd, address, h)
}

// addListener polls a listening socket, unless the server is suspended.
func (s *Server) addListener(fd int, address string, h Handler) (err error) {
	ln := &clientListener{server: s, address: address, handler: h}
	events := uint32(loop.In)
	if s.suspended {
		events = 0
	}
	if ln.source, err = s.loop.Watch(fd, events, ln); err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.listeners = append(s.listeners, ln)
	return nil
}

// Ready accepts waiting connections, up to a maximum per turn so that a burst of connections does not delay responses.
// After a stall of the process it accepts all of them, because only this turn knows how old their input may be.
func (ln *clientListener) Ready(uint32) {
	limit := ln.server.bounds.MaxAcceptsPerTurn
	if ln.server.loop.MaxReadDelay() > 0 {
		limit = ln.server.bounds.MaxDownstreamConns
	}
	ln.accept(limit)
}

// accept accepts up to limit connections. At the connection limit it evicts one for each, and if it can't, it pauses
// accepting.
func (ln *clientListener) accept(limit int) {
	server := ln.server
	ln.expireBacklog()
	for range limit {
		if server.suspended {
			break
		}
		if len(server.conns)+server.predecessorConns >= server.bounds.MaxDownstreamConns && !server.evictOne() {
			server.pauseAccepting("all connections busy")
			break
		}
		fd, err := loop.Accept(ln.source.FD())
		if errors.Is(err, loop.ErrAgain) {
			ln.backlogSince = 0
			return
		}
		if loop.IsOutOfDescriptors(err) && server.evictOne() { // closing a connection frees a descriptor of this process
			continue
		}
		if err == nil {
			err = ln.openConn(fd)
		}
		if err != nil { // the machine is short of a resource: the existing connections are kept
			server.pauseAccepting(err.Error())
			break
		}
	}
	ln.noteBacklog()
}

// openConn registers an accepted connection. One that may have waited is read at once, because the next turn can't tell
// how old its input is.
func (ln *clientListener) openConn(fd int) error {
	s, now := ln.server, ln.server.loop.Now()
	c := &Conn{server: s, listener: ln,
		parser:     http1.NewRequestParser(s.bounds.MaxHeaderBytes, s.bounds.MaxBodyBytes, s.bounds.MaxBufferedBodyBytes),
		phaseSince: now, openedAt: now, lastReadAt: now, unread: unreadInput{emptyAt: now, isDrained: true}}
	if err := s.register(c, fd); err != nil {
		return err
	}
	if delay := ln.backlogDelay(); delay > 0 {
		c.readDelayed(delay)
	}
	return nil
}

// register polls a connection's socket and adds the connection to the server. It closes the descriptor on failure.
func (s *Server) register(c *Conn, fd int) (err error) {
	if c.source, err = s.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	s.acceptedTotal++
	c.id = s.acceptedTotal
	s.conns[c] = struct{}{}
	c.memory = s.memory.Open()
	c.updateMemory()
	c.traceOpened()
	c.addToEvictionList()
	return nil
}
