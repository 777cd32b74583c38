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
)

// What comes back of a request.

func (c *conn) read() {
	buf := c.pool.loop.ReadBuffer()
	for {
		if c.relay != nil { // no more than there is room for
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
			if errors.Is(err, io.EOF) && c.hasRequest && c.relay == nil && len(c.unsent) == 0 {
				// That it was cut off there can't be told from an answer without a length that ends as it must.
				if resp := c.parser.FinishAtEOF(); resp != nil {
					c.completeResponse(resp)
					return
				}
			}
			c.fail(err)
			return
		}
		if !c.hasRequest { // bytes that nobody asked for
			c.pool.unsolicitedAt = c.pool.loop.Now()
			c.close(errUnexpectedInput)
			return
		}
		if c.relay != nil { // the others have their turns
			d := c.parser.TakeRawBody(buf[:n])
			c.relay.pipe.Append(buf[:d])
			if c.relay == nil { // its client has left with that
				return
			}
			if d < n {
				c.parser.Feed(buf[d:n])
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
		case c.earlyRelayTimer == nil && c.parser.HasUnknownLength():
			// What is so short that its last byte counts is soon here; of what is long the first bytes count.
			c.earlyRelayTimer = c.pool.loop.After(c.pool.bounds.FlowEarly, func() {
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

// completeResponse takes a whole response. An completeResponse that came before its request was whole, or with more
// behind it, leaves a connection that can't be trusted with the next one.
func (c *conn) completeResponse(resp *http1.Response) {
	ref, probe := c.ref, c.isProbe
	if c.failPossibleDuplicate(resp) {
		return
	}
	if !probe {
		c.pool.resetStats.record(c.pool.loop.Now(), c.isReused, false)
	}
	c.hasRequest = false
	c.earlyRelayTimer.Stop()
	c.earlyRelayTimer = nil
	delete(c.pool.active, ref)
	answer := core.Answer{Body: resp.Body, ContentType: resp.Headers.Get("Content-Type"), Billed: chargedUnits(resp)}
	if resp.Close || len(c.unsent) > 0 || c.body != nil || c.parser.Buffered() > 0 {
		c.detachBody()
		c.close(errNotReusable)
	} else {
		c.keepIdle()
	}
	c.pool.reportOutcome(ref, probe, responseOutcome(resp), answer)
	c.parser.ReleaseIdleBuffers()
}

// chargedUnits reads the true units of a good answer from X-Units-Charged: a whole number from 1 up, else 0,
// which tells nothing.
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

// responseOutcome tells what a response says of its request.
func responseOutcome(r *http1.Response) admission.Outcome {
	switch {
	case r.Status == 200:
		return admission.OK
	case (r.Status == 503 || r.Status == 504) && r.Headers.Get("Not-Started") == "1":
		return admission.Full
	}
	return admission.Errored
}
