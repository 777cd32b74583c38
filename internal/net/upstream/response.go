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
	buf := c.p.loop.ReadBuffer()
	for {
		if c.relay != nil { // no more than there is room for
			buf = buf[:min(len(buf), max(1, c.relay.pipe.FreeSpace()))]
		}
		n, err := loop.Read(c.src.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) && c.relay != nil && c.parser.EndsWithConnection() {
				c.closes = true
				c.relayed()
				return
			}
			if errors.Is(err, io.EOF) && c.busy && c.relay == nil && len(c.out) == 0 {
				// That it was cut off there can't be told from an answer without a length that ends as it must.
				if resp := c.parser.FinishAtEOF(); resp != nil {
					c.answer(resp)
					return
				}
			}
			c.fail(err)
			return
		}
		if !c.busy { // bytes that nobody asked for
			c.p.noisyAt = c.p.loop.Now()
			c.close(errNotQuiet)
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
			c.pull()
			return
		}
		c.parser.Feed(buf[:n])
		resp, err := c.parser.Next()
		switch {
		case err != nil:
			c.fail(err)
			return
		case resp != nil && resp.IsStreamed:
			c.open(resp)
			return
		case resp != nil:
			c.answer(resp)
			return
		case c.early == nil && c.parser.HasUnknownLength():
			// What is so short that its last byte counts is soon here; of what is long the first bytes count.
			c.early = c.p.loop.After(c.p.lim.RelayStartDelay, func() {
				if resp := c.parser.StartStreaming(); resp != nil && c.busy && c.src.FD() >= 0 {
					c.open(resp)
				}
			})
		}
		if n < len(buf) {
			return
		}
	}
}

// answer takes a whole response. An answer that came before its request was whole, or with more
// behind it, leaves a connection that can't be trusted with the next one.
func (c *conn) answer(resp *http1.Response) {
	ref, probe := c.ref, c.probe
	if c.doubtful(resp) {
		return
	}
	if !probe {
		c.p.reuse.learn(c.p.loop.Now(), c.kept, false)
	}
	c.busy = false
	c.early.Stop()
	c.early = nil
	delete(c.p.out, ref)
	answer := core.Answer{Body: resp.Body, ContentType: resp.Headers.Get("Content-Type"), Billed: billed(resp)}
	if resp.Close || len(c.out) > 0 || c.body != nil || c.parser.Buffered() > 0 {
		c.detach()
		c.close(errLastAnswer)
	} else {
		c.rest()
	}
	c.p.ended(ref, probe, outcome(resp), answer)
	c.parser.ReleaseIdleBuffers()
}

// billed reads the true units of a good answer from X-Units-Charged: a whole number from 1 up, else 0,
// which tells nothing.
func billed(r *http1.Response) int {
	if r.Status != 200 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(r.Headers.Get("X-Units-Charged")))
	if err != nil || n < 1 {
		return 0
	}
	return n
}

// outcome tells what a response says of its request.
func outcome(r *http1.Response) admission.Outcome {
	switch {
	case r.Status == 200:
		return admission.OK
	case (r.Status == 503 || r.Status == 504) && r.Headers.Get("Not-Started") == "1":
		return admission.Full
	}
	return admission.Errored
}
