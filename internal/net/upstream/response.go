package upstream

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// read reads the socket and processes the response to the current request. On an idle connection, any input or the end
// of the stream closes it.
func (c *conn) read() {
	if c.isResting() {
		if !c.isQuiet() {
			c.moveRequest()
		}
		return
	}
	buf := c.pool.loop.ReadBuffer()
	buf = buf[:min(len(buf), maxResponseRead)]
	for {
		if c.relay != nil { // no more than the pipe has space for
			buf = c.pool.loop.ReadBuffer()
			buf = buf[:min(len(buf), max(1, c.relay.pipe.FreeSpace()))]
		}
		n, err := loop.Read(c.source.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) && c.relay != nil && c.parser.EndsWithConnection() {
				c.closeAfterRelay = true
				c.finishRelay()
				return
			}
			if errors.Is(err, io.EOF) && c.hasRequest && c.relay == nil && !c.hasUnwritten() {
				// A response without a length ends with the connection. If it was truncated, that can't be detected.
				if resp := c.parser.FinishAtEOF(); resp != nil {
					c.completeResponse(resp)
					return
				}
			}
			c.fail(err)
			return
		}
		if !c.hasRequest { // bytes that belong to no request
			c.close(errUnexpectedInput)
			return
		}
		if c.relay != nil { // one read per turn, so that other connections get theirs
			bodyBytes := c.parser.TakeRawBody(buf[:n])
			c.relay.pipe.Append(buf[:bodyBytes])
			if c.relay == nil { // the client has disconnected during Append
				return
			}
			if bodyBytes < n {
				c.parser.Feed(buf[bodyBytes:n])
			}
			c.pumpRelay()
			return
		}
		c.parser.Feed(buf[:n])
		resp, err := c.parser.Next()
		switch {
		case err != nil:
			c.fail(err)
			return
		case resp != nil && resp.IsStreamed:
			c.startRelay(resp)
			return
		case resp != nil:
			c.completeResponse(resp)
			return
		case !c.isProbe && c.parser.CanStream() && c.pool.memory.Level(c.parser.ExpectedBodyBytes()) != membudget.Ample:
			c.startRelay(c.parser.StartStreaming())
			return
		case c.earlyRelayTimer == nil && c.parser.HasUnknownLength():
			// A short response counts as answered with its last byte, which arrives soon. A long one counts with its
			// first bytes, so it is relayed from now on.
			c.traceEarlyRelayScheduled()
			c.earlyRelayTimer = c.pool.loop.After(c.pool.bounds.RelayStartDelay, func() {
				if resp := c.parser.StartStreaming(); resp != nil && c.hasRequest && c.source.FD() >= 0 {
					c.startRelay(resp)
				}
			})
		}
		if n < len(buf) {
			return
		}
	}
}

// maxResponseRead bounds one read of a response that is not relayed yet, which is copied to the parser's buffer.
const maxResponseRead = 16 << 10

// completeResponse reports the outcome of a request whose response is complete. The connection is not reused if the
// response came before the request was completely written, or if more bytes follow it.
func (c *conn) completeResponse(resp *http1.Response) {
	ref, isProbe := c.ref, c.isProbe
	if !isProbe {
		c.pool.resetStats.record(c.pool.loop.Now(), c.isReused, false)
	}
	c.hasRequest = false
	c.earlyRelayTimer.Stop()
	delete(c.pool.active, ref)
	answer := core.Answer{Body: resp.Body, ContentType: resp.Headers.Get("Content-Type"), Billed: chargedUnits(resp)}
	if resp.Close || c.hasUnwritten() || c.body != nil || c.parser.Buffered() > 0 {
		c.detachBody()
		c.close(errNotReusable)
	} else {
		c.keepIdle()
	}
	c.pool.reportOutcome(ref, isProbe, responseOutcome(resp), answer)
	c.parser.ReleaseIdleBuffers()
	if c.source.FD() >= 0 {
		c.updateMemory()
	}
}

// chargedUnits returns the units that the host charged for a successful request, from the X-Units-Charged header. It
// returns 0, which means not known, unless the header is a whole number from 1 up.
func chargedUnits(r *http1.Response) int {
	if r.Status != 200 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(r.Headers.Get("X-Units-Charged")))
	if err != nil || n < 1 {
		return 0
	}
	return n
}

// responseOutcome returns the outcome of a request from its response: OK for 200, Full for a 503 or 504 with the header
// Not-Started: 1, else Errored.
func responseOutcome(r *http1.Response) admission.Outcome {
	switch {
	case r.Status == 200:
		return admission.OK
	case (r.Status == 503 || r.Status == 504) && r.Headers.Get("Not-Started") == "1":
		return admission.Full
	}
	return admission.Errored
}
