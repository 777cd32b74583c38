package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// passedOn reads requests with a parser that hands on bodies over 4 bytes while they come, and puts the pieces
// together again.
func passedOn(text string, size int) (out []string, err error) {
	p := NewRequestParser(headMost, bodyMost, 4)
	var r *Request
	var body []byte
	done := func() {
		out = append(out, fmt.Sprintf("%s %s %v %q %v", r.Method, r.Target, r.Headers, body, r.Close))
		r = nil
	}
	for len(text) > 0 {
		n := min(size, len(text))
		p.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			if r != nil {
				b, whole, err := p.NextBodyPart()
				if err != nil {
					return out, err
				}
				if body = append(body, b...); !whole {
					break
				}
				done()
			}
			if r, err = p.Next(); err != nil || r == nil {
				if err != nil {
					return out, err
				}
				break
			}
			if body = append([]byte(nil), r.Body...); len(body) > 4 && !r.IsStreamed {
				return out, fmt.Errorf("held whole though it is %d long", len(body))
			} else if !r.IsStreamed {
				done()
			} else if r.ContentLength >= 0 && r.ContentLength <= 4 {
				return out, fmt.Errorf("open though it is only %d long", r.ContentLength)
			}
		}
	}
	return out, nil
}

func TestABodyIsPassedOnInAnySplit(t *testing.T) {
	text := plainPost + chunkPost + oldGet + "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nkept" + chunkPost
	want, err := requests(text, len(text))
	require.NoError(t, err)
	for size := 1; size <= len(text); size++ {
		got, err := passedOn(text, size)
		require.NoError(t, err, "in pieces of %d", size)
		require.Equal(t, want, got, "in pieces of %d", size)
	}
}

// FuzzPassedOn: a body that is passed on while it comes is the one that is read whole, however it is cut.
func FuzzPassedOn(f *testing.F) {
	for _, s := range []string{plainPost, chunkPost, oldGet, "GET / HTTP/1.1\r\n\r\n" + plainPost, "\n\n\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", chunkPost[:50] + "\n" + chunkPost[50:]} {
		f.Add(s, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		whole, err := requests(text, len(text)+1)
		split, errSplit := passedOn(text, max(1, size%64))
		require.Equal(t, whole, split)
		require.Equal(t, err == nil, errSplit == nil)
	})
}

func TestBadChunks(t *testing.T) {
	for body, status := range map[string]int{
		"x\r\n": 400, "-1\r\n": 400, "+1\r\n": 400, "\r\n": 400, "0x5\r\n": 400, "ffffffffffffffffff\r\n": 400,
		"80000000\r\n": 400, "401\r\n": 413, "2\r\nabc\r\n": 400, "1\r\na\n": 400, "1\na\r\n": 400, "0\n\n": 400,
		"1;" + strings.Repeat("x", 5000):                                   400,
		"0\r\n" + strings.Repeat("T: "+strings.Repeat("x", 500)+"\r\n", 6): 431,
	} {
		_, err := requests("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"+body, 3)
		var pe *ParseError
		require.ErrorAs(t, err, &pe, "%.20q", body)
		require.Equal(t, status, pe.Status, "%.20q", body)
	}
}

// A good answer is passed on once it is known to be long; one of unknown length when that is asked for. Of a bad one
// nobody reads what is long.
func TestAnswersThatAreLong(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	read := func(text string) (*ResponseParser, *Response) {
		p := NewResponseParser(headMost, bodyMost, 4)
		p.Feed([]byte(text))
		r, err := p.Next()
		require.NoError(t, err)
		return p, r
	}
	p, r := read(head + "Content-Length: 9\r\n\r\nabc")
	require.True(t, r.IsStreamed && r.ContentLength == 9 && string(r.Body) == "abc")
	p.Feed([]byte("defghi"))
	b, whole, err := p.NextBodyPart()
	require.NoError(t, err)
	require.True(t, whole)
	require.Equal(t, "defghi", string(b))

	p, r = read(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	require.Nil(t, r)
	require.True(t, p.HasUnknownLength())
	r = p.StartStreaming()
	require.True(t, r.IsStreamed && r.ContentLength == -1 && string(r.Body) == "abc")
	require.False(t, p.EndsWithConnection(), "it ends with its last chunk, not with the connection")
	require.Nil(t, p.FinishAtEOF())

	p, r = read(head + "\r\nabcdef")
	require.True(t, r.IsStreamed && r.Close)
	require.True(t, p.EndsWithConnection())

	p, r = read(head + "Content-Length: 3\r\n\r\nab")
	require.Nil(t, r)
	require.False(t, p.HasUnknownLength(), "short ones are waited for")

	_, r = read("HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nabc")
	require.True(t, !r.IsStreamed && r.Close && r.Status == 500)
}
