package http1

import "strings"

// RequestParser parses the requests of one connection.
type RequestParser struct {
	reader
	request         *Request // its head has been read, its body is not complete; nil once returned
	expectsContinue bool     // the client waits for "100 Continue" before it sends the body of request
}

// NewRequestParser returns a parser that refuses heads and bodies over the given sizes. A request whose body is longer
// than streamThreshold is streamed; with 0 none is. All sizes are in bytes.
func NewRequestParser(maxHead, maxBody, streamThreshold int) *RequestParser {
	return &RequestParser{reader: reader{maxHead: maxHead, maxBody: maxBody, streamThreshold: streamThreshold}}
}

// Next returns the next request, or nil if more input is needed. After a streamed request, NextBodyPart must be called
// until its end before Next. The error is a *ParseError.
func (p *RequestParser) Next() (*Request, error) {
	if !p.inBody {
		start, h, ok, err := p.readHead()
		if !ok || err != nil {
			return nil, err
		}
		method, rest, _ := strings.Cut(start, " ")
		target, proto, _ := strings.Cut(rest, " ")
		if !isToken(method) || target == "" || strings.ContainsAny(target, " \t") {
			return nil, newParseError(400, "malformed request line")
		}
		if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
			return nil, newParseError(400, "protocol %q", proto)
		}
		if err := p.startBody(h, false); err != nil {
			return nil, err
		}
		p.request = &Request{Method: method, Target: target, Headers: h, IsHTTP10: proto == "HTTP/1.0",
			Close: h.hasToken("Connection", "close") || proto == "HTTP/1.0" && !h.hasToken("Connection", "keep-alive")}
		p.expectsContinue = proto == "HTTP/1.1" && strings.EqualFold(h.Get("Expect"), "100-continue")
	}
	isComplete, err := p.readBody()
	if err != nil {
		return nil, err
	}
	if !isComplete && !p.shouldStream() {
		if p.fieldText != "" {
			p.request.Headers = nil
		}
		return nil, nil
	}
	request := p.request
	if request.Headers == nil {
		request.Headers = p.fieldsAgain()
	}
	p.request, request.Body, request.ContentLength, request.HeadBytes = nil, p.body, p.contentLength(), len(p.fieldText)
	p.fieldText = ""
	if p.shouldStream() { // also if the body is complete: the result must not depend on how the input was split
		p.isStreaming, p.isBodyComplete, request.IsStreamed = true, isComplete, true
	} else {
		p.inBody, p.expectsContinue, p.body = false, false, nil
	}
	return request, nil
}

// TakeExpectContinue reports, once for each request, that its client waits for "100 Continue" before it sends the body.
func (p *RequestParser) TakeExpectContinue() bool {
	isExpected := p.expectsContinue && p.inBody
	p.expectsContinue = false
	return isExpected
}
