package discovery

import (
	"bytes"
	"errors"
)

// framer splits the body of a watch's response into messages. A message is one JSON object, on one line or spread over
// many. An empty line between messages is a keepalive. A truncated message is recognized by an empty line within it, by a
// line that ends within a string, or by the beginning of another message on a later line of it.
type framer struct {
	buf                 []byte // from the beginning of the next message on
	pos                 int    // bytes of buf already scanned
	depth               int    // brackets open at pos
	inString, isEscaped bool   // state at pos
}

var (
	errTruncated = errors.New("message is truncated")
	errNotObject = errors.New("message is not a JSON object")
)

// feed appends received bytes.
func (f *framer) feed(b []byte) {
	if len(f.buf) == 0 {
		f.buf = nil // after a long message the slice still holds all of its memory
	}
	f.buf = append(f.buf, b...)
}

// buffered returns the number of bytes that belong to no complete message yet.
func (f *framer) buffered() int { return len(f.buf) }

// next returns the next message, valid until the next feed; an empty slice for a keepalive; nil if more bytes are needed.
// After errTruncated or errNotObject the rest of the input can't be split into messages.
func (f *framer) next() ([]byte, error) {
	for ; f.pos < len(f.buf); f.pos++ {
		c := f.buf[f.pos]
		switch {
		case f.inString:
			switch {
			case f.isEscaped:
				f.isEscaped = false
			case c == '\\':
				f.isEscaped = true
			case c == '"':
				f.inString = false
			case c == '\n':
				return nil, errTruncated
			}
		case c == '\n' && f.depth == 0:
			f.buf, f.pos = f.buf[f.pos+1:], 0
			return []byte{}, nil
		case c == '\n':
			line, first := f.line()
			if len(line) == 0 || !first && bytes.HasPrefix(line, messagePrefix) {
				return nil, errTruncated
			}
		case c == '"' && f.depth > 0:
			f.inString = true
		case c == '{', c == '[' && f.depth > 0:
			f.depth++
		case (c == '}' || c == ']') && f.depth > 0:
			if f.depth--; f.depth == 0 {
				message := f.buf[:f.pos+1]
				f.buf, f.pos = f.buf[f.pos+1:], 0
				return bytes.TrimSpace(message), nil
			}
		case f.depth == 0 && c != ' ' && c != '\t' && c != '\r':
			return nil, errNotObject
		}
	}
	return nil, nil
}

// messagePrefix is how a message on one line begins. No line of a host entry begins with it, as entries have no version.
var messagePrefix = []byte(`{"version"`)

// line returns the line that ends at pos, without surrounding space, and whether it is the first line of its message.
func (f *framer) line() (line []byte, first bool) {
	begin := bytes.LastIndexByte(f.buf[:f.pos], '\n')
	return bytes.TrimSpace(f.buf[begin+1 : f.pos]), begin < 0
}
