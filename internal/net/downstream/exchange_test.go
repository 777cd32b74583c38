package downstream

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/flow"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// testBodyThreshold is the size in bytes above which the tests' server streams a request body, as is its pipe.
const testBodyThreshold = 64 << 10

// exchangeBounds returns the limits of the tests of this file.
func exchangeBounds() limits.Limits {
	return limits.Limits{MaxDownstreamConns: 10, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20,
		MaxBufferedBodyBytes: testBodyThreshold, MaxRelayBufferBytes: 1 << 20, MaxAcceptsPerTurn: 4, MaxPipelinedPerTurn: 4,
		FirstRequestTimeout: time.Minute, HeaderTimeout: time.Minute, MinBodyRate: 1 << 20, DownstreamIdleTimeout: time.Minute,
		RelayStallTimeout: time.Minute, LingerTimeout: time.Second, MaxLingerBytes: 1 << 20}
}

// receivedRequest is a request as a handler received it.
type receivedRequest struct {
	method, target, body string
	age                  time.Duration // when the handler was called
}

// echoHandler records each request and answers it once its body is complete, with the body, as its target says: /reply in
// one piece, /relay in two that are relayed, /sized likewise with the length told. It answers other methods than GET and
// POST at once with 405.
type echoHandler struct {
	loop     *loop.Loop
	requests []*receivedRequest
	streamed map[*Conn]*receivedRequest // whose body is being received
}

func (h *echoHandler) HandleRequest(c *Conn, r *http1.Request) {
	request := &receivedRequest{method: r.Method, target: r.Target, body: string(r.Body), age: c.RequestAge()}
	h.requests = append(h.requests, request)
	switch {
	case r.Method != "GET" && r.Method != "POST":
		c.Reply(405, nil, []byte("not allowed"))
	case r.IsStreamed:
		h.streamed[c] = request
		pipe := r.BodyPipe
		pipe.OnData = func() {
			// The upstream side consumes in a later turn, when its socket takes the bytes.
			h.loop.After(0, func() {
				request.body += string(pipe.Bytes())
				pipe.Consume(len(pipe.Bytes()))
			})
		}
		pipe.OnData()
	default:
		h.answer(c, request)
	}
}

func (h *echoHandler) HandleClientGone(c *Conn) { delete(h.streamed, c) }

func (h *echoHandler) HandleBodyComplete(c *Conn) {
	request := h.streamed[c]
	delete(h.streamed, c)
	h.loop.After(time.Millisecond, func() { h.answer(c, request) })
}

func (h *echoHandler) HandleMalformed(c *Conn, status int, message string) {
	c.Reply(status, nil, []byte(message))
}

// answer answers a request as its target says.
func (h *echoHandler) answer(c *Conn, r *receivedRequest) {
	content := r.method + " " + r.body
	length := int64(-1)
	switch r.target {
	case "/reply":
		c.Reply(200, nil, []byte(content))
		return
	case "/sized":
		length = int64(len(content))
	}
	pipe := flow.New(len(content), length)
	pipe.Append([]byte(content[:4]))
	c.Relay(200, nil, pipe, func(bool) {})
	h.loop.After(time.Millisecond, func() {
		pipe.Append([]byte(content[4:]))
		pipe.CloseWrite(true)
	})
}

// exchangeWorld is two servers on one loop, the second ready to take over the connections of the first, and a client.
type exchangeWorld struct {
	t         *testing.T
	loop      *loop.Loop
	old, next *Server
	handler   *echoHandler // of both servers
	client    net.Conn
	reader    *bufio.Reader
}

// newExchangeWorld returns servers with the given bounds and a client that is connected to the old one.
func newExchangeWorld(t *testing.T, bounds limits.Limits) *exchangeWorld {
	l, err := loop.New()
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	w := &exchangeWorld{t: t, loop: l, old: New(l, bounds, log), next: New(l, bounds, log),
		handler: &echoHandler{loop: l, streamed: map[*Conn]*receivedRequest{}}}
	const anyPort = "127.0.0.1:0"
	require.NoError(t, w.old.Listen(anyPort, w.handler))
	fds, err := w.old.DuplicateListeners()
	require.NoError(t, err)
	w.next.Suspend()
	require.NoError(t, w.next.AdoptListener(fds[0], anyPort, w.handler))
	address, err := loop.LocalAddress(fds[0])
	require.NoError(t, err)
	w.client = dial(t, address)
	w.reader = bufio.NewReader(w.client)
	return w
}

