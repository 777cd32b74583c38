package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The platform lets clients hold at most a third of the descriptors, permanently idle connections included. Once they
// hold that many, nobody else can connect. So the bound on client connections must be below a third for every number of
// descriptors that the platform may set.
func TestClientConnectionsStayBelowAThirdOfTheDescriptors(t *testing.T) {
	for sockets := 256; sockets <= 1024; sockets++ {
		l, err := For(Site{Sockets: sockets, MemoryMB: 32, LongestDeadline: time.Second})
		require.NoError(t, err)
		require.Less(t, l.MaxDownstreamConns, sockets*3/10)
		require.GreaterOrEqual(t, l.MaxDownstreamConns, 64)
		require.LessOrEqual(t, l.MaxDownstreamConns+l.MaxUpstreamConns+2*l.CounterConns, sockets-reservedDescriptors/2,
			"old and new counter connections are open while the counter moves")
	}
}
