package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Clients hold at most a third of the descriptors, connections that stand idle for good among them. Once they
// hold that many nobody else can connect: room must be made before, under every limit of the platform.
func TestClientsAreMadeRoomForBeforeTheyHoldAThird(t *testing.T) {
	for sockets := 256; sockets <= 1024; sockets++ {
		l, err := For(Site{Sockets: sockets, MemoryMB: 32, LongestDeadline: time.Second})
		require.NoError(t, err)
		require.Less(t, l.MaxDownstreamConns, sockets*3/10)
		require.GreaterOrEqual(t, l.MaxDownstreamConns, 64)
		require.LessOrEqual(t, l.MaxDownstreamConns+l.MaxUpstreamConns+2*l.CounterConns, sockets-reserve/2, "also while the counter moves")
	}
}
