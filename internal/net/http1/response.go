package http1

import (
	"strconv"
	"strings"
)

// ResponseParser reads the responses of one connection.
type ResponseParser struct {
	reader
	resp *Response
}

// NewResponseParser bounds heads and bodies. A good answer's body longer than keep is handed on while it comes,
// and of any other one's that is so long only the beginning; 0: all are read whole.
func NewResponseParser(headMost, bodyMost, keep int) *ResponseParser {
	return &ResponseParser{reader: reader{headMost: headMost, bodyMost: bodyMost, keep: keep}}
}

// Next returns the next response, or nil as long as there is none. After an open one, Pull goes on until its end.
func (p *ResponseParser) Next() (*Response, error) {
	for !p.inBody {
		start, h, ok, err := p.head()
		if !ok || err != nil {
			return nil, err
		}
		proto, rest, _ := strings.Cut(start, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
			return nil, bad(502, "malformed status line")
		}
		if status < 200 { // an interim response: the real one follows
			continue
		}
		if err := p.frame(h, status != 204 && status != 304); err != nil {
			return nil, err
		}
		if status == 204 || status == 304 {
			p.framing, p.left = sized, 0
		}
		p.resp = &Response{Status: status, Headers: h, Close: p.framing == untilClose ||
			h.hasToken("Connection", "close") || proto == "HTTP/1.0" && !h.hasToken("Connection", "keep-alive")}
	}
	whole, err := p.more()
	switch {
	case err != nil:
		return nil, err
	case whole:
		return p.done(), nil
	case p.long() && p.resp.Status != 200: // nobody reads it: the connection is not worth the rest
		p.resp.Close = true
		return p.done(), nil
	case p.long():
		return p.StartStreaming(), nil
	}
	return nil, nil
}

// StartStreaming returns a response of which the body has not wholly come, open, as if it were a long one. It is for one of
// which nobody can tell how long it will be. Without a head it is nil.
func (p *ResponseParser) StartStreaming() *Response {
	if p.resp == nil || p.open {
		return nil
	}
	resp := p.resp
	p.resp, p.open = nil, true
	resp.Body, resp.IsStreamed, resp.ContentLength = p.body, true, p.length()
	return resp
}

// HasUnknownLength tells whether a good answer's body is being read of which nobody can tell how long it will be.
func (p *ResponseParser) HasUnknownLength() bool {
	return p.inBody && !p.open && p.framing != sized && p.resp != nil && p.resp.Status == 200
}

func (p *ResponseParser) done() *Response {
	resp := p.resp
	resp.ContentLength = p.length()
	p.inBody, p.resp, resp.Body = false, nil, p.body
	return resp
}

// EndsWithConnection tells whether an open body ends with its connection, which has just ended in an orderly way.
func (p *ResponseParser) EndsWithConnection() bool { return p.open && p.framing == untilClose }

// FinishAtEOF is told that the connection has ended; it returns the response that this completes, if any.
func (p *ResponseParser) FinishAtEOF() *Response {
	if p.inBody && p.framing == untilClose {
		return p.done()
	}
	return nil
}

// TakePartialBody takes what has come so far of a body that is read as it comes, and its status; 0 before
// the head is whole.
func (p *ResponseParser) TakePartialBody() (status int, body []byte) {
	if p.resp == nil {
		return 0, nil
	}
	body = p.body
	p.body = nil
	return p.resp.Status, body
}
