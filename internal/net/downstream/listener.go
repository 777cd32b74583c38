package downstream

import (
	"errors"
	"fmt"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Listeners: connections are accepted, and it is known how long they may have waited for that.

type listener struct {
	s     *Server
	src   *loop.Source
	addr  string
	front Handler
	// waiting is since when connections may wait to be accepted, 0: none does that is known of. At watched that was last
	// to be learnt from the system, which tells it at once.
	waiting, watched time.Duration
}

// late is how long a connection that is accepted now may have waited.
func (ln *listener) late() time.Duration {
	if ln.waiting == 0 {
		return ln.s.loop.MaxReadDelay()
	}
	return ln.s.loop.Now() - ln.waiting
}

// leave notes that connections may be left waiting.
func (ln *listener) leave() {
	ln.watched = ln.s.loop.Now()
	if ln.waiting == 0 {
		ln.waiting = ln.watched - ln.s.loop.MaxReadDelay()
	}
}

// toldAtOnce is the time after which the system has surely told of connections that were left waiting.
const toldAtOnce = 10 * time.Millisecond

// expire forgets that connections may wait where none was told of at once: those that come now have just come.
func (ln *listener) expire() {
	if !ln.s.paused && ln.s.loop.Now()-ln.watched > ln.s.loop.MaxReadDelay()+toldAtOnce {
		ln.waiting = 0
	}
}

// Listen opens a listener for a front.
func (s *Server) Listen(addr string, f Handler) error {
	fd, err := loop.ListenReusePort(addr)
	if err != nil {
		return err
	}
	return s.watch(fd, addr, f)
}

func (s *Server) watch(fd int, addr string, f Handler) (err error) {
	ln := &listener{s: s, addr: addr, front: f}
	events := uint32(loop.In)
	if s.held {
		events = 0
	}
	if ln.src, err = s.loop.Watch(fd, events, ln); err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.listeners = append(s.listeners, ln)
	return nil
}

// Ready accepts what waits, up to a bound: those who connect by the hundred must not keep the others' answers.
// After a time in which the process stood still all are taken: what they have sent meanwhile is as old as that.
func (ln *listener) Ready(uint32) {
	most := ln.s.lim.MaxAcceptsPerTurn
	if ln.s.loop.MaxReadDelay() > 0 {
		most = ln.s.lim.MaxDownstreamConns
	}
	ln.accept(most)
}

func (ln *listener) accept(most int) {
	s := ln.s
	ln.expire()
	for range most {
		if s.held {
			break
		}
		if len(s.conns)+s.elsewhere >= s.lim.MaxDownstreamConns && !s.makeRoom() {
			s.pause("all connections busy")
			break
		}
		fd, err := loop.Accept(ln.src.FD())
		if errors.Is(err, loop.ErrAgain) {
			ln.waiting = 0
			return
		}
		if loop.IsOutOfDescriptors(err) && s.makeRoom() { // they are this process's: one less helps
			continue
		}
		if err == nil {
			err = ln.open(fd)
		}
		if err != nil { // the machine is short of something: the connections that there are stay
			s.pause(err.Error())
			break
		}
	}
	ln.leave()
}

// open begins a connection. One that may have waited is read at once: in the next turn nothing would tell how old is what
// it has sent.
func (ln *listener) open(fd int) error {
	s, now := ln.s, ln.s.loop.Now()
	c := &Conn{s: s, ln: ln, parser: http1.NewRequestParser(s.lim.MaxHeaderBytes, s.lim.MaxBodyBytes, s.lim.MaxBufferedBodyBytes), since: now,
		opened: now, moved: now}
	if err := s.enter(c, fd); err != nil {
		return err
	}
	if late := ln.late(); late > 0 {
		c.readLate(late)
	}
	return nil
}

// enter watches a connection's descriptor, or closes it.
func (s *Server) enter(c *Conn, fd int) (err error) {
	if c.src, err = s.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	s.accepted++
	c.number = s.accepted
	s.conns[c] = struct{}{}
	c.traceOpened()
	c.list()
	return nil
}
