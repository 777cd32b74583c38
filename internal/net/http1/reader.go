package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// bodyFraming is how the parser recognizes the end of a body. RequestParserState carries it to another process as a
// number, so the values must not change.
type bodyFraming int

const (
	lengthFraming  bodyFraming = iota // after Content-Length bytes, or at once if there is no body
	chunkedFraming                    // after the last chunk and its trailers
	closeFraming                      // when the connection is closed
)

// reader is the part that both parsers share: it buffers input and reads heads and bodies.
type reader struct {
	// maxHead bounds the start line with the fields, and the trailers; maxBody bounds the body. Both are in bytes.
	maxHead, maxBody int
	streamThreshold  int // a body of more bytes is streamed; 0: none is

	fieldText      string // the fields of the message that is being read
	storage        []byte // the memory that unparsed is a part of
	unparsed       []byte
	scanned        int  // bytes of unparsed known to contain no end of a head, or no end of a chunk line
	inBody         bool // the head has been read, the body is not complete
	bodyFraming    bodyFraming
	bytesLeft      int // still to be read of a body with a length, or of the current chunk without its CRLF
	nextChunkPart  chunkPart
	body           []byte
	bytesDelivered int  // bytes of a streamed body that were returned to the caller and that body no longer holds
	isStreaming    bool // the message has been returned, the rest of its body follows in parts
	isBodyComplete bool // the body was already complete when the streamed message was returned
	trailerBytes   int  // without their line ends
}

// chunkPart is the part of a chunked body that is read next. RequestParserState carries it to another process as a
// number, so the values must not change.
type chunkPart int

const (
	chunkSizeLine chunkPart = iota
	chunkData
	chunkDataEnd // the CRLF after the data
	chunkTrailers
)

// Feed copies received bytes into the parser: those of a body that is read whole to where it is collected, others to the
// unparsed ones. The space of parsed bytes is reclaimed only here. Reclaiming it after each message would move all later
// messages each time, and hundreds may be pipelined.
func (r *reader) Feed(b []byte) {
	if b = b[r.feedBody(b):]; len(b) == 0 {
		return
	}
	switch capacity := cap(r.storage); {
	case len(b) <= cap(r.unparsed)-len(r.unparsed):
		r.unparsed = append(r.unparsed, b...)
		return
	case len(r.unparsed)+len(b) > capacity:
		r.storage = make([]byte, 0, max(len(r.unparsed)+len(b), min(2*capacity, max(r.maxHead, capacity+capacity/4))))
	}
	r.unparsed = append(append(r.storage[:0], r.unparsed...), b...)
}

// feedBody appends the leading bytes of b to the body that is being read, if they are its next bytes and need no parsing.
// It returns how many they are.
func (r *reader) feedBody(b []byte) int {
	if !r.inBody || r.isStreaming || len(r.unparsed) > 0 ||
		r.bodyFraming != lengthFraming && (r.bodyFraming != chunkedFraming || r.nextChunkPart != chunkData) {
		return 0
	}
	n := min(r.bytesLeft, len(b))
	r.appendBody(b[:n])
	r.bytesLeft -= n
	return n
}

// appendBody appends bytes to the body. Its buffer grows to twice its size, but not beyond a length that is known.
func (r *reader) appendBody(b []byte) {
	if need := len(r.body) + len(b); need > cap(r.body) {
		capacity := max(need, 2*cap(r.body))
		if r.bodyFraming == lengthFraming {
			capacity = max(need, min(capacity, len(r.body)+r.bytesLeft))
		}
		r.body = append(make([]byte, 0, capacity), r.body...)
	}
	r.body = append(r.body, b...)
}

// maxIdleBuffer is the size in bytes up to which a buffer is kept while its connection is idle.
const maxIdleBuffer = 4 << 10

// ReleaseIdleBuffers frees buffers that a long message made larger than maxIdleBuffer. It is for a connection that
// becomes idle. The Body of the last message must not be used afterwards.
func (r *reader) ReleaseIdleBuffers() {
	if len(r.unparsed) == 0 && cap(r.storage) > maxIdleBuffer {
		r.storage, r.unparsed = nil, nil
	}
	if !r.inBody && cap(r.body) > maxIdleBuffer {
		r.body = nil
	}
}

