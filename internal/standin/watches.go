package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Listing is an upstream host as discovery lists it.
type Listing struct {
	Name, Address, Zone string
	Cell                int
	State               string    // Ready, Terminating or Gone
	Started             time.Time // its last start, zero: long ago
}

func (l Listing) entry() entry {
	e := entry{ID: l.Name, Addr: l.Address, Zone: l.Zone, Kind: "std-2c", Cell: l.Cell, State: l.State, Weight: 1}
	if !l.Started.IsZero() {
		e.Started = l.Started.UnixMilli()
	}
	return e
}

// The stand-in sends so many whole lists at a time, 120 a second at the most, and fewer where watchers read slowly: a
// list holds its turn for as long again as it took to send. Other watches wait and are sent signs of life meanwhile.
// Without that bound hundreds of watchers on one machine would all parse their lists at one instant, and hold the memory
// for that. The buffer is short, so that a list is sent when most of it has been read.
const (
	wholeListsAtOnce = 24
	wholeListTime    = 200 * time.Millisecond
	watchBuffer      = 256 << 10
)

// aliveEvery is between two signs of life on a watch.
const aliveEvery = 2 * time.Second

// WatchServer is a discovery service for hundreds of watches of a long list: each message is encoded once and its
// bytes shared by all watches. Every watcher has an address of its own, by which what it is sent is counted.
type WatchServer struct {
	server   *http.Server
	serving  sync.WaitGroup
	whole    chan struct{}
	watchers map[string]*atomic.Int64 // bytes sent, by address
	waiting  atomic.Int64             // watches that wait for the whole list

	mu       sync.Mutex
	version  int
	listings map[string]entry
	list     []byte   // the whole list as it stands, encoded; nil: to be encoded
	changes  []update // all since the start
	news     chan struct{}
}

// update is one message of changes.
type update struct {
	version int
	text    []byte
}

// NewWatchServer starts one that knows the given hosts and listens at each of the addresses.
func NewWatchServer(hosts []Listing, addresses []string) (*WatchServer, error) {
	s := &WatchServer{whole: make(chan struct{}, wholeListsAtOnce), watchers: map[string]*atomic.Int64{}, version: 1,
		listings: map[string]entry{}, news: make(chan struct{})}
	for _, h := range hosts {
		s.listings[h.Name] = h.entry()
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 20 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetWriteBuffer(watchBuffer) // it only paces
			}
			return ctx
		}}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.watchers[address] = &atomic.Int64{}
		s.serving.Go(func() { _ = s.server.Serve(listener) }) // ends with Close
	}
	return s, nil
}

// Close ends all watches.
func (s *WatchServer) Close() {
	_ = s.server.Close()
	s.serving.Wait()
}

// Sent tells how many bytes went to the watcher of an address.
func (s *WatchServer) Sent(address string) int64 { return s.watchers[address].Load() }

// Waiting tells how many watches wait for the whole list, or are being sent it.
func (s *WatchServer) Waiting() int { return int(s.waiting.Load()) }

// Change tells all watches of the state that some hosts have come to, in one message.
func (s *WatchServer) Change(hosts []Listing) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	message := list{Version: s.version}
	for _, h := range hosts {
		e := h.entry()
		message.Servers = append(message.Servers, e)
		if s.listings[h.Name] = e; h.State == "Gone" {
			delete(s.listings, h.Name)
		}
	}
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	s.changes = append(s.changes, update{s.version, append(text, '\n')})
	s.list = nil
	close(s.news)
	s.news = make(chan struct{})
	return nil
}

// encoded returns the whole list with its version.
func (s *WatchServer) encoded() (text []byte, version int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		message := list{Version: s.version, Full: true, Servers: make([]entry, 0, len(s.listings))}
		for _, e := range s.listings {
			message.Servers = append(message.Servers, e)
		}
		slices.SortFunc(message.Servers, func(a, b entry) int { return strings.Compare(a.ID, b.ID) })
		if s.list, err = json.Marshal(message); err != nil {
			return nil, 0, err
		}
		s.list = append(s.list, '\n')
	}
	return s.list, s.version, nil
}

// since returns the messages after a version, and what is closed when there is another.
func (s *WatchServer) since(version int) (updates []update, news <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearchFunc(s.changes, version+1, func(u update, v int) int { return u.version - v })
	return s.changes[first:], s.news
}

// ServeHTTP serves a watch: the whole list, then each change.
func (s *WatchServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return
	}
	sent := s.watchers[local.String()]
	send := func(text []byte) error {
		n, err := w.Write(text)
		sent.Add(int64(n))
		return errors.Join(err, http.NewResponseController(w).Flush())
	}
	version, err := s.sendWhole(r.Context(), send)
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for err == nil {
		updates, news := s.since(version)
		for _, u := range updates {
			version = u.version
			err = errors.Join(err, send(u.text))
		}
		select {
		case <-news:
		case <-alive.C:
			err = errors.Join(err, send([]byte{'\n'}))
		case <-r.Context().Done():
			return
		}
	}
}

// sendWhole sends the whole list in its turn.
func (s *WatchServer) sendWhole(ctx context.Context, send func([]byte) error) (version int, err error) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	if err := send([]byte{'\n'}); err != nil {
		return 0, err
	}
	for {
		select {
		case s.whole <- struct{}{}:
			defer func() { <-s.whole }()
			text, version, err := s.encoded()
			if err != nil {
				return 0, err
			}
			began := time.Now()
			err = send(text)
			time.Sleep(max(wholeListTime, time.Since(began)))
			return version, err
		case <-time.After(aliveEvery / 2):
			if err := send([]byte{'\n'}); err != nil {
				return 0, err
			}
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
