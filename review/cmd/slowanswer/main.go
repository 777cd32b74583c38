// Command slowanswer is a case of the review: order servers that take seconds to write some long answers. Every answer
// has to reach its client, whichever connection to the order server it comes on.
package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ferryfront.example/ferryfront/review/stand"
)

const (
	ingresses     = 3
	orderServers  = 9
	serversInCell = 4
	customers     = 24
	requestRate   = 30 // a second, over all ingresses
	loadTime      = 40 * time.Second
	answerSlack   = 500 * time.Millisecond

	longShare     = 0.3 // of the requests get a long answer
	longPieces    = 12
	longPieceSize = 8 << 10
	piecePause    = 400 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// attempt is what an order server did for a request.
type attempt struct {
	server     string
	connection string
	written    int // bytes of the body
	isWhole    bool
}

// servers are the order servers and what they ran.
type servers struct {
	record   *stand.Record
	mu       sync.Mutex
	attempts map[string][]*attempt // by Request-Id
}

// body returns the body that belongs to a request: its id again and again.
func body(id string) []byte {
	n := 64
	if isLong(id) {
		n = longPieces * longPieceSize
	}
	return bytes.Repeat([]byte(id+"\n"), n/(len(id)+1)+1)[:n]
}

// isLong reports whether a request gets a long answer, by its id.
func isLong(id string) bool { return strings.HasPrefix(id, "10") }

// handler is the order server with a name.
func (s *servers) handler(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		done := &attempt{server: name, connection: r.RemoteAddr}
		s.mu.Lock()
		s.attempts[id] = append(s.attempts[id], done)
		s.mu.Unlock()
		time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond) // the work
		rest, size := body(id), len(body(id))
		pause := time.Duration(0)
		if isLong(id) && stand.Trouble() {
			size, pause = longPieceSize, piecePause
		}
		written, whole := 0, true
		for len(rest) > 0 && whole {
			n := min(size, len(rest))
			_, err := w.Write(rest[:n])
			if err == nil {
				err = http.NewResponseController(w).Flush() // the length is not told, so the answer goes in chunks
			}
			if whole = err == nil; whole {
				written, rest = written+n, rest[n:]
			}
			if len(rest) > 0 && pause > 0 {
				select {
				case <-time.After(pause):
				case <-r.Context().Done(): // the connection has ended
					whole = false
				}
			}
		}
		s.mu.Lock()
		done.written, done.isWhole = written, whole
		s.mu.Unlock()
		s.record.Printf("%s ran %s for the connection %s, wrote %d of %d bytes, whole %v", name, id, done.connection,
			written, len(body(id)), whole)
	}
}

// summary describes what was run for a request.
func (s *servers) summary(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, a := range s.attempts[id] {
		fmt.Fprintf(&b, " [%s on %s: %d bytes, whole %v]", a.server, a.connection, a.written, a.isWhole)
	}
	return b.String()
}

// wasBegun reports whether an order server has begun its answer to a request.
func (s *servers) wasBegun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts[id] {
		if a.written > 0 {
			return true
		}
	}
	return false
}

func run(root, folder string) int {
	record, err := stand.OpenRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer record.Close()
	s := &servers{record: record, attempts: map[string][]*attempt{}}
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
	var clients []*stand.Client
	for me := range ingresses {
		in, err := world.Start(me, stand.Levis(me, ingresses))
		if err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
		clients = append(clients, &stand.Client{Addr: in.Addr})
	}
	return load(record, s, world, clients)
}

// load sends requests at a steady rate, and judges the long answers.
func load(record *stand.Record, s *servers, world *stand.World, clients []*stand.Client) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	long, served, lost := 0, 0, 0
	for end := time.Now().Add(loadTime); time.Now().Before(end); time.Sleep(time.Second / requestRate) {
		kind := "20"
		if rand.Float64() < longShare {
			kind = "10"
		}
		request := stand.Request{ID: kind + fmt.Sprintf("%014x", rand.Uint64()>>8), Class: "stock", Plan: "distributeur",
			Customer: uint64(1 + rand.IntN(customers)), Timeout: 3 * time.Second, Spread: ingresses}
		if rand.Float64() < 0.15 {
			request.Class, request.Key = "order", fmt.Sprintf("%032x", rand.Uint64())
		}
		via := rand.IntN(len(clients))
		record.Printf("%s %s sent to n%d", request.Class, request.ID, via)
		wg.Go(func() {
			answer := clients[via].Do(request)
			isWhole := answer.Status == http.StatusOK && answer.Err == nil && bytes.Equal(answer.Body, body(request.ID))
			if kind != "10" {
				record.Printf("short answer to %s via n%d: status %d, whole %v, %v, after %s", request.ID, via, answer.Status, isWhole,
					answer.Err, answer.Done.Round(time.Millisecond))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			long++
			isInTime := answer.FirstByte <= request.Timeout+answerSlack
			verdict := "served"
			switch {
			case isWhole && isInTime:
				served++
			case s.wasBegun(request.ID):
				lost++
				verdict = "LOST: an order server was giving its answer"
			default:
				verdict = "not served, and no order server had begun"
			}
			record.Printf("%s %s via n%d: status %d, %d bytes (sha256 %.4x), first byte after %s, end after %s, error %v; run:%s; %s",
				request.Class, request.ID, via, answer.Status, len(answer.Body), sha256.Sum256(answer.Body),
				answer.FirstByte.Round(time.Millisecond), answer.Done.Round(time.Millisecond), answer.Err, s.summary(request.ID), verdict)
		})
	}
	wg.Wait()
	for _, in := range world.Ingresses {
		if in.HasEnded() {
			record.Printf("ingress %s has ended", in.Name)
			return stand.NotRun
		}
	}
	text := fmt.Sprintf("long answers: %d asked for, %d served, %d lost", long, served, lost)
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
