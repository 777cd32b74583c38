package downstream

import (
	"errors"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// What comes of a client: bytes, requests, what can't be read as one.

// read takes what one read brings, and no more than there is room for: the others have their turns, and hundreds that
// begin long bodies at one instant must not hold the first piece of each at its largest.
func (c *Conn) read() { c.readLate(c.s.loop.MaxReadDelay()) }

// lateReads is how much more is read, in reads, of what had to wait: its client's end may be right behind, and it had its
// time to go.
const lateReads = 8

// readLate reads what may have come so much earlier. Of that nothing is begun before it is known whether its client is still
// there.
func (c *Conn) readLate(late time.Duration) {
	got, stands := c.take(late)
	for n := 0; stands && got && late > 0 && c.up == nil && n < lateReads; n++ {
		got, stands = c.take(late)
	}
	if !stands {
		return
	}
	c.upload()
	c.parse()
}

// take reads once. It tells whether anything came, and whether the connection still stands.
func (c *Conn) take(late time.Duration) (got, stands bool) {
	most := c.s.lim.MaxHeaderBytes
	if c.up != nil {
		most = max(1, c.up.pipe.FreeSpace())
	}
	buf := c.s.loop.ReadBuffer()
	n, err := loop.Read(c.src.FD(), buf[:min(len(buf), most)])
	if err != nil && !errors.Is(err, loop.ErrAgain) { // gone, whether with EOF or a reset
		c.gone(closeReason(err.Error()))
		return false, false
	}
	if n == 0 {
		return false, true
	}
	c.moved = c.s.loop.Now()
	if !c.busy && !c.parser.HasMessageStarted() {
		c.since = c.moved
	}
	d := 0
	if c.up != nil {
		d = c.parser.TakeRawBody(buf[:n])
		c.up.got += d
		c.up.pipe.Append(buf[:d])
	}
	if d < n && !c.tooMuch(n-d) {
		c.parser.Feed(buf[d:n])
		c.arrivals.came(n-d, c.moved-late)
	}
	return true, true
}

// parse hands on the next request, and the next again if it was answered at once.
func (c *Conn) parse() {
	if c.parsing {
		return
	}
	c.parsing = true
	defer func() { c.parsing = false }()
	for n := 0; !c.busy && !c.lingering && !c.s.held && c.src.FD() >= 0; n++ {
		if n == c.s.lim.MaxPipelinedPerTurn { // the others have their turn
			c.s.loop.After(time.Microsecond, c.parse)
			break
		}
		req, err := c.parser.Next()
		if err != nil {
			c.complain(err)
			return
		}
		if req == nil {
			if c.parser.TakeExpectContinue() {
				c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			break
		}
		c.came = c.arrivals.of(c.parser.Buffered(), c.Now())
		c.busy, c.head, c.old = true, req.Method == "HEAD", req.IsHTTP10
		c.last = c.last || req.Close
		c.traceRead(req)
		c.unlist()
		if req.IsStreamed {
			c.begin(req)
			continue
		}
		c.ln.front.HandleRequest(c, req)
	}
	if !c.busy && !c.lingering && c.src.FD() >= 0 && c.parser.HasMessageStarted() {
		c.s.begun.push(c)
	}
	c.want()
}

// complain answers what could not be read.
func (c *Conn) complain(err error) {
	status := 400
	var pe *http1.ParseError
	if errors.As(err, &pe) {
		status = pe.Status
	}
	c.malformed(status, err.Error())
}

// want watches for what can be used: no more input than is bounded, output only while some waits.
func (c *Conn) want() {
	if c.src.FD() < 0 {
		return
	}
	events := uint32(loop.Hangup)
	switch {
	case c.s.held && !c.busy && !c.lingering:
		events = 0
	case c.lingering:
		events |= loop.In
	case c.up != nil:
		if events = loop.Hangup; c.up.pipe.FreeSpace() > 0 { // else only its end is of use now
			events |= loop.In
		}
	case c.dumped > c.s.lim.MaxLingerBytes:
	case c.busy, c.parser.Buffered() <= c.most():
		events |= loop.In
	}
	if len(c.out) > 0 || c.down != nil && len(c.down.pipe.Bytes()) > 0 {
		events |= loop.Out
	}
	c.src.SetEvents(events)
}

func (c *Conn) malformed(status int, what string) {
	c.busy, c.last = true, true
	c.unread = c.unread || status == 413 // its client may write all of it before it reads
	c.unlist()
	c.ln.front.HandleMalformed(c, status, what)
}
