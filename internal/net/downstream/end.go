package downstream

import (
	"errors"
	"io"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// The end of a connection.

// finish ends our side once all is written. The other side is read on for a while: to close on bytes
// not read would reset the connection and could destroy the answer on its way.
func (c *Conn) finish() {
	if c.lingering || c.src.FD() < 0 {
		return
	}
	c.unlist()
	c.lingering, c.since = true, c.s.loop.Now()
	if len(c.out) == 0 {
		c.endSending()
	}
	c.want()
}

func (c *Conn) endSending() {
	if err := loop.EndSending(c.src.FD()); err != nil {
		c.drop()
		return
	}
	c.s.leaving.push(c)
}

// discard reads what still comes, one read a turn and not without end: a client that sends on and on must not
// hold the loop.
func (c *Conn) discard() {
	n, err := loop.Read(c.src.FD(), c.s.loop.Buf())
	c.dropped += n
	switch {
	case errors.Is(err, loop.ErrAgain):
	case errors.Is(err, io.EOF) && len(c.out) > 0:
		c.src.Want(loop.Out) // the client has ended its side and still takes the answer
	case err != nil, c.dropped > c.s.lim.LingerBytes && !c.unread, c.dropped > c.s.lim.BodyBytes+c.s.lim.LingerBytes:
		c.drop()
	}
}
