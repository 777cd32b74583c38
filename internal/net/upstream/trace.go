package upstream

import (
	"errors"

	"ferryfront.example/ferryfront/internal/core"
)

// Why a connection to a host is closed, where the system has no error of its own for it.
var (
	errFull       = errors.New("all upstream connections in use")
	errSilent     = errors.New("no progress")
	errLate       = errors.New("no time is left for the request")
	errSecond     = errors.New("an answer too soon after another")
	errIdle       = errors.New("idle for too long")
	errGivenUp    = errors.New("its request was given up")
	errTakerLeft  = errors.New("the client of its answer has left")
	errLastAnswer = errors.New("it can't be used after this answer")
	errNotKept    = errors.New("its host leaves, has moved or has begun anew")
	errNotQuiet   = errors.New("something came that nobody had asked for, or its end")
	errRisky      = errors.New("kept connections are reset more often than new ones")
	errForRoom    = errors.New("to make room for another")
)

func (p *Pool) traceNotOpened(ref core.Ref, host string, err error) {
	if p.debugs {
		p.log.Debug("upstream connection not opened", "stream", ref.Stream, "attempt", ref.Attempt, "host", host, "error", err)
	}
}

func (c *conn) traceBegun(ref core.Ref) {
	if c.p.debugs {
		c.p.log.Debug("upstream connection used", "stream", ref.Stream, "attempt", ref.Attempt, "host", c.h.name, "kept", c.kept,
			"descriptor", c.src.FD())
	}
}

func (c *conn) traceClosed(cause error) {
	if c.p.debugs {
		c.p.log.Debug("upstream connection closed", "host", c.h.name, "stream", c.ref.Stream, "attempt", c.ref.Attempt,
			"up", c.up, "descriptor", c.src.FD(), "cause", cause)
	}
}
