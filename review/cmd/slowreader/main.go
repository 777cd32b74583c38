// Command slowreader is a case of the review: clients that take seconds to read a long answer, on connections that they
// want closed after it. Every answer has to reach its client whole.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"ferryfront.example/ferryfront/review/stand"
)

const (
	ingresses     = 3
	orderServers  = 9
	serversInCell = 4
	customers     = 24
	warmUp        = 3 * time.Second
	requests      = 180
	requestPause  = 200 * time.Millisecond

	lineSize   = 32
	pieceSize  = 32 << 10
	minPieces  = 32 // 1 MB
	maxPieces  = 40 // 1.25 MB
	readPause  = 2 * time.Second
	readAtOnce = 128 << 10 // bytes that a slow client reads between two pauses

	// A client on an Ethernet with little memory. Loopback would have segments of 64 KB and megabytes in the buffers of the
	// system.
	segmentSize   = 1460
	receiveBuffer = 32 << 10
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// piece returns the bytes of which the body of a request's answer consists, again and again.
func piece(id string) []byte {
	line := fmt.Sprintf("%-*s\n", lineSize-1, id)
	return bytes.Repeat([]byte(line), pieceSize/lineSize)
}

// pieces returns how many of them the body has, by the id.
func pieces(id string) int {
	sum := 0
	for _, c := range id {
		sum = sum*31 + int(c)
	}
	return minPieces + (sum&0xffff)%(maxPieces-minPieces)
}

// serve is an order server. It writes its answers as fast as they are taken.
func serve(record *stand.Record, name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		start := time.Now()
		time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond) // the work
		bytes, written := piece(id), 0
		var err error
		for range pieces(id) {
			if _, err = w.Write(bytes); err == nil {
				err = http.NewResponseController(w).Flush() // the length is not told, so the answer goes in chunks
			}
			if err != nil {
				break
			}
			written++
		}
		record.Printf("%s ran %s, wrote %d of %d pieces within %s, error %v", name, id, written, pieces(id),
			time.Since(start).Round(time.Millisecond), err)
	}
}

// reading is what a client has read of an answer. It is the body's end that a client judges by, so the body is not kept.
type reading struct {
	bytes     int
	isCorrect bool
}

// read reads the body of an answer, with pauses if slow.
func (g *reading) read(r io.Reader, id string, slow bool) error {
	g.isCorrect = true
	want, got := piece(id), make([]byte, pieceSize)
	for {
		n, err := io.ReadFull(r, got)
		g.isCorrect = g.isCorrect && bytes.Equal(got[:n], want[:n])
		g.bytes += n
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case slow && g.bytes%readAtOnce == 0:
			time.Sleep(readPause)
		}
	}
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
		name := fmt.Sprintf("s-%08x", 0x5be2a07c+i)
		server := &http.Server{Handler: serve(record, name), ReadHeaderTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second}
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
	var addresses []string
	for me := range ingresses {
		in, err := world.Start(me, stand.Levis(me, ingresses))
		if err != nil {
			fmt.Println(err)
			return stand.NotRun
		}
		addresses = append(addresses, in.Addr)
	}
	time.Sleep(warmUp)
	return load(record, world, addresses)
}

// load sends the requests and judges their answers.
func load(record *stand.Record, world *stand.World, addresses []string) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, cut, other := 0, 0, 0
	for range requests {
		request := stand.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "stock", Plan: "distributeur",
			Customer: uint64(1 + rand.IntN(customers)), Timeout: 3 * time.Second, Spread: ingresses, Close: true}
		via := rand.IntN(len(addresses))
		wg.Go(func() {
			var got reading
			client := &stand.Client{Addr: addresses[via], SegmentSize: segmentSize, ReceiveBuffer: receiveBuffer, ReadBody: func(r io.Reader) ([]byte, error) {
				return nil, got.read(r, request.ID, stand.Trouble())
			}}
			answer := client.Do(request)
			want := pieces(request.ID) * pieceSize
			mu.Lock()
			defer mu.Unlock()
			verdict := "served"
			switch {
			case answer.Status != http.StatusOK:
				other++
				verdict = "not served"
			case answer.Err != nil || got.bytes != want || !got.isCorrect:
				cut++
				verdict = "LOST: the ingress ended the connection within the answer"
			default:
				served++
			}
			record.Printf("%s via n%d: status %d, %d of %d bytes, first byte after %s, end after %s, error %v; %s", request.ID, via,
				answer.Status, got.bytes, want, answer.FirstByte.Round(time.Millisecond), answer.Done.Round(time.Millisecond),
				answer.Err, verdict)
		})
		time.Sleep(requestPause)
	}
	wg.Wait()
	for _, in := range world.Ingresses {
		if in.HasEnded() {
			record.Printf("ingress %s has ended", in.Name)
			return stand.NotRun
		}
	}
	text := fmt.Sprintf("requests: %d sent, %d served whole, %d cut, %d refused or failed", requests, served, cut, other)
	record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case cut > 0:
		return stand.RuleBroken
	case served == 0:
		return stand.NotRun
	}
	return stand.RuleHeld
}
