package stand

import (
	"fmt"
	"strings"
	"time"
)

// Request is a client's request in the form of the protocol page.
type Request struct {
	ID, Class, Plan, Key string // with a key it is a POST
	Customer             uint64
	Timeout              time.Duration
	Spread, First        int
	Close                bool // the connection is closed after the answer
}

// Bytes returns the request as it goes over the wire.
func (r Request) Bytes() []byte {
	var b strings.Builder
	method, body := "GET", ""
	if r.Key != "" {
		method, body = "POST", "{\"part\":\"A-17\",\"count\":2}"
	}
	fmt.Fprintf(&b, "%s /api/%016x HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Plan: %s\r\n",
		method, r.Customer, r.ID, r.Class, r.Plan)
	fmt.Fprintf(&b, "Request-Timeout: %dm\r\nX-Quota: units=1,spread=%d,first=%d\r\n", r.Timeout.Milliseconds(), r.Spread, r.First)
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\nContent-Length: %d\r\n", r.Key, len(body))
	}
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return []byte(b.String())
}
