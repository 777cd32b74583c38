package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is a client's request.
type Call struct {
	ID, Class, Plan string
	Customer        uint64
	Key             string // of a keyed request
	IsPost          bool
	Timeout         time.Duration
	Body            string
	Quota           string // units, spread and first
}

// Result is what a client got.
type Result struct {
	Status int // 0: no whole answer
	Body   string
	Err    error
	Took   time.Duration
}

var lastID atomic.Uint64

// NewID returns a fresh id, 16 hexadecimal digits.
func NewID() string { return fmt.Sprintf("%016x", 0x5ec0<<48|lastID.Add(1)) }

// Text is the request as it goes over the wire.
func (c Call) Text() string {
	method := "GET"
	if c.IsPost {
		method = "POST"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api/%016x?class=%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Plan: %s\r\n",
		method, c.Customer, c.Class, c.ID, c.Class, c.Plan)
	fmt.Fprintf(&b, "Request-Timeout: %dm\r\nX-Quota: %s\r\n", c.Timeout.Milliseconds(), c.Quota)
	if c.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.Key)
	}
	if c.IsPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	return b.String() + "\r\n" + c.Body
}

// Client keeps connections to one ingress and sends one request at a time on each.
type Client struct {
	Addr string
	rig  *Rig
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewClient returns a client of an ingress.
func (r *Rig) NewClient(addr string) *Client {
	c := &Client{Addr: addr, rig: r}
	r.OnClose(c.close)
	return c
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// errClosedUnread says that a kept connection ended with no byte of an answer: its end may have crossed the request.
var errClosedUnread = errors.New("the connection ended without an answer")

// Do sends a request and waits for its answer, as long as the client has time. A request on a kept connection that ends
// without an answer is sent once more on a new one.
func (c *Client) Do(call Call) Result {
	began := time.Now()
	result := c.try(call, began, true)
	if errors.Is(result.Err, errClosedUnread) {
		c.rig.Note("sent once more", "id", call.ID)
		result = c.try(call, began, false)
	}
	result.Took = time.Since(began)
	c.rig.Note("answer", "id", call.ID, "class", call.Class, "status", result.Status, "took", result.Took.Round(time.Millisecond), "error", result.Err)
	return result
}

func (c *Client) try(call Call, began time.Time, mayReuse bool) Result {
	conn, isReused, err := c.take(mayReuse)
	if err != nil {
		return Result{Err: err}
	}
	_ = conn.SetDeadline(began.Add(call.Timeout))
	if _, err = io.WriteString(conn, call.Text()); err != nil {
		_ = conn.Close()
		if isReused {
			err = errClosedUnread
		}
		return Result{Err: err}
	}
	if _, err := conn.reader.Peek(1); err != nil {
		_ = conn.Close()
		if isReused && !isTimeout(err) {
			err = errClosedUnread
		}
		return Result{Err: err}
	}
	answer, err := http.ReadResponse(conn.reader, &http.Request{Method: "GET"})
	if err != nil {
		_ = conn.Close()
		return Result{Err: err}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		_ = conn.Close()
		return Result{Err: err}
	}
	if answer.Close {
		_ = conn.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return Result{Status: answer.StatusCode, Body: string(body)}
}

// isTimeout tells whether an error is that the time was up.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *Client) take(mayReuse bool) (conn *clientConn, isReused bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); mayReuse && n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	raw, err := net.DialTimeout("tcp", c.Addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, bufio.NewReader(raw)}, false, nil
}
