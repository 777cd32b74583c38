// Package http1 parses and formats HTTP/1.1 messages; its parsers also read HTTP/1.0. The parsers accept input split at
// any byte and do not scan the same input again for each piece, so their cost is linear. A message with a long body is
// streamed: the parser returns it with the beginning of its body, and NextBodyPart returns the rest as it arrives. Each
// parser belongs to one connection and is not safe for concurrent use. The package does no I/O.
package http1

import (
	"fmt"
	"strings"

	"ferryfront.example/ferryfront/internal/net/flow"
)

// Header is one header field, its name spelled as received, its value without the spaces and tabs around it.
type Header struct{ Name, Value string }

// Headers are the fields of a message in their order. Names are compared without regard to case.
type Headers []Header

// Get returns the value of the first field of that name, "" if there is none.
func (h Headers) Get(name string) string {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns how many fields have that name.
func (h Headers) Count(name string) (n int) {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// hasToken reports whether any field of that name contains a token in its comma-separated list. Names and tokens are
// compared without regard to case.
func (h Headers) hasToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for t := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// ParseError is the error of a malformed, oversized or unsupported message. The parser can't be used after it. The
// fronts send Reason to clients as the body of the local reply, so its texts must not change.
type ParseError struct {
	Status int    // the HTTP status for a local reply to the message
	Reason string // one line without a line end
}

func (e *ParseError) Error() string { return e.Reason }

func newParseError(status int, format string, args ...any) error {
	return &ParseError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Request is a parsed request. If IsStreamed, only its head and the beginning of its body were read.
type Request struct {
	Method, Target string
	Headers        Headers
	HeadBytes      int        // length of the text that the strings of Headers are parts of
	Body           []byte     // the caller's to keep, unless IsStreamed: then valid until the next call of the parser
	Close          bool       // the client wants the connection to be closed after the response
	IsHTTP10       bool       // the protocol is HTTP/1.0, which has no chunked bodies
	IsStreamed     bool       // Body is only the beginning; NextBodyPart returns the rest
	ContentLength  int64      // of the whole body in bytes, -1 if it is not known in advance
	BodyPipe       *flow.Pipe // the body of a streamed request, set by the owner of the connection; nil otherwise
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a parsed response. If IsStreamed, only its head and the beginning of its body were read.
type Response struct {
	Status        int
	Headers       Headers
	Body          []byte // valid until the next call of the parser
	Close         bool   // the connection can't be reused after the response
	IsStreamed    bool   // Body is only the beginning; NextBodyPart returns the rest
	ContentLength int64  // of the whole body in bytes, -1 if it is not known in advance
}
