package core

import (
	"context"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
)

// The debug log of requests. Every line of a stream carries its id, by which all lines of one request are found, and the
// client's Request-Id. No argument is computed while the log has a higher level.

// DebugEnabled reports whether a logger writes debug lines. It is called once at start, as a process's level does not
// change.
func DebugEnabled(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

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
