package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// bodyUpload is the body of a streamed request, which is forwarded while it is being received.
type bodyUpload struct {
	pipe      *flow.Pipe
	rateSince time.Duration // start of the rate measurement; postponed while the pipe is full
	received  int           // bytes

	lastArrivalAt time.Duration // when the input that was read last may have arrived at the earliest
}

// startUpload passes a streamed request to the handler, which may send it upstream before its body is complete.
func (c *Conn) startUpload(req *http1.Request) {
	u := &bodyUpload{pipe: flow.New(c.server.uploadWindow(), req.ContentLength),
		rateSince: c.server.loop.Now(), lastArrivalAt: c.arrivedAt}
	u.received = len(req.Body)
	u.pipe.Append(req.Body) // copies it, so the parser's buffer can be released
	c.parser.ReleaseBodyBuffers()
	req.Body, req.BodyPipe, c.upload, c.bodyPipe = nil, u.pipe, u, u.pipe
	c.server.uploadWindows += u.pipe.Window()
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

// pumpUpload moves received bytes of the body into the pipe, as far as there is space, and ends an upload that is complete.
func (c *Conn) pumpUpload() {
	if c.upload == nil || c.source.FD() < 0 {
		return
	}
	u := c.upload
	if u.pipe.FreeSpace() == 0 && c.parser.Buffered() > 0 && !c.parser.IsStreamComplete() {
		return
	}
	b, complete, err := c.parser.NextBodyPart()
	if err != nil {
		c.abortUpload()
		c.rejectUnparsable(err)
		return
	}
	if complete && c.parser.Buffered() == 0 && loop.IsAtEnd(c.source.FD()) { // the client has left; see endsBehindBody
		c.disconnect(closedByClient)
		return
	}
	u.received += len(b)
	u.pipe.Append(b)
	c.parser.ReleaseBodyBuffers()
	if complete {
		c.arrivedAt = u.lastArrivalAt
		c.clearUpload()
		u.pipe.CloseWrite(true)
		if c.awaitingResponse {
			c.listener.handler.HandleBodyComplete(c)
		}
	}
}

// clearUpload ends the forwarding of the current request's body.
func (c *Conn) clearUpload() {
	c.removeFromList()
	c.server.uploadWindows -= c.upload.pipe.Window()
	c.upload = nil
}

// updateUploadEviction makes a connection eligible for eviction while its client is to send more of a body. While the pipe is
// full, the host is slow, which is not the client's fault.
func (c *Conn) updateUploadEviction() {
	switch {
	case c.upload.pipe.FreeSpace() == 0:
		c.removeFromList()
	case c.list == nil:
		c.lastReadAt = c.server.loop.Now()
		c.server.uploading.push(c)
	case c.lastReadAt == c.server.loop.Now():
		c.server.uploading.push(c)
	}
}

// uploadWindow returns the window of a further request body.
func (s *Server) uploadWindow() int {
	if s.memory.Level(0) != membudget.Ample {
		return s.bounds.RelayWindow(s.bounds.MaxRelayBufferBytes)
	}
	return s.bounds.RelayWindow(s.uploadWindows)
}

// abortUpload ends an upload that will never be complete. The handler learns that the client is gone, which ends the
// stream.
func (c *Conn) abortUpload() {
	u := c.upload
	c.clearUpload()
	u.pipe.CloseWrite(false)
	if c.awaitingResponse {
		c.listener.handler.HandleClientGone(c)
	}
}

// isUploadTooSlow reports whether a body arrives slower than the minimum rate. While the pipe is full, the upstream side
// is slow, which is not the client's fault: the sweep interval is then taken out of the measurement. So it must be called
// once per sweep.
func (c *Conn) isUploadTooSlow(now time.Duration) bool {
	u := c.upload
	if u.pipe.FreeSpace() == 0 {
		u.rateSince += sweepInterval
		return false
	}
	return now-u.rateSince > c.server.bounds.RequestTimeout(u.received)
}

// responseRelay is a response body that is forwarded while it is being received from the upstream host.
type responseRelay struct {
	pipe    *flow.Pipe
	framing http1.Framing
	done    func(complete bool)
}

// Relay answers the current request with a body that is still being received. If the body ends early, the connection is
// closed so that the client can tell that the response is incomplete. done is called once with whether the body is
// complete, unless the connection to the client fails first. A relay is not cut off at the client's deadline, however
// late it ends, because a long response counts as answered with its first bytes. If the connection is closed or has no
// unanswered request, Relay only drops the body.
func (c *Conn) Relay(status int, h http1.Headers, body *flow.Pipe, done func(complete bool)) {
	if c.source.FD() < 0 || !c.awaitingResponse {
		body.CloseRead()
		return
	}
	c.StreamID = 0
	h = c.withTraceParent(h)
	c.wasServed = true
	c.closeAfterResponse = c.closeAfterResponse || c.server.draining || c.upload != nil
	r := &responseRelay{pipe: body, done: done}
	switch {
	case body.ContentLength >= 0:
	case c.isHTTP10:
		r.framing, c.closeAfterResponse = http1.FramedByClose, true
		c.source.ResetOnClose() // until the response is complete, also if the process is killed
	default:
		r.framing = http1.FramedByChunks
	}
	c.discardUpload()
	c.relay = r
	b := http1.AppendResponseHead(nil, status, h, body.ContentLength, r.framing, c.closeAfterResponse)
	if !c.write(b) {
		return
	}
	body.OnData = c.pumpRelay
	c.pumpRelay()
}

// pumpRelay writes received bytes of the response body, as long as the client takes them, and finishes the response at
// the end of the body.
func (c *Conn) pumpRelay() {
	r := c.relay
	if r == nil || c.source.FD() < 0 {
		return
	}
	c.updateMemory()
	if !c.writeRelay(r) {
		return
	}
	switch {
	case r.pipe.IsTruncated() && len(r.pipe.Bytes()) == 0:
		c.abortRelay()
	case r.pipe.IsComplete() && c.relay == r:
		c.relay = nil
		if r.framing == http1.FramedByChunks && !c.write(http1.AppendLastChunk(nil)) {
			return
		}
		if r.framing == http1.FramedByClose {
			c.source.EndOnClose()
		}
		c.awaitingResponse = false
		r.done(true)
		c.finishResponse()
	}
}

// writeRelay writes received bytes of the response body as far as the client takes them. It reports whether the relay goes
// on.
func (c *Conn) writeRelay(r *responseRelay) bool {
	for len(c.unsent) == 0 && len(r.pipe.Bytes()) > 0 {
		n, err := c.writeRelayPart(r)
		if err != nil {
			c.disconnect(closeReason(err.Error()))
			return false
		}
		if c.source.FD() < 0 {
			return false
		}
		r.pipe.Consume(n)
		c.recordWrite(n)
		c.updateEvents()
		if r.framing != http1.FramedByChunks || c.relay != r {
			break
		}
	}
	return c.relay == r
}

// maxChunkBytes bounds a chunk, of which an encoded copy is held until the client has taken it.
const maxChunkBytes = 16 << 10

// writeRelayPart writes the first bytes of the body and returns how many need not be written again.
func (c *Conn) writeRelayPart(r *responseRelay) (int, error) {
	b := r.pipe.Bytes()
	if r.framing != http1.FramedByChunks {
		return loop.Write(c.source.FD(), b)
	}
	n := min(len(b), maxChunkBytes)
	c.write(http1.AppendChunk(make([]byte, 0, n+16), b[:n]))
	return n, nil
}

// abortRelay closes a connection whose response can't be completed. If the end of the connection would mark the end of
// the response, the connection is reset; see Relay.
func (c *Conn) abortRelay() {
	done := c.relay.done
	c.close(closedRelayAborted)
	done(false)
}

// discardUpload drops the rest of the body of a request that is already answered. It is still read, but not forwarded.
func (c *Conn) discardUpload() {
	if c.upload != nil {
		c.upload.pipe.CloseRead()
		c.clearUpload()
		c.hasUnreadBody = true
	}
}

// lingerTimeout returns how long a lingering connection still reads input. It is longer after an unread body: a client
// that writes all of a long body before it reads would otherwise never see the response sent meanwhile.
func (c *Conn) lingerTimeout() time.Duration {
	if c.hasUnreadBody {
		return c.server.bounds.RelayStallTimeout
	}
	return c.server.bounds.LingerTimeout
}

// ActiveRelays returns the number of relayed responses that are not completely written.
func (s *Server) ActiveRelays() (n int) {
	for c := range s.conns {
		if c.relay != nil {
			n++
		}
	}
	return n
}
