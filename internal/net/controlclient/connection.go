package controlclient

import (
	"errors"
	"io"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// connection is a connection to a replica.
type connection struct {
	client          *Client
	source          *loop.Source
	isUp            bool   // the TCP connection is established
	hasReceived     bool   // the replica has sent a message
	isClosing       bool   // by GiveUp: unsent is written and then FIN; received bytes are dropped
	isAwaitingReply bool   // messages were sent since the replica last sent anything
	received        []byte // start of an incomplete message
	unsent          []byte
	silenceTimer    *loop.Timer
	awaitingSince   time.Duration // when the first of the messages was sent that isAwaitingReply refers to
}

// startSilenceTimer sets the time within which the connection must be established or the replica must send something.
func (c *connection) startSilenceTimer(timeout time.Duration) {
	c.silenceTimer.Stop()
	c.silenceTimer = c.client.loop.After(timeout, c.handleSilence)
}

// handleSilence fails the connection when the silence timer expires, unless the first message that is unanswered was sent
// less than ControlFirstMessageTimeout ago; then it waits for the rest of that time. If this process was stopped or got no
// processor time, it sent nothing that the replica could have answered, so its own pause must not end a connection that
// works.
func (c *connection) handleSilence() {
	remaining := c.awaitingSince + c.client.limits.ControlFirstMessageTimeout - c.client.loop.Now()
	if c.isAwaitingReply && remaining > 0 {
		c.startSilenceTimer(remaining)
		return
	}
	c.client.fail(errSilent)
}

// close closes the connection: in the orderly way, unless a reset was set before.
func (c *connection) close() {
	c.silenceTimer.Stop()
	c.source.Close()
}

// reset closes the connection by a TCP reset, which a replica does not take for the end of this process. It is safe on nil.
func (c *connection) reset() {
	if c != nil {
		c.source.ResetOnClose()
		c.close()
	}
}

// Ready handles the events of the socket.
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

// isCurrent reports whether the connection is still the client's; any call into the client may have closed it.
func (c *connection) isCurrent() bool { return c.client.conn == c }

// send encodes messages and writes what the socket takes.
func (c *connection) send(messages []controlgroup.Message) {
	for _, m := range messages {
		c.unsent = controlgroup.Append(c.unsent, m)
	}
	if len(messages) > 0 && !c.isAwaitingReply {
		c.isAwaitingReply, c.awaitingSince = true, c.client.loop.Now()
	}
	c.flush()
}

// flush writes what the socket takes of the unsent bytes. More than MaxControlQueueBytes left over is a failure.
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

// closeGracefully writes the unsent bytes and then FIN.
func (c *connection) closeGracefully() {
	c.isClosing = true
	c.silenceTimer.Stop()
	c.flush()
}

// closeWrite sends FIN and keeps reading for that of the replica.
func (c *connection) closeWrite() {
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.client.fail(err)
		return
	}
	c.source.SetEvents(loop.In | loop.Hangup)
}

// read reads from the socket once, so that a replica that sends a lot does not hold up the other connections of the loop.
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

// handleReadError handles the end of the connection by the replica, or an error.
func (c *connection) handleReadError(err error) {
	if c.isClosing && errors.Is(err, io.EOF) { // the replica has read the FIN
		c.client.finishGiveUp()
		return
	}
	c.client.fail(err)
}

// handleMessages handles the complete messages among the received bytes and keeps the rest.
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
	c.client.scheduleTick()
}

// handleMessage passes a message to the member and sends its answers. It reports whether the connection is still open. OnChange
// takes effect before the answers are sent, since the group retires a version once members report that they act on a newer
// one.
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
