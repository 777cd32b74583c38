package http1

import (
	"fmt"
	"slices"
)

// RequestParserState is a request parser's, for another process to go on with: what was read, however much of a request
// that is. Whole requests that wait are among Buffered.
type RequestParserState struct {
	Buffered                             []byte
	Scanned                              int
	InBody                               bool
	Framing, BytesLeft, ChunkState       int
	Body                                 []byte
	TrailerBytes                         int
	Method, Target                       string
	Headers                              Headers
	Close, ExpectsContinue, HasStartLine bool
}

// State copies what the parser holds. A request of HTTP/1.0 is carried as one that closes, and one that closes is
// taken for such: its answer may end with the connection.
func (p *RequestParser) State() RequestParserState {
	s := RequestParserState{Buffered: slices.Clone(p.buf), Scanned: p.scanned, InBody: p.inBody, Framing: int(p.framing), BytesLeft: p.left,
		ChunkState: int(p.chunk), TrailerBytes: p.trail, ExpectsContinue: p.continues}
	if p.inBody {
		s.Body = slices.Clone(p.body)
	}
	if p.req != nil {
		s.HasStartLine = true
		s.Method, s.Target, s.Headers, s.Close = p.req.Method, p.req.Target, p.req.Headers, p.req.Close || p.req.IsHTTP10
	}
	return s
}

// RestoreRequestParser returns a parser that goes on where another stopped. A state that no parser can be in
// is an error: whoever sent it can't be trusted with the rest.
func RestoreRequestParser(s RequestParserState, headMost, bodyMost, keep int) (*RequestParser, error) {
	p := NewRequestParser(headMost, bodyMost, keep)
	if s.Scanned < 0 || s.Scanned > len(s.Buffered) || s.BytesLeft < 0 || s.BytesLeft > bodyMost || len(s.Body) > bodyMost ||
		s.InBody != s.HasStartLine || s.Framing < int(sized) || s.Framing > int(chunked) || s.TrailerBytes < 0 ||
		s.ChunkState < int(chunkSize) || s.ChunkState > int(chunkTrailer) {
		return nil, fmt.Errorf("http1: a parser can't be in this state")
	}
	p.room = slices.Clone(s.Buffered)
	p.buf, p.scanned, p.inBody, p.framing = p.room, s.Scanned, s.InBody, framing(s.Framing)
	p.left, p.chunk, p.trail, p.continues = s.BytesLeft, chunkState(s.ChunkState), s.TrailerBytes, s.ExpectsContinue
	p.body = slices.Clone(s.Body)
	if s.InBody {
		p.req = &Request{Method: s.Method, Target: s.Target, Headers: s.Headers, Close: s.Close, IsHTTP10: s.Close}
	}
	return p, nil
}
