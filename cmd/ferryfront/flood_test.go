package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodLength is how long one client sends at full speed, unreadFloodLength the same for one that reads no answers, which
// has to last until the growth would pass the memory limit.
const (
	floodLength       = 1500 * time.Millisecond
	unreadFloodLength = 6 * time.Second
)

// maxFloodWait is a tenth of the shortest deadline of a class: a request beside a flood has to keep most of its time.
const maxFloodWait = 200 * time.Millisecond

// floods are inputs of one client at full speed on one connection after another: the n-th piece of each.
var floods = []struct {
	name  string
	reads bool // the client reads the answers
	next  func(n int) string
}{
	{"small requests", true, func(int) string { return "GET /up HTTP/1.1\r\n\r\n" }},
	{"unknown paths", true, func(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", n) }},
	{"requests without a class, answers not read", false, func(n int) string { return fmt.Sprintf("GET /api/%x HTTP/1.1\r\nRequest-Id: %d\r\n\r\n", n, n) }},
	{"no HTTP", true, func(n int) string { return "\x00\x01\r\n\r\n" }},
	{"empty lines", true, func(int) string { return strings.Repeat("\r\n", 100) }},
	{"new customers", true, func(n int) string {
		return crowdHead("GET", fmt.Sprintf("/api/%x", 1<<20+n), "stock", fmt.Sprint("f", n), "")
	}},
	{"new keys in long heads", true, func(n int) string {
		return crowdHead("POST", fmt.Sprintf("/api/%x", 1<<20+n), "order", fmt.Sprint("f", n),
			"Content-Length: 0\r\nPadding: "+strings.Repeat("p", 8<<10)+"\r\n")
	}},
	{"one customer", true, func(n int) string { return crowdHead("GET", "/api/77", "stock", fmt.Sprint("f", n), "") }},
}

// flood writes pieces at full speed for a time, on a new connection when one ends.
func (env *testEnv) flood(reads bool, next func(int) string, length time.Duration) (sent int) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		c, err := net.Dial("tcp", env.addr)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(end)
		if reads {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		for err == nil {
			var b []byte
			for len(b) < 32<<10 {
				b = append(b, next(sent)...)
				sent++
			}
			_, err = c.Write(b)
		}
		c.Close()
	}
	return sent
}

// One client that sends at full speed neither delays the answers of others nor makes memory grow.
func TestFloodOfOneClientDelaysNobody(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			env := newTestEnv(t).withCrowdLimits().start()
			done := make(chan struct{})
			sent, length := 0, floodLength
			if !f.reads {
				length = unreadFloodLength
			}
			go func() {
				defer close(done)
				sent = env.flood(f.reads, f.next, length)
			}()
			longest, asked, unanswered := env.askBeside(done)
			peak := peakResidentBytes(t, env.cmd.Process.Pid)
			t.Logf("sent %d, peak %d KB, longest wait %v, %d of %d unanswered", sent, peak>>10, longest, unanswered, asked)
			require.Less(t, peak, int64(leastMemoryMB*mib))
			require.Less(t, longest, maxFloodWait)
			require.Zero(t, unanswered)
		})
	}
}
