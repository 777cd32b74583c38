package downstream

import "ferryfront.example/ferryfront/internal/net/http1"

// closeReason is the logged reason for closing a client connection: one of the constants below, or the text of a system
// error.
type closeReason string

const (
	closedLingerTimeout closeReason = "client did not close its side in time"
	closedNoProgress    closeReason = "client does not read its response"
	closedIdle          closeReason = "idle timeout"
	closedByClient      closeReason = "closed by the client"
	closedReset         closeReason = "reset by the client"
	closedAfterResponse closeReason = "last response sent"
	closedAfterLinger   closeReason = "closed by the client, or too much input, after the last response"
	closedDraining      closeReason = "draining"
	closedRelayAborted  closeReason = "relayed response ended early"
	closedListenerGone  closeReason = "its listener is not configured any more"
	closedEvicted       closeReason = "evicted for a new connection"
)

func (c *Conn) traceOpened() {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection", "connection", c.id)
	}
}

// traceRequestRead logs the connection together with the Request-Id, which connects its log records to those of the
// request.
func (c *Conn) traceRequestRead(r *http1.Request) {
	if c.server.debugEnabled {
		c.server.log.Debug("request read", "connection", c.id, "request", r.Headers.Get("Request-Id"),
			"waited", c.RequestAge(), "late", c.server.loop.MaxReadDelay())
	}
}

// traceClosing logs the start of a graceful close; traceClosed logs the end of the connection.
func (c *Conn) traceClosing(reason closeReason) {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection ends", "connection", c.id, "reason", string(reason), "unsent", len(c.unsent))
	}
}

func (c *Conn) traceClosed(reason closeReason) {
	if c.server.debugEnabled {
		c.server.log.Debug("client connection closed", "connection", c.id, "reason", string(reason),
			"owed", c.awaitingResponse, "unsent", len(c.unsent), "held", c.parser.Buffered())
	}
}
