package capacity

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/discovery"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// listWatches are the watches of a fleet at one service, all on one loop. The first ones are the project's own
// [discovery.Watcher]; where the fleet's lists would not fit the memory of one machine, the others are readers which
// ask as a watcher does, and count the bytes of the answer without keeping the list.
type listWatches struct {
	loop     *loop.Loop
	opened   time.Time // when the first was
	ended    chan error
	watchers []*discovery.Watcher
	readers  []*listReader

	// Owned by the loop.
	reached map[uint64]int    // watches that have a version
	waiting map[uint64]func() // told when all have it
}

// openWatches opens watches at a service: so many watchers, and so many readers that are done with the first list
// once they have read so many bytes. Known is what the watchers know already.
func openWatches(s *listService, watchers, readers, listBytes int, known discovery.List) (*listWatches, error) {
	l, err := loop.New()
	if err != nil {
		return nil, err
	}
	fleet := max(1, watchers+readers)
	lim, err := limits.For(limits.Site{Sockets: 384, Ingresses: fleet, HasLocalAgent: true})
	if err != nil {
		return nil, err
	}
	w := &listWatches{loop: l, opened: time.Now(), ended: make(chan error, 1), reached: map[uint64]int{}, waiting: map[uint64]func(){}}
	for i := range watchers {
		w.watchers = append(w.watchers, discovery.New(l, lim, slog.New(slog.DiscardHandler), s.addr,
			listSink{w}, noHosts{}, known, uint64(i)))
	}
	for range readers {
		r, err := openReader(w, s.addr, listBytes)
		if err != nil {
			return nil, err
		}
		w.readers = append(w.readers, r)
	}
	go func() { w.ended <- runOnThread(l, func() {}) }()
	return w, nil
}

// size is how many watches there are.
func (w *listWatches) size() int { return len(w.watchers) + len(w.readers) }

// await waits until all watches have a version.
func (w *listWatches) await(ctx context.Context, version uint64) error {
	all := make(chan struct{})
	onLoop(w.loop, func() {
		if w.reached[version] >= w.size() {
			close(all)
			return
		}
		w.waiting[version] = func() { close(all) }
	})
	select {
	case <-all:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// have notes that one more watch has a version.
func (w *listWatches) have(version uint64) {
	w.reached[version]++
	if done := w.waiting[version]; done != nil && w.reached[version] >= w.size() {
		delete(w.waiting, version)
		done()
	}
}

// closeTime is for the watches to see that the service has closed, and to close their own descriptors.
const closeTime = 30 * time.Millisecond

// close ends the loop. It follows the close of the service, by which the watches end.
func (w *listWatches) close() error {
	onLoop(w.loop, func() { w.loop.After(closeTime, w.loop.Stop) })
	return <-w.ended
}

// listSink is told of lists and takes no decisions.
type listSink struct{ watches *listWatches }

// ServerListReceived notes a list that discovery has sent.
func (s listSink) ServerListReceived(l admission.ServerList) {
	if l.Kind != admission.ListCached {
		s.watches.have(l.Version)
	}
}

// noHosts keeps no connections to servers.
type noHosts struct{}

// SetHost is told of a server.
func (noHosts) SetHost(string, string, time.Duration, bool) {}

// RemoveHost is told of one that left.
func (noHosts) RemoveHost(string) {}

// listReader reads the answer to one watch.
type listReader struct {
	watches *listWatches
	source  *loop.Source
	request []byte
	left    int // bytes of the first list to come
}

func openReader(w *listWatches, addr string, listBytes int) (*listReader, error) {
	fd, err := loop.Dial(addr)
	if err != nil {
		return nil, err
	}
	r := &listReader{watches: w, left: listBytes,
		request: []byte("GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: discovery\r\n\r\n")}
	r.source, err = w.loop.Watch(fd, loop.Out|loop.Hangup, r)
	return r, err
}

// Ready asks, and then reads.
func (r *listReader) Ready(uint32) {
	if len(r.request) > 0 {
		n, err := loop.Write(r.source.FD(), r.request)
		if err != nil {
			r.source.Close()
			return
		}
		if r.request = r.request[n:]; len(r.request) == 0 {
			r.source.SetEvents(loop.In | loop.Hangup)
		}
		return
	}
	n, err := loop.Read(r.source.FD(), r.watches.loop.ReadBuffer())
	switch {
	case errors.Is(err, loop.ErrAgain):
	case err != nil:
		r.source.Close()
	case r.left > 0:
		if r.left -= n; r.left <= 0 {
			r.watches.have(1)
		}
	}
}