// HeldBytes returns how much memory the parser holds for input.
func (r *reader) HeldBytes() int { return cap(r.storage) + cap(r.body) + len(r.fieldText) }

// ExpectedBodyBytes returns how much of the body that is being read will have been buffered before its message is returned:
// the most that it may be, if its length is not known. It is 0 if no body is being read, or one that is streamed.
func (r *reader) ExpectedBodyBytes() int {
	switch {
	case !r.inBody || r.isStreaming:
		return 0
	case r.bodyFraming == lengthFraming:
		return len(r.body) + r.bytesLeft
	}
	return max(r.streamThreshold, len(r.body))
}

// Reset discards all input and frees its buffers. It is for a connection whose input is not used any more.
func (r *reader) Reset() {
	r.storage, r.unparsed, r.body, r.fieldText = nil, nil, nil, ""
	r.scanned, r.inBody, r.isStreaming, r.bytesDelivered = 0, false, false, 0
}

// Buffered returns how many bytes were fed and are not parsed yet.
func (r *reader) Buffered() int { return len(r.unparsed) }

// DiscardBuffered discards the bytes that are not parsed yet and returns how many they were.
func (r *reader) DiscardBuffered() int {
	n := len(r.unparsed)
	r.consume(n)
	return n
}

// BodyBytesRead returns how many bytes of the current message's body have been read. It is 0 between two messages and
// while a head is being read, whatever the previous message had.
func (r *reader) BodyBytesRead() int {
	if !r.inBody {
		return 0
	}
	return r.bytesDelivered + len(r.body)
}

// IsStreamComplete reports whether the whole body of a streamed message has been read, so that NextBodyPart ends it without
// further input. Bytes that are still buffered then belong to the next message.
func (r *reader) IsStreamComplete() bool { return r.isStreaming && r.isBodyComplete }

// HasMessageStarted reports whether a message is being read or unparsed bytes remain.
func (r *reader) HasMessageStarted() bool { return r.inBody || len(r.unparsed) > 0 }

// consume removes the first n unparsed bytes.
func (r *reader) consume(n int) {
	if r.unparsed = r.unparsed[n:]; len(r.unparsed) == 0 {
		r.unparsed = r.storage[:0]
	}
	r.scanned = 0
}

// readHead returns the start line and the fields once the head is complete; until then ok is false. The head ends with
// two CRLF or with two bare line feeds; within it, lines may end with either. Empty lines before the start line are
// skipped. The text of the fields is kept for parseFields.
func (r *reader) readHead() (start string, h Headers, ok bool, err error) {
	for len(r.unparsed) > 0 && r.scanned == 0 && (r.unparsed[0] == '\r' || r.unparsed[0] == '\n') {
		r.consume(1)
	}
	from := max(0, r.scanned-3) // the separator may begin in the bytes scanned before
	end, separator := bytes.Index(r.unparsed[from:], []byte("\r\n\r\n")), 4
	if i := bytes.Index(r.unparsed[from:], []byte("\n\n")); i >= 0 && (end < 0 || i < end) {
		end, separator = i, 2
	}
	if end < 0 {
		r.scanned = len(r.unparsed)
		if len(r.unparsed) > r.maxHead {
			return "", nil, false, newParseError(431, "head over %d bytes", r.maxHead)
		}
		return "", nil, false, nil
	}
	if end += from; end > r.maxHead {
		return "", nil, false, newParseError(431, "head over %d bytes", r.maxHead)
	}
	text := string(r.unparsed[:end])
	r.consume(end + separator)
	if len(r.unparsed) == 0 && cap(r.storage) > maxIdleBuffer {
		r.storage, r.unparsed = nil, nil
	}
	start, r.fieldText, _ = strings.Cut(text, "\n")
	start = strings.TrimSuffix(start, "\r")
	h, err = r.parseFields()
	return start, h, err == nil, err
}

