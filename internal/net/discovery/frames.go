package discovery

import (
	"bytes"
	"errors"
)

// framer cuts what a watch brings into messages. A message is one JSON object, on a line of its own or indented
// over many; an empty line between two is a sign of life. What was cut short shows by an empty line within it, by
// a line that ends within a text, or by another message that begins within it.
type framer struct {
	buf                 []byte
	pos                 int // looked at so far
	depth               int // of brackets that are open
	inString, isEscaped bool
}

var (
	errTruncated = errors.New("a message that was cut short")
	errNotObject = errors.New("what is no JSON object")
)

func (f *framer) feed(b []byte) {
	if len(f.buf) == 0 {
		f.buf = nil // what is left behind a long message holds all of its memory
	}
	f.buf = append(f.buf, b...)
}

// buffered is how many bytes are of a message that is not whole.
func (f *framer) buffered() int { return len(f.buf) }

// next returns the next message, good until the next feed: nil, more has to come; empty, a sign of life.
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
			if len(line) == 0 || !first && bytes.HasPrefix(line, versionPrefix) {
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

// versionPrefix begins a message; entries have no version.
var versionPrefix = []byte(`{"version"`)

// line is the line that ends where is looked at, and whether it is the message's first.
func (f *framer) line() (line []byte, first bool) {
	begin := bytes.LastIndexByte(f.buf[:f.pos], '\n')
	return bytes.TrimSpace(f.buf[begin+1 : f.pos]), begin < 0
}
