// Package http1 reads and writes HTTP/1.1 messages. Its parsers take bytes in any
// split and never scan the same byte twice.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"ferryfront.example/ferryfront/internal/net/flow"
)

// Header is one header field as it stood.
type Header struct{ Name, Value string }

// Headers are a message's fields in order.
type Headers []Header

// Get returns the first value of a field, "" where it is absent.
func (h Headers) Get(name string) string {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count tells how often a field is there.
func (h Headers) Count(name string) (n int) {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// hasToken tells whether a list field holds a token.
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

// A ParseError says what is wrong with a message, and the status that answers it.
type ParseError struct {
	Status int
	Reason string
}

func (e *ParseError) Error() string { return e.Reason }

func bad(status int, format string, args ...any) error {
	return &ParseError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Request is one request: whole, or, if Open, with a body of which more comes.
type Request struct {
	Method, Target string
	Headers        Headers
	Body           []byte     // good until the parser's next call
	Close          bool       // the client wants the connection closed after the answer
	IsHTTP10       bool       // HTTP/1.0: it knows no chunks
	IsStreamed     bool       // Body is only its beginning; see Pull
	ContentLength  int64      // of the whole body, -1 where it is not told ahead
	BodyPipe       *flow.Pipe // what comes after Body, put there by who reads it; nil unless Open
}

// Path is the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is one response: whole, or, if Open, with a body of which more comes.
type Response struct {
	Status        int
	Headers       Headers
	Body          []byte // good until the parser's next call
	Close         bool   // the connection ends with it
	IsStreamed    bool   // Body is only its beginning; see Pull
	ContentLength int64  // of the whole body, -1 where it is not told ahead
}

// framing is how the end of a body is told.
type framing int

const (
	sized framing = iota
	chunked
	untilClose
)

// reader holds what both parsers share: the buffer, the head and the body.
type reader struct {
	headMost, bodyMost int
	keep               int // of a body: one that is longer is handed on open; 0: none is

	room    []byte // what buf is a part of
	buf     []byte // not parsed yet
	scanned int    // bytes of buf known to hold no end of a head, or no end of a line
	inBody  bool   // the head has been read
	framing framing
	left    int // of a sized body, or of the present chunk, which ends with CRLF
	chunk   chunkState
	body    []byte
	passed  int // bytes of a body that is open which have been pulled
	open    bool
	ended   bool // all of an open body has been read already
	trail   int  // bytes of trailers
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// Feed appends bytes that have come. What has been parsed is left behind only here, and not with each
// message: of hundreds that were sent ahead, each would move all the others.
func (r *reader) Feed(b []byte) {
	switch most := cap(r.room); {
	case len(b) <= cap(r.buf)-len(r.buf):
		r.buf = append(r.buf, b...)
		return
	case len(r.buf)+len(b) > most:
		r.room = make([]byte, 0, max(len(r.buf)+len(b), 2*most))
	}
	r.buf = append(append(r.room[:0], r.buf...), b...)
}

// keepMost is what a connection may keep of its buffers while it is idle.
const keepMost = 4 << 10

// ReleaseIdleBuffers lets go of what a long message needed. It is for a connection that goes idle, and ends the use of
// the last message's body.
func (r *reader) ReleaseIdleBuffers() {
	if len(r.buf) == 0 && cap(r.room) > keepMost {
		r.room, r.buf = nil, nil
	}
	if !r.inBody && cap(r.body) > keepMost {
		r.body = nil
	}
}

// Buffered tells how many bytes wait to be parsed.
func (r *reader) Buffered() int { return len(r.buf) }

// DiscardBuffered lets go of what waits to be parsed, and tells how much that was.
func (r *reader) DiscardBuffered() int {
	n := len(r.buf)
	r.take(n)
	return n
}

// BodyBytesRead tells how many bytes of the present message's body have been read.
func (r *reader) BodyBytesRead() int { return r.passed + len(r.body) }

// HasMessageStarted tells whether part of a message has come.
func (r *reader) HasMessageStarted() bool { return r.inBody || len(r.buf) > 0 }

func (r *reader) take(n int) {
	if r.buf = r.buf[n:]; len(r.buf) == 0 {
		r.buf = r.room[:0]
	}
	r.scanned = 0
}

// head returns the start line and the fields once all of them have come.
func (r *reader) head() (start string, h Headers, ok bool, err error) {
	for len(r.buf) > 0 && r.scanned == 0 && (r.buf[0] == '\r' || r.buf[0] == '\n') {
		r.take(1) // empty lines before a message are to be passed over
	}
	from := max(0, r.scanned-3)
	end, size := bytes.Index(r.buf[from:], []byte("\r\n\r\n")), 4
	if i := bytes.Index(r.buf[from:], []byte("\n\n")); i >= 0 && (end < 0 || i < end) {
		end, size = i, 2
	}
	if end < 0 {
		r.scanned = len(r.buf)
		if len(r.buf) > r.headMost {
			return "", nil, false, bad(431, "head over %d bytes", r.headMost)
		}
		return "", nil, false, nil
	}
	if end += from; end > r.headMost {
		return "", nil, false, bad(431, "head over %d bytes", r.headMost)
	}
	text := string(r.buf[:end])
	r.take(end + size)
	start, rest, _ := strings.Cut(text, "\n")
	start = strings.TrimSuffix(start, "\r")
	h = make(Headers, 0, 12)
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		name, value, found := strings.Cut(line, ":")
		if !found || !token(name) {
			return "", nil, false, bad(400, "malformed header line")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\x00") {
			return "", nil, false, bad(400, "malformed header value")
		}
		h = append(h, Header{name, value})
	}
	return start, h, true, nil
}

// token: a name with a blank before its colon, or that begins with one, is the stuff of smuggling.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// frame reads from the fields how the body ends. Two ways at once, or two lengths, are refused:
// whoever else reads the message may choose the other.
func (r *reader) frame(h Headers, closes bool) error {
	r.inBody, r.body, r.left, r.chunk, r.trail, r.passed, r.open, r.ended = true, r.body[:0], 0, chunkSize, 0, 0, false, false
	r.framing = sized
	length, coded := "", false
	for i := range h {
		switch {
		case strings.EqualFold(h[i].Name, "Content-Length"):
			if length != "" && length != h[i].Value {
				return bad(400, "two lengths")
			}
			length = h[i].Value
		case strings.EqualFold(h[i].Name, "Transfer-Encoding"):
			if coded || !strings.EqualFold(h[i].Value, "chunked") {
				return bad(400, "transfer coding %q", h[i].Value)
			}
			coded = true
		}
	}
	switch {
	case coded && length != "":
		return bad(400, "a length and a transfer coding")
	case coded:
		r.framing = chunked
	case length != "":
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil || length[0] == '+' {
			return bad(400, "malformed length")
		}
		if int(n) > r.bodyMost {
			return bad(413, "body over %d bytes", r.bodyMost)
		}
		r.left = int(n)
	case closes:
		r.framing = untilClose
	}
	return nil
}

// more moves what has come of the body into r.body and tells whether that was all of it.
func (r *reader) more() (bool, error) {
	switch r.framing {
	case sized:
		r.move()
		return r.left == 0, nil
	case untilClose:
		r.left = len(r.buf)
		r.move()
		if r.passed+len(r.body) > r.bodyMost {
			return false, bad(413, "body over %d bytes", r.bodyMost)
		}
		return false, nil
	}
	for {
		switch r.chunk {
		case chunkData:
			if r.move(); r.left > 0 {
				return false, nil
			}
			r.chunk = chunkEnd
		default:
			line, ok, err := r.line()
			if !ok || err != nil {
				return false, err
			}
			switch r.chunk {
			case chunkEnd:
				if line != "" {
					return false, bad(400, "malformed end of a chunk")
				}
				r.chunk = chunkSize
			case chunkTrailer:
				if r.trail += len(line); r.trail > r.headMost {
					return false, bad(431, "trailers over %d bytes", r.headMost)
				}
				if line == "" {
					return true, nil
				}
			case chunkSize:
				digits, _, _ := strings.Cut(line, ";")
				digits = strings.TrimRight(digits, " \t")
				n, err := strconv.ParseUint(digits, 16, 31)
				if err != nil || digits[0] == '+' {
					return false, bad(400, "malformed size of a chunk")
				}
				if r.passed+len(r.body)+int(n) > r.bodyMost {
					return false, bad(413, "body over %d bytes", r.bodyMost)
				}
				if r.left, r.chunk = int(n), chunkData; n == 0 {
					r.chunk = chunkTrailer
				}
			}
		}
	}
}

func (r *reader) move() {
	n := min(r.left, len(r.buf))
	r.body = append(r.body, r.buf[:n]...)
	r.left -= n
	r.take(n)
}

func (r *reader) line() (string, bool, error) {
	i := bytes.IndexByte(r.buf[r.scanned:], '\n')
	if i < 0 {
		if r.scanned = len(r.buf); r.scanned > 4096 {
			return "", false, bad(400, "line of a chunk over 4096 bytes")
		}
		return "", false, nil
	}
	line, ok := strings.CutSuffix(string(r.buf[:r.scanned+i]), "\r")
	if !ok { // some take a bare line feed for the end of a chunk's line and some do not: two messages for one
		return "", false, bad(400, "line of a chunk without CR")
	}
	r.take(r.scanned + i + 1)
	return line, true, nil
}

// long tells whether the body that is being read is not to be waited for.
func (r *reader) long() bool {
	return r.keep > 0 && !r.open && (len(r.body) > r.keep || r.framing == sized && r.left+len(r.body) > r.keep)
}

// length is that of the whole body, -1 where it is not told ahead.
func (r *reader) length() int64 {
	if r.framing != sized {
		return -1
	}
	return int64(r.passed + len(r.body) + r.left)
}

// NextBodyPart takes what has come of an open body since the last call, and tells whether that was the end of it.
func (r *reader) NextBodyPart() (b []byte, whole bool, err error) {
	r.passed += len(r.body)
	r.body = r.body[:0]
	if whole = r.ended; !whole {
		whole, err = r.more()
	}
	if whole {
		r.inBody, r.open = false, false
	}
	return r.body, whole, err
}

// TakeRawBody tells how many of these bytes, which have come and were not fed, are the next of an open body: all that need
// not be looked at. They are taken for pulled.
func (r *reader) TakeRawBody(b []byte) (n int) {
	if !r.open || r.ended || len(r.buf) > 0 || r.framing == chunked {
		return 0
	}
	if n = len(b); r.framing == sized {
		n = min(n, r.left)
		r.left -= n
	}
	if n = min(n, r.bodyMost-r.passed-len(r.body)); n < 0 {
		return 0
	}
	r.passed += n
	return n
}

// ReleaseBodyBuffers lets go of what an open body's pieces needed, between two of them.
func (r *reader) ReleaseBodyBuffers() {
	if len(r.buf) == 0 && r.scanned == 0 {
		r.room, r.buf = nil, nil
	}
	r.passed += len(r.body)
	r.body = nil
}

// RequestParser reads the requests of one connection.
type RequestParser struct {
	reader
	req       *Request
	continues bool
}

// NewRequestParser bounds heads and bodies. A body longer than keep is handed on while it comes; 0: none is.
func NewRequestParser(headMost, bodyMost, keep int) *RequestParser {
	return &RequestParser{reader: reader{headMost: headMost, bodyMost: bodyMost, keep: keep}}
}

// Next returns the next request, or nil as long as there is none. After an open one, Pull goes on until its end.
func (p *RequestParser) Next() (*Request, error) {
	if !p.inBody {
		start, h, ok, err := p.head()
		if !ok || err != nil {
			return nil, err
		}
		method, rest, _ := strings.Cut(start, " ")
		target, proto, _ := strings.Cut(rest, " ")
		if !token(method) || target == "" || strings.ContainsAny(target, " \t") {
			return nil, bad(400, "malformed request line")
		}
		if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
			return nil, bad(400, "protocol %q", proto)
		}
		if err := p.frame(h, false); err != nil {
			return nil, err
		}
		p.req = &Request{Method: method, Target: target, Headers: h, IsHTTP10: proto == "HTTP/1.0", Close: h.hasToken("Connection", "close") ||
			proto == "HTTP/1.0" && !h.hasToken("Connection", "keep-alive")}
		p.continues = proto == "HTTP/1.1" && strings.EqualFold(h.Get("Expect"), "100-continue")
	}
	whole, err := p.more()
	if err != nil || !whole && !p.long() {
		return nil, err
	}
	req := p.req
	p.req, req.Body, req.ContentLength = nil, p.body, p.length()
	if p.long() { // also if it came in one piece: what is long does not depend on how it was cut
		p.open, p.ended, req.IsStreamed = true, whole, true
	} else {
		p.inBody, p.continues = false, false
	}
	return req, nil
}

// TakeExpectContinue tells, once for each request, that its client waits for a "100 Continue" before it
// sends the body.
func (p *RequestParser) TakeExpectContinue() bool {
	want := p.continues && p.inBody
	p.continues = false
	return want
}
