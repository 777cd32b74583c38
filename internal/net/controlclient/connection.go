package controlclient

import (
	"errors"
	"io"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// connection is one to a replica.
type connection struct {
	client          *Client
	source          *loop.Source
	isUp            bool   // it has been established
	hasReceived     bool   // the replica has sent a message
	isClosing       bool   // GiveUp: what is left is written, then our side ends; what comes is dropped
	isAwaitingReply bool   // something was sent since the replica last sent anything
	received        []byte // of a message that is not complete
	unsent          []byte // not written yet
	silenceTimer    *loop.Timer
	// awaitingSince is when the first message was sent that asked is about.
	awaitingSince time.Duration
}

// startSilenceTimer waits for the next sign of life.
func (c *connection) startSilenceTimer(timeout time.Duration) {
	c.silenceTimer.Stop()
	c.silenceTimer = c.client.loop.After(timeout, c.handleSilence)
}

// handleSilence ends waiting for a sign of life. A replica answers what it is asked, and a process that stood still, or had no
// processor, has asked nothing meanwhile: it leaves a connection that works only when the replica has had its time.
func (c *connection) handleSilence() {
	remaining := c.awaitingSince + c.client.limits.ControlFirstMessageTimeout - c.client.loop.Now()
	if c.isAwaitingReply && remaining > 0 {
		c.startSilenceTimer(remaining)
		return
	}
	c.client.fail(errSilent)
}

// close ends the connection; without a reset before it, in the orderly way.
func (c *connection) close() {
	c.silenceTimer.Stop()
	c.source.Close()
}

// reset ends the connection so that the replica can't take it for the end of this process. It is safe on nil.
func (c *connection) reset() {
	if c != nil {
		c.source.ResetOnClose()
		c.close()
	}
}

// Ready goes on with the connection.
func (c *connection) Ready(events uint32) {
	if !c.isUp {
		if err := loop.DialResult(c.source.FD()); err != nil {
			c.client.fail(err)
			return
		}
		c.isUp = true
		c.client.handleConnected()
	} else if events&loop.Out != 0 {
		c.flush()
	}
	if c.isCurrent() && events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
}

// isCurrent tells whether this connection is still the client's: any step may have ended it.
func (c *connection) isCurrent() bool { return c.client.conn == c }

func (c *connection) send(list []controlgroup.Message) {
	for _, m := range list {
		c.unsent = controlgroup.Append(c.unsent, m)
	}
	if len(list) > 0 && !c.isAwaitingReply {
		c.isAwaitingReply, c.awaitingSince = true, c.client.loop.Now()
	}
	c.flush()
}

// flush writes what there is room for.
func (c *connection) flush() {
	n, err := loop.Write(c.source.FD(), c.unsent)
	c.client.counts.SentBytes += uint64(n)
	c.unsent = append(c.unsent[:0], c.unsent[n:]...)
	switch {
	case err != nil:
		c.client.fail(err)
	case len(c.unsent) > c.client.limits.MaxControlQueueBytes:
		c.client.fail(errNotReading)
	case len(c.unsent) > 0:
		c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
	case c.isClosing:
		c.closeWrite()
	default:
		c.source.SetEvents(loop.In | loop.Hangup)
	}
}

// closeGracefully writes what waits, and then ends our side.
func (c *connection) closeGracefully() {
	c.isClosing = true
	c.silenceTimer.Stop()
	c.flush()
}

func (c *connection) closeWrite() {
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.client.fail(err)
		return
	}
	c.source.SetEvents(loop.In | loop.Hangup)
}

// read takes what one read brings: whatever a replica sends, the other connections have their turns.
func (c *connection) read() {
	buf := c.client.loop.ReadBuffer()
	n, err := loop.Read(c.source.FD(), buf)
	if errors.Is(err, loop.ErrAgain) {
		return
	}
	if err != nil {
		c.handleReadError(err)
		return
	}
	c.client.counts.ReceivedBytes += uint64(n)
	if c.isClosing {
		return
	}
	c.isAwaitingReply = false
	c.startSilenceTimer(c.client.limits.ControlSilenceTimeout)
	c.received = append(c.received, buf[:n]...)
	c.handleMessages()
}

// handleReadError: the replica has ended the connection.
func (c *connection) handleReadError(err error) {
	if c.isClosing && errors.Is(err, io.EOF) { // it has read our end
		c.client.finishGiveUp()
		return
	}
	c.client.fail(err)
}

// handleMessages hands on those that are complete.
func (c *connection) handleMessages() {
	rest := c.received
	for {
		m, next, err := controlgroup.Next(rest)
		if err != nil {
			c.client.fail(err)
			return
		}
		if m == nil {
			break
		}
		rest = next
		if !c.handleMessage(m) {
			return
		}
	}
	c.received = append(c.received[:0], rest...)
	c.client.schedule()
}

// handleMessage hands one on, and tells whether the connection goes on. What follows from it takes effect before the answers
// report it: the group retires a version on the word that a newer one is acted on.
func (c *connection) handleMessage(m controlgroup.Message) bool {
	c.client.handleActive()
	now := c.client.loop.Now()
	answers, err := c.client.cfg.Member.Received(m, now)
	if err != nil {
		c.client.fail(err)
		return false
	}
	c.client.cfg.OnChange(now)
	if !c.isCurrent() {
		return false
	}
	c.send(answers)
	return c.isCurrent()
}
