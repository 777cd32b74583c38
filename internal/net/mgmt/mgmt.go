// Package mgmt is the admin endpoint: a listener of its own, one line to a connection, an answer, and the end. It is
// owned by the loop's goroutine, and decides nothing: a Handler answers.
package mgmt

import (
	"bytes"
	"errors"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Handler answers what operators ask.
type Handler interface {
	IsReady() bool                    // a client's request would be served
	AppendMetrics(room []byte) []byte // appends the figures
	StatusDetails() string            // goes behind the word on readiness
}

// Endpoint is a listener with its callers. They are served first in each turn of the loop, and their descriptors are theirs:
// no number of clients keeps an operator out.
type Endpoint struct {
	loop            *loop.Loop
	bounds          limits.Limits
	log             *slog.Logger
	handler         Handler
	listener        *loop.Source
	conns           []*conn       // the one that has waited longest first
	failureLoggedAt time.Duration // when a failure to accept was last told
}

// Open listens at an address.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, addr string, o Handler) (*Endpoint, error) {
	d := &Endpoint{loop: l, bounds: lim, log: log, handler: o}
	fd, err := loop.ListenReusePort(addr) // a successor opens it before we close it
	if err != nil {
		return nil, err
	}
	if d.listener, err = l.Watch(fd, loop.In, d); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	d.listener.ServeFirst()
	return d, nil
}

// Close takes no more callers. It is safe on nil.
func (d *Endpoint) Close() {
	if d != nil {
		d.listener.Close()
	}
}

// logInterval: accepting that fails again and again is told of so often.
const logInterval = 10 * time.Second

// Ready accepts who waits. Callers that say nothing must not shut out the next: where all places are taken, the
// one that has been there longest goes.
func (d *Endpoint) Ready(uint32) {
	for range d.bounds.Accepts {
		fd, err := loop.Accept(d.listener.FD())
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if now := d.loop.Now(); d.failureLoggedAt == 0 || now-d.failureLoggedAt > logInterval {
				d.failureLoggedAt = now
				d.log.Warn("operators' door: accept failed", "error", err)
			}
			return
		}
		if len(d.conns) >= d.bounds.Callers {
			d.conns[0].close()
		}
		c := &conn{endpoint: d}
		if c.source, err = d.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
			loop.CloseFD(fd)
			return
		}
		c.source.ServeFirst()
		c.timer = d.loop.After(d.bounds.CallerTime, c.close)
		d.conns = append(d.conns, c)
	}
}

// conn is one connection: it says one line and gets one answer.
type conn struct {
	endpoint   *Endpoint
	source     *loop.Source
	timer      *loop.Timer
	line       []byte
	unsent     []byte
	isAnswered bool // answered; what still comes is dropped
}

// Ready reads the line, or writes what is left of the answer.
func (c *conn) Ready(events uint32) {
	if events&loop.Out != 0 && len(c.unsent) > 0 && !c.flush() {
		return
	}
	if events&(loop.In|loop.Hangup) == 0 {
		return
	}
	buf := c.endpoint.loop.ReadBuffer()
	n, err := loop.Read(c.source.FD(), buf)
	if errors.Is(err, loop.ErrAgain) {
		return
	}
	if err != nil { // it has ended its side; one that still waits for its answer gets it
		if c.isAnswered && len(c.unsent) > 0 && events&loop.HangupOrError == 0 {
			c.source.SetEvents(loop.Out)
			return
		}
		c.close()
		return
	}
	if c.isAnswered {
		return
	}
	most := c.endpoint.bounds.CallerBytes
	c.line = append(c.line, buf[:min(n, most+1-len(c.line))]...)
	i := bytes.IndexByte(c.line, '\n')
	switch {
	case i >= 0:
		c.respond(c.line[:i])
	case len(c.line) > most:
		c.respond(nil)
	}
}

// respond answers one line; what comes behind it is dropped.
func (c *conn) respond(line []byte) {
	c.isAnswered = true
	switch string(bytes.TrimSuffix(line, []byte("\r"))) {
	case "STATUS":
		word := "200 ready"
		if !c.endpoint.handler.IsReady() {
			word = "400 not ready"
		}
		c.unsent = []byte(word + c.endpoint.handler.StatusDetails() + "\n")
	case "METRICS":
		c.unsent = append(c.endpoint.handler.AppendMetrics(nil), "EOF\n"...)
	default:
		c.unsent = []byte("400 no such call\n")
	}
	c.flush()
}

// flush writes what there is room for and then ends our side. It tells whether the connection still stands.
func (c *conn) flush() bool {
	n, err := loop.Write(c.source.FD(), c.unsent)
	if err != nil {
		c.close()
		return false
	}
	if c.unsent = c.unsent[n:]; len(c.unsent) > 0 {
		c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
		return true
	}
	// To close on bytes not read would reset the connection and could destroy the answer on its way, so the
	// caller's own end is waited for.
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.close()
		return false
	}
	c.source.SetEvents(loop.In | loop.Hangup)
	return true
}

func (c *conn) close() {
	c.timer.Stop()
	c.source.Close()
	for i, o := range c.endpoint.conns {
		if o == c {
			c.endpoint.conns = append(c.endpoint.conns[:i], c.endpoint.conns[i+1:]...)
			break
		}
	}
}
