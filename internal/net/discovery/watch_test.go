package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// agentBounds returns the limits of one ingress of 300 whose discovery is an agent on its own machine.
func agentBounds(t *testing.T) limits.Limits {
	bounds, err := limits.For(limits.Site{Sockets: 384, Ingresses: 300,
		DrainGrace: 500 * time.Millisecond, HasLocalAgent: true})
	require.NoError(t, err)
	return bounds
}

// startResponse sends the head of a response that does not end.
func startResponse(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// writeChunk sends s as one chunk of the response's body.
func writeChunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

// emptyList returns a full list without hosts.
func emptyList(version int) string {
	return `{"version":` + strconv.Itoa(version) + `,"full":true,"servers":[]}` + "\n"
}

// receiveLists runs a watcher until discovery has sent it the given number of lists, and returns the watcher and the lists'
// versions. The list from before the start is not counted.
func receiveLists(t *testing.T, bounds limits.Limits, addr string, lists int) (w *Watcher, versions []uint64) {
	l, err := loop.New()
	require.NoError(t, err)
	s := &recordingSink{}
	w = New(l, bounds, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	nettest.Until(t, l, func() bool { return len(s.lists) > lists })
	for _, received := range s.lists[1:] {
		versions = append(versions, received.Version)
	}
	return w, versions
}

// Changes that an agent has count as known to its ingress even while the agent closes watches. So the agent must be retried
// within the drain grace, however many other ingresses with agents of their own there are.
func TestAgentIsRetriedWithinDrainGrace(t *testing.T) {
	requests := make(chan time.Time, 64)
	addr := serveWatches(t, func(c net.Conn, n int64) {
		requests <- time.Now()
		if n <= 8 {
			return
		}
		startResponse(c)
		writeChunk(c, emptyList(int(n)))
		_, _ = io.Copy(io.Discard, c)
	})
	_, versions := receiveLists(t, agentBounds(t), addr, 1)
	require.Equal(t, []uint64{9}, versions)
	first, last := <-requests, time.Time{}
	for range 8 {
		last = <-requests
	}
	require.Less(t, last.Sub(first), 4*time.Second)
}

// A watch that is accepted and receives nothing is replaced after a short time at first. The time grows with each such watch,
// so that one succeeds in the end if discovery is merely slow.
func TestFirstByteTimeoutGrows(t *testing.T) {
	bounds := agentBounds(t)
	require.LessOrEqual(t, bounds.ClusterResponseTimeout, time.Second)
	require.LessOrEqual(t, bounds.ClusterSilenceTimeout, 3*time.Second)
	bounds.ClusterResponseTimeout, bounds.ClusterSilenceTimeout = 40*time.Millisecond, 800*time.Millisecond
	addr := serveWatches(t, func(c net.Conn, n int64) {
		time.AfterFunc(300*time.Millisecond, func() { // above the first timeouts, below the longest
			startResponse(c)
			writeChunk(c, emptyList(int(n)))
		})
		_, _ = io.Copy(io.Discard, c)
	})
	_, versions := receiveLists(t, bounds, addr, 1)
	require.Greater(t, versions[0], uint64(2))
}

// A list that is indented and arrives byte by byte is applied at its last bracket, though no end of line follows.
func TestIndentedListInPieces(t *testing.T) {
	addr := serveWatches(t, func(c net.Conn, n int64) {
		startResponse(c)
		for _, b := range strings.Split(indented, "") {
			writeChunk(c, b)
		}
		_, _ = io.Copy(io.Discard, c)
	})
	w, versions := receiveLists(t, agentBounds(t), addr, 1)
	require.Equal(t, []uint64{2}, versions)
	require.Contains(t, w.known, "a")
}

// A malformed message must leave the current list unchanged and end its watch. The next watch requests the full list.
func TestMalformedMessageEndsItsWatch(t *testing.T) {
	for _, malformedMessage := range []string{`{"version":7,"full":true,"servers":[{"id":"` + "\n", `{"version":7,"servers":[{}]}` + "\n",
		`{"version":7]` + "\n}", "garbage\n"} {
		ended := make(chan struct{}, 8)
		addr := serveWatches(t, func(c net.Conn, n int64) {
			startResponse(c)
			writeChunk(c, `{"version":`+strconv.Itoa(int(n))+`,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"Ready"}]}`+"\n")
			if n == 1 {
				writeChunk(c, malformedMessage)
			}
			_, _ = io.Copy(io.Discard, c)
			ended <- struct{}{}
		})
		w, versions := receiveLists(t, agentBounds(t), addr, 2)
		require.Equal(t, []uint64{1, 2}, versions, malformedMessage)
		require.Contains(t, w.known, "a")
		<-ended
	}
}

// An agent that sends its list and closes the watch, again and again, must not be dialled without a pause.
func TestWatchesThatEndAtOnceAreSpacedOut(t *testing.T) {
	addr := serveWatches(t, func(c net.Conn, n int64) {
		startResponse(c)
		writeChunk(c, emptyList(int(n)))
	})
	start := time.Now()
	bounds := agentBounds(t)
	_, versions := receiveLists(t, bounds, addr, 5)
	require.Len(t, versions, 5)
	require.GreaterOrEqual(t, time.Since(start), 4*bounds.InitialBackoff)
}
