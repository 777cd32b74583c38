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
	loop    *loop.Loop
	lim     limits.Limits
	log     *slog.Logger
	handler Handler
	ln      *loop.Source
	calls   []*caller     // the one that has waited longest first
	told    time.Duration // when a failure to accept was last told
}

// Open listens at an address.
func Open(l *loop.Loop, lim limits.Limits, log *slog.Logger, addr string, o Handler) (*Endpoint, error) {
	d := &Endpoint{loop: l, lim: lim, log: log, handler: o}
	fd, err := loop.ListenReusePort(addr) // a successor opens it before we close it
	if err != nil {
		return nil, err
	}
	if d.ln, err = l.Watch(fd, loop.In, d); err != nil {
		loop.CloseFD(fd)
		return nil, err
	}
	d.ln.ServeFirst()
	return d, nil
}

// Close takes no more callers. It is safe on nil.
func (d *Endpoint) Close() {
	if d != nil {
		d.ln.Close()
	}
}

// logEvery: accepting that fails again and again is told of so often.
const logEvery = 10 * time.Second

// Ready accepts who waits. Callers that say nothing must not shut out the next: where all places are taken, the
// one that has been there longest goes.
func (d *Endpoint) Ready(uint32) {
	for range d.lim.MaxAcceptsPerTurn {
		fd, err := loop.Accept(d.ln.FD())
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if now := d.loop.Now(); d.told == 0 || now-d.told > logEvery {
				d.told = now
				d.log.Warn("operators' door: accept failed", "error", err)
			}
			return
		}
		if len(d.calls) >= d.lim.MaxManagementConns {
			d.calls[0].close()
		}
		c := &caller{d: d}
		if c.src, err = d.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
			loop.CloseFD(fd)
			return
		}
		c.src.ServeFirst()
		c.timer = d.loop.After(d.lim.ManagementConnTimeout, c.close)
		d.calls = append(d.calls, c)
	}
}

// caller is one connection: it says one line and gets one answer.
type caller struct {
	d     *Endpoint
	src   *loop.Source
	timer *loop.Timer
	line  []byte
	out   []byte
	done  bool // answered; what still comes is dropped
}

// Ready reads the line, or writes what is left of the answer.
func (c *caller) Ready(events uint32) {
	if events&loop.Out != 0 && len(c.out) > 0 && !c.flush() {
		return
	}
	if events&(loop.In|loop.Hangup) == 0 {
		return
	}
	buf := c.d.loop.ReadBuffer()
	n, err := loop.Read(c.src.FD(), buf)
	if errors.Is(err, loop.ErrAgain) {
		return
	}
	if err != nil { // it has ended its side; one that still waits for its answer gets it
		if c.done && len(c.out) > 0 && events&loop.HangupOrError == 0 {
			c.src.SetEvents(loop.Out)
			return
		}
		c.close()
		return
	}
	if c.done {
		return
	}
	most := c.d.lim.MaxManagementLineBytes
	c.line = append(c.line, buf[:min(n, most+1-len(c.line))]...)
	i := bytes.IndexByte(c.line, '\n')
	switch {
	case i >= 0:
		c.answer(c.line[:i])
	case len(c.line) > most:
		c.answer(nil)
	}
}

// answer answers one line; what comes behind it is dropped.
func (c *caller) answer(line []byte) {
	c.done = true
	switch string(bytes.TrimSuffix(line, []byte("\r"))) {
	case "STATUS":
		word := "200 ready"
		if !c.d.handler.IsReady() {
			word = "400 not ready"
		}
		c.out = []byte(word + c.d.handler.StatusDetails() + "\n")
	case "METRICS":
		c.out = append(c.d.handler.AppendMetrics(nil), "EOF\n"...)
	default:
		c.out = []byte("400 no such call\n")
	}
	c.flush()
}

// flush writes what there is room for and then ends our side. It tells whether the connection still stands.
func (c *caller) flush() bool {
	n, err := loop.Write(c.src.FD(), c.out)
	if err != nil {
		c.close()
		return false
	}
	if c.out = c.out[n:]; len(c.out) > 0 {
		c.src.SetEvents(loop.In | loop.Out | loop.Hangup)
		return true
	}
	// To close on bytes not read would reset the connection and could destroy the answer on its way, so the
	// caller's own end is waited for.
	if err := loop.CloseWrite(c.src.FD()); err != nil {
		c.close()
		return false
	}
	c.src.SetEvents(loop.In | loop.Hangup)
	return true
}

func (c *caller) close() {
	c.timer.Stop()
	c.src.Close()
	for i, o := range c.d.calls {
		if o == c {
			c.d.calls = append(c.d.calls[:i], c.d.calls[i+1:]...)
			break
		}
	}
}
