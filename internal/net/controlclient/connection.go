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
	client *Client
	source *loop.Source
	up     bool   // it has been established
	heard  bool   // the replica has sent a message
	ending bool   // GiveUp: what is left is written, then our side ends; what comes is dropped
	asked  bool   // something was sent since the replica last sent anything
	in     []byte // of a message that is not complete
	out    []byte // not written yet
	limit  *loop.Timer
	// askedAt is when the first message was sent that asked is about.
	askedAt time.Duration
}

// expect waits for the next sign of life.
func (c *connection) expect(most time.Duration) {
	c.limit.Stop()
	c.limit = c.client.loop.After(most, c.silent)
}

// silent ends waiting for a sign of life. A replica answers what it is asked, and a process that stood still, or had no
// processor, has asked nothing meanwhile: it leaves a connection that works only when the replica has had its time.
func (c *connection) silent() {
	left := c.askedAt + c.client.lim.ControlFirstMessageTimeout - c.client.loop.Now()
	if c.asked && left > 0 {
		c.expect(left)
		return
	}
	c.client.failed(errSilent)
}

// close ends the connection; without a reset before it, in the orderly way.
func (c *connection) close() {
	c.limit.Stop()
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
	if !c.up {
		if err := loop.DialResult(c.source.FD()); err != nil {
			c.client.failed(err)
			return
		}
		c.up = true
		c.client.connected()
	} else if events&loop.Out != 0 {
		c.flush()
	}
	if c.alive() && events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
}

// alive tells whether this connection is still the client's: any step may have ended it.
func (c *connection) alive() bool { return c.client.conn == c }

func (c *connection) send(list []controlgroup.Message) {
	for _, m := range list {
		c.out = controlgroup.Append(c.out, m)
	}
	if len(list) > 0 && !c.asked {
		c.asked, c.askedAt = true, c.client.loop.Now()
	}
	c.flush()
}

// flush writes what there is room for.
func (c *connection) flush() {
	n, err := loop.Write(c.source.FD(), c.out)
	c.client.counts.SentBytes += uint64(n)
	c.out = append(c.out[:0], c.out[n:]...)
	switch {
	case err != nil:
		c.client.failed(err)
	case len(c.out) > c.client.lim.MaxControlQueueBytes:
		c.client.failed(errUnread)
	case len(c.out) > 0:
		c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
	case c.ending:
		c.endSending()
	default:
		c.source.SetEvents(loop.In | loop.Hangup)
	}
}

// end writes what waits, and then ends our side.
func (c *connection) end() {
	c.ending = true
	c.limit.Stop()
	c.flush()
}

func (c *connection) endSending() {
	if err := loop.CloseWrite(c.source.FD()); err != nil {
		c.client.failed(err)
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
		c.lost(err)
		return
	}
	c.client.counts.ReceivedBytes += uint64(n)
	if c.ending {
		return
	}
	c.asked = false
	c.expect(c.client.lim.ControlSilenceTimeout)
	c.in = append(c.in, buf[:n]...)
	c.messages()
}

// lost: the replica has ended the connection.
func (c *connection) lost(err error) {
	if c.ending && errors.Is(err, io.EOF) { // it has read our end
		c.client.abandon()
		return
	}
	c.client.failed(err)
}

// messages hands on those that are complete.
func (c *connection) messages() {
	rest := c.in
	for {
		m, after, err := controlgroup.Next(rest)
		if err != nil {
			c.client.failed(err)
			return
		}
		if m == nil {
			break
		}
		rest = after
		if !c.message(m) {
			return
		}
	}
	c.in = append(c.in[:0], rest...)
	c.client.schedule()
}

// message hands one on, and tells whether the connection goes on. What follows from it takes effect before the answers
// report it: the group retires a version on the word that a newer one is acted on.
func (c *connection) message(m controlgroup.Message) bool {
	c.client.served()
	now := c.client.loop.Now()
	answers, err := c.client.config.Member.Received(m, now)
	if err != nil {
		c.client.failed(err)
		return false
	}
	c.client.config.OnChange(now)
	if !c.alive() {
		return false
	}
	c.send(answers)
	return c.alive()
}
