package downstream

import (
	"errors"
	"time"

	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// read reads the socket and processes the input. It reads once, so that other connections get their turn, or several
// times after a stall of the process, see readDelayed.
func (c *Conn) read() { c.readDelayed(c.server.loop.MaxReadDelay()) }

// maxDelayedReads is the maximum number of additional reads of input that had to wait. The client has had time to
// disconnect, so the end of its stream may follow right after the input.
const maxDelayedReads = 8

// readDelayed reads input that may have arrived up to delay earlier. If delay is positive, no request is started before
// further reads have shown whether the client is still connected.
func (c *Conn) readDelayed(delay time.Duration) {
	if c.lacksMemory() {
		c.awaitMemory()
		c.updateEvents()
		return
	}
	received, open := c.readOnce(delay)
	for n := 0; open && received && delay > 0 && c.upload == nil && n < maxDelayedReads; n++ {
		received, open = c.readOnce(delay)
	}
	if !open {
		return
	}
	c.pumpUpload()
	c.parseRequests()
}

// readOnce reads the socket once and buffers the input, which may have arrived up to delay earlier. It reports whether
// bytes were received, and whether the connection is still open. It reads at most about MaxHeaderBytes, or what the pipe of
// an upload has space for: hundreds of long bodies that begin at the same time must not each buffer a first part as large
// as the read buffer.
func (c *Conn) readOnce(delay time.Duration) (received, open bool) {
	limit := c.maxHeadRead()
	if c.upload != nil {
		limit = max(1, c.upload.pipe.FreeSpace())
	}
	buf := c.server.loop.ReadBuffer()
	n, err := loop.Read(c.source.FD(), buf[:min(len(buf), limit)])
	if err != nil && !errors.Is(err, loop.ErrAgain) { // end of stream or reset
		c.disconnect(closeReason(err.Error()))
		return false, false
	}
	now := c.server.loop.Now()
	arrivedAt := c.unread.since(now) - delay
	c.unread.noteRead(now, n < min(len(buf), limit))
	if n == 0 {
		return false, true
	}
	c.lastReadAt = now
	if !c.awaitingResponse && !c.parser.HasMessageStarted() {
		c.phaseSince = c.lastReadAt
	}
	bodyBytes := 0
	if c.upload != nil {
		bodyBytes = c.parser.TakeRawBody(buf[:n])
		if c.endsBehindBody(bodyBytes, n) {
			c.disconnect(closedByClient)
			return false, false
		}
		c.upload.received += bodyBytes
		c.upload.pipe.Append(buf[:bodyBytes])
		c.upload.lastArrivalAt = arrivedAt
	}
	if bodyBytes < n && !c.discardOverflow(n-bodyBytes) {
		c.parser.Feed(buf[bodyBytes:n])
		c.arrivals.add(n-bodyBytes, arrivedAt)
	}
	return true, true
}

// endsBehindBody reports whether the given bytes of the n that were read complete the request body and the client has
// closed its side behind it. A host must not get the last byte of a request whose client has left: it would run.
func (c *Conn) endsBehindBody(bodyBytes, n int) bool {
	length := c.upload.pipe.ContentLength
	return length >= 0 && int64(c.upload.received+bodyBytes) == length && bodyBytes == n && loop.IsAtEnd(c.source.FD())
}

// parseRequests passes the next buffered request to the handler, and further ones as long as each is answered at once and
// the client takes the answers. It passes on at most MaxPipelinedPerTurn in a turn, however often it is called.
func (c *Conn) parseRequests() {
	if c.parsing || c.parseTimer != nil {
		return
	}
	c.parsing = true
	defer func() { c.parsing = false }()
	for n := 0; c.canParse(); n++ {
		if n == c.server.bounds.MaxPipelinedPerTurn { // other connections get their turn first
			c.parseNextTurn()
			break
		}
		req, err := c.parser.Next()
		if err != nil {
			c.rejectUnparsable(err)
			return
		}
		if req == nil {
			if !c.lacksMemory() && c.parser.TakeExpectContinue() {
				c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			break
		}
		c.hasBodyRoom = false
		c.exchange = exchange{awaitingResponse: true, arrivedAt: c.arrivals.lastParsed(c.parser.Buffered(), c.Now()),
			isHead: req.Method == "HEAD", isHTTP10: req.IsHTTP10}
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
		c.addToEvictionList()
		c.reserveMemory()
	}
	c.updateEvents()
}

// canParse reports whether a buffered request may be passed to the handler now.
func (c *Conn) canParse() bool {
	return !c.awaitingResponse && !c.lingering && !c.server.suspended && c.source.FD() >= 0 && len(c.unsent) == 0
}

// parseNextTurn has the buffered requests passed on in the next turn: others get their turn first, and a client that has
// left resets its connection when it gets a response, if the end of its stream is hidden behind unread input.
func (c *Conn) parseNextTurn() {
	if c.parseTimer == nil {
		c.parseTimer = c.server.loop.After(time.Microsecond, c.continueParsing)
	}
}

// continueParsing goes on with the requests that were left for a later turn.
func (c *Conn) continueParsing() {
	c.parseTimer = nil
	c.parseRequests()
}

// rejectUnparsable answers input that is not a valid request, with the parser's status or 400.
func (c *Conn) rejectUnparsable(err error) {
	status := 400
	var pe *http1.ParseError
	if errors.As(err, &pe) {
		status = pe.Status
	}
	c.rejectRequest(status, err.Error())
}

// updateEvents polls for the events that the connection can use: input while the buffer has space for it, output while
// bytes wait to be written.
func (c *Conn) updateEvents() {
	if c.source.FD() < 0 {
		return
	}
	c.updateMemory()
	events := uint32(loop.Hangup)
	switch {
	case c.server.suspended && !c.awaitingResponse && !c.lingering:
		events = 0
	case c.lingering:
		events |= loop.In
	case c.upload != nil:
		c.updateUploadEviction()
		if events = loop.Hangup; c.upload.pipe.FreeSpace() > 0 { // while the pipe is full, only a hangup matters
			events |= loop.In
		}
	default:
		events = c.inputEvents()
	}
	if c.hasUnwritten() {
		events |= loop.Out
	}
	c.unread.notePolled(c.server.loop.Now(), events&loop.In != 0, c.source.FD())
	c.source.SetEvents(events)
}

// rejectRequest has the handler answer an invalid or too slow request. The response closes the connection.
func (c *Conn) rejectRequest(status int, message string) {
	if !c.awaitingResponse { // it is not known what the input asks for
		c.exchange = exchange{awaitingResponse: true}
	}
	c.closeAfterResponse = true
	c.hasUnreadBody = c.hasUnreadBody || status == 413 || status == statusNoMemory // the client may write the whole body before it reads
	c.removeFromList()
	c.listener.handler.HandleMalformed(c, status, message)
}
