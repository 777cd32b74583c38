package downstream

import "ferryfront.example/ferryfront/internal/net/http1"

// closeReason tells the operator why a client's connection was closed: one of these, or an error of the system's.
type closeReason string

const (
	closedLingerTimeout closeReason = "the client did not end its side in time"
	closedNoProgress    closeReason = "the client takes nothing of its answer"
	closedIdle          closeReason = "idle for too long"
	closedReset         closeReason = "reset by the client"
	closedAfterResponse closeReason = "answered, and this was to be the last answer"
	closedAfterLinger   closeReason = "ended on both sides, or sent too much after our end"
	closedDraining      closeReason = "draining"
	closedUploadBlocked closeReason = "the client has ended its side behind a body for which there is no room"
	closedRelayAborted  closeReason = "its answer broke off"
	closedEvicted       closeReason = "to make room for another"
)

func (c *Conn) traceOpened() {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection", "connection", c.id)
	}
}

// traceRequestRead joins the lines of a connection to those of its requests.
func (c *Conn) traceRequestRead(r *http1.Request) {
	if c.server.debugEnabled {
		c.server.log.Debug("request read", "connection", c.id, "request", r.Headers.Get("Request-Id"), "waited", c.RequestAge(),
			"late", c.server.loop.MaxReadDelay())
	}
}

func (c *Conn) traceClosing(why closeReason) {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection ends", "connection", c.id, "reason", string(why), "unsent", len(c.unsent))
	}
}

func (c *Conn) traceClosed(why closeReason) {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection closed", "connection", c.id, "reason", string(why), "owed", c.awaitingResponse,
			"unsent", len(c.unsent), "held", c.parser.Buffered())
	}
}
