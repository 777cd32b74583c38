package http1

import (
	"bytes"
	"strconv"
	"strings"
)

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
