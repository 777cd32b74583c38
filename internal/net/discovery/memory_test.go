package discovery

import (
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// The memory for reading a full list must be released afterwards. Of a list of 7,200 hosts, which is read rarely, the JSON
// parser alone needs 29 MB, and an ingress may use 32 MB for control.
func TestLongListMemoryIsReleased(t *testing.T) {
	const hosts, maxKeptBytes = 7200, 6 << 20
	var entries []string
	for i := range hosts {
		entries = append(entries, fmt.Sprintf(`{"id":"service-%05d","addr":"10.0.%d.%d:8000","zone":"zone-a","kind":"std-2c",`+
			`"cell":%d,"state":"Ready","weight":1,"started_ms":0}`, i, i/250, i%250, i/2))
	}
	message := fmt.Sprintf("{\"version\":7,\"full\":true,\"servers\":[%s]}\n", strings.Join(entries, ","))
	addr := serveWatches(t, func(c net.Conn, _ int64) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(message), message)
		for range 20 { // keepalives replace the list in the read buffers
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(c, "1\r\n\n\r\n")
		}
	})
	l, err := loop.New()
	require.NoError(t, err)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	w := New(l, testBounds(t, 1), slog.New(slog.DiscardHandler), addr, discardSink{}, discardSink{}, List{}, 1)
	nettest.Until(t, l, w.HasSynced)
	require.Equal(t, hosts, w.HostCount())
	listed := l.Now()
	nettest.Until(t, l, func() bool { return l.Now() > listed+200*time.Millisecond })
	kept := heap() - before
	runtime.KeepAlive(w)
	require.Less(t, kept, uint64(maxKeptBytes))
}
