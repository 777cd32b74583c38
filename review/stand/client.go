package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Client sends requests to one ingress. It keeps its connections, has one request at a time on each, and sends a request
// that crosses the end of a resting connection once more on a new one.
type Client struct {
	Addr string
	// ReadBody reads the body of an answer. Nil: as fast as it comes.
	ReadBody func(io.Reader) ([]byte, error)
	// SegmentSize is the size of TCP segments, such as that of an Ethernet. 0: that of loopback.
	SegmentSize int
	// ReceiveBuffer is the size of a connection's receive buffer in bytes. 0: as the system sets it.
	ReceiveBuffer int

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// Answer is what a client got for a request.
type Answer struct {
	Status          int // 0: no answer
	Body            []byte
	FirstByte, Done time.Duration // since the request was written
	Err             error         // the answer is missing or not whole
}

// answerLimit bounds the time for which a client reads one answer.
const answerLimit = 60 * time.Second

// Do sends a request and reads its answer.
func (c *Client) Do(r Request) Answer {
	for {
		conn, isReused, err := c.take()
		if err != nil {
			return Answer{Err: err}
		}
		answer, isCrossed := c.exchange(conn, r)
		if isCrossed && isReused {
			continue
		}
		return answer
	}
}

// Close closes the resting connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

func (c *Client) take() (conn *clientConn, isReused bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	dialer := net.Dialer{Timeout: time.Second}
	if c.SegmentSize > 0 || c.ReceiveBuffer > 0 { // both have to be set before the connection is made
		dialer.Control = c.setOptions
	}
	dialed, err := dialer.Dial("tcp", c.Addr)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: dialed, reader: bufio.NewReader(dialed)}, false, nil
}

// setOptions sets the options of a socket before it connects.
func (c *Client) setOptions(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if c.SegmentSize > 0 {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, c.SegmentSize)
		}
		if c.ReceiveBuffer > 0 {
			err = errors.Join(err, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.ReceiveBuffer))
		}
	})
	return errors.Join(controlErr, err)
}

// exchange writes a request and reads its answer. isCrossed reports that the connection ended without a byte of it.
func (c *Client) exchange(conn *clientConn, r Request) (answer Answer, isCrossed bool) {
	start := time.Now()
	if err := conn.SetDeadline(start.Add(answerLimit)); err != nil {
		return Answer{Err: err}, false
	}
	if _, err := conn.Write(r.Bytes()); err != nil {
		_ = conn.Close()
		return Answer{Err: err}, true
	}
	if _, err := conn.reader.Peek(1); err != nil {
		_ = conn.Close()
		var timeout net.Error
		return Answer{Done: time.Since(start), Err: fmt.Errorf("before the answer: %w", err)},
			!(errors.As(err, &timeout) && timeout.Timeout())
	}
	answer.FirstByte = time.Since(start)
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		_ = conn.Close()
		answer.Err = fmt.Errorf("in the head of the answer: %w", err)
		return answer, false
	}
	answer.Status = resp.StatusCode
	read := c.ReadBody
	if read == nil {
		read = io.ReadAll
	}
	answer.Body, answer.Err = read(resp.Body)
	answer.Done = time.Since(start)
	if answer.Err != nil || resp.Close || r.Close {
		_ = conn.Close()
		return answer, false
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return answer, false
}
