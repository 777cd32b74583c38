package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Clients receive the text of a ParseError as the body of a local reply, so rewording one changes what they see.
func TestParseErrorTextsDoNotChange(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		input  string
		status int
		reason string
	}{
		{"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", maxHeadSize), 431, "head over 2048 bytes"},
		{"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", maxHeadSize) + "\r\n\r\n", 431, "head over 2048 bytes"},
		{"nonsense\r\n\r\n", 400, "malformed request line"},
		{"GET / HTTP/2\r\n\r\n", 400, `protocol "HTTP/2"`},
		{"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400, "malformed header line"},
		{"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", 400, "malformed header value"},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, "two lengths"},
		{"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400, "malformed length"},
		{"POST / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n", 413, "body over 1024 bytes"},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400, `transfer coding "gzip"`},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, "a length and a transfer coding"},
		{chunked + "x\r\n", 400, "malformed size of a chunk"},
		{chunked + "401\r\n", 413, "body over 1024 bytes"},
		{chunked + "1\r\nab\r\n", 400, "malformed end of a chunk"},
		{chunked + "1\n", 400, "line of a chunk without CR"},
		{chunked + strings.Repeat("1", 4097), 400, "line of a chunk over 4096 bytes"},
		{chunked + "0\r\n" + strings.Repeat("T: "+strings.Repeat("x", 500)+"\r\n", 6), 431, "trailers over 2048 bytes"},
	} {
		_, err := parseRequests(c.input, len(c.input))
		require.Equal(t, &ParseError{Status: c.status, Reason: c.reason}, err, "%.70q", c.input)
	}

	p := NewResponseParser(maxHeadSize, maxBodySize, 0)
	p.Feed([]byte("SSH-2.0-x\r\n\r\n"))
	_, err := p.Next()
	require.Equal(t, &ParseError{Status: 502, Reason: "malformed status line"}, err)
	p = NewResponseParser(maxHeadSize, maxBodySize, 0)
	p.Feed([]byte("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxBodySize+1)))
	_, err = p.Next()
	require.Equal(t, &ParseError{Status: 413, Reason: "body over 1024 bytes"}, err)
}
