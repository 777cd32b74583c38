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

// agent are the bounds of an ingress among many that has an agent of its own to ask.
func agent(t *testing.T) limits.Limits {
	lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: 300, DrainGrace: 500 * time.Millisecond, HasLocalAgent: true})
	require.NoError(t, err)
	return lim
}

// chunk begins an answer that stays open.
func begin(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func chunk(c net.Conn, s string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s) }

func list(version int) string {
	return `{"version":` + strconv.Itoa(version) + `,"full":true,"servers":[]}` + "\n"
}

// follow runs a watcher until it has told so many lists beside the one known before, and returns it and their versions.
func follow(t *testing.T, lim limits.Limits, addr string, lists int) (w *Watcher, versions []uint64) {
	l, err := loop.New()
	require.NoError(t, err)
	s := &sink{}
	w = New(l, lim, slog.New(slog.DiscardHandler), addr, s, s, List{}, 1)
	nettest.Until(t, l, func() bool { return len(s.lists) > lists })
	for _, told := range s.lists[1:] {
		versions = append(versions, told.Version)
	}
	return w, versions
}

// What an agent has counts as told though it refuses: it is asked again within the grace of drains, however many other
// ingresses have agents of theirs.
func TestAnAgentThatBreaksOffIsAskedAgainWithinTheGrace(t *testing.T) {
	asked := make(chan time.Time, 64)
	addr := serve(t, func(c net.Conn, n int64) {
		asked <- time.Now()
		if n <= 8 {
			return
		}
		begin(c)
		chunk(c, list(int(n)))
		_, _ = io.Copy(io.Discard, c)
	})
	_, versions := follow(t, agent(t), addr, 1)
	require.Equal(t, []uint64{9}, versions)
	first, last := <-asked, time.Time{}
	for range 8 {
		last = <-asked
	}
	require.Less(t, last.Sub(first), 4*time.Second)
}

// A watch that was accepted and hears nothing is given up soon, at first; one that is merely slow is heard at last.
func TestAWatchThatHearsNothing(t *testing.T) {
	lim := agent(t)
	require.LessOrEqual(t, lim.ClusterResponseTimeout, time.Second)
	require.LessOrEqual(t, lim.ClusterSilenceTimeout, 3*time.Second)
	lim.ClusterResponseTimeout, lim.ClusterSilenceTimeout = 40*time.Millisecond, 800*time.Millisecond
	addr := serve(t, func(c net.Conn, n int64) {
		time.AfterFunc(300*time.Millisecond, func() { // later than the first waits, sooner than the longest
			begin(c)
			chunk(c, list(int(n)))
		})
		_, _ = io.Copy(io.Discard, c)
	})
	_, versions := follow(t, lim, addr, 1)
	require.Greater(t, versions[0], uint64(2))
}

// A list that comes indented, byte by byte, counts as one on a line does, at the last bracket.
func TestAnIndentedListInPieces(t *testing.T) {
	addr := serve(t, func(c net.Conn, n int64) {
		begin(c)
		for _, b := range strings.Split(indented, "") {
			chunk(c, b)
		}
		_, _ = io.Copy(io.Discard, c) // no end of the line ever
	})
	w, versions := follow(t, agent(t), addr, 1)
	require.Equal(t, []uint64{2}, versions)
	require.Contains(t, w.known, "a")
}

// A message that can't be read changes nothing that was in force and ends its own watch; the next begins with the whole.
func TestAMessageThatCantBeReadEndsItsWatch(t *testing.T) {
	for _, spoilt := range []string{`{"version":7,"full":true,"servers":[{"id":"` + "\n", `{"version":7,"servers":[{}]}` + "\n",
		`{"version":7]` + "\n}", "garbage\n"} {
		ended := make(chan struct{}, 8)
		addr := serve(t, func(c net.Conn, n int64) {
			begin(c)
			chunk(c, `{"version":`+strconv.Itoa(int(n))+`,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"Ready"}]}`+"\n")
			if n == 1 {
				chunk(c, spoilt)
			}
			_, _ = io.Copy(io.Discard, c)
			ended <- struct{}{}
		})
		w, versions := follow(t, agent(t), addr, 2)
		require.Equal(t, []uint64{1, 2}, versions, spoilt)
		require.Contains(t, w.known, "a")
		<-ended
	}
}

// An agent that tells its list and closes, again and again, is not dialled as fast as it can.
func TestAWatchThatEndsAtOnceIsNoFlood(t *testing.T) {
	addr := serve(t, func(c net.Conn, n int64) {
		begin(c)
		chunk(c, list(int(n)))
	})
	began := time.Now()
	lim := agent(t)
	_, versions := follow(t, lim, addr, 5)
	require.Len(t, versions, 5)
	require.GreaterOrEqual(t, time.Since(began), 4*lim.InitialBackoff)
}
