package http1

import (
	"bytes"
	"strings"
)

// readHead returns the start line and the fields once the head is complete; until then ok is false. The head ends with
// two CRLF or with two bare line feeds; within it, lines may end with either. Empty lines before the start line are
// skipped. The text of the fields is kept for parseFields.
func (r *reader) readHead() (start string, h Headers, ok bool, err error) {
	for len(r.unparsed) > 0 && r.scanned == 0 && (r.unparsed[0] == '\r' || r.unparsed[0] == '\n') {
		r.consume(1)
	}
	from := max(0, r.scanned-3) // the separator may begin in the bytes scanned before
	end, separator := bytes.Index(r.unparsed[from:], []byte("\r\n\r\n")), 4
	if i := bytes.Index(r.unparsed[from:], []byte("\n\n")); i >= 0 && (end < 0 || i < end) {
		end, separator = i, 2
	}
	if end < 0 {
		r.scanned = len(r.unparsed)
		if len(r.unparsed) > r.maxHead {
			return "", nil, false, newParseError(431, "head over %d bytes", r.maxHead)
		}
		return "", nil, false, nil
	}
	if end += from; end > r.maxHead {
		return "", nil, false, newParseError(431, "head over %d bytes", r.maxHead)
	}
	text := string(r.unparsed[:end])
	r.consume(end + separator)
	if len(r.unparsed) == 0 && cap(r.storage) > maxIdleBuffer {
		r.storage, r.unparsed = nil, nil
	}
	start, r.fieldText, _ = strings.Cut(text, "\n")
	start = strings.TrimSuffix(start, "\r")
	h, err = r.parseFields()
	return start, h, err == nil, err
}

// parseFields returns the fields of the message that is being read. They may need many times the memory of their text, so
// they are not kept while the body is being received.
func (r *reader) parseFields() (Headers, error) {
	h := make(Headers, 0, strings.Count(r.fieldText, "\n")+1)
	for rest := r.fieldText; rest != ""; {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return nil, newParseError(400, "malformed header line")
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\x00") {
			return nil, newParseError(400, "malformed header value")
		}
		h = append(h, Header{name, value})
	}
	return h, nil
}

// fieldsAgain parses the fields of the message that is being read once more. They were found to be well-formed.
func (r *reader) fieldsAgain() Headers {
	h, _ := r.parseFields()
	return h
}

// isToken reports whether s is an HTTP token. A field name with a space before the colon or at the start is none: such
// names are used for request smuggling.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
