package downstream

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// holdRelay has the first request of the world's client answered by a relay that is still under way, and returns its body.
func (w *exchangeWorld) holdRelay(request string, length int64) *flow.Pipe {
	held := &recordingHandler{}
	w.old.listeners[0].handler = held
	w.send(request)
	nettest.Until(w.t, w.loop, func() bool { return len(held.pending) == 1 })
	w.old.listeners[0].handler = w.handler
	body := flow.New(testBodyThreshold, length)
	held.pending[0].Relay(200, nil, body, func(bool) {})
	body.Append([]byte("fir"))
	return body
}

// receiveUntilEnd runs the loop until the server has ended the client's connection, and returns all that the client got.
func (w *exchangeWorld) receiveUntilEnd() string {
	var text []byte
	var err error
	w.runWhile(func() { text, err = io.ReadAll(w.reader) })
	require.NoError(w.t, err)
	return string(text)
}

// Guards against a connection that a planned end leaves open: a relayed response that had begun before the drain announces
// no end of its connection, and one that ended after the listeners were closed left it open. The client's next request was
// then read until the process ended, and the last ones got no answer.
func TestConnectionEndsWithRelayThatBeganBeforeDrain(t *testing.T) {
	for name, length := range map[string]int64{"chunked": -1, "sized": 5} {
		t.Run(name, func(t *testing.T) {
			w := newExchangeWorld(t, exchangeBounds())
			body := w.holdRelay("GET /held HTTP/1.1\r\n\r\n", length)
			w.old.Drain()
			w.old.CloseListeners()
			body.Append([]byte("st"))
			body.CloseWrite(true)
			require.Equal(t, clientResult{status: 200, body: "first"}, w.receive("GET"))
			require.Empty(t, w.receiveUntilEnd())
		})
	}
}

// Guards against a request that is lost with such a connection: one that has arrived before the end of the response is
// answered, and its response announces the end of the connection.
func TestRequestBehindRelayThatBeganBeforeDrainIsAnswered(t *testing.T) {
	w := newExchangeWorld(t, exchangeBounds())
	body := w.holdRelay("GET /held HTTP/1.1\r\n\r\nGET /re", -1)
	w.old.Drain()
	w.old.CloseListeners()
	body.Append([]byte("st"))
	body.CloseWrite(true)
	require.Equal(t, clientResult{status: 200, body: "first"}, w.receive("GET"))
	w.send("ply HTTP/1.1\r\n\r\n")
	var resp *http.Response
	var err error
	w.runWhile(func() { resp, err = http.ReadResponse(w.reader, nil) })
	require.NoError(t, err)
	require.True(t, resp.Close)
	require.Len(t, w.handler.requests, 1)
}

// Guards against a response that is cut off because its connection was to follow a process that has ended: what was not
// written when it ended was lost. The rest is written, and the connection closed behind it.
func TestConnectionWhoseSuccessorHasEndedIsClosedBehindItsResponse(t *testing.T) {
	for _, form := range longAnswers() {
		t.Run(form.name, func(t *testing.T) {
			w := slowReaderWorld(t)
			body := w.answerSlowReader(form, func() {
				w.old.Suspend()
				w.old.HandOver(receiverFunc(func(_ ConnState, fd int) { loop.CloseFD(fd) }))
				w.old.EndHandOver()
			})
			w.rest(func() {})
			result := w.receive("GET")
			require.NoError(t, result.err)
			require.Equal(t, len(body), len(result.body))
			require.Empty(t, w.receiveUntilEnd())
		})
	}
}

// Guards against a connection that stays open because it was handed over to a process which had closed its idle connections
// already.
func TestConnectionHandedToDrainingServerIsClosed(t *testing.T) {
	w := newExchangeWorld(t, exchangeBounds())
	w.send("GET /reply HTTP/1.1\r\n\r\n")
	require.Equal(t, 200, w.receive("GET").status)
	w.next.Resume()
	w.next.Drain()
	w.next.CloseListeners()
	w.handOver()
	require.Empty(t, w.receiveUntilEnd())
	nettest.Until(t, w.loop, func() bool { return w.next.lingering.length == 1 })
}
