package http1

import (
	"fmt"
	"slices"
)

// RequestParserState is the state of a RequestParser, for another process that continues its connection. It can be taken
// after any byte of a request. Requests that are complete and not parsed yet are in Buffered.
type RequestParserState struct {
	Buffered []byte // fed and not parsed yet
	Scanned  int    // bytes of Buffered known to contain no end of a head, or no end of a chunk line
	InBody   bool   // a head has been read, its body is not complete; the fields below belong to that request

	// Framing is a bodyFraming, ChunkState a chunkPart. BytesLeft counts the bytes that are still to be read of a body
	// with a length, or of the current chunk.
	Framing, BytesLeft, ChunkState int
	Body                           []byte // what has been read of the body
	TrailerBytes                   int    // read so far, without line ends
	Method, Target                 string
	Headers                        Headers
	// HasStartLine says that Method, Target, Headers and Close are set; it equals InBody in any valid state.
	Close, ExpectsContinue, HasStartLine bool
}

// State returns a copy of the parser's state. One that is taken in the middle of a streamed body can't be restored. The
// state has no protocol version: a request with HTTP/1.0 is stored with Close, and one with Close is restored as
// HTTP/1.0, because the response to either may end with the connection.
func (p *RequestParser) State() RequestParserState {
	s := RequestParserState{Buffered: slices.Clone(p.unparsed), Scanned: p.scanned, InBody: p.inBody,
		Framing: int(p.bodyFraming), BytesLeft: p.bytesLeft,
		ChunkState: int(p.nextChunkPart), TrailerBytes: p.trailerBytes, ExpectsContinue: p.expectsContinue}
	if p.inBody {
		s.Body = slices.Clone(p.body)
	}
	if p.request != nil {
		s.HasStartLine = true
		s.Method, s.Target, s.Headers, s.Close =
			p.request.Method, p.request.Target, p.request.Headers, p.request.Close || p.request.IsHTTP10
		if s.Headers == nil {
			s.Headers = p.fieldsAgain()
		}
	}
	return s
}

// RestoreRequestParser returns a parser that continues from a state; the sizes are those of NewRequestParser. It
// returns an error for a state in the middle of a streamed body, and for one that no parser can be in: the rest of what
// its sender sent can't be trusted either.
func RestoreRequestParser(s RequestParserState, maxHead, maxBody, streamThreshold int) (*RequestParser, error) {
	p := NewRequestParser(maxHead, maxBody, streamThreshold)
	if s.Scanned < 0 || s.Scanned > len(s.Buffered) || s.BytesLeft < 0 || s.BytesLeft > maxBody || len(s.Body) > maxBody ||
		s.InBody != s.HasStartLine || s.Framing < int(lengthFraming) || s.Framing > int(chunkedFraming) ||
		s.TrailerBytes < 0 ||
		s.ChunkState < int(chunkSizeLine) || s.ChunkState > int(chunkTrailers) {
		return nil, fmt.Errorf("http1: inconsistent state of a request parser")
	}
	p.storage = slices.Clone(s.Buffered)
	p.unparsed, p.scanned, p.inBody, p.bodyFraming = p.storage, s.Scanned, s.InBody, bodyFraming(s.Framing)
	p.bytesLeft, p.nextChunkPart, p.trailerBytes, p.expectsContinue =
		s.BytesLeft, chunkPart(s.ChunkState), s.TrailerBytes, s.ExpectsContinue
	p.body = slices.Clone(s.Body)
	if s.InBody {
		p.request = &Request{Method: s.Method, Target: s.Target, Close: s.Close, IsHTTP10: s.Close}
		p.fieldText = string(appendHeaders(nil, s.Headers))
	}
	return p, nil
}
