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
func (c *Conn) read() { c.readDelayed(c.server.loop.MaxReadDelay()) }

// maxDelayedReads is how much more is read, in reads, of what had to wait: its client's end may be right behind, and it had its
// time to go.
const maxDelayedReads = 8

// readDelayed reads what may have come so much earlier. Of that nothing is begun before it is known whether its client is still
// there.
func (c *Conn) readDelayed(late time.Duration) {
	got, stands := c.readOnce(late)
	for n := 0; stands && got && late > 0 && c.upload == nil && n < maxDelayedReads; n++ {
		got, stands = c.readOnce(late)
	}
	if !stands {
		return
	}
	c.pumpUpload()
	c.parseRequests()
}

// readOnce reads once. It tells whether anything came, and whether the connection still stands.
func (c *Conn) readOnce(late time.Duration) (got, stands bool) {
	most := c.server.bounds.HeadBytes
	if c.upload != nil {
		most = max(1, c.upload.pipe.FreeSpace())
	}
	buf := c.server.loop.ReadBuffer()
	n, err := loop.Read(c.source.FD(), buf[:min(len(buf), most)])
	if err != nil && !errors.Is(err, loop.ErrAgain) { // gone, whether with EOF or a reset
		c.disconnect(closeReason(err.Error()))
		return false, false
	}
	if n == 0 {
		return false, true
	}
	c.lastReadAt = c.server.loop.Now()
	if !c.awaitingResponse && !c.parser.HasMessageStarted() {
		c.phaseSince = c.lastReadAt
	}
	d := 0
	if c.upload != nil {
		d = c.parser.TakeRawBody(buf[:n])
		c.upload.received += d
		c.upload.pipe.Append(buf[:d])
	}
	if d < n && !c.discardOverflow(n-d) {
		c.parser.Feed(buf[d:n])
		c.arrivals.add(n-d, c.lastReadAt-late)
	}
	return true, true
}

// parseRequests hands on the next request, and the next again if it was answered at once.
func (c *Conn) parseRequests() {
	if c.parsing {
		return
	}
	c.parsing = true
	defer func() { c.parsing = false }()
	for n := 0; !c.awaitingResponse && !c.lingering && !c.server.suspended && c.source.FD() >= 0; n++ {
		if n == c.server.bounds.Ahead { // the others have their turn
			c.server.loop.After(time.Microsecond, c.parseRequests)
			break
		}
		req, err := c.parser.Next()
		if err != nil {
			c.rejectUnparsable(err)
			return
		}
		if req == nil {
			if c.parser.TakeExpectContinue() {
				c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			break
		}
		c.requestArrivedAt = c.arrivals.lastParsed(c.parser.Buffered(), c.Now())
		c.awaitingResponse, c.isHead, c.isHTTP10 = true, req.Method == "HEAD", req.IsHTTP10
		c.closeAfterResponse = c.closeAfterResponse || req.Close
		c.traceRequestRead(req)
		c.removeFromList()
		if req.IsStreamed {
			c.startUpload(req)
			continue
		}
		c.listener.handler.HandleRequest(c, req)
	}
	if !c.awaitingResponse && !c.lingering && c.source.FD() >= 0 && c.parser.HasMessageStarted() {
		c.server.receiving.push(c)
	}
	c.updateEvents()
}

// rejectUnparsable answers what could not be read.
func (c *Conn) rejectUnparsable(err error) {
	status := 400
	var pe *http1.ParseError
	if errors.As(err, &pe) {
		status = pe.Status
	}
	c.rejectRequest(status, err.Error())
}

// updateEvents watches for what can be used: no more input than is bounded, output only while some waits.
func (c *Conn) updateEvents() {
	if c.source.FD() < 0 {
		return
	}
	events := uint32(loop.Hangup)
	switch {
	case c.server.suspended && !c.awaitingResponse && !c.lingering:
		events = 0
	case c.lingering:
		events |= loop.In
	case c.upload != nil:
		if events = loop.Hangup; c.upload.pipe.FreeSpace() > 0 { // else only its end is of use now
			events |= loop.In
		}
	case c.overflowBytes > c.server.bounds.LingerBytes:
	case c.awaitingResponse, c.parser.Buffered() <= c.maxBufferedBytes():
		events |= loop.In
	}
	if len(c.unsent) > 0 || c.relay != nil && len(c.relay.pipe.Bytes()) > 0 {
		events |= loop.Out
	}
	c.source.SetEvents(events)
}

func (c *Conn) rejectRequest(status int, what string) {
	c.awaitingResponse, c.closeAfterResponse = true, true
	c.hasUnreadBody = c.hasUnreadBody || status == 413 // its client may write all of it before it reads
	c.removeFromList()
	c.listener.handler.HandleMalformed(c, status, what)
}
