package downstream

import (
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// What goes to a client.

// Reply answers the present request.
func (c *Conn) Reply(status int, h http1.Headers, body []byte) {
	if c.src.FD() < 0 || !c.busy {
		return
	}
	c.busy, c.StreamID = false, 0
	h = c.traced(h)
	if c.up != nil { // what still comes of the request is read and dropped
		c.last = true
		c.dropUpload()
	}
	c.served = c.served || status < 400 || status == 429 || status >= 500
	c.last = c.last || c.s.draining
	if !c.write(http1.AppendResponse(nil, status, h, body, c.last, c.head)) {
		return
	}
	c.answered()
}

// traced adds the trace that the answer gives back.
func (c *Conn) traced(h http1.Headers) http1.Headers {
	if c.TraceParent != "" {
		h = append(h[:len(h):len(h)], http1.Header{Name: "traceparent", Value: c.TraceParent})
		c.TraceParent = ""
	}
	return h
}

// answered goes on after an answer, as far as it is ours to write.
func (c *Conn) answered() {
	if c.last {
		c.finish(closedAnswered)
		return
	}
	c.setIdle()
	switch {
	case c.s.hand != nil && !c.parsing:
		c.give()
	case c.s.held:
		c.want()
	case c.parser.Buffered() > 0:
		c.parse()
	}
}

// write sends what there is room for and keeps the rest. It tells whether the connection still stands.
func (c *Conn) write(b []byte) bool {
	if len(c.out) > 0 {
		c.out = append(c.out, b...)
		return true
	}
	n, err := loop.Write(c.src.FD(), b)
	if err != nil {
		c.gone(closeReason(err.Error()))
		return false
	}
	if n < len(b) {
		c.out = append(c.out, b[n:]...)
		c.want()
	}
	return true
}

func (c *Conn) flush() bool {
	n, err := loop.Write(c.src.FD(), c.out)
	if err != nil {
		c.gone(closeReason(err.Error()))
		return false
	}
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
		if c.lingering {
			c.endSending()
		}
		c.pump()
		if c.src.FD() < 0 {
			return false
		}
	} else if n > 0 && c.down != nil {
		c.down.moved = c.s.loop.Now()
	}
	c.want()
	return true
}
