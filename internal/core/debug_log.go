package core

import (
	"context"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// DebugEnabled reports whether a logger writes debug lines. Callers ask once at start, as the level does not change while
// the process runs.
func DebugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

// The methods below write the debug log of requests. Every line of a stream has the stream's id, by which all its lines
// are found, and the client's Request-Id. They compute no argument if debug lines are not written.

func (c *Core) logRequestStarted(s *stream, timeout time.Duration) {
	if c.isDebugEnabled {
		c.log.Debug("request taken", "stream", s.id, "request", s.requestID, "order", s.idempotencyKey,
			"class", s.class, "customer", s.customer, "left", timeout, "open", s.isPartial)
	}
}

func (c *Core) logRequestRejected(r Request, reason string) {
	if c.isDebugEnabled {
		c.log.Debug("request turned down", "request", r.RequestID, "order", r.IdempotencyKey, "reason", reason)
	}
}

func (c *Core) logAttemptStarted(s *stream, ref Ref, host string, timeLeft time.Duration) {
	if c.isDebugEnabled {
		c.log.Debug("attempt", "stream", s.id, "request", s.requestID, "attempt", ref.Attempt, "host", host, "left", timeLeft)
	}
}

func (c *Core) logAttemptEnded(s *stream, ref Ref, host string, outcome admission.Outcome, took time.Duration) {
	if c.isDebugEnabled {
		c.log.Debug("attempt ended", "stream", s.id, "request", s.requestID, "attempt", ref.Attempt, "host", host,
			"outcome", outcome.String(), "took", took)
	}
}

func (c *Core) logRequestEnded(s *stream, kind EndKind) {
	if c.isDebugEnabled {
		c.log.Debug("request ended", "stream", s.id, "request", s.requestID, "end", kind.String(), "reason", string(c.endReason),
			"attempts", len(s.attempts), "took", c.now-s.startedAt)
	}
}
