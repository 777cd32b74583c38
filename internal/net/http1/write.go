package http1

import (
	"net/http"
	"strconv"
)

// AppendRequest appends a request. A body goes with its length, as does the empty one of a method
// that usually has one.
func AppendRequest(b []byte, method, target, host string, h Headers, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, h)
	if len(body) > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// AppendResponse appends a response with its length. The body of an answer to HEAD is left out.
func AppendResponse(b []byte, status int, h Headers, body []byte, closing, head bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, h)
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	if head {
		return b
	}
	return append(b, body...)
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
