// Command plannedend is a case of the review: planned restarts while order servers take seconds to write long answers. What
// an ingress takes before it ends has to be answered.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/review/stand"
)

const (
	ingresses     = 3
	orderServers  = 9
	serversInCell = 4
	customers     = 200

	connections = 180 // of the front to each ingress
	longShare   = 0.5 // of the requests
	longPieces  = 20
	pieceSize   = 5 << 10 // 100 KB in all
	minPause    = 100 * time.Millisecond
	maxPause    = 300 * time.Millisecond // so a long answer takes 2 to 6 s

	loadTime  = 9 * time.Second // before the planned end of an ingress
	killAfter = 3800 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// servers are the order servers.
type servers struct {
	mu  sync.Mutex
	ran map[string]string // by Request-Id: the server
}

// isLong reports whether a request gets a long answer, by its id.
func isLong(id string) bool { return strings.HasPrefix(id, "10") }

// body returns the body that belongs to a request.
func body(id string) []byte {
	n := 64
	if isLong(id) {
		n = longPieces * pieceSize
	}
	return bytes.Repeat([]byte(id+"\n"), n/(len(id)+1)+1)[:n]
}

// handler is the order server with a name.
func (s *servers) handler(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.mu.Lock()
		s.ran[id] = name
		s.mu.Unlock()
		time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond) // the work
		rest := body(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(rest)))
		pause := minPause + time.Duration(rand.Int64N(int64(maxPause-minPause)))
		for len(rest) > 0 {
			n := min(pieceSize, len(rest))
			if _, err := w.Write(rest[:n]); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			if rest = rest[n:]; len(rest) > 0 {
				time.Sleep(pause)
			}
		}
	}
}

// whoRan returns the order server that got a request, or an empty text.
func (s *servers) whoRan(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// tally counts how the requests of one ingress ended.
type tally struct {
	mu                                            sync.Mutex
	served, otherAnswers, cut, notForwarded, lost int
}

// front is the platform's front with its connections to one ingress.
type front struct {
	record *stand.Record
	in     *stand.Ingress
	set    int // number of the ingress, the first of the customers' sets
	all    *servers
	counts tally
	stop   chan struct{} // closed at the end of a run without trouble
	termAt func() time.Duration
}

// keepAsking sends requests on one connection, one after the other, until the ingress ends it.
func (f *front) keepAsking() {
	conn, err := net.DialTimeout("tcp", f.in.Addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for {
		select {
		case <-f.stop:
			return
		default:
		}
		if !f.ask(conn) {
			return
		}
	}
}

// ask makes one request. It reports whether the connection can be used again.
func (f *front) ask(conn net.Conn) bool {
	kind := "20"
	if rand.Float64() < longShare {
		kind = "10"
	}
	request := stand.Request{ID: kind + fmt.Sprintf("%014x", rand.Uint64()>>8), Class: "stock", Plan: "distributeur",
		Customer: uint64(1 + rand.IntN(customers)), Timeout: 3 * time.Second, Spread: 1, First: f.set}
	if conn.SetDeadline(time.Now().Add(30*time.Second)) != nil {
		return false
	}
	if _, err := conn.Write(request.Bytes()); err != nil {
		return false // the connection had ended before
	}
	sent := f.termAt()
	status, isClosing, got, err := readAnswer(conn)
	f.counts.mu.Lock()
	defer f.counts.mu.Unlock()
	switch server := f.all.whoRan(request.ID); {
	case status == http.StatusOK && err == nil && bytes.Equal(got, body(request.ID)):
		f.counts.served++
	case status == http.StatusOK:
		f.counts.cut++
	case status != 0:
		f.counts.otherAnswers++
	case server == "": // its connection's end crossed it: it may be sent once more
		f.counts.notForwarded++
	default:
		f.counts.lost++
		f.record.Printf("LOST: %s, written to %s %s after SIGTERM, was run by %s and has no answer: %v, %s after SIGTERM",
			request.ID, f.in.Name, sent.Round(time.Millisecond), server, err, f.termAt().Round(time.Millisecond))
	}
	return err == nil && !isClosing && (status == http.StatusOK || status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable)
}

// readAnswer reads an answer with a length. The status is 0 if not even a head has come.
func readAnswer(conn net.Conn) (status int, isClosing bool, got []byte, err error) {
	var head []byte
	one := make([]byte, 1)
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if _, err := conn.Read(one); err != nil {
			return 0, true, nil, err
		}
		head = append(head, one[0])
	}
	lines := strings.Split(string(head), "\r\n")
	if len(lines[0]) < 12 {
		return 0, true, nil, errors.New("malformed status line")
	}
	if status, err = strconv.Atoi(lines[0][9:12]); err != nil {
		return 0, true, nil, err
	}
	length := 0
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			length, err = strconv.Atoi(value)
		case strings.EqualFold(name, "Connection"):
			isClosing = strings.EqualFold(value, "close")
		}
	}
	if err != nil {
		return status, true, nil, err
	}
	got = make([]byte, length)
	_, err = io.ReadFull(conn, got)
	return status, isClosing, got, err
}

