// Package tracecontext reads and writes W3C trace contexts, and derives them where a client sends none. It does no
// input or output, and whatever a header holds costs no more than its length.
package tracecontext

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// ID is a trace's.
type ID [16]byte

// SpanID is a span's.
type SpanID [8]byte

// Context is where in a trace a request stands.
type Context struct {
	Trace   ID
	Parent  SpanID // of the caller's span, zero where there is none
	Sampled bool   // as the caller says
	State   string // tracestate as it is passed on, empty where it was none or is not to be trusted
}

// Valid tells whether there is a trace at all.
func (c Context) Valid() bool { return c.Trace != ID{} }

const (
	parentLen  = 55  // of version 00: 2-32-16-2 and three dashes
	stateBytes = 512 // that have to be passed on at least; of more we pass on none
	stateMost  = 32  // members
)

// Parse reads the two headers of a request. Of a traceparent that can't be read nothing is kept, and the request
// begins a trace of its own; of a tracestate that can't, only that is dropped. Both as the recommendation says.
func Parse(parent, state string) (Context, bool) {
	if len(parent) < parentLen || parent[2] != '-' || parent[35] != '-' || parent[52] != '-' {
		return Context{}, false
	}
	var version, flags [1]byte
	var c Context
	if !lower(version[:], parent[:2]) || !lower(c.Trace[:], parent[3:35]) || !lower(c.Parent[:], parent[36:52]) ||
		!lower(flags[:], parent[53:55]) {
		return Context{}, false
	}
	switch {
	case version[0] == 0xff, version[0] == 0 && len(parent) != parentLen,
		len(parent) > parentLen && parent[parentLen] != '-': // of a later version, more may follow
		return Context{}, false
	case !c.Valid() || c.Parent == SpanID{}:
		return Context{}, false
	}
	c.Sampled = flags[0]&1 != 0
	if goodState(state) {
		c.State = state
	}
	return c, true
}

// lower reads hexadecimal digits, which have to be small letters.
func lower(to []byte, text string) bool {
	for i := range to {
		hi, lo := digit(text[2*i]), digit(text[2*i+1])
		if hi > 15 || lo > 15 {
			return false
		}
		to[i] = hi<<4 | lo
	}
	return true
}

func digit(c byte) byte {
	switch {
	case c >= '0' && c <= '9':
		return c - '0'
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10
	}
	return 0xff
}

// goodState tells whether a tracestate may be passed on: up to 32 members, key=value, no key twice.
func goodState(s string) bool {
	if s == "" || len(s) > stateBytes {
		return false
	}
	var keys [stateMost]string
	n := 0
	for member := range strings.SplitSeq(s, ",") {
		member = strings.Trim(member, " \t")
		if member == "" { // allowed, and tells nothing
			continue
		}
		key, value, found := strings.Cut(member, "=")
		if !found || n == stateMost || !goodKey(key) || !goodValue(value) {
			return false
		}
		for _, k := range keys[:n] {
			if k == key {
				return false
			}
		}
		keys[n] = key
		n++
	}
	return n > 0
}

// goodKey: a vendor, or tenant@vendor.
func goodKey(k string) bool {
	tenant, vendor, multi := strings.Cut(k, "@")
	if !multi {
		return goodName(k, 256, false)
	}
	return goodName(tenant, 241, true) && goodName(vendor, 14, false)
}

func goodName(s string, most int, digitFirst bool) bool {
	if s == "" || len(s) > most {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter, number := c >= 'a' && c <= 'z', c >= '0' && c <= '9'
		switch {
		case letter, number && (i > 0 || digitFirst):
		case i > 0 && (c == '_' || c == '-' || c == '*' || c == '/'):
		default:
			return false
		}
	}
	return true
}

func goodValue(v string) bool {
	if v == "" || len(v) > 256 || v[len(v)-1] == ' ' {
		return false
	}
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// Derive gives the trace of a keyed request that names none: the same for each try of it, at every ingress. It is
// the first 16 bytes of SHA-256 over "ferryfront.trace.v1", a zero byte, the dealer's number in 8 bytes, highest
// first, and the key. A retry of a request without a key can't be joined so: nothing tells it from a new one.
func Derive(dealer uint64, key string) Context {
	h := sha256.New()
	h.Write([]byte("ferryfront.trace.v1\x00"))
	h.Write(binary.BigEndian.AppendUint64(nil, dealer))
	h.Write([]byte(key))
	var c Context
	copy(c.Trace[:], h.Sum(nil))
	return c
}

// New is a trace of its own, drawn by whoever begins it.
func New(random, more uint64) Context {
	var c Context
	binary.BigEndian.PutUint64(c.Trace[:8], random)
	binary.BigEndian.PutUint64(c.Trace[8:], more|1) // never all zero, which means none
	return c
}

// Span is a span's id, drawn by whoever opens it from a source of its own.
func Span(random uint64) SpanID {
	var s SpanID
	if random == 0 { // means none
		random = 1
	}
	binary.BigEndian.PutUint64(s[:], random)
	return s
}

// Try is the span of one upstream request of a stream. It follows from the stream's, so that who writes the header
// and who exports the span need not tell each other. The odd factor takes different numbers to different spans.
func (s SpanID) Try(attempt int) SpanID {
	const golden = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio
	return Span(binary.BigEndian.Uint64(s[:]) ^ golden*uint64(attempt+1))
}

// AppendParent appends a traceparent that names a span of ours as the parent.
func AppendParent(b []byte, trace ID, span SpanID, sampled bool) []byte {
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, trace[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, span[:])
	if sampled {
		return append(b, "-01"...)
	}
	return append(b, "-00"...)
}