// handOver has the next server continue all connections.
func (w *exchangeWorld) handOver() {
	w.old.Suspend()
	w.old.HandOver(receiverFunc(func(st ConnState, fd int) { require.NoError(w.t, w.next.AdoptConnection(st, fd)) }))
	w.next.Resume()
}

// send writes in the background, since the loop runs on the test's goroutine.
func (w *exchangeWorld) send(text string) {
	go func() { _, _ = io.WriteString(w.client, text) }()
}

// clientResult is a response as the client received it.
type clientResult struct {
	status int
	body   string
	err    error
}

// runWhile runs the loop until what the client does, on a goroutine of its own, is done.
func (w *exchangeWorld) runWhile(client func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		client()
	}()
	nettest.Until(w.t, w.loop, func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
}

// receive runs the loop until the client has the response to a request, and returns it. Interim responses are skipped.
func (w *exchangeWorld) receive(method string) (result clientResult) {
	w.runWhile(func() {
		resp, err := http.ReadResponse(w.reader, &http.Request{Method: method})
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(w.reader, &http.Request{Method: method})
		}
		if err != nil {
			result = clientResult{err: err}
			return
		}
		body, err := io.ReadAll(resp.Body)
		result = clientResult{resp.StatusCode, string(body), err}
	})
	return result
}

// requestForm is one form of a request in HTTP/1.1, with the response that it is to get.
type requestForm struct {
	name, method, text string
	want               clientResult
}

