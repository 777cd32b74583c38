package discovery

import (
	"bytes"
	"errors"
)

// frames cuts what a watch brings into messages. A message is one JSON object, on a line of its own or indented
// over many; an empty line between two is a sign of life. What was cut short shows by an empty line within it, by
// a line that ends within a text, or by another message that begins within it.
type frames struct {
	buf           []byte
	at            int // looked at so far
	depth         int // of brackets that are open
	text, escaped bool
}

var (
	errCut     = errors.New("a message that was cut short")
	errNoStart = errors.New("what is no JSON object")
)

func (f *frames) feed(b []byte) {
	if len(f.buf) == 0 {
		f.buf = nil // what is left behind a long message holds all of its memory
	}
	f.buf = append(f.buf, b...)
}

// waiting is how many bytes are of a message that is not whole.
func (f *frames) waiting() int { return len(f.buf) }

// next returns the next message, good until the next feed: nil, more has to come; empty, a sign of life.
func (f *frames) next() ([]byte, error) {
	for ; f.at < len(f.buf); f.at++ {
		c := f.buf[f.at]
		switch {
		case f.text:
			switch {
			case f.escaped:
				f.escaped = false
			case c == '\\':
				f.escaped = true
			case c == '"':
				f.text = false
			case c == '\n':
				return nil, errCut
			}
		case c == '\n' && f.depth == 0:
			f.buf, f.at = f.buf[f.at+1:], 0
			return []byte{}, nil
		case c == '\n':
			line, first := f.line()
			if len(line) == 0 || !first && bytes.HasPrefix(line, another) {
				return nil, errCut
			}
		case c == '"' && f.depth > 0:
			f.text = true
		case c == '{', c == '[' && f.depth > 0:
			f.depth++
		case (c == '}' || c == ']') && f.depth > 0:
			if f.depth--; f.depth == 0 {
				message := f.buf[:f.at+1]
				f.buf, f.at = f.buf[f.at+1:], 0
				return bytes.TrimSpace(message), nil
			}
		case f.depth == 0 && c != ' ' && c != '\t' && c != '\r':
			return nil, errNoStart
		}
	}
	return nil, nil
}

// another begins a message; entries have no version.
var another = []byte(`{"version"`)

// line is the line that ends where is looked at, and whether it is the message's first.
func (f *frames) line() (line []byte, first bool) {
	begin := bytes.LastIndexByte(f.buf[:f.at], '\n')
	return bytes.TrimSpace(f.buf[begin+1 : f.at]), begin < 0
}
