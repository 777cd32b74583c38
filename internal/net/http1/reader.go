package http1

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
