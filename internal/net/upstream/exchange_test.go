package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// receiveBody returns the body of the answer with the given index, and waits for its end if it is being relayed.
func receiveBody(t *testing.T, l *loop.Loop, sink *recordingSink, index int) string {
	answer := sink.answers[index]
	pipe := RelayedBody(answer)
	if pipe == nil {
		return string(answer.Body)
	}
	var body strings.Builder
	nettest.Until(t, l, func() bool {
		body.Write(pipe.Bytes())
		pipe.Consume(len(pipe.Bytes()))
		return pipe.IsComplete() || pipe.IsTruncated()
	})
	require.True(t, pipe.IsComplete(), "the response is truncated")
	return body.String()
}

// Guards against long answers of unknown length that are cut off because their connection has just carried another one:
// each of them must be relayed from its beginning, whichever request of its connection it answers.
func TestEachSlowResponseOfAConnectionIsRelayed(t *testing.T) {
	var connections atomic.Int32
	isRelayed := make(chan struct{})
	l, p, sink := newTestPool(t, func(c net.Conn) {
		connections.Add(1)
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n")
			<-isRelayed
			_, _ = io.WriteString(c, "3\r\nend\r\n0\r\n\r\n")
		}
	})
	for n := 1; n <= 3; n++ {
		startGet(p, n)
		require.Equal(t, admission.OK, waitForOutcomes(t, l, sink, n)[n-1])
		isRelayed <- struct{}{}
		require.Equal(t, "beginend", receiveBody(t, l, sink, n-1))
	}
	require.EqualValues(t, 1, connections.Load())
}

// responseForm is one form of a response in HTTP/1.1.
type responseForm struct {
	name        string
	head, body  string
	rest        string // of the body; written once the outcome is reported, so that the response has to be relayed
	wantOutcome admission.Outcome
	wantBody    string
	wantClose   bool
}

// responseForms returns the forms of responses of which no state may be left on a connection.
func responseForms() []responseForm {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	long := strings.Repeat("0123456789abcdef", 5<<10)
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	const last = "0\r\n\r\n"
	return []responseForm{
		{name: "length", head: ok + "Content-Length: 5\r\n", body: "plain", wantBody: "plain"},
		{name: "length 0", head: ok + "Content-Length: 0\r\n"},
		{name: "long with length", head: ok + fmt.Sprintf("Content-Length: %d\r\n", len(long)), body: long, wantBody: long},
		{name: "slow with length", head: ok + "Content-Length: 100000\r\n", body: long, rest: strings.Repeat("x", 100000-len(long)),
			wantBody: long + strings.Repeat("x", 100000-len(long))},
		{name: "chunked", head: ok + chunked, body: chunk("one") + chunk("two") + last, wantBody: "onetwo"},
		{name: "chunked with extension and trailers", head: ok + chunked, body: "3;x=y\r\none\r\n0\r\nCheck: 1\r\n\r\n", wantBody: "one"},
		{name: "long and chunked", head: ok + chunked, body: chunk(long) + last, wantBody: long},
		{name: "slow and chunked", head: ok + chunked, body: chunk("begin"), rest: chunk("end") + last, wantBody: "beginend"},
		{name: "slow within a chunk", head: ok + chunked, body: "8\r\nbeg", rest: "inend\r\n" + last, wantBody: "beginend"},
		{name: "slow before the trailers", head: ok + chunked, body: chunk("begin") + "0\r\nChe", rest: "ck: 1\r\n\r\n", wantBody: "begin"},
		{name: "after interim responses", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok +
			"Content-Length: 2\r\n", body: "ok", wantBody: "ok"},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\n", wantOutcome: admission.Errored},
		{name: "not modified", head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n", wantOutcome: admission.Errored},
		{name: "not started", head: "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n", wantOutcome: admission.Full},
		{name: "chunked error", head: "HTTP/1.1 500 Failed\r\n" + chunked, body: chunk("why") + last, wantOutcome: admission.Errored,
			wantBody: "why"},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 3\r\n", body: "old", wantBody: "old"},
		{name: "last one", head: ok + "Connection: close\r\nContent-Length: 3\r\n", body: "end", wantBody: "end", wantClose: true},
		{name: "until the end of the connection", head: ok, body: "all", wantBody: "all", wantClose: true},
		{name: "slow until the end", head: ok, body: "begin", rest: "end", wantBody: "beginend", wantClose: true},
	}
}

// serveForms answers the requests of a connection with one form each. It writes the rest of a response when told.
func serveForms(c net.Conn, forms []responseForm, isRelayed chan struct{}) {
	r := bufio.NewReader(c)
	for _, form := range forms {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, form.head+"\r\n"+form.body)
		if form.rest != "" {
			<-isRelayed
			_, _ = io.WriteString(c, form.rest)
		}
		if form.wantClose {
			_ = c.Close()
			return
		}
	}
}

// Guards against state of one response that affects the next on its connection: after a response of any form, one of any
// form is received as on a new connection, also if the connection was handed over to another process between the two.
func TestResponseFormsFollowEachOther(t *testing.T) {
	for _, first := range responseForms() {
		if first.wantClose {
			continue
		}
		for _, second := range responseForms() {
			for _, isHandedOver := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, handed over %v", first.name, second.name, isHandedOver), func(t *testing.T) {
					checkFollowingResponse(t, first, second, isHandedOver)
				})
			}
		}
	}
}

// checkFollowingResponse makes two requests of one connection and checks both responses and whether the connection is
// kept.
func checkFollowingResponse(t *testing.T, first, second responseForm, isHandedOver bool) {
	forms, isRelayed := []responseForm{first, second}, make(chan struct{})
	l, p, sink := newTestPool(t, func(c net.Conn) { serveForms(c, forms, isRelayed) })
	p.bounds.RelayStartDelay = time.Millisecond
	for i, form := range forms {
		startGet(p, i+1)
		require.Equal(t, form.wantOutcome, waitForOutcomes(t, l, sink, i+1)[i])
		if form.rest != "" {
			isRelayed <- struct{}{}
		}
		require.Equal(t, form.wantBody, receiveBody(t, l, sink, i))
		if form.wantClose {
			nettest.Until(t, l, func() bool { return p.OpenConnections() == 0 })
			return
		}
		require.Len(t, p.hosts["h"].idle, 1)
		if isHandedOver {
			passOn(t, p)
		}
	}
}

// passOn hands the idle connections of a pool over, and adopts them again as another process would.
func passOn(t *testing.T, p *Pool) {
	p.HandOver(func(host string, since time.Duration, fd int) { require.NoError(t, p.AdoptConnection(host, since, fd)) })
	p.StopHandOver()
}
