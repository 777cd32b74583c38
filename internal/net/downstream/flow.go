package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Bodies that are passed on while they come: requests' upwards, answers' downwards.

// upload is a request's body of which more comes.
type upload struct {
	pipe  *flow.Pipe
	since time.Duration // from when its rate counts; moved on while there is no room for more
	got   int
}

// begin hands on an open request: its front may send it on before its body has come.
func (c *Conn) begin(req *http1.Request) {
	u := &upload{pipe: flow.New(c.s.lim.RelayWindow(c.s.uploads), req.ContentLength), since: c.s.loop.Now()}
	u.pipe.Append(req.Body) // it is held there alone
	c.parser.ReleaseBodyBuffers()
	req.Body, req.BodyPipe, c.up = nil, u.pipe, u
	c.s.uploads++
	u.pipe.OnFreeSpace = c.want
	c.ln.front.HandleRequest(c, req)
	if c.up == nil {
		return
	}
	if c.parser.TakeExpectContinue() {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.upload()
}

// upload passes on what has come of the body, as far as there is room.
func (c *Conn) upload() {
	if c.up == nil || c.src.FD() < 0 || c.up.pipe.FreeSpace() == 0 && c.parser.Buffered() > 0 {
		return
	}
	u := c.up
	b, whole, err := c.parser.NextBodyPart()
	if err != nil {
		c.cut()
		c.complain(err)
		return
	}
	u.got += len(b)
	u.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if whole {
		c.noUpload()
		u.pipe.CloseWrite(true)
		if c.busy {
			c.ln.front.HandleBodyComplete(c)
		}
	}
}

// stuck tells whether more of a body has come than there is room for, so that its client's end is not read for long.
func (c *Conn) stuck() bool { return c.up != nil && c.up.pipe.FreeSpace() == 0 }

// left: the client has ended its side behind more of a body than there is room for. It is gone from now on, not once all of
// that has been read; what has come is read and dropped, since to close on it would reset the connection.
func (c *Conn) left() {
	c.cut()
	c.busy, c.unread = false, true
	c.finish(closedLeft)
}

// noUpload: the present request has no more to come.
func (c *Conn) noUpload() {
	c.up = nil
	c.s.uploads--
}

// cut ends an upload that will never be whole, and its stream with it.
func (c *Conn) cut() {
	u := c.up
	c.noUpload()
	u.pipe.CloseWrite(false)
	if c.busy {
		c.ln.front.HandleClientGone(c)
	}
}

// slow tells whether a body comes slower than it may. Time for which nobody takes it is not its client's.
func (c *Conn) slow(now time.Duration) bool {
	u := c.up
	if u.pipe.FreeSpace() == 0 {
		u.since += sweepEvery
		return false
	}
	return now-u.since > c.s.lim.RequestTimeout(u.got)
}

// download is an answer's body of which more comes.
type download struct {
	pipe    *flow.Pipe
	framing http1.Framing
	done    func(whole bool)
	moved   time.Duration // when the client last took some, or there was none to take
}

// Relay answers the present request with a body that is still coming. Should it break off, so does the connection:
// the client can tell that it has not all of it. done is told which it was, unless the client leaves. What its host still
// gives is never cut, however long after the client's time: of a long answer the first bytes count.
func (c *Conn) Relay(status int, h http1.Headers, rest *flow.Pipe, done func(whole bool)) {
	if c.src.FD() < 0 || !c.busy {
		rest.CloseRead()
		return
	}
	c.StreamID = 0
	h = c.traced(h)
	c.served = true
	c.last = c.last || c.s.draining || c.up != nil
	d := &download{pipe: rest, done: done, moved: c.s.loop.Now()}
	switch {
	case rest.ContentLength >= 0:
	case c.old:
		d.framing, c.last = http1.FramedByClose, true
	default:
		d.framing = http1.FramedByChunks
	}
	c.dropUpload()
	c.down = d
	b := http1.AppendResponseHead(nil, status, h, rest.ContentLength, d.framing, c.last)
	if !c.write(b) {
		return
	}
	rest.OnData = c.pump
	c.pump()
}

// pump writes what has come, as long as the client takes it.
func (c *Conn) pump() {
	d := c.down
	if d == nil || c.src.FD() < 0 {
		return
	}
	if len(c.out) == 0 {
		d.moved = c.s.loop.Now()
	}
	if b := d.pipe.Bytes(); len(b) > 0 && len(c.out) == 0 {
		n := len(b)
		if d.framing == http1.FramedByChunks {
			if !c.write(http1.AppendChunk(make([]byte, 0, n+16), b)) {
				return
			}
		} else {
			var err error
			if n, err = loop.Write(c.src.FD(), b); err != nil {
				c.gone(closeReason(err.Error()))
				return
			}
		}
		d.pipe.Consume(n)
		c.want()
	}
	switch {
	case d.pipe.IsTruncated() && len(d.pipe.Bytes()) == 0:
		c.abort()
	case d.pipe.IsComplete() && c.down == d:
		c.down = nil
		if d.framing == http1.FramedByChunks && !c.write(http1.AppendLastChunk(nil)) {
			return
		}
		c.busy = false
		d.done(true)
		c.answered()
	}
}

// abort ends a connection whose answer can't be finished. One whose end would be taken for the answer's is reset.
func (c *Conn) abort() {
	if c.down.framing == http1.FramedByClose {
		c.src.ResetOnClose()
	}
	done := c.down.done
	c.drop(closedRelayCut)
	done(false)
}

// dropUpload lets go of the rest of a request that has its answer. It is still read, and goes nowhere.
func (c *Conn) dropUpload() {
	if c.up != nil {
		c.up.pipe.CloseRead()
		c.noUpload()
		c.unread = true
	}
}

// lingerTime is for how long bytes are still read after our end. A client that writes all of a long body before it
// reads would else never see the answer that came meanwhile.
func (c *Conn) lingerTime() time.Duration {
	if c.unread {
		return c.s.lim.RelayStallTimeout
	}
	return c.s.lim.LingerTimeout
}

// ActiveRelays tells how many answers are on their way and not wholly written.
func (s *Server) ActiveRelays() (n int) {
	for c := range s.conns {
		if c.down != nil {
			n++
		}
	}
	return n
}
