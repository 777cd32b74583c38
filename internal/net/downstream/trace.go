package downstream

import "ferryfront.example/ferryfront/internal/net/http1"

// closeReason tells the operator why a client's connection was closed: one of these, or an error of the system's.
type closeReason string

const (
	closedLingered   closeReason = "the client did not end its side in time"
	closedNoProgress closeReason = "the client takes nothing of its answer"
	closedIdle       closeReason = "idle for too long"
	closedReset      closeReason = "reset by the client"
	closedAnswered   closeReason = "answered, and this was to be the last answer"
	closedAfterEnd   closeReason = "ended on both sides, or sent too much after our end"
	closedDraining   closeReason = "draining"
	closedLeft       closeReason = "the client has ended its side behind a body for which there is no room"
	closedRelayCut   closeReason = "its answer broke off"
	closedForRoom    closeReason = "to make room for another"
)

func (c *Conn) traceOpened() {
	if c.s.debugs {
		c.s.log.Debug("client connection", "connection", c.number)
	}
}

// traceRead joins the lines of a connection to those of its requests.
func (c *Conn) traceRead(r *http1.Request) {
	if c.s.debugs {
		c.s.log.Debug("request read", "connection", c.number, "request", r.Headers.Get("Request-Id"), "waited", c.RequestAge(),
			"late", c.s.loop.MaxReadDelay())
	}
}

func (c *Conn) traceEnding(why closeReason) {
	if c.s.debugs {
		c.s.log.Debug("client connection ends", "connection", c.number, "reason", string(why), "unsent", len(c.out))
	}
}

func (c *Conn) traceClosed(why closeReason) {
	if c.s.debugs {
		c.s.log.Debug("client connection closed", "connection", c.number, "reason", string(why), "owed", c.busy,
			"unsent", len(c.out), "held", c.parser.Buffered())
	}
}