func run(root, folder string) int {
	record, err := stand.OpenRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer record.Close()
	s := &servers{ran: map[string]string{}}
	var hosts []stand.Host
	for i := range orderServers {
		listener, err := stand.Listen()
		if err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
		name := fmt.Sprintf("s-%08x", 0x5be2a07c+i)
		server := &http.Server{Handler: s.handler(name), ReadHeaderTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second}
		go func() { _ = server.Serve(listener) }()
		hosts = append(hosts, stand.Host{ID: name, Addr: listener.Addr().String(), Zone: "salle-" + string("abc"[i%3]),
			Kind: "std-2c", Cell: i / serversInCell, State: "Ready", Weight: 1})
	}
	world, err := stand.NewWorld(root, record, hosts)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer world.Close()
	for me := range ingresses {
		if _, err := world.Start(me, stand.Levis(me, ingresses)); err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
	}
	time.Sleep(3 * time.Second)
	lost, served := 0, 0
	for me, in := range world.Ingresses {
		f := &front{record: record, in: in, set: me, all: s, stop: make(chan struct{})}
		if !f.run() {
			return stand.NotRun
		}
		lost, served = lost+f.counts.lost, served+f.counts.served
	}
	text := fmt.Sprintf("requests run by an order server and never answered: %d, served: %d", lost, served)
	record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case lost > 0:
		return stand.RuleBroken
	case served == 0:
		return stand.NotRun
	}
	return stand.RuleHeld
}

// run loads an ingress, and then restarts it as planned. It reports whether the ingress ended by itself.
func (f *front) run() bool {
	begun := time.Now()
	var mu sync.Mutex
	termAt := begun.Add(time.Hour)
	f.termAt = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(termAt)
	}
	var wg sync.WaitGroup
	for range connections {
		wg.Go(f.keepAsking)
		time.Sleep(loadTime / 2 / connections)
	}
	time.Sleep(time.Until(begun.Add(loadTime)))
	if !stand.Trouble() {
		close(f.stop)
		wg.Wait()
	} else {
		f.record.Printf("SIGTERM to %s", f.in.Name)
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		if err := syscall.Kill(f.in.Pid(), syscall.SIGTERM); err != nil {
			return false
		}
		time.Sleep(killAfter)
		if !f.in.HasEnded() {
			f.record.Printf("%s has not ended by itself; SIGKILL", f.in.Name)
			f.in.Kill()
		}
		wg.Wait()
	}
	f.record.Printf("%s: served %d, answered otherwise %d, answer cut at the end %d, not forwarded %d, lost %d", f.in.Name,
		f.counts.served, f.counts.otherAnswers, f.counts.cut, f.counts.notForwarded, f.counts.lost)
	return true
}
