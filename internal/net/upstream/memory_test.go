package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/net/membudget"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// While the budget is tight, a response that would be read whole is relayed from its beginning, with the units that the host
// charged. A probe's response is not, as nobody reads it.
func TestResponsesAreRelayedWhileMemoryIsTight(t *testing.T) {
	const size, budgetSize = 40 << 10, 1 << 20
	for _, isTight := range []bool{false, true} {
		l, p, sink := newTestPool(t, func(c net.Conn) {
			r := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Units-Charged: 3\r\nContent-Length: 40960\r\n\r\n")
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, strings.Repeat("x", size))
			}
		})
		budget := membudget.New(budgetSize)
		p.SetMemory(budget)
		account := budget.Open()
		if isTight {
			account.Set(budgetSize)
		}
		startGet(p, 1)
		require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, 1)[0])
		require.Equal(t, isTight, RelayedBody(sink.answers[0]) != nil)
		require.Equal(t, 3, sink.answers[0].Billed)
		require.Equal(t, size, len(receiveBody(t, l, sink, 0)))
		p.Probe(core.Ref{Stream: 2}, "h", time.Minute)
		nettest.Until(t, l, func() bool { return p.ActiveRequests() == 0 })
		require.Empty(t, p.relays)
		account.Set(0)
	}
}
