package downstream

import (
	"errors"
	"fmt"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Listeners: connections are accepted, and it is known how long they may have waited for that.

type clientListener struct {
	server  *Server
	source  *loop.Source
	address string
	handler Handler
	// backlogSince is since when connections may wait to be accepted, 0: none does that is known of. At armedAt that was last
	// to be learnt from the system, which tells it at once.
	backlogSince, armedAt time.Duration
}

// backlogDelay is how long a connection that is accepted now may have waited.
func (ln *clientListener) backlogDelay() time.Duration {
	if ln.backlogSince == 0 {
		return ln.server.loop.MaxReadDelay()
	}
	return ln.server.loop.Now() - ln.backlogSince
}

// noteBacklog notes that connections may be left waiting.
func (ln *clientListener) noteBacklog() {
	ln.armedAt = ln.server.loop.Now()
	if ln.backlogSince == 0 {
		ln.backlogSince = ln.armedAt - ln.server.loop.MaxReadDelay()
	}
}

// readinessDelay is the time after which the system has surely told of connections that were left waiting.
const readinessDelay = 10 * time.Millisecond

// expireBacklog forgets that connections may wait where none was told of at once: those that come now have just come.
func (ln *clientListener) expireBacklog() {
	if !ln.server.acceptPaused && ln.server.loop.Now()-ln.armedAt > ln.server.loop.MaxReadDelay()+readinessDelay {
		ln.backlogSince = 0
	}
}

// Listen opens a listener for a front.
func (s *Server) Listen(addr string, f Handler) error {
	fd, err := loop.ListenReusePort(addr)
	if err != nil {
		return err
	}
	return s.addListener(fd, addr, f)
}

func (s *Server) addListener(fd int, addr string, f Handler) (err error) {
	ln := &clientListener{server: s, address: addr, handler: f}
	events := uint32(loop.In)
	if s.suspended {
		events = 0
	}
	if ln.source, err = s.loop.Watch(fd, events, ln); err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.listeners = append(s.listeners, ln)
	return nil
}

// Ready accepts what waits, up to a bound: those who connect by the hundred must not keep the others' answers.
// After a time in which the process stood still all are taken: what they have sent meanwhile is as old as that.
func (ln *clientListener) Ready(uint32) {
	most := ln.server.bounds.Accepts
	if ln.server.loop.MaxReadDelay() > 0 {
		most = ln.server.bounds.Downstream
	}
	ln.accept(most)
}

func (ln *clientListener) accept(most int) {
	s := ln.server
	ln.expireBacklog()
	for range most {
		if s.suspended {
			break
		}
		if len(s.conns)+s.predecessorConns >= s.bounds.Downstream && !s.evictOne() {
			s.pauseAccepting("all connections busy")
			break
		}
		fd, err := loop.Accept(ln.source.FD())
		if errors.Is(err, loop.ErrAgain) {
			ln.backlogSince = 0
			return
		}
		if loop.IsOutOfDescriptors(err) && s.evictOne() { // they are this process's: one less helps
			continue
		}
		if err == nil {
			err = ln.openConn(fd)
		}
		if err != nil { // the machine is short of something: the connections that there are stay
			s.pauseAccepting(err.Error())
			break
		}
	}
	ln.noteBacklog()
}

// openConn begins a connection. One that may have waited is read at once: in the next turn nothing would tell how old is what
// it has sent.
func (ln *clientListener) openConn(fd int) error {
	s, now := ln.server, ln.server.loop.Now()
	c := &Conn{server: s, listener: ln, parser: http1.NewRequestParser(s.bounds.HeadBytes, s.bounds.BodyBytes, s.bounds.KeepBytes), phaseSince: now,
		openedAt: now, lastReadAt: now}
	if err := s.register(c, fd); err != nil {
		return err
	}
	if late := ln.backlogDelay(); late > 0 {
		c.readDelayed(late)
	}
	return nil
}

// register watches a connection's descriptor, or closes it.
func (s *Server) register(c *Conn, fd int) (err error) {
	if c.source, err = s.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	s.acceptedTotal++
	c.id = s.acceptedTotal
	s.conns[c] = struct{}{}
	c.traceOpened()
	c.addToEvictionList()
	return nil
}
