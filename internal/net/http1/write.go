package http1

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a whole request to b. It adds Host, and Content-Length if there is a body or the method usually
// has one; h must contain neither.
func AppendRequest(b []byte, method, target, host string, h Headers, body []byte) []byte {
	b = appendRequestStart(b, method, target, host, h)
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = appendContentLength(b, int64(len(body)))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// AppendRequestHead appends the head of a request whose body the caller appends later. length is that of the body in
// bytes; if it is negative, the body is sent in chunks. h must contain none of the fields that this adds.
func AppendRequestHead(b []byte, method, target, host string, h Headers, length int64) []byte {
	b = appendRequestStart(b, method, target, host, h)
	if length >= 0 {
		return append(appendContentLength(b, length), "\r\n"...)
	}
	return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// appendContentLength appends the field Content-Length.
func appendContentLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends one chunk of a body. It appends nothing for empty data, because an empty chunk would end the
// body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	return append(append(b, data...), "\r\n"...)
}

// AppendLastChunk appends the end of a chunked body, without trailers.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }

// Framing is how the end of a body that is written in parts is marked.
type Framing int

const (
	FramedByLength Framing = iota // by Content-Length
	FramedByChunks                // by a chunk of size 0
	FramedByClose                 // by closing the connection
)

// AppendResponseHead appends the head of a response whose body the caller appends later. length is used with
// FramedByLength only; isClosing adds "Connection: close".
func AppendResponseHead(b []byte, status int, h Headers, length int64, framing Framing, isClosing bool) []byte {
	b = appendResponseStart(b, status, h, isClosing)
	switch framing {
	case FramedByLength:
		b = appendContentLength(b, length)
	case FramedByChunks:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(b, "\r\n"...)
}

// AppendResponse appends a whole response with its Content-Length. isClosing adds "Connection: close"; isHead leaves
// out the body, as for a response to a HEAD request.
func AppendResponse(b []byte, status int, h Headers, body []byte, isClosing, isHead bool) []byte {
	b = appendResponseStart(b, status, h, isClosing)
	b = append(appendContentLength(b, int64(len(body))), "\r\n"...)
	if isHead {
		return b
	}
	return append(b, body...)
}

// appendResponseStart appends the status line and the fields that do not belong to the framing of the body.
func appendResponseStart(b []byte, status int, h Headers, isClosing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, h)
	if isClosing {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// appendRequestStart appends the request line and the fields that do not belong to the framing of the body.
func appendRequestStart(b []byte, method, target, host string, h Headers) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	return appendHeaders(b, h)
}

// appendHeaders appends fields, each with its line end.
func appendHeaders(b []byte, h Headers) []byte {
	for i := range h {
		b = append(b, h[i].Name...)
		b = append(b, ": "...)
		b = append(b, h[i].Value...)
		b = append(b, "\r\n"...)
	}
	return b
}
