// Package discovery follows the cluster: the list of upstream hosts, as discovery
// tells it and from then on its changes.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/settings"
)

// Entry is an upstream host of the list, with its address. Its Boot is a time of the loop's clock once the watcher has it,
// Started what discovery said, a time of the wall clock. 0: long ago.
type Entry struct {
	admission.ServerEntry
	Addr    string
	Started time.Duration
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
		start := time.Duration(started*1e3) * time.Microsecond
		list.Entries = append(list.Entries, Entry{Addr: e.Text("addr"), Started: start, ServerEntry: admission.ServerEntry{
			Name: e.Text("id"), Zone: e.Text("zone"), Kind: e.Text("kind"), Cell: e.Int("cell"), State: state,
			Size: e.Float("weight"), Boot: start}})
	}
	return list, r.Err()
}

// Sink takes the cluster's news.
type Sink interface{ ServerListReceived(admission.ServerList) }

// Hosts is told the addresses, and of each host whether it is leaving: then nothing new goes there.
type Hosts interface {
	Host(name, addr string, boot time.Duration, leaving bool)
	Gone(name string)
}

// Watcher follows discovery by one watch, opened anew whenever it ends or falls silent. While another is
// being opened the present one is kept: it is given up once the other has told its first list.
type Watcher struct {
	loop  *loop.Loop
	lim   limits.Limits
	log   *slog.Logger
	addr  string
	sink  Sink
	hosts Hosts
	json  fastjson.Parser
	rng   *rand.Rand // spreads what all ingresses of a fleet would do at one instant

	known   map[string]Entry
	drained map[string]bool // by the operators, whatever discovery says
	version uint64
	whole   bool // the next watch must begin with the whole list
	told    bool // by discovery itself, since the start
	failed  bool // a watch has, since the start
	from    time.Duration
	cur     *watch // the one whose news counts, nil when it is lost
	next    *watch // being opened
	again   *loop.Timer
	backoff time.Duration
	mute    int // watches in a row that were accepted and on which nothing was heard
	lost    bool
	lostAt  time.Duration // when that was last told to the operator,
	badAt   time.Duration // and when of a message that can't be read
}

// watch is one connection to discovery.
type watch struct {
	w       *Watcher
	src     *loop.Source
	parser  *http1.ResponseParser
	up      bool
	heard   bool // a byte of an answer has come
	since   time.Duration
	sign    time.Duration // when it was opened, or gave its last sign of life
	out     []byte
	frames  frames
	silence *loop.Timer
}

// New returns a watcher that knows what was known before the start. Its first watch is opened at an instant
// of its own within ClusterSpread, told by the seed: a fleet that is released starts as one.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, addr string, sink Sink, hosts Hosts, known List,
	seed uint64) *Watcher {
	w := &Watcher{loop: l, lim: lim, log: log, addr: addr, sink: sink, hosts: hosts, known: map[string]Entry{},
		from: l.Now(), rng: rand.New(rand.NewPCG(seed, seedOf))}
	known.Full = true
	w.apply(known, admission.ListCached)
	if spread := w.rng.Float64() * float64(lim.ClusterJitter); spread >= 1 {
		w.again = l.After(time.Duration(spread), w.dial)
		return w
	}
	w.dial()
	return w
}

// seedOf keeps our random numbers apart from the decision module's, which has the same seed.
const seedOf = 0x64697363

// IsReady tells whether the cluster is known: discovery has told it, or it has turned us away or stays silent and
// the list from before the start has to do. To wait for more would keep a whole fleet that is released at once
// out of service for as long as discovery is overbooked by it.
func (w *Watcher) IsReady() bool {
	return w.told || w.failed && len(w.known) > 0 || w.loop.Now()-w.from > w.lim.DiscoveryReadyTimeout
}

// HasSynced tells whether discovery itself has spoken since the start.
func (w *Watcher) HasSynced() bool { return w.told }

// HostCount tells how many hosts are in the list as it stands.
func (w *Watcher) HostCount() int { return len(w.known) }

