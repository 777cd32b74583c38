package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Bodies that are passed on while they come: requests' upwards, answers' downwards.

// bodyUpload is a request's body of which more comes.
type bodyUpload struct {
	pipe      *flow.Pipe
	rateSince time.Duration // from when its rate counts; moved on while there is no room for more
	received  int
}

// startUpload hands on an open request: its front may send it on before its body has come.
func (c *Conn) startUpload(req *http1.Request) {
	u := &bodyUpload{pipe: flow.New(c.server.bounds.Window(c.server.activeUploads), req.ContentLength), rateSince: c.server.loop.Now()}
	u.pipe.Append(req.Body) // it is held there alone
	c.parser.ReleaseBodyBuffers()
	req.Body, req.BodyPipe, c.upload = nil, u.pipe, u
	c.server.activeUploads++
	u.pipe.OnFreeSpace = c.updateEvents
	c.listener.handler.HandleRequest(c, req)
	if c.upload == nil {
		return
	}
	if c.parser.TakeExpectContinue() {
		c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.pumpUpload()
}

// pumpUpload passes on what has come of the body, as far as there is room.
func (c *Conn) pumpUpload() {
	if c.upload == nil || c.source.FD() < 0 || c.upload.pipe.FreeSpace() == 0 && c.parser.Buffered() > 0 {
		return
	}
	u := c.upload
	b, whole, err := c.parser.NextBodyPart()
	if err != nil {
		c.abortUpload()
		c.rejectUnparsable(err)
		return
	}
	u.received += len(b)
	u.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if whole {
		c.clearUpload()
		u.pipe.CloseWrite(true)
		if c.awaitingResponse {
			c.listener.handler.HandleBodyComplete(c)
		}
	}
}

// isUploadBlocked tells whether more of a body has come than there is room for, so that its client's end is not read for long.
func (c *Conn) isUploadBlocked() bool { return c.upload != nil && c.upload.pipe.FreeSpace() == 0 }

// closeBlockedUpload: the client has ended its side behind more of a body than there is room for. It is gone from now on, not once all of
// that has been read; what has come is read and dropped, since to close on it would reset the connection.
func (c *Conn) closeBlockedUpload() {
	c.abortUpload()
	c.awaitingResponse, c.hasUnreadBody = false, true
	c.closeGracefully(closedUploadBlocked)
}

// clearUpload: the present request has no more to come.
func (c *Conn) clearUpload() {
	c.upload = nil
	c.server.activeUploads--
}

// abortUpload ends an upload that will never be whole, and its stream with it.
func (c *Conn) abortUpload() {
	u := c.upload
	c.clearUpload()
	u.pipe.CloseWrite(false)
	if c.awaitingResponse {
		c.listener.handler.HandleClientGone(c)
	}
}

// isUploadTooSlow tells whether a body comes slower than it may. Time for which nobody takes it is not its client's.
func (c *Conn) isUploadTooSlow(now time.Duration) bool {
	u := c.upload
	if u.pipe.FreeSpace() == 0 {
		u.rateSince += sweepInterval
		return false
	}
	return now-u.rateSince > c.server.bounds.RequestTime(u.received)
}

// responseRelay is an answer's body of which more comes.
type responseRelay struct {
	pipe       *flow.Pipe
	framing    http1.Framing
	done       func(whole bool)
	progressAt time.Duration // when the client last took some, or there was none to take
}

// Relay answers the present request with a body that is still coming. Should it break off, so does the connection:
// the client can tell that it has not all of it. done is told which it was, unless the client leaves. What its host still
// gives is never cut, however long after the client's time: of a long answer the first bytes count.
func (c *Conn) Relay(status int, h http1.Headers, rest *flow.Pipe, done func(whole bool)) {
	if c.source.FD() < 0 || !c.awaitingResponse {
		rest.CloseRead()
		return
	}
	c.StreamID = 0
	h = c.withTraceParent(h)
	c.wasServed = true
	c.closeAfterResponse = c.closeAfterResponse || c.server.draining || c.upload != nil
	d := &responseRelay{pipe: rest, done: done, progressAt: c.server.loop.Now()}
	switch {
	case rest.ContentLength >= 0:
	case c.isHTTP10:
		d.framing, c.closeAfterResponse = http1.FramedByClose, true
	default:
		d.framing = http1.FramedByChunks
	}
	c.discardUpload()
	c.relay = d
	b := http1.AppendResponseHead(nil, status, h, rest.ContentLength, d.framing, c.closeAfterResponse)
	if !c.write(b) {
		return
	}
	rest.OnData = c.pumpRelay
	c.pumpRelay()
}

// pumpRelay writes what has come, as long as the client takes it.
func (c *Conn) pumpRelay() {
	d := c.relay
	if d == nil || c.source.FD() < 0 {
		return
	}
	if len(c.unsent) == 0 {
		d.progressAt = c.server.loop.Now()
	}
	if b := d.pipe.Bytes(); len(b) > 0 && len(c.unsent) == 0 {
		n := len(b)
		if d.framing == http1.FramedByChunks {
			if !c.write(http1.AppendChunk(make([]byte, 0, n+16), b)) {
				return
			}
		} else {
			var err error
			if n, err = loop.Write(c.source.FD(), b); err != nil {
				c.disconnect(closeReason(err.Error()))
				return
			}
		}
		d.pipe.Consume(n)
		c.updateEvents()
	}
	switch {
	case d.pipe.IsTruncated() && len(d.pipe.Bytes()) == 0:
		c.abortRelay()
	case d.pipe.IsComplete() && c.relay == d:
		c.relay = nil
		if d.framing == http1.FramedByChunks && !c.write(http1.AppendLastChunk(nil)) {
			return
		}
		c.awaitingResponse = false
		d.done(true)
		c.finishResponse()
	}
}

// abortRelay ends a connection whose answer can't be finished. One whose end would be taken for the answer's is reset.
func (c *Conn) abortRelay() {
	if c.relay.framing == http1.FramedByClose {
		c.source.ResetOnClose()
	}
	done := c.relay.done
	c.close(closedRelayAborted)
	done(false)
}

// discardUpload lets go of the rest of a request that has its answer. It is still read, and goes nowhere.
func (c *Conn) discardUpload() {
	if c.upload != nil {
		c.upload.pipe.CloseRead()
		c.clearUpload()
		c.hasUnreadBody = true
	}
}

// lingerTimeout is for how long bytes are still read after our end. A client that writes all of a long body before it
// reads would else never see the answer that came meanwhile.
func (c *Conn) lingerTimeout() time.Duration {
	if c.hasUnreadBody {
		return c.server.bounds.FlowSilence
	}
	return c.server.bounds.Linger
}

// ActiveRelays tells how many answers are on their way and not wholly written.
func (s *Server) ActiveRelays() (n int) {
	for c := range s.conns {
		if c.relay != nil {
			n++
		}
	}
	return n
}
