package telemetry

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
)

// What finds no room is dropped and counted, at once: an endpoint that is silent must not hold up the loop.
func TestWhatFindsNoRoomIsDroppedAndCounted(t *testing.T) {
	over := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-over }))
	defer silent.Close()
	defer close(over)
	e, err := New(Config{Endpoint: silent.URL, Every: 10 * time.Millisecond, Queue: 8, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	const streams = 2000
	rec := core.StreamRecord{Took: time.Millisecond, Attempts: []core.AttemptRecord{{Host: "h", Took: time.Millisecond}}}
	for range streams { // would never end if one of them waited
		e.StreamEnded(rec)
		e.CounterAnswered(admission.OK, time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(e.queue) == 0 && e.Dropped() >= streams-100 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, e.waiting.Load(), int64(8), "spans that wait are bounded")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, e.Shutdown(ctx), "the end does not wait either")
}