// Current is the list as it stands, in order of name.
func (w *Watcher) Current() List {
	list := List{Version: w.version, Full: true}
	for _, e := range w.known {
		list.Entries = append(list.Entries, e)
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Adopt tells the list as it stands once more, whole, to a sink that has begun anew. As long as discovery has
// not spoken here, that is the list of the process before: it is newer than the one known from before a start.
func (w *Watcher) Adopt(theirs List) {
	if w.told {
		theirs = w.Current()
	}
	theirs.Full = true
	w.apply(theirs, admission.ListChanges)
}

// Refetch asks for the whole list. A watch that is already being opened serves for it, once it is asked anew.
func (w *Watcher) Refetch() {
	if !w.whole {
		w.whole = true
		w.retry("whole list asked for", w.loop.Now())
	}
}

// SetAddr follows discovery to another address. What the old one still tells counts until the new one has
// told the whole list: versions of one address say nothing of another's.
func (w *Watcher) SetAddr(addr string) {
	if addr == w.addr {
		return
	}
	w.log.Debug("discovery moves", "from", w.addr, "to", addr)
	w.addr, w.whole, w.backoff = addr, true, 0
	w.dial()
}

func (w *Watcher) apply(list List, kind admission.ListKind) {
	news := admission.ServerList{Kind: kind, Version: list.Version}
	if kind == admission.ListChanges && list.Full {
		news.Kind = admission.ListFull
	}
	named := map[string]bool{}
	for i := range list.Entries {
		e := &list.Entries[i]
		e.Boot = w.boot(*e)
		news.Servers = append(news.Servers, w.held(e.ServerEntry))
		named[e.Name] = true
	}
	// The module hears of it first: what a host that leaves had not been sent yet is to go elsewhere.
	w.version = list.Version
	w.sink.ServerListReceived(news)
	for i, e := range list.Entries {
		if e.State == admission.Gone {
			w.gone(e.Name)
			continue
		}
		w.known[e.Name] = e
		w.hosts.Host(e.Name, e.Addr, e.Boot, news.Servers[i].State != admission.Up)
	}
	if list.Full { // who is absent from a whole list is gone
		for name := range w.known {
			if !named[name] {
				w.gone(name)
			}
		}
	}
}

func (w *Watcher) gone(name string) {
	w.hosts.Gone(name)
	delete(w.known, name)
}

// dial opens the next watch.
func (w *Watcher) dial() {
	w.again.Stop()
	w.next.close()
	now := w.loop.Now()
	x := &watch{w: w, parser: http1.NewResponseParser(w.lim.MaxHeaderBytes, w.lim.MaxClusterMessageBytes, 0), since: now, sign: now}
	w.next = nil
	err := x.open()
	switch {
	case loop.IsOutOfResources(err): // of this machine: discovery was not asked, and is not spared by waiting
		w.tell(err.Error())
		w.again = w.loop.After(w.lim.InitialBackoff, w.dial)
		return
	case err != nil:
		w.retry(err.Error(), now)
		return
	}
	index := w.version
	if w.whole {
		index = 0
	}
	x.out = http1.AppendRequest(nil, "GET", "/discovery/hosts?stream=1&index="+strconv.FormatUint(index, 10),
		"discovery", nil, nil)
	x.listen(w.lim.ClusterDialTimeout)
	w.next = x
}

// open begins the watch's connection.
func (x *watch) open() error {
	fd, err := loop.Dial(x.w.addr)
	if err != nil {
		return err
	}
	if x.src, err = x.w.loop.Watch(fd, loop.Out|loop.Hangup, x); err != nil {
		loop.CloseFD(fd)
	}
	return err
}

// retry opens a watch after a while, longer with each failure in a row, at a random instant of that while.
// Discovery is one service for all ingresses: asked by all of them again and again it answers none in time,
// and none of them ever hears the list. However often that failed, the while ends within ClusterApart of the last
// sign of life, or of the last try: discovery may have had a change ever since, which counts as told soon after.
func (w *Watcher) retry(why string, sign time.Duration) {
	w.tell(why)
	w.backoff = min(max(2*w.backoff, w.lim.ClusterInitialBackoff), w.lim.ClusterMaxBackoff)
	most := max(w.lim.InitialBackoff, min(w.backoff, sign+w.lim.ClusterMaxWatchGap-w.loop.Now()))
	w.again.Stop()
	w.again = w.loop.After(time.Duration((0.1+0.9*w.rng.Float64())*float64(most)), w.dial)
}

// reopen opens a watch in place of one that was heard and is lost, or that nothing was heard on, as soon as a first
// one: what discovery has told since counts as told here, and nothing says that it is overbooked. Once it has turned
// us away, or broken off, retry spaces out all further ones. One that ends as soon as it is open is not dialled
// at once.
func (w *Watcher) reopen(x *watch, why string) {
	if w.backoff > 0 {
		w.retry(why, x.sign)
		return
	}
	w.tell(why)
	w.again.Stop()
	wait := time.Duration(w.rng.Float64() * float64(w.lim.ClusterJitter))
	w.again = w.loop.At(max(w.loop.Now()+wait, x.since+w.lim.InitialBackoff), w.dial)
}

// tell tells the operator of the first loss of a spell, and of no more spells than are worth reading.
func (w *Watcher) tell(why string) {
	w.failed = true
	if now := w.loop.Now(); w.cur == nil && !w.lost && (w.lostAt == 0 || now-w.lostAt > logEvery) {
		w.lost, w.lostAt = true, now
		w.log.Warn("discovery watch lost", "cause", why)
	}
}

// logEvery: discovery that breaks off again and again is told of so often.
const logEvery = 10 * time.Second

// spoke tells that a watch has brought something that can be read.
func (w *Watcher) spoke(x *watch) {
	if w.loop.Now()-x.since > w.lim.MaxBackoff { // one that breaks off at once is not dialled faster for it
		w.backoff = 0
	}
	if w.lost {
		w.lost = false
		w.log.Info("discovery watch restored")
	}
}

// close ends a watch. It is safe on nil.
func (x *watch) close() {
	if x != nil {
		x.silence.Stop()
		x.src.Close()
	}
}

// fail ends a watch that is of no further use. It reports what it was to its watcher, which opens another
// unless one is on its way.
func (x *watch) fail(why string) {
	x.w.log.Debug("discovery watch closed", "cause", why, "up", x.up, "heard", x.heard, "counts", x == x.w.cur)
	x.close()
	switch w := x.w; x {
	case w.next:
		if w.next = nil; why == silent && x.up {
			if !x.heard {
				w.mute++
			}
			w.reopen(x, why)
		} else {
			w.retry(why, x.sign)
		}
	case w.cur:
		w.cur = nil
		if w.next == nil {
			w.reopen(x, why)
		}
	}
}

// firstMost is how long a watch may take to begin its answer: longer with each in a row that did not, so
// that discovery that has become slow is heard all the same.
func (w *Watcher) firstMost() time.Duration {
	return min(w.lim.ClusterResponseTimeout<<min(w.mute, 8), w.lim.ClusterSilenceTimeout)
}

// silent is the cause of a watch's end on which no sign of life came in time.
const silent = "silent"

// listen begins to wait for the next sign of life.
func (x *watch) listen(most time.Duration) {
	x.silence.Stop()
	x.silence = x.w.loop.After(most, func() { x.fail(silent) })
}

// Ready goes on with the watch.
func (x *watch) Ready(events uint32) {
	if !x.up {
		if err := loop.DialResult(x.src.FD()); err != nil {
			x.fail(err.Error())
			return
		}
		x.up = true
		x.listen(x.w.firstMost())
	}
	if len(x.out) > 0 {
		n, err := loop.Write(x.src.FD(), x.out)
		if err != nil {
			x.fail(err.Error())
			return
		}
		if x.out = x.out[n:]; len(x.out) == 0 {
			x.src.SetEvents(loop.In | loop.Hangup)
		}
	}
	if events&(loop.In|loop.Hangup) != 0 {
		x.read()
	}
}

// read takes what one read brings: whatever discovery sends, the other connections have their turns.
func (x *watch) read() {
	buf := x.w.loop.ReadBuffer()
	n, err := loop.Read(x.src.FD(), buf)
	if errors.Is(err, loop.ErrAgain) {
		return
	}
	if err != nil {
		x.fail(err.Error())
		return
	}
	x.heard, x.sign, x.w.mute = true, x.w.loop.Now(), 0
	x.listen(x.w.lim.ClusterSilenceTimeout)
	x.parser.Feed(buf[:n])
	resp, err := x.parser.Next()
	if err != nil {
		x.fail(err.Error())
		return
	}
	if resp != nil { // a watch has no end while all is well
		if resp.Status == 200 {
			x.lines(resp.Body)
		}
		x.fail(fmt.Sprintf("watch ended with status %d", resp.Status))
		return
	}
	if status, body := x.parser.TakePartialBody(); status == 200 {
		x.lines(body)
	}
}

// lines reads the messages that are whole. What can't be read changes nothing: its connection is ended, and the
// whole list asked for on another.
func (x *watch) lines(body []byte) {
	w := x.w
	x.frames.feed(body)
	for x.src.FD() >= 0 {
		message, err := x.frames.next()
		if err == nil && message == nil {
			if x.frames.waiting() > w.lim.MaxClusterMessageBytes {
				x.spoilt(errors.New("a message without end"))
			}
			return
		}
		if err == nil && len(message) == 0 {
			w.spoke(x)
			continue
		}
		var list List
		if err == nil {
			var v *fastjson.Value
			if v, err = w.json.ParseBytes(message); err == nil {
				list, err = ReadList(settings.NewReader(v, ""))
			}
		}
		if err != nil {
			x.spoilt(err)
			return
		}
		if len(message) > parserKeeps {
			w.json = fastjson.Parser{}
		}
		w.spoke(x)
		if x == w.next {
			w.cur.close()
			w.cur, w.next, w.whole = x, nil, false
		}
		w.told = true
		w.apply(list, admission.ListChanges)
	}
}

// parserKeeps bounds the message, in bytes, whose memory the parser keeps for the next one. It needs about 34 times as
// much as the message: 29 MB for a whole list of 7,200 hosts, which comes seldom.
const parserKeeps = 64 << 10

// spoilt ends a watch that has brought what can't be read.
func (x *watch) spoilt(err error) {
	w := x.w
	if now := w.loop.Now(); w.badAt == 0 || now-w.badAt > logEvery {
		w.badAt = now
		w.log.Warn("discovery message not read", "cause", err)
	}
	w.whole, w.backoff = true, max(w.backoff, w.lim.InitialBackoff)
	x.fail("a message that can't be read")
}
