package controlserver

import (
	"io"
	"log/slog"

	"github.com/hashicorp/go-hclog"
)

// newRaftLogger returns a logger for hashicorp/raft that writes to a slog logger. What raft calls information is
// written at the level debug, its errors as warnings: they are about one peer or one attempt, which raft repeats.
func newRaftLogger(to *slog.Logger) hclog.Logger {
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Debug})
	logger.RegisterSink(raftLogSink{to.With("component", "raft")})
	return logger
}

type raftLogSink struct{ to *slog.Logger }

// Accept implements hclog.SinkAdapter.
func (s raftLogSink) Accept(_ string, level hclog.Level, message string, args ...any) {
	switch {
	case level >= hclog.Warn:
		s.to.Warn(message, args...)
	case level == hclog.Info:
		s.to.Debug(message, args...)
	}
}
