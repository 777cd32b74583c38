package upstream

import (
	"errors"

	"ferryfront.example/ferryfront/internal/core"
)

// Causes for closing an upstream connection, or for not opening one, where there is no system error.
var (
	errPoolExhausted   = errors.New("all upstream connections in use")
	errNoProgress      = errors.New("no progress of a request or response body")
	errDeadlinePassed  = errors.New("request deadline passed before the connection was established")
	errIdleTimeout     = errors.New("idle timeout")
	errCancelled       = errors.New("request cancelled")
	errClientGone      = errors.New("client of the relayed response disconnected")
	errNotReusable     = errors.New("not reusable after this response")
	errHostChanged     = errors.New("host is leaving, moved, restarted or removed")
	errUnexpectedInput = errors.New("unexpected input or end of stream on an idle connection")
	errReuseRisky      = errors.New("reused connections are reset more often than new ones")
	errEvicted         = errors.New("evicted for a new connection")
)

// traceNotOpened logs a failed dial for each request; the warning in startRequest is rate-limited.
func (p *Pool) traceNotOpened(ref core.Ref, host string, err error) {
	if p.debugEnabled {
		p.log.Debug("upstream connection not opened", "stream", ref.Stream, "attempt", ref.Attempt, "host", host,
			"error", err)
	}
}

func (c *conn) traceAssigned() {
	if c.pool.debugEnabled {
		c.pool.log.Debug("upstream connection used", "stream", c.ref.Stream, "attempt", c.ref.Attempt, "host", c.host.name,
			"kept", c.isReused, "descriptor", c.source.FD())
	}
}

func (c *conn) traceClosed(cause error) {
	if c.pool.debugEnabled {
		c.pool.log.Debug("upstream connection closed", "host", c.host.name, "stream", c.ref.Stream, "attempt", c.ref.Attempt,
			"up", c.isConnected, "descriptor", c.source.FD(), "cause", cause)
	}
}

func (c *conn) traceEarlyRelayScheduled() {
	if c.pool.debugEnabled {
		c.pool.log.Debug("early relay scheduled", "stream", c.ref.Stream, "attempt", c.ref.Attempt, "host", c.host.name,
			"descriptor", c.source.FD())
	}
}

func (c *conn) traceRelayStarted(bodyBytes int) {
	if c.pool.debugEnabled {
		c.pool.log.Debug("response relay started", "stream", c.ref.Stream, "attempt", c.ref.Attempt, "host", c.host.name,
			"descriptor", c.source.FD(), "bytes", bodyBytes)
	}
}
