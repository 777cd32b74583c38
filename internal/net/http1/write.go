package http1

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request. A body goes with its length, as does the empty one of a method
// that usually has one.
func AppendRequest(b []byte, method, target, host string, h Headers, body []byte) []byte {
	b = appendLine(b, method, target, host, h)
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = appendLength(b, int64(len(body)))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// AppendRequestHead appends the head of a request whose body follows; where no length is told ahead (below 0), in
// chunks.
func AppendRequestHead(b []byte, method, target, host string, h Headers, length int64) []byte {
	b = appendLine(b, method, target, host, h)
	if length >= 0 {
		return append(appendLength(b, length), "\r\n"...)
	}
	return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
}

func appendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends one chunk, none for no bytes: an empty one would be the last.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	return append(append(b, data...), "\r\n"...)
}

// AppendLastChunk appends the end of a body in chunks.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }

// Framing is how a body that is written while it comes will end.
type Framing int

const (
	FramedByLength Framing = iota // told ahead
	FramedByChunks                // with an empty chunk
	FramedByClose                 // with the connection
)

// AppendResponseHead appends the head of a response whose body follows.
func AppendResponseHead(b []byte, status int, h Headers, length int64, f Framing, closing bool) []byte {
	b = appendStatus(b, status, h, closing)
	switch f {
	case FramedByLength:
		b = appendLength(b, length)
	case FramedByChunks:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(b, "\r\n"...)
}

// AppendResponse appends a response with its length. The body of an answer to HEAD is left out.
func AppendResponse(b []byte, status int, h Headers, body []byte, closing, head bool) []byte {
	b = appendStatus(b, status, h, closing)
	b = append(appendLength(b, int64(len(body))), "\r\n"...)
	if head {
		return b
	}
	return append(b, body...)
}

// appendStatus appends the status line and the fields that do not frame the body.
func appendStatus(b []byte, status int, h Headers, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, h)
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// appendLine appends the request line and the fields that do not frame the body.
func appendLine(b []byte, method, target, host string, h Headers) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendHeaders(b, h)
}

func appendHeaders(b []byte, h Headers) []byte {
	for i := range h {
		b = append(b, h[i].Name...)
		b = append(b, ": "...)
		b = append(b, h[i].Value...)
		b = append(b, "\r\n"...)
	}
	return b
}
