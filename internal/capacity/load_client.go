package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryfront.example/ferryfront/internal/standin"
)

// Of the histograms of response times, in microseconds.
const (
	histogramLeast  = 1
	histogramMost   = 10_000_000
	histogramDigits = 3
)

// requestLimit is how long a client waits for an answer.
const requestLimit = 3 * time.Second

// loadClient sends requests to one address at a fixed rate, over so many connections in turn, and notes how long each
// answer takes. It stands for many clients of one ingress.
type loadClient struct {
	addr        string
	name        string // begins the identifiers of its requests
	connections int
	tenants     int

	mu       sync.Mutex
	took     *hdrhistogram.Histogram // of answers with status 200, in microseconds
	answered int
	other    map[int]int // answers with another status; 0: none came
}

func newLoadClient(addr, name string, connections, tenants int) *loadClient {
	return &loadClient{addr: addr, name: name, connections: connections, tenants: tenants,
		took: hdrhistogram.New(histogramLeast, histogramMost, histogramDigits), other: map[int]int{}}
}

// run sends count requests, one each interval, and returns once all have ended.
func (c *loadClient) run(ctx context.Context, count int, interval time.Duration) error {
	lines := make([]chan int, c.connections)
	failed := make(chan error, c.connections)
	var wait sync.WaitGroup
	for i := range lines {
		lines[i] = make(chan int, count/c.connections+1)
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return err
		}
		defer conn.Close()
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := c.serve(conn, lines[i]); err != nil {
				failed <- err
			}
		}()
	}
	due := time.Now()
	for i := range count {
		due = due.Add(interval)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		lines[i%len(lines)] <- i
	}
	for _, line := range lines {
		close(line)
	}
	wait.Wait()
	close(failed)
	return <-failed
}

// serve makes the requests of one connection.
func (c *loadClient) serve(conn net.Conn, requests <-chan int) error {
	reader := bufio.NewReader(conn)
	for number := range requests {
		began := time.Now()
		status, err := c.ask(conn, reader, number)
		if err != nil {
			return fmt.Errorf("request %d: %w", number, err)
		}
		c.note(status, time.Since(began))
	}
	return nil
}

// ask makes one request and returns its answer's status.
func (c *loadClient) ask(conn net.Conn, reader *bufio.Reader, number int) (status int, err error) {
	if err := conn.SetDeadline(time.Now().Add(requestLimit)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(conn, "GET /api/%s?class=stock HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\n"+
		"Request-Class: stock\r\nX-Plan: boutique\r\nRequest-Timeout: %dm\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n",
		standin.CustomerName(number%c.tenants), c.name+strconv.Itoa(number), requestLimit.Milliseconds())
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (c *loadClient) note(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != http.StatusOK {
		c.other[status]++
		return
	}
	c.answered++
	_ = c.took.RecordValue(min(histogramMost, took.Microseconds())) // it is within the bounds
}

// percentile is the response time in milliseconds under which so many percent of the answers came.
func (c *loadClient) percentile(percent float64) float64 {
	return float64(c.took.ValueAtPercentile(percent)) / 1e3
}