// requestForms returns the forms of requests of which no state may be left on a connection. The body of the last POST is
// complete in the buffer, behind which the next request may follow, when it is found to be too long to be buffered whole.
func requestForms() []requestForm {
	long := strings.Repeat("0123456789abcdef", 6<<10)
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	const last, chunked = "0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	ok := func(body string) clientResult { return clientResult{status: 200, body: body} }
	justOver := long[:testBodyThreshold+100]
	return []requestForm{
		{"get", "GET", "GET /reply HTTP/1.1\r\n\r\n", ok("GET ")},
		{"get, relayed", "GET", "GET /relay HTTP/1.1\r\n\r\n", ok("GET ")},
		{"get, relayed with length", "GET", "GET /sized HTTP/1.1\r\n\r\n", ok("GET ")},
		{"head", "HEAD", "HEAD /reply HTTP/1.1\r\n\r\n", clientResult{status: 405}},
		{"HTTP/1.0", "GET", "GET /reply HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", ok("GET ")},
		{"empty line and line feeds", "GET", "\r\nGET /relay HTTP/1.1\nX: y\n\n", ok("GET ")},
		{"length", "POST", "POST /reply HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", ok("POST body")},
		{"length 0", "POST", "POST /relay HTTP/1.1\r\nContent-Length: 0\r\n\r\n", ok("POST ")},
		{"continue", "POST", "POST /reply HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", ok("POST body")},
		{"long", "POST", fmt.Sprintf("POST /relay HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(long), long), ok("POST " + long)},
		{"long, continue", "POST", fmt.Sprintf("POST /reply HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s",
			len(long), long), ok("POST " + long)},
		{"chunked", "POST", "POST /sized HTTP/1.1\r\n" + chunked + chunk("one") + chunk("two") + last, ok("POST onetwo")},
		{"chunked with extension and trailers", "POST", "POST /reply HTTP/1.1\r\n" + chunked +
			"3;x=y\r\none\r\n0\r\nCheck: 1\r\n\r\n", ok("POST one")},
		{"long and chunked", "POST", "POST /relay HTTP/1.1\r\n" + chunked + chunk(long) + last, ok("POST " + long)},
		{"chunked, just over the threshold", "POST", "POST /reply HTTP/1.1\r\n" + chunked + chunk(justOver) + last,
			ok("POST " + justOver)},
	}
}

// malformedForm returns a request that is no valid one. Its response is the last of its connection.
func malformedForm() requestForm {
	return requestForm{"malformed", "GET", "GET /reply\r\n\r\n", clientResult{status: 400, body: "protocol \"\""}}
}

// delivery is how the second of two requests of a connection follows the first.
type delivery string

const (
	pipelined      delivery = "pipelined"           // both written at once
	afterResponse  delivery = "after the response"  // written when the first one's response has been received
	handedOver     delivery = "handed over"         // as afterResponse, to another server that continues the connection
	handedOverHalf delivery = "half of it buffered" // its first bytes with the first request, the rest to the other server
)

// Guards against state of one request that affects the next on its connection: after a request of any form, one of any
// form is received and answered as on a new connection, also if another process continues the connection between the two.
func TestRequestFormsFollowEachOther(t *testing.T) {
	for _, first := range requestForms() {
		for _, second := range append(requestForms(), malformedForm()) {
			for _, d := range []delivery{pipelined, afterResponse, handedOver, handedOverHalf} {
				t.Run(fmt.Sprintf("%s; %s; %s", first.name, second.name, d), func(t *testing.T) {
					checkFollowingRequest(t, first, second, d)
				})
			}
		}
	}
}

// checkFollowingRequest sends two requests on one connection and checks both responses.
func checkFollowingRequest(t *testing.T, first, second requestForm, d delivery) {
	const bufferedBytes = 8 // of the second request, with handedOverHalf
	w := newExchangeWorld(t, exchangeBounds())
	switch d {
	case pipelined:
		w.send(first.text + second.text)
	case handedOverHalf:
		w.send(first.text + second.text[:bufferedBytes])
	default:
		w.send(first.text)
	}
	require.Equal(t, first.want, w.receive(first.method))
	switch d {
	case afterResponse:
		w.send(second.text)
	case handedOver:
		w.handOver()
		w.send(second.text)
	case handedOverHalf:
		w.handOver()
		w.send(second.text[bufferedBytes:])
	}
	require.Equal(t, second.want, w.receive(second.method))
}

// Guards against the method of one request deciding about the response to the next: the error response to what follows a
// HEAD request was sent without its body, though with its length.
func TestErrorAfterHeadRequestHasItsBody(t *testing.T) {
	for _, next := range []string{"GET /reply\r\n\r\n", "GET /reply HTTP/1.1\r\nno field\r\n\r\n"} {
		w := newExchangeWorld(t, exchangeBounds())
		w.send("HEAD /reply HTTP/1.1\r\n\r\n")
		require.Equal(t, clientResult{status: 405}, w.receive("HEAD"))
		w.send(next)
		result := w.receive("GET")
		require.NoError(t, result.err)
		require.Equal(t, 400, result.status)
		require.NotEmpty(t, result.body)
	}
}

// Guards against the body of one request extending the time of the next: a client that stopped in the middle of a request
// was kept for as long as its previous body might have taken, up to minutes.
func TestTimeoutOfHeadIgnoresPreviousBody(t *testing.T) {
	long := strings.Repeat("x", testBodyThreshold+100)
	for name, body := range map[string]string{"buffered": "0123456789", "streamed": long} {
		bounds := exchangeBounds()
		bounds.HeaderTimeout, bounds.MinBodyRate = 50*time.Millisecond, 1
		w := newExchangeWorld(t, bounds)
		w.send(fmt.Sprintf("POST /reply HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		require.Equal(t, 200, w.receive("POST").status, name)
		w.send("GET /reply HT")
		started := w.loop.Now()
		require.Equal(t, 408, w.receive("GET").status, name)
		require.Less(t, w.loop.Now()-started, 9*time.Second, "%s: a body of 10 bytes may take 10 s", name)
	}
}

// Guards against the next request holding up the one before it: a body that was complete, too long to be buffered whole and
// followed by the first bytes of the next request was never passed on as complete, and its request ended with 408.
func TestCompleteBodyBeforeNextRequest(t *testing.T) {
	body := strings.Repeat("x", testBodyThreshold+100)
	w := newExchangeWorld(t, exchangeBounds())
	w.send(fmt.Sprintf("POST /reply HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\nGET /reply HT",
		len(body), body))
	require.Equal(t, clientResult{status: 200, body: "POST " + body}, w.receive("POST"))
	w.send("TP/1.1\r\n\r\n")
	require.Equal(t, clientResult{status: 200, body: "GET "}, w.receive("GET"))
}

// Guards against a hand-over giving a request more time than its client does: a request that had waited behind another one
// in the old process counted as just arrived in the new one.
func TestRequestAgeAcrossHandOver(t *testing.T) {
	const wait = 50 * time.Millisecond
	w := newExchangeWorld(t, exchangeBounds())
	held := &recordingHandler{}
	w.old.listeners[0].handler = held
	w.send("GET /held HTTP/1.1\r\n\r\nGET /reply HTTP/1.1\r\n\r\nGET /rep")
	nettest.Until(t, w.loop, func() bool { return len(held.pending) == 1 && held.pending[0].parser.Buffered() > 0 })
	arrived := w.loop.Now()
	nettest.Until(t, w.loop, func() bool { return w.loop.Now()-arrived > wait })
	w.handOver()
	held.pending[0].Reply(200, nil, nil)
	handedOver := w.loop.Now()
	require.Equal(t, 200, w.receive("GET").status)
	require.Equal(t, 200, w.receive("GET").status)
	require.Len(t, w.handler.requests, 1)
	require.GreaterOrEqual(t, w.handler.requests[0].age, wait)
	nettest.Until(t, w.loop, func() bool { return w.loop.Now()-handedOver > wait })
	w.send("ly HTTP/1.1\r\n\r\n")
	require.Equal(t, 200, w.receive("GET").status)
	require.Less(t, w.handler.requests[1].age, wait, "a request's time runs from its last byte")
}

// Guards against a request that is lost behind a response in progress: what a client pipelined was discarded if it was more
// than a head and a body that are buffered whole, and its connection closed behind the response. A client that leaves
// meanwhile must be noticed.
func TestLongRequestBehindResponseInProgress(t *testing.T) {
	const systemBytes = 32 << 10 // of the body that is not read; the end of the client's stream fits behind them
	for _, leaves := range []bool{false, true} {
		body := strings.Repeat("x", 700<<10)
		if leaves {
			body = body[:exchangeBounds().MaxHeaderBytes+2*testBodyThreshold+systemBytes]
		}
		bounds := exchangeBounds()
		bounds.MaxPipelinedBytes = testBodyThreshold // so that most of the body waits in the system's buffers
		w := newExchangeWorld(t, bounds)
		held := &recordingHandler{}
		w.old.listeners[0].handler = held
		w.send("GET /held HTTP/1.1\r\n\r\n" + fmt.Sprintf("POST /reply HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		nettest.Until(t, w.loop, func() bool { return len(held.pending) == 1 && held.pending[0].isPipelineFull() })
		require.Zero(t, held.pending[0].overflowBytes)
		if leaves {
			require.NoError(t, w.client.Close())
			nettest.Until(t, w.loop, func() bool { return w.old.OpenConnections() == 0 })
			continue
		}
		w.old.listeners[0].handler = w.handler
		pipe := flow.New(100, -1)
		held.pending[0].Relay(200, nil, pipe, func(bool) {})
		pipe.Append([]byte("first"))
		pipe.CloseWrite(true)
		require.Equal(t, clientResult{status: 200, body: "first"}, w.receive("GET"))
		require.Equal(t, clientResult{status: 200, body: "POST " + body}, w.receive("POST"))
	}
}

// When the memory for the pipelined input of all connections is used up, the response in progress announces that what
// follows is not processed.
func TestPipelinedInputOfAllConnectionsIsBounded(t *testing.T) {
	bounds := exchangeBounds()
	bounds.MaxPipelinedBytes, bounds.MaxRelayBufferBytes = 1<<20, testBodyThreshold
	w := newExchangeWorld(t, bounds)
	held := &recordingHandler{}
	w.old.listeners[0].handler = held
	w.send("GET /held HTTP/1.1\r\n\r\n" + strings.Repeat("GET /reply HTTP/1.1\r\n\r\n", 20<<10))
	nettest.Until(t, w.loop, func() bool { return len(held.pending) == 1 && held.pending[0].overflowBytes > 0 })
	require.Zero(t, held.pending[0].parser.Buffered())
	held.pending[0].Reply(200, nil, nil)
	resp, err := http.ReadResponse(w.reader, nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
}
