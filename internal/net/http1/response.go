package http1

import (
	"strconv"
	"strings"
)

// ResponseParser parses the responses of one connection.
type ResponseParser struct {
	reader
	response *Response // its head has been read, its body is not complete; nil once returned
}

// NewResponseParser returns a parser that refuses heads and bodies over the given sizes. If a body is longer than
// streamThreshold, a response with status 200 is streamed, and any other response is returned with only the beginning of
// its body; with 0 all bodies are read in full. All sizes are in bytes.
func NewResponseParser(maxHead, maxBody, streamThreshold int) *ResponseParser {
	return &ResponseParser{reader: reader{maxHead: maxHead, maxBody: maxBody, streamThreshold: streamThreshold}}
}

// Next returns the next response, or nil if more input is needed. Interim responses (status below 200) are skipped.
// After a streamed response, NextBodyPart must be called until its end before Next. A response that is returned without
// the rest of its body has Close set, and the parser can't be used after it. The error is a *ParseError.
func (p *ResponseParser) Next() (*Response, error) {
	for !p.inBody {
		start, h, ok, err := p.readHead()
		if !ok || err != nil {
			return nil, err
		}
		proto, rest, _ := strings.Cut(start, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
			return nil, newParseError(502, "malformed status line")
		}
		if status < 200 {
			continue
		}
		if err := p.startBody(h, status != 204 && status != 304); err != nil {
			return nil, err
		}
		if status == 204 || status == 304 {
			p.bodyFraming, p.bytesLeft = lengthFraming, 0
		}
		p.response = &Response{Status: status, Headers: h, Close: p.bodyFraming == closeFraming ||
			h.hasToken("Connection", "close") || proto == "HTTP/1.0" && !h.hasToken("Connection", "keep-alive")}
	}
	isComplete, err := p.readBody()
	switch {
	case err != nil:
		return nil, err
	case isComplete:
		return p.finishResponse(), nil
	case p.shouldStream() && p.response.Status != 200:
		// The rest of the body is not needed, and reading it only to keep the connection is not worthwhile.
		p.response.Close = true
		return p.finishResponse(), nil
	case p.shouldStream():
		return p.StartStreaming(), nil
	}
	p.response.Headers = nil
	return nil, nil
}

// StartStreaming returns the response that is being read as a streamed one, whatever the length of its body so far. It
// is for a body of unknown length, see HasUnknownLength. It returns nil if the head is not complete or the response is
// streamed already.
func (p *ResponseParser) StartStreaming() *Response {
	if p.response == nil || p.isStreaming {
		return nil
	}
	response := p.takeResponse()
	p.isStreaming = true
	response.Body, response.IsStreamed, response.ContentLength = p.body, true, p.contentLength()
	return response
}

// HasUnknownLength reports whether a response with status 200 is being read that is not streamed yet and whose body's
// length is not known in advance.
func (p *ResponseParser) HasUnknownLength() bool {
	return p.inBody && !p.isStreaming && p.bodyFraming != lengthFraming && p.response != nil && p.response.Status == 200
}

// finishResponse returns the response that is being read with what has been read of its body.
func (p *ResponseParser) finishResponse() *Response {
	response := p.takeResponse()
	response.ContentLength = p.contentLength()
	p.inBody, response.Body = false, p.body
	return response
}

// takeResponse returns the response that is being read, with its fields.
func (p *ResponseParser) takeResponse() *Response {
	response := p.response
	if response.Headers == nil {
		response.Headers = p.fieldsAgain()
	}
	p.response, p.fieldText = nil, ""
	return response
}

// CanStream reports whether the head of a response with status 200 has been read and the response is not streamed yet, so
// that StartStreaming returns it with what has come of its body.
func (p *ResponseParser) CanStream() bool {
	return p.inBody && !p.isStreaming && p.response != nil && p.response.Status == 200
}

// EndsWithConnection reports whether a streamed body is complete when its connection is closed. It is to be called when
// the server has closed the connection in an orderly way.
func (p *ResponseParser) EndsWithConnection() bool {
	return p.isStreaming && p.bodyFraming == closeFraming
}

// FinishAtEOF returns the response that the end of the connection completes, nil if there is none. It is to be called
// when the server has closed the connection, and not while a streamed body is read; see EndsWithConnection.
func (p *ResponseParser) FinishAtEOF() *Response {
	if p.inBody && p.bodyFraming == closeFraming {
		return p.finishResponse()
	}
	return nil
}

// TakePartialBody returns the status of the response that is being read, and the bytes of its body that arrived since
// the last call. The status is 0 until the head is complete. The caller owns the bytes, and they no longer count towards
// the size limit of the body, so a response may last as long as its connection.
func (p *ResponseParser) TakePartialBody() (status int, body []byte) {
	if p.response == nil {
		return 0, nil
	}
	body = p.body
	p.body = nil
	return p.response.Status, body
}
