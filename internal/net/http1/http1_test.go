package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	maxHeadSize = 2048
	maxBodySize = 1024
)

// parseRequests feeds a text in pieces of the given size and returns the requests, formatted.
func parseRequests(text string, size int) (out []string, err error) {
	p := NewRequestParser(maxHeadSize, maxBodySize, 0)
	for len(text) > 0 {
		n := min(size, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			r, err := p.Next()
			if err != nil {
				return out, err
			}
			if r == nil {
				break
			}
			out = append(out, fmt.Sprintf("%s %s %v %q %v", r.Method, r.Target, r.Headers, r.Body, r.Close))
		}
	}
	return out, nil
}

const (
	plainPost   = "POST /api/1?x=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nRequest-Id:  ab \r\n\r\nhello"
	chunkedPost = "POST / HTTP/1.1\nTransfer-Encoding: Chunked\n\n5;ext=1\r\nhello\r\n1\r\n!\r\n0\r\nTrailer: x\r\n\r\n"
	http10Get   = "\r\nGET /a HTTP/1.0\r\n\r\n"
)

// However the input is split, the requests are the same.
func TestRequestsSplitAnywhere(t *testing.T) {
	text := plainPost + chunkedPost + http10Get
	want := []string{`POST /api/1?x=%20 [{Host h} {Content-Length 5} {Request-Id ab}] "hello" false`,
		`POST / [{Transfer-Encoding Chunked}] "hello!" false`, `GET /a [] "" true`}
	for size := 1; size <= len(text); size++ {
		got, err := parseRequests(text, size)
		require.NoError(t, err, "pieces of %d bytes", size)
		require.Equal(t, want, got, "pieces of %d bytes", size)
	}
}

func TestMalformedRequests(t *testing.T) {
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                                                                  400,
		"GET  / HTTP/1.1\r\n\r\n":                                                           400,
		"GET / HTTP/2\r\n\r\n":                                                              400,
		"GET / HTTP/1.1\r\nA : b\r\n\r\n":                                                   400, // blank before the colon
		"GET / HTTP/1.1\r\nA: b\r\n folded: c\r\n\r\n":                                      400,
		"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n":                                                 400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                 400,
		"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n":                                     400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                     400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":        400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                        400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n":                         400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                  400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 5000): 400,
		"POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n":                                   413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n":                      413,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", maxHeadSize):                          431,
	} {
		for _, size := range []int{1, len(text)} {
			_, err := parseRequests(text, size)
			var pe *ParseError
			require.ErrorAs(t, err, &pe, "%.60q", text)
			require.Equal(t, status, pe.Status, "%.60q: %v", text, err)
		}
	}
}

