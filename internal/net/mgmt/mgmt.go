// Package mgmt serves the admin endpoint: a TCP listener of its own on which an operator's tool sends one line per
// connection and gets one answer. The goroutine of the event loop owns an Endpoint. A Handler provides the contents of
// answers.
package mgmt

import (
	"bytes"
	"errors"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Handler provides the contents of answers.
type Handler interface {
	IsReady() bool                   // reports whether a client's request would be served
	AppendMetrics(buf []byte) []byte // appends the metrics, as lines of text
	StatusDetails() string           // returns the text that follows the readiness in the answer to STATUS
}

// Endpoint is the listener and its open connections. The loop serves them before all others in each turn, and their
// descriptors are reserved, so that no number of clients can keep operators out.
type Endpoint struct {
	loop                *loop.Loop
	bounds              limits.Limits
	log                 *slog.Logger
	handler             Handler
	listener            *loop.Source
	conns               []*conn       // oldest first
	acceptErrorLoggedAt time.Duration // time of the last warning of a failed accept, 0: never
}

// Open listens at addr, a TCP address. It fails if the address can't be listened on.
func Open(l *loop.Loop, bounds limits.Limits, log *slog.Logger, addr string, h Handler) (*Endpoint, error) {
	e := &Endpoint{loop: l, bounds: bounds, log: log, handler: h}
	// In an upgrade the successor process listens here before this one closes its listener.
	fd, err := loop.ListenReusePort(addr)
	if err != nil {
		return nil, err
	}
	if e.listener, err = l.Watch(fd, loop.In, e); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	e.listener.ServeFirst()
	return e, nil
}

// Close closes the listener. Open connections are still served. It is safe on nil.
func (e *Endpoint) Close() {
	if e != nil {
		e.listener.Close()
	}
}

// logInterval is the minimum time between two warnings of a failed accept.
const logInterval = 10 * time.Second

// Ready accepts waiting connections, up to the limit per turn. If MaxManagementConns connections are open it closes the
// oldest one, so that connections that send nothing don't keep out the next.
func (e *Endpoint) Ready(uint32) {
	for range e.bounds.MaxAcceptsPerTurn {
		fd, err := loop.Accept(e.listener.FD())
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if now := e.loop.Now(); e.acceptErrorLoggedAt == 0 || now-e.acceptErrorLoggedAt > logInterval {
				e.acceptErrorLoggedAt = now
				e.log.Warn("operators' door: accept failed", "error", err)
			}
			return
		}
		if len(e.conns) >= e.bounds.MaxManagementConns {
			e.conns[0].close()
		}
		c := &conn{endpoint: e}
		if c.source, err = e.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
			loop.CloseFD(fd)
			return
		}
		c.source.ServeFirst()
		c.timer = e.loop.After(e.bounds.ManagementConnTimeout, c.close)
		e.conns = append(e.conns, c)
	}
}

// conn is one connection of an operator's tool.
type conn struct {
	endpoint   *Endpoint
	source     *loop.Source
	timer      *loop.Timer // closes the connection after ManagementConnTimeout
	line       []byte      // received so far
	unsent     []byte      // rest of the answer
	isAnswered bool        // further input is dropped
}

// Ready reads input, or writes more of the answer.
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
	if err != nil {
		// A tool that has closed only its sending side still gets the rest of its answer.
		if c.isAnswered && len(c.unsent) > 0 && events&loop.FullHangup == 0 {
			c.source.SetEvents(loop.Out)
			return
		}
		c.close()
		return
	}
	if c.isAnswered {
		return
	}
	maxLength := c.endpoint.bounds.MaxManagementLineBytes
	c.line = append(c.line, buf[:min(n, maxLength+1-len(c.line))]...)
	end := bytes.IndexByte(c.line, '\n')
	switch {
	case end >= 0:
		c.respond(c.line[:end])
	case len(c.line) > maxLength:
		c.respond(nil)
	}
}

// respond answers a line. A line that is too long is passed as nil and answered like an unknown one.
func (c *conn) respond(line []byte) {
	c.isAnswered = true
	switch string(bytes.TrimSuffix(line, []byte("\r"))) {
	case "STATUS":
		status := "200 ready"
		if !c.endpoint.handler.IsReady() {
			status = "400 not ready"
		}
		c.unsent = []byte(status + c.endpoint.handler.StatusDetails() + "\n")
	case "METRICS":
		c.unsent = append(c.endpoint.handler.AppendMetrics(nil), "EOF\n"...)
	default:
		c.unsent = []byte("400 no such call\n")
	}
	c.flush()
}

// flush writes the answer as far as the socket takes it, and closes the sending side after the whole answer. It returns
// false if it closed the connection.
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
	// The connection is closed only after the tool has closed its side. Closing it with unread input would reset it, and
	// the reset could destroy an answer that the tool has not read yet.
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.close()
		return false
	}
	c.source.SetEvents(loop.In | loop.Hangup)
	return true
}

// close closes the connection without waiting for unsent bytes.
func (c *conn) close() {
	c.timer.Stop()
	c.source.Close()
	for i, other := range c.endpoint.conns {
		if other == c {
			c.endpoint.conns = append(c.endpoint.conns[:i], c.endpoint.conns[i+1:]...)
			break
		}
	}
}
