package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Clients are a population of ordering programs that share connections, as the platform's front does: one
// request at a time on each, more connections when all are busy. A request that crosses the close of a
// connection is sent once more on a new one.
type Clients struct {
	Addr   string
	Record *Record
	Wait   time.Duration // that a client waits for an answer
	Via    int           // number of the ingress, for the record

	mu    sync.Mutex
	idle  []*clientConn
	count int
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// Ask is one request.
type Ask struct {
	ID, Key, Customer, Class, Plan string
	Due                            time.Time
	Spread                         int
	First                          int  // ingress of its set
	Once                           bool // it must not run twice: a POST without a key

	// Timeout is the time that the client says it waits; 0: for as long as it does wait.
	Timeout time.Duration
}

func (a Ask) text(wait time.Duration) string {
	method := "GET"
	if a.Key != "" || a.Once {
		method = "POST"
	}
	s := fmt.Sprintf("%s /api/%s?class=%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Plan: %s\r\n"+
		"Request-Timeout: %dm\r\nX-Quota: units=1,spread=%d,first=%d\r\n", method, a.Customer, a.Class, a.ID, a.Class, a.Plan,
		a.timeout(wait).Milliseconds(), max(1, a.Spread), a.First)
	if a.Key != "" {
		s += "Idempotency-Key: " + a.Key + "\r\n"
	}
	if method == "POST" {
		return s + "Content-Length: 4\r\n\r\nbody"
	}
	return s + "\r\n"
}

// timeout is what a request says of the time that its client waits.
func (a Ask) timeout(wait time.Duration) time.Duration {
	if a.Timeout == 0 {
		return wait
	}
	return a.Timeout
}

func (c *Clients) take(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.Addr, c.Wait)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// Opened tells how many connections were opened.
func (c *Clients) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Do sends a request, waits for its answer and notes both. Time counts from when it was due.
func (c *Clients) Do(a Ask) Answer {
	if a.Due.IsZero() {
		a.Due = time.Now()
	}
	got := Answer{ID: a.ID, Key: a.Key, Customer: a.Customer, Class: a.Class, Plan: a.Plan, Via: c.Via, Due: a.Due}
	deadline := a.Due.Add(c.Wait)
	for fresh := false; ; fresh = true {
		conn, err := c.take(fresh)
		if err != nil {
			got.Lost = "not connected: " + err.Error()
			break
		}
		crossed, err := c.one(conn, a, deadline, &got)
		if err == nil {
			break
		}
		_ = conn.Close()
		if crossed && !fresh {
			got.Resent = true
			continue
		}
		got.Lost = err.Error()
		break
	}
	got.End = time.Now()
	c.Record.answer(got)
	return got
}

// DoAndLeave sends a request on a connection of its own, closes that after a time unless the answer has come by then, and
// notes when it did.
func (c *Clients) DoAndLeave(a Ask, after time.Duration) {
	conn, err := net.DialTimeout("tcp", c.Addr, c.Wait)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, a.text(c.Wait)); err != nil {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(after)) != nil {
		return
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	_ = conn.Close()
	c.Record.mu.Lock()
	defer c.Record.mu.Unlock()
	c.Record.left = append(c.Record.left, Departure{a.ID, time.Now()})
}

// one makes one try. crossed tells that the connection had been used and has ended without a byte of answer.
func (c *Clients) one(conn *clientConn, a Ask, deadline time.Time, got *Answer) (crossed bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return conn.used, err
	}
	if _, err := io.WriteString(conn, a.text(time.Until(deadline))); err != nil {
		return conn.used, err
	}
	if _, err := conn.r.Peek(1); err != nil {
		var timeout net.Error
		return conn.used && !(errors.As(err, &timeout) && timeout.Timeout()), fmt.Errorf("before the answer: %w", err)
	}
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		return false, fmt.Errorf("in the answer: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, fmt.Errorf("in the answer's body: %w", err)
	}
	if resp.StatusCode == http.StatusOK && len(body) < len(a.ID) || resp.StatusCode == 200 && string(body[:len(a.ID)]) != a.ID {
		return false, fmt.Errorf("answered with another's: %.80q", body)
	}
	got.Status, got.Twice = resp.StatusCode, conn.r.Buffered() > 0
	if conn.used = true; resp.Close || got.Twice {
		_ = conn.Close()
		return false, nil
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return false, nil
}

// Load is an open loop: requests are due at times drawn ahead and do not wait for answers.
type Load struct {
	Rate      float64 // a second
	Customers int
	Plan      string
	Retries   bool   // clients ask once more, after a refusal's wait or a failure
	Prefix    string // of ids, so that two loads on one record differ
	First     int    // number of the first customer
	Spread    int
	Orders    float64 // part of the requests that are orders; of the others, 48 in 85 are stock
	Seed      uint64
}

// Run goes on until the context ends, and then waits for all answers.
func (l Load) Run(ctx context.Context, c *Clients) {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var wg sync.WaitGroup
	due := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				wg.Wait()
				return
			}
		}
		a := Ask{ID: fmt.Sprintf("%s%d", l.Prefix, n), Customer: CustomerName(l.First + rng.IntN(max(1, l.Customers))),
			Class: "catalogue", Plan: l.Plan, Due: due, Spread: l.Spread}
		switch x := rng.Float64(); {
		case x < l.Orders:
			a.Class, a.Key = "order", "k-"+a.ID
		case x < l.Orders+(1-l.Orders)*48/85:
			a.Class = "stock"
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := c.Do(a)
			if l.Retries && (got.Status == 502 || got.Status == 504) {
				a.ID, a.Due = a.ID+"-again", time.Now()
				c.Do(a)
			}
		}()
	}
	wg.Wait()
}

// CustomerName is a customer's number as it stands in a path.
func CustomerName(n int) string { return fmt.Sprintf("%016x", n+1) }
