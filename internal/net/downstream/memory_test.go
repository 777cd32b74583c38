package downstream

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// However many connections wait for memory one retry is due, and none when all were admitted: else retries would multiply and
// hold up the loop. A connection that was admitted may be evicted again.
func TestOneMemoryRetryIsDue(t *testing.T) {
	l, err := loop.New()
	require.NoError(t, err)
	s := New(l, limits.Limits{MaxDownstreamConns: 4, MaxHeaderBytes: 1 << 10, MaxAcceptsPerTurn: 4}, slog.New(slog.DiscardHandler))
	budget := membudget.New(1)
	s.SetMemory(budget)
	require.NoError(t, s.Listen("127.0.0.1:0", &autoReplyHandler{server: s, suspendAfter: -1}))
	address, err := loop.LocalAddress(s.listeners[0].source.FD())
	require.NoError(t, err)
	dial(t, address)
	dial(t, address)
	nettest.Until(t, l, func() bool { return s.OpenConnections() == 2 })
	account := budget.Open()
	account.Set(2)
	var due *loop.Timer
	for c := range s.conns {
		c.awaitMemory()
		require.NotNil(t, s.memoryTimer)
		require.True(t, due == nil || due == s.memoryTimer)
		due = s.memoryTimer
	}
	due.Stop()
	account.Set(0) // both are admitted
	s.admitMemoryWaiters()
	require.Nil(t, s.memoryTimer)
	for c := range s.conns {
		require.NotNil(t, c.list, "it may be evicted again")
	}
}