// parseFields returns the fields of the message that is being read. They may need many times the memory of their text, so
// they are not kept while the body is being received.
func (r *reader) parseFields() (Headers, error) {
	h := make(Headers, 0, strings.Count(r.fieldText, "\n")+1)
	for rest := r.fieldText; rest != ""; {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return nil, newParseError(400, "malformed header line")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\x00") {
			return nil, newParseError(400, "malformed header value")
		}
		h = append(h, Header{name, value})
	}
	return h, nil
}

// fieldsAgain parses the fields of the message that is being read once more. They were found to be well-formed.
func (r *reader) fieldsAgain() Headers {
	h, _ := r.parseFields()
	return h
}

// isToken reports whether s is an HTTP token. A field name with a space before the colon or at the start is none: such
// names are used for request smuggling.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// startBody determines from the fields how the body ends, and resets the state of the body. Without a declared length or
// chunks, the body lasts until the connection is closed if readsUntilClose; otherwise there is none. A message with both
// a length and a transfer coding, or with two different lengths, is an error, because another recipient may choose the
// other one. So is a length of 2^31 bytes or more.
func (r *reader) startBody(h Headers, readsUntilClose bool) error {
	r.inBody, r.body, r.bytesLeft, r.nextChunkPart, r.trailerBytes, r.bytesDelivered, r.isStreaming, r.isBodyComplete =
		true, r.body[:0], 0, chunkSizeLine, 0, 0, false, false
	r.bodyFraming = lengthFraming
	length, isChunked := "", false
	for i := range h {
		switch {
		case strings.EqualFold(h[i].Name, "Content-Length"):
			if length != "" && length != h[i].Value {
				return newParseError(400, "two lengths")
			}
			length = h[i].Value
		case strings.EqualFold(h[i].Name, "Transfer-Encoding"):
			if isChunked || !strings.EqualFold(h[i].Value, "chunked") {
				return newParseError(400, "transfer coding %q", h[i].Value)
			}
			isChunked = true
		}
	}
	switch {
	case isChunked && length != "":
		return newParseError(400, "a length and a transfer coding")
	case isChunked:
		r.bodyFraming = chunkedFraming
	case length != "":
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil || length[0] == '+' {
			return newParseError(400, "malformed length")
		}
		if int(n) > r.maxBody {
			return newParseError(413, "body over %d bytes", r.maxBody)
		}
		r.bytesLeft = int(n)
	case readsUntilClose:
		r.bodyFraming = closeFraming
	}
	return nil
}

// readBody moves the available bytes of the body from unparsed to body and reports whether the body is complete. Chunk
// extensions and trailers are discarded. A body with closeFraming is never complete here: only the end of the connection
// completes it.
func (r *reader) readBody() (bool, error) {
	switch r.bodyFraming {
	case lengthFraming:
		r.moveToBody()
		return r.bytesLeft == 0, nil
	case closeFraming:
		r.bytesLeft = len(r.unparsed)
		r.moveToBody()
		if r.bytesDelivered+len(r.body) > r.maxBody {
			return false, newParseError(413, "body over %d bytes", r.maxBody)
		}
		return false, nil
	}
	for {
		switch r.nextChunkPart {
		case chunkData:
			if r.moveToBody(); r.bytesLeft > 0 {
				return false, nil
			}
			r.nextChunkPart = chunkDataEnd
		default:
			line, ok, err := r.readChunkLine()
			if !ok || err != nil {
				return false, err
			}
			switch r.nextChunkPart {
			case chunkDataEnd:
				if line != "" {
					return false, newParseError(400, "malformed end of a chunk")
				}
				r.nextChunkPart = chunkSizeLine
			case chunkTrailers:
				if r.trailerBytes += len(line); r.trailerBytes > r.maxHead {
					return false, newParseError(431, "trailers over %d bytes", r.maxHead)
				}
				if line == "" {
					return true, nil
				}
			case chunkSizeLine:
				digits, _, _ := strings.Cut(line, ";")
				digits = strings.TrimRight(digits, " \t")
				n, err := strconv.ParseUint(digits, 16, 31)
				if err != nil || digits[0] == '+' {
					return false, newParseError(400, "malformed size of a chunk")
				}
				if r.bytesDelivered+len(r.body)+int(n) > r.maxBody {
					return false, newParseError(413, "body over %d bytes", r.maxBody)
				}
				if r.bytesLeft, r.nextChunkPart = int(n), chunkData; n == 0 {
					r.nextChunkPart = chunkTrailers
				}
			}
		}
	}
}

