// Package discovery follows the cluster: the list of upstream hosts, as discovery
// tells it and from then on its changes.
package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/settings"
)

// Entry is an upstream host of the list, with its address.
type Entry struct {
	admission.ServerEntry
	Addr string
}

// List is one message of discovery.
type List struct {
	Version uint64
	Full    bool
	Entries []Entry
}

var states = map[string]admission.ServerState{
	"Ready": admission.Up, "Terminating": admission.Draining, "Gone": admission.Gone,
}

// ReadList reads a message. A state that is not known yet means that nothing new should go there.
func ReadList(r settings.Reader) (List, error) {
	list := List{Version: uint64(max(0, r.Int("version"))), Full: r.Bool("full")}
	for _, e := range r.List("servers") {
		state, ok := states[e.Text("state")]
		if !ok {
			state = admission.Draining
		}
		e.Need("id")
		started := e.Float("started_ms")
		if math.Abs(started) > 1e13 {
			started = 0
		}
		list.Entries = append(list.Entries, Entry{Addr: e.Text("addr"), ServerEntry: admission.ServerEntry{
			Name: e.Text("id"), Zone: e.Text("zone"), Kind: e.Text("kind"), Cell: e.Int("cell"), State: state,
			Size: e.Float("weight"), Boot: time.Duration(started*1e3) * time.Microsecond}})
	}
	return list, r.Err()
}

// Sink takes the cluster's news.
type Sink interface{ List(admission.ServerList) }

// Hosts is told the addresses.
type Hosts interface {
	Host(name, addr string)
	Gone(name string)
}

// Watcher holds one watch on discovery, opened anew whenever it ends or falls silent.
type Watcher struct {
	loop  *loop.Loop
	lim   limits.Limits
	log   *slog.Logger
	addr  string
	sink  Sink
	hosts Hosts
	json  fastjson.Parser

	known   map[string]bool
	version uint64
	told    bool // by discovery itself, since the start
	from    time.Duration
	src     *loop.Source
	parser  *http1.ResponseParser
	up      bool
	out     []byte
	line    []byte
	silence *loop.Timer
	backoff time.Duration
	lost    bool
}

// New returns a watcher that knows what was known before the start.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, addr string, sink Sink, hosts Hosts, known List) *Watcher {
	w := &Watcher{loop: l, lim: lim, log: log, addr: addr, sink: sink, hosts: hosts, known: map[string]bool{},
		from: l.Now()}
	known.Full = true
	w.apply(known, admission.ListCached)
	w.dial()
	return w
}

// Known tells whether the cluster is known: discovery has told it, or stays silent and the list from
// before the start has to do.
func (w *Watcher) Known() bool {
	return w.told || w.loop.Now()-w.from > w.lim.ReadyWait
}

// Refetch asks for the whole list.
func (w *Watcher) Refetch() {
	w.version = 0
	w.redial("whole list asked for")
}

func (w *Watcher) apply(list List, kind admission.ListKind) {
	news := admission.ServerList{Kind: kind, Version: list.Version}
	if kind == admission.ListChanges && list.Full {
		news.Kind = admission.ListFull
	}
	named := map[string]bool{}
	for _, e := range list.Entries {
		news.Servers = append(news.Servers, e.ServerEntry)
		named[e.Name] = true
		if e.State == admission.Gone {
			w.hosts.Gone(e.Name)
			delete(w.known, e.Name)
			continue
		}
		w.hosts.Host(e.Name, e.Addr)
		w.known[e.Name] = true
	}
	if list.Full { // who is absent from a whole list is gone
		for name := range w.known {
			if !named[name] {
				w.hosts.Gone(name)
				delete(w.known, name)
			}
		}
	}
	w.version = list.Version
	w.sink.List(news)
}

func (w *Watcher) dial() {
	fd, err := loop.Dial(w.addr)
	if err == nil {
		w.src, err = w.loop.Watch(fd, loop.Out|loop.Hangup, w)
	}
	if err != nil {
		w.retry(err.Error())
		return
	}
	w.parser = http1.NewResponseParser(w.lim.HeadBytes, 16<<20)
	w.up, w.line = false, nil
	w.out = http1.AppendRequest(nil, "GET", "/discovery/hosts?stream=1&index="+strconv.FormatUint(w.version, 10),
		"discovery", nil, nil)
	w.listen()
}

// listen begins to wait for the next sign of life.
func (w *Watcher) listen() {
	w.silence.Stop()
	w.silence = w.loop.After(w.lim.ClusterSilence, func() { w.redial("silent") })
}

func (w *Watcher) retry(why string) {
	if !w.lost {
		w.lost = true
		w.log.Warn("discovery watch lost", "cause", why)
	}
	w.backoff = min(max(2*w.backoff, w.lim.BackoffFirst), w.lim.BackoffMost)
	w.loop.After(w.backoff, w.dial)
}

func (w *Watcher) redial(why string) {
	if w.src == nil { // a new watch is on its way
		return
	}
	w.silence.Stop()
	w.src.Close()
	w.src = nil
	w.retry(why)
}

// Ready goes on with the watch.
func (w *Watcher) Ready(events uint32) {
	if !w.up {
		if err := loop.Dialled(w.src.FD()); err != nil {
			w.redial(err.Error())
			return
		}
		w.up = true
	}
	if len(w.out) > 0 {
		n, err := loop.Write(w.src.FD(), w.out)
		if err != nil {
			w.redial(err.Error())
			return
		}
		if w.out = w.out[n:]; len(w.out) == 0 {
			w.src.Want(loop.In | loop.Hangup)
		}
	}
	if events&(loop.In|loop.Hangup) != 0 {
		w.read()
	}
}

func (w *Watcher) read() {
	buf := w.loop.Buf()
	for {
		n, err := loop.Read(w.src.FD(), buf)
		if errors.Is(err, loop.ErrAgain) {
			return
		}
		if err != nil {
			w.redial(err.Error())
			return
		}
		w.listen()
		w.parser.Feed(buf[:n])
		resp, err := w.parser.Next()
		if err != nil {
			w.redial(err.Error())
			return
		}
		if resp != nil { // a watch has no end while all is well
			if resp.Status == 200 {
				w.lines(resp.Body)
			}
			w.redial(fmt.Sprintf("watch ended with status %d", resp.Status))
			return
		}
		if status, body := w.parser.Partial(); status == 200 {
			if err := w.lines(body); err != nil {
				w.version = 0 // whatever it said is missed: ask for the whole list
				w.redial(err.Error())
				return
			}
		}
	}
}

func (w *Watcher) lines(body []byte) error {
	w.line = append(w.line, body...)
	for {
		i := bytes.IndexByte(w.line, '\n')
		if i < 0 {
			return nil
		}
		line := bytes.TrimSpace(w.line[:i])
		w.line = w.line[i+1:]
		if w.lost {
			w.lost = false
			w.log.Info("discovery watch restored")
		}
		w.backoff = 0
		if len(line) == 0 {
			continue
		}
		v, err := w.json.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("discovery's message: %w", err)
		}
		list, err := ReadList(settings.NewReader(v, ""))
		if err != nil {
			return fmt.Errorf("discovery's message: %w", err)
		}
		w.told = true
		w.apply(list, admission.ListChanges)
	}
}
