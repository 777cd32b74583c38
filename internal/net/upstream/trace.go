package upstream

import (
	"errors"

	"ferryfront.example/ferryfront/internal/core"
)

// Why a connection to a host is closed, where the system has no error of its own for it.
var (
	errPoolExhausted     = errors.New("all upstream connections in use")
	errNoProgress        = errors.New("no progress")
	errDeadlinePassed    = errors.New("no time is left for the request")
	errPossibleDuplicate = errors.New("an answer too soon after another")
	errIdleTimeout       = errors.New("idle for too long")
	errCancelled         = errors.New("its request was given up")
	errClientGone        = errors.New("the client of its answer has left")
	errNotReusable       = errors.New("it can't be used after this answer")
	errHostChanged       = errors.New("its host leaves, has moved or has begun anew")
	errUnexpectedInput   = errors.New("something came that nobody had asked for, or its end")
	errReuseRisky        = errors.New("kept connections are reset more often than new ones")
	errEvicted           = errors.New("to make room for another")
)

func (p *Pool) traceNotOpened(ref core.Ref, host string, err error) {
	if p.debugEnabled {
		p.log.Debug("upstream connection not opened", "stream", ref.Stream, "attempt", ref.Attempt, "host", host, "error", err)
	}
}

func (c *conn) traceAssigned(ref core.Ref) {
	if c.pool.debugEnabled {
		c.pool.log.Debug("upstream connection used", "stream", ref.Stream, "attempt", ref.Attempt, "host", c.host.name, "kept", c.isReused,
			"descriptor", c.source.FD())
	}
}

func (c *conn) traceClosed(cause error) {
	if c.pool.debugEnabled {
		c.pool.log.Debug("upstream connection closed", "host", c.host.name, "stream", c.ref.Stream, "attempt", c.ref.Attempt,
			"up", c.isConnected, "descriptor", c.source.FD(), "cause", cause)
	}
}