// moveToBody moves up to bytesLeft bytes from unparsed to body.
func (r *reader) moveToBody() {
	n := min(r.bytesLeft, len(r.unparsed))
	r.appendBody(r.unparsed[:n])
	r.bytesLeft -= n
	r.consume(n)
}

// readChunkLine returns the next line of a chunked body without its CRLF; until it is complete it returns false.
func (r *reader) readChunkLine() (string, bool, error) {
	i := bytes.IndexByte(r.unparsed[r.scanned:], '\n')
	if i < 0 {
		if r.scanned = len(r.unparsed); r.scanned > 4096 {
			return "", false, newParseError(400, "line of a chunk over 4096 bytes")
		}
		return "", false, nil
	}
	line, ok := strings.CutSuffix(string(r.unparsed[:r.scanned+i]), "\r")
	if !ok { // recipients differ on whether a bare line feed ends a chunk line, so they would see different messages
		return "", false, newParseError(400, "line of a chunk without CR")
	}
	r.consume(r.scanned + i + 1)
	return line, true, nil
}

// shouldStream reports whether the body that is being read is known to be longer than streamThreshold, so that its
// message is to be returned before the body is complete.
func (r *reader) shouldStream() bool {
	return r.streamThreshold > 0 && !r.isStreaming && (len(r.body) > r.streamThreshold ||
		r.bodyFraming == lengthFraming && r.bytesLeft+len(r.body) > r.streamThreshold)
}

// contentLength returns the length of the whole body in bytes, -1 if it is not known in advance.
func (r *reader) contentLength() int64 {
	if r.bodyFraming != lengthFraming {
		return -1
	}
	return int64(r.bytesDelivered + len(r.body) + r.bytesLeft)
}

// NextBodyPart returns the bytes of a streamed body that arrived since the message or the previous part was returned, and
// whether they end the body. They are valid until the next call of the parser. The error is a *ParseError.
func (r *reader) NextBodyPart() (b []byte, isLast bool, err error) {
	r.bytesDelivered += len(r.body)
	r.body = r.body[:0]
	if isLast = r.isBodyComplete; !isLast {
		isLast, err = r.readBody()
	}
	if isLast {
		r.inBody, r.isStreaming = false, false
	}
	return r.body, isLast, err
}

// TakeRawBody lets received bytes that were not fed bypass the parser. It returns how many leading bytes of b are the
// next bytes of a streamed body and counts them as returned; the caller passes these on itself and feeds the rest. It
// returns 0 if the bytes have to be parsed, as those of a chunked body. Bytes beyond the size limit of the body are not
// taken, so that NextBodyPart reports the error.
func (r *reader) TakeRawBody(b []byte) (n int) {
	if !r.isStreaming || r.isBodyComplete || len(r.unparsed) > 0 || r.bodyFraming == chunkedFraming {
		return 0
	}
	if n = len(b); r.bodyFraming == lengthFraming {
		n = min(n, r.bytesLeft)
		r.bytesLeft -= n
	}
	if n = min(n, r.maxBody-r.bytesDelivered-len(r.body)); n < 0 {
		return 0
	}
	r.bytesDelivered += n
	return n
}

// ReleaseBodyBuffers frees the buffers between two parts of a streamed body, as far as they hold no unparsed bytes. The
// part returned last must not be used afterwards.
func (r *reader) ReleaseBodyBuffers() {
	if len(r.unparsed) == 0 && r.scanned == 0 {
		r.storage, r.unparsed = nil, nil
	}
	r.bytesDelivered += len(r.body)
	r.body = nil
}
