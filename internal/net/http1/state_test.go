package http1

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A parser whose state is taken after any byte and restored into another parser returns the same requests.
func TestRestoredParserContinues(t *testing.T) {
	text := "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n" +
		"GET /d HTTP/1.1\r\nConnection: close\r\n\r\n"
	read := func(p *RequestParser, requests []string) []string {
		for {
			r, err := p.Next()
			require.NoError(t, err)
			if r == nil {
				return requests
			}
			requests = append(requests, r.Method+r.Target+string(r.Body)+r.Headers.Get("Host"))
			if r.Close {
				requests = append(requests, "close")
			}
		}
	}
	for cut := range text {
		p := NewRequestParser(1000, 1000, 0)
		p.Feed([]byte(text[:cut]))
		got := read(p, nil)
		restored, err := RestoreRequestParser(p.State(), 1000, 1000, 0)
		require.NoError(t, err)
		require.Equal(t, p.TakeExpectContinue(), restored.TakeExpectContinue())
		restored.Feed([]byte(text[cut:]))
		require.Equal(t, []string{"POST/a?bhelloh", "POST/cabcde", "GET/d", "close"}, read(restored, got),
			"state after %d bytes", cut)
	}
}

func TestInconsistentStateIsRefused(t *testing.T) {
	for _, s := range []RequestParserState{{Scanned: 1}, {BytesLeft: -1}, {InBody: true}, {HasStartLine: true},
		{Framing: 2}, {Framing: -1}, {ChunkState: 9}, {TrailerBytes: -1}, {Body: make([]byte, 2000)}, {BytesLeft: 2000}} {
		_, err := RestoreRequestParser(s, 1000, 1000, 0)
		require.Error(t, err, "%+v", s)
	}
}