func TestExpectContinueIsReportedOnce(t *testing.T) {
	p := NewRequestParser(maxHeadSize, maxBodySize, 0)
	p.Feed([]byte("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	r, err := p.Next()
	require.Nil(t, r)
	require.NoError(t, err)
	require.True(t, p.TakeExpectContinue())
	require.False(t, p.TakeExpectContinue())
	p.Feed([]byte("ok"))
	r, err = p.Next()
	require.NoError(t, err)
	require.Equal(t, "ok", string(r.Body))
}

func TestResponsesSplitAnywhere(t *testing.T) {
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" +
		"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"HTTP/1.1 204 None\r\nConnection: Keep-Alive, Close\r\n\r\n" + "HTTP/1.1 200 OK\r\n\r\nto the end"
	for size := 1; size <= len(text); size++ {
		p := NewResponseParser(maxHeadSize, maxBodySize, 0)
		var got []string
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			p.Feed([]byte(rest[:n]))
			rest = rest[n:]
			for {
				r, err := p.Next()
				require.NoError(t, err)
				if r == nil {
					break
				}
				got = append(got, fmt.Sprintf("%d %q %v", r.Status, r.Body, r.Close))
			}
		}
		require.Equal(t, []string{`200 "hi" false`, `503 "" false`, `204 "" true`}, got, "pieces of %d bytes", size)
		last := p.FinishAtEOF()
		require.NotNil(t, last)
		require.Equal(t, "to the end", string(last.Body))
		require.True(t, last.Close)
	}
}

func TestTruncatedAndMalformedResponses(t *testing.T) {
	p := NewResponseParser(maxHeadSize, maxBodySize, 0)
	p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"))
	r, err := p.Next()
	require.NoError(t, err)
	require.Nil(t, r)
	require.Nil(t, p.FinishAtEOF(), "a body shorter than its Content-Length is no response")
	for _, text := range []string{"HTTP/1.1 20 OK\r\n\r\n", "SSH-2.0-x\r\n\r\n", "HTTP/1.1 abc\r\n\r\n"} {
		p := NewResponseParser(maxHeadSize, maxBodySize, 0)
		p.Feed([]byte(text))
		_, err := p.Next()
		require.Error(t, err, text)
	}
}

func TestTakePartialBody(t *testing.T) {
	p := NewResponseParser(maxHeadSize, maxBodySize, 0)
	p.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n2\r\nc"))
	_, err := p.Next()
	require.NoError(t, err)
	status, body := p.TakePartialBody()
	require.Equal(t, 200, status)
	require.Equal(t, "ab\nc", string(body))
	p.Feed([]byte("\n\r\n"))
	_, err = p.Next()
	require.NoError(t, err)
	_, body = p.TakePartialBody()
	require.Equal(t, "\n", string(body))
}

func TestWrittenMessagesAreParsedBack(t *testing.T) {
	got, err := parseRequests(string(AppendRequest(nil, "POST", "/a?b=c", "h", Headers{{"X", "y"}}, []byte("body"))), 7)
	require.NoError(t, err)
	require.Equal(t, []string{`POST /a?b=c [{Host h} {X y} {Content-Length 4}] "body" false`}, got)
	p := NewResponseParser(maxHeadSize, maxBodySize, 0)
	p.Feed(AppendResponse(nil, 429, Headers{{"Retry-After", "1"}}, []byte("no"), true, false))
	r, err := p.Next()
	require.NoError(t, err)
	require.Equal(t, 429, r.Status)
	require.Equal(t, "1", r.Headers.Get("retry-after"))
	require.True(t, r.Close)
}

// FuzzRequests checks that the result does not depend on how the input is split.
func FuzzRequests(f *testing.F) {
	for _, s := range []string{plainPost, chunkedPost, http10Get, "GET / HTTP/1.1\r\n\r\n" + plainPost, "\n\n\n"} {
		f.Add(s, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole, err := parseRequests(text, len(text)+1)
		split, errSplit := parseRequests(text, max(1, size%64))
		require.Equal(t, whole, split)
		require.Equal(t, err == nil, errSplit == nil)
	})
}

// FuzzResponses checks that the parser neither panics nor returns a body over its limit.
func FuzzResponses(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\n\r\nx")
	f.Fuzz(func(t *testing.T, text string) {
		p := NewResponseParser(maxHeadSize, maxBodySize, 0)
		p.Feed([]byte(text))
		for range len(text) + 1 {
			r, err := p.Next()
			if err != nil || r == nil {
				break
			}
			require.LessOrEqual(t, len(r.Body), maxBodySize)
		}
		p.FinishAtEOF()
	})
}

// Pipelined requests stay in place in the buffer while those before them are parsed: moving them for each request would
// cost time quadratic in their number. Afterwards, ReleaseIdleBuffers frees the large buffer.
func TestPipelinedMessagesAreNotMoved(t *testing.T) {
	p := NewRequestParser(1<<10, 1<<10, 0)
	text := "GET /a HTTP/1.1\r\nX: y\r\n\r\n"
	p.Feed([]byte(strings.Repeat(text, 1000)))
	last := &p.unparsed[len(p.unparsed)-1]
	for i := range 1000 {
		req, err := p.Next()
		require.NoError(t, err)
		require.Equal(t, "/a", req.Target)
		if i < 999 {
			require.Same(t, last, &p.unparsed[len(p.unparsed)-1])
		}
	}
	p.ReleaseIdleBuffers()
	require.Nil(t, p.storage)
}
