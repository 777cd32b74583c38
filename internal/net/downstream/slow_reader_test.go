package downstream

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// longBodyBytes is more than the system holds between two processes with its usual buffers.
const longBodyBytes = 16 << 20

// longAnswer is one form of a long response, which its server has complete at once.
type longAnswer struct {
	name, request string
	answer        func(c *Conn, body []byte)
}

// longAnswers returns the forms of a response.
func longAnswers() []longAnswer {
	relay := func(length int64) func(*Conn, []byte) {
		return func(c *Conn, body []byte) {
			pipe := flow.New(testBodyThreshold, length)
			c.Relay(200, nil, pipe, func(bool) {})
			pipe.Append(body)
			pipe.CloseWrite(true)
		}
	}
	return []longAnswer{
		{"whole", "GET /held HTTP/1.1\r\n\r\n", func(c *Conn, body []byte) { c.Reply(200, nil, body) }},
		{"chunked", "GET /held HTTP/1.1\r\n\r\n", relay(-1)},
		{"sized", "GET /held HTTP/1.1\r\n\r\n", relay(longBodyBytes)},
		{"whole, close", "GET /held HTTP/1.1\r\nConnection: close\r\n\r\n", func(c *Conn, body []byte) { c.Reply(200, nil, body) }},
		{"chunked, close", "GET /held HTTP/1.1\r\nConnection: close\r\n\r\n", relay(-1)},
		{"sized, close", "GET /held HTTP/1.1\r\nConnection: close\r\n\r\n", relay(longBodyBytes)},
		{"HTTP/1.0", "GET /held HTTP/1.0\r\n\r\n", relay(-1)},
		{"HTTP/1.0, keep-alive, whole", "GET /held HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
			func(c *Conn, body []byte) { c.Reply(200, nil, body) }},
	}
}

// slowReaderWorld is a world whose time limits have all run out long before its client reads the response.
func slowReaderWorld(t *testing.T) *exchangeWorld {
	bounds := exchangeBounds()
	bounds.LingerTimeout, bounds.DownstreamIdleTimeout, bounds.FirstRequestTimeout = time.Millisecond, time.Millisecond, time.Millisecond
	bounds.EvictionGrace = time.Millisecond
	return newExchangeWorld(t, bounds)
}

// answerSlowReader has the response of a form given to a client that does not read it, and returns its body.
func (w *exchangeWorld) answerSlowReader(form longAnswer, beforeAnswer func()) (body []byte) {
	held := &recordingHandler{}
	w.old.listeners[0].handler = held
	w.send(form.request)
	nettest.Until(w.t, w.loop, func() bool { return len(held.pending) == 1 })
	w.old.listeners[0].handler = w.handler
	beforeAnswer()
	body = bytes.Repeat([]byte("0123456789abcdef"), longBodyBytes/16)
	form.answer(held.pending[0], body)
	return body
}

// rest runs the loop for several sweeps, and calls step in between.
func (w *exchangeWorld) rest(step func()) {
	until := w.loop.Now() + 4*sweepInterval
	nettest.Until(w.t, w.loop, func() bool {
		step()
		return w.loop.Now() > until
	})
}

// Guards against time that runs while a response is buffered and not written: the end of a long response was cut off for a
// client that rested while it read. Whatever ends the connection, the client gets the whole response.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	nothing := func(*exchangeWorld) {}
	for _, end := range []struct {
		name                   string
		before, after, resting func(*exchangeWorld)
	}{
		{"idle timeout", nothing, nothing, nothing},
		{"drain before the response", func(w *exchangeWorld) { w.old.Drain() }, nothing, nothing},
		{"drain behind the response", nothing, func(w *exchangeWorld) {
			w.old.Drain()
			w.old.CloseListeners()
		}, nothing},
		{"eviction", nothing, nothing, func(w *exchangeWorld) { w.old.evictOne() }},
		{"hand-over", nothing, (*exchangeWorld).handOver, nothing},
		{"hand-over and eviction", nothing, (*exchangeWorld).handOver, func(w *exchangeWorld) { w.next.evictOne() }},
		{"hand-over to a process without the listener", nothing, func(w *exchangeWorld) {
			w.next.listeners[0].address = "127.0.0.1:1"
			w.handOver()
		}, nothing},
	} {
		for _, form := range longAnswers() {
			t.Run(end.name+"; "+form.name, func(t *testing.T) {
				t.Parallel()
				w := slowReaderWorld(t)
				body := w.answerSlowReader(form, func() { end.before(w) })
				end.after(w)
				w.rest(func() { end.resting(w) })
				result := w.receive("GET")
				require.NoError(t, result.err)
				require.Equal(t, 200, result.status)
				require.Equal(t, len(body), len(result.body))
				require.True(t, string(body) == result.body)
			})
		}
	}
}

// A client that takes nothing of a response for RelayStallTimeout is given up, also behind the end of a connection.
func TestClientThatReadsNothingIsGivenUp(t *testing.T) {
	for _, form := range longAnswers() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			w := slowReaderWorld(t)
			w.old.bounds.RelayStallTimeout = 2 * sweepInterval
			w.answerSlowReader(form, func() {})
			nettest.Until(t, w.loop, func() bool { return w.old.OpenConnections() == 0 })
		})
	}
}

// A client that goes on sending behind its last request gets the whole response to that all the same.
func TestClientThatSendsOnBehindItsLastRequestGetsTheResponse(t *testing.T) {
	bounds := exchangeBounds()
	bounds.MaxLingerBytes = 1 << 10
	w := newExchangeWorld(t, bounds)
	body := w.answerSlowReader(longAnswers()[4], func() {})
	w.send(string(bytes.Repeat([]byte("x"), 2*bounds.MaxLingerBytes)))
	w.rest(func() {})
	result := w.receive("GET")
	require.NoError(t, result.err)
	require.Equal(t, len(body), len(result.body))
}
