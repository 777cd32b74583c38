// Command lateanswer is a case of the review: order servers that send some of their answers a second time, some
// milliseconds late. No client may get an answer that was made for another request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ferryfront.example/ferryfront/review/stand"
)

const (
	ingresses     = 4
	orderServers  = 9
	cores         = 2 // of an order server
	serversInCell = 4
	customers     = 400
	meanWork      = 30 * time.Millisecond
	requestRate   = 540.0 // a second, over all ingresses: nine tenths of what the order servers can do
	loadTime      = 30 * time.Second
	warmUp        = 3 * time.Second

	doubledShare = 0.02
	minDelay     = 3 * time.Millisecond // of a second answer after the first
	maxDelay     = 12 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// server is an order server.
type server struct {
	name   string
	record *stand.Record
	cores  chan struct{}
}

// accept serves the connections of a listener.
func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of one connection in turn.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(answer string) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := io.WriteString(conn, answer)
		return err
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		s.cores <- struct{}{}
		time.Sleep(work())
		<-s.cores
		s.record.Printf("%s has run %s, which came on %s", s.name, id, conn.RemoteAddr())
		body := "answer to " + id + " from " + s.name + "\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		// Twice only where nothing else waits on the connection.
		isDoubled := stand.Trouble() && rand.Float64() < doubledShare && reader.Buffered() == 0
		if err := write(answer); err != nil {
			return
		}
		if isDoubled {
			at := time.Now()
			time.AfterFunc(minDelay+time.Duration(rand.Int64N(int64(maxDelay-minDelay))), func() {
				err := write(answer)
				s.record.Printf("%s sent its answer to %s to %s again, %s after the first, error %v", s.name, id,
					conn.RemoteAddr(), time.Since(at).Round(100*time.Microsecond), err)
			})
		}
	}
}

// work draws the time of one request: half of the mean always, the rest exponential.
func work() time.Duration {
	return meanWork/2 + time.Duration(rand.ExpFloat64()*float64(meanWork/2))
}

func run(root, folder string) int {
	record, err := stand.OpenRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	defer record.Close()
	var hosts []stand.Host
	for i := range orderServers {
		listener, err := stand.Listen()
		if err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
		s := &server{name: fmt.Sprintf("s-%08x", 0x5be2a07c+i), record: record, cores: make(chan struct{}, cores)}
		go s.accept(listener)
		hosts = append(hosts, stand.Host{ID: s.name, Addr: listener.Addr().String(), Zone: "salle-" + string("abc"[i%3]),
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
	time.Sleep(warmUp)
	return load(record, world, clients)
}

// load sends requests at random times and judges the answers.
func load(record *stand.Record, world *stand.World, clients []*stand.Client) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	foreign, missing := 0, 0
	next := time.Now()
	for end := next.Add(loadTime); next.Before(end); {
		next = next.Add(time.Duration(rand.ExpFloat64() / requestRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		request := stand.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "stock", Plan: "distributeur",
			Customer: uint64(1 + rand.IntN(customers)), Timeout: 3 * time.Second, Spread: ingresses}
		switch draw := rand.Float64(); {
		case draw < 0.15:
			request.Class, request.Key = "order", fmt.Sprintf("%032x", rand.Uint64())
		case draw < 0.52:
			request.Class, request.Timeout = "catalogue", 2*time.Second
		}
		via := rand.IntN(len(clients))
		wg.Go(func() {
			record.Printf("%s %s sent to n%d", request.Class, request.ID, via)
			answer := clients[via].Do(request)
			record.Printf("%s %s via n%d: status %d after %s, %q", request.Class, request.ID, via, answer.Status,
				answer.Done.Round(100*time.Microsecond), answer.Body)
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.Status]++
			switch {
			case answer.Err != nil:
				missing++
				record.Printf("%s via n%d: error %v", request.ID, via, answer.Err)
			case answer.Status == http.StatusOK && !strings.HasPrefix(string(answer.Body), "answer to "+request.ID+" "):
				foreign++
				record.Printf("FOREIGN: %s %s via n%d was answered after %s with %q", request.Class, request.ID, via,
					answer.Done.Round(100*time.Microsecond), answer.Body)
			}
		})
	}
	wg.Wait()
	for _, in := range world.Ingresses {
		if in.HasEnded() {
			record.Printf("ingress %s has ended", in.Name)
			return stand.NotRun
		}
	}
	text := fmt.Sprintf("answers by status %v; %d answers of another request, %d requests without an answer", statuses, foreign, missing)
	record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case foreign > 0:
		return stand.RuleBroken
	case statuses[http.StatusOK] == 0:
		return stand.NotRun
	}
	return stand.RuleHeld
}
