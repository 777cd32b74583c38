package core

import (
	"context"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The debug log of requests: each line has the stream's number, by which all lines of one request are found, and its first
// one the client's Request-Id. While the log is at a higher level none of it is computed.

// DebugEnabled tells whether a log takes debug lines. It is asked once, at a start: the level of a process does not change.
func DebugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

func (c *Core) traceArrived(s *stream, expires time.Duration) {
	if c.debugs {
		c.log.Debug("request taken", "stream", s.id, "request", s.key, "order", s.order, "class", s.class, "customer", s.customer,
			"left", expires, "open", s.open)
	}
}

func (c *Core) traceTurnedDown(r Request, why string) {
	if c.debugs {
		c.log.Debug("request turned down", "request", r.RequestID, "order", r.IdempotencyKey, "reason", why)
	}
}

func (c *Core) traceSend(s *stream, ref Ref, host string, left time.Duration) {
	if c.debugs {
		c.log.Debug("attempt", "stream", s.id, "request", s.key, "attempt", ref.Attempt, "host", host, "left", left)
	}
}

func (c *Core) traceAttemptEnded(s *stream, ref Ref, host string, o admission.Outcome, took time.Duration) {
	if c.debugs {
		c.log.Debug("attempt ended", "stream", s.id, "request", s.key, "attempt", ref.Attempt, "host", host, "outcome", o.String(),
			"took", took)
	}
}

func (c *Core) traceEnd(s *stream, kind EndKind) {
	if c.debugs {
		c.log.Debug("request ended", "stream", s.id, "request", s.key, "end", kind.String(), "reason", string(c.reason),
			"attempts", len(s.attempts), "took", c.now-s.began)
	}
}

// String names a kind of end in logs and telemetry.
func (k EndKind) String() string {
	switch k {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Expired:
		return "expired"
	case ClientLeft:
		return "client_left"
	}
	return "unknown"
}
