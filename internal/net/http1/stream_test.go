package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// parseStreamed is parseRequests with a parser that streams bodies over 4 bytes; it joins the parts of each body.
func parseStreamed(text string, size int) (out []string, err error) {
	p := NewRequestParser(maxHeadSize, maxBodySize, 4)
	var r *Request
	var body []byte
	finish := func() {
		out = append(out, fmt.Sprintf("%s %s %v %q %v", r.Method, r.Target, r.Headers, body, r.Close))
		r = nil
	}
	for len(text) > 0 {
		n := min(size, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			if r != nil {
				b, isLast, err := p.NextBodyPart()
				if err != nil {
					return out, err
				}
				if body = append(body, b...); !isLast {
					break
				}
				finish()
			}
			if r, err = p.Next(); err != nil || r == nil {
				if err != nil {
					return out, err
				}
				break
			}
			if body = append([]byte(nil), r.Body...); len(body) > 4 && !r.IsStreamed {
				return out, fmt.Errorf("not streamed though the body has %d bytes", len(body))
			} else if !r.IsStreamed {
				finish()
			} else if r.ContentLength >= 0 && r.ContentLength <= 4 {
				return out, fmt.Errorf("streamed though the body has only %d bytes", r.ContentLength)
			}
		}
	}
	return out, nil
}

func TestStreamedRequestsSplitAnywhere(t *testing.T) {
	text := plainPost + chunkedPost + http10Get + "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nkept" + chunkedPost
	want, err := parseRequests(text, len(text))
	require.NoError(t, err)
	for size := 1; size <= len(text); size++ {
		got, err := parseStreamed(text, size)
		require.NoError(t, err, "pieces of %d bytes", size)
		require.Equal(t, want, got, "pieces of %d bytes", size)
	}
}

// FuzzStreamedRequests checks that a streamed body equals the body that is read in full, however the input is split.
func FuzzStreamedRequests(f *testing.F) {
	for _, s := range []string{plainPost, chunkedPost, http10Get, "GET / HTTP/1.1\r\n\r\n" + plainPost, "\n\n\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", chunkedPost[:50] + "\n" + chunkedPost[50:]} {
		f.Add(s, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole, err := parseRequests(text, len(text)+1)
		split, errSplit := parseStreamed(text, max(1, size%64))
		require.Equal(t, whole, split)
		require.Equal(t, err == nil, errSplit == nil)
	})
}

func TestMalformedChunks(t *testing.T) {
	for body, status := range map[string]int{
		"x\r\n": 400, "-1\r\n": 400, "+1\r\n": 400, "\r\n": 400, "0x5\r\n": 400, "ffffffffffffffffff\r\n": 400,
		"80000000\r\n": 400, "401\r\n": 413, "2\r\nabc\r\n": 400, "1\r\na\n": 400, "1\na\r\n": 400, "0\n\n": 400,
		"1;" + strings.Repeat("x", 5000):                                   400,
		"0\r\n" + strings.Repeat("T: "+strings.Repeat("x", 500)+"\r\n", 6): 431,
	} {
		_, err := parseRequests("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+body, 3)
		var pe *ParseError
		require.ErrorAs(t, err, &pe, "%.20q", body)
		require.Equal(t, status, pe.Status, "%.20q", body)
	}
}

// A response with status 200 is streamed once its body is known to be long; one of unknown length also on request. Of a
// response with another status the rest of a long body is not read.
func TestStreamedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	read := func(text string) (*ResponseParser, *Response) {
		p := NewResponseParser(maxHeadSize, maxBodySize, 4)
		p.Feed([]byte(text))
		r, err := p.Next()
		require.NoError(t, err)
		return p, r
	}
	p, r := read(head + "Content-Length: 9\r\n\r\nabc")
	require.True(t, r.IsStreamed && r.ContentLength == 9 && string(r.Body) == "abc")
	p.Feed([]byte("defghi"))
	b, isLast, err := p.NextBodyPart()
	require.NoError(t, err)
	require.True(t, isLast)
	require.Equal(t, "defghi", string(b))

	p, r = read(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	require.Nil(t, r)
	require.True(t, p.HasUnknownLength())
	r = p.StartStreaming()
	require.True(t, r.IsStreamed && r.ContentLength == -1 && string(r.Body) == "abc")
	require.False(t, p.EndsWithConnection(), "its last chunk ends it, not the connection")
	require.Nil(t, p.FinishAtEOF())

	p, r = read(head + "\r\nabcdef")
	require.True(t, r.IsStreamed && r.Close)
	require.True(t, p.EndsWithConnection())

	p, r = read(head + "Content-Length: 3\r\n\r\nab")
	require.Nil(t, r)
	require.False(t, p.HasUnknownLength(), "its length is known")

	_, r = read("HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nabc")
	require.True(t, !r.IsStreamed && r.Close && r.Status == 500)
}
