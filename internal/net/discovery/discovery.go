// Package discovery keeps the list of upstream hosts up to date by long-lived HTTP requests to the discovery service, called
// watches. A watch names the version of the list that the ingress has, or 0 for the full list, and delivers messages for as
// long as it is open. The goroutine of the event loop owns a Watcher and calls its Sink and Hosts. The package never decides
// which host gets a request.
package discovery

import (
	"log/slog"
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
)

// Sink receives each full list and each change of the list.
type Sink interface{ ServerListReceived(admission.ServerList) }

// Hosts receives the address, the start time (by the loop's clock, 0: long ago) and the removal of each host. A leaving
// host gets no new requests.
type Hosts interface {
	SetHost(name, addr string, boot time.Duration, leaving bool)
	RemoveHost(name string)
}

// Watcher keeps one watch open and replaces it whenever it ends or falls silent. While a new watch is being opened the
// active one stays in use, until the new one has delivered its first list.
type Watcher struct {
	loop       *loop.Loop
	bounds     limits.Limits
	log        *slog.Logger
	addr       string
	sink       Sink
	hosts      Hosts
	jsonParser fastjson.Parser
	rng        *rand.Rand // for jitter, so that the ingresses of a fleet don't act at the same instant

	known              map[string]Entry // the current list, by name, in the states that discovery reports
	drained            map[string]bool  // hosts that the operators drain, also while discovery reports them as up
	version            uint64           // of the last list applied
	needsFullList      bool             // the next watch must begin with the full list
	hasSynced          bool             // discovery has sent a list since the watcher was created
	hasFailed          bool             // a watch has failed, or Refetch was called, since the watcher was created
	startedAt          time.Duration
	active             *watch      // delivers lists; nil after it was lost
	next               *watch      // being opened, to replace active; nil if none
	dialTimer          *loop.Timer // opens the next watch
	backoff            time.Duration
	silentWatches      int // consecutive watches that connected and received nothing
	lossReported       bool
	lossLoggedAt       time.Duration // 0: never
	parseErrorLoggedAt time.Duration // 0: never
}

// New returns a watcher that begins with the list known from before the process started, and passes that on at once. The
// first watch is opened after a random part of ClusterJitter, drawn from the seed, since the ingresses of a fleet may all
// start at the same time.
func New(l *loop.Loop, bounds limits.Limits, log *slog.Logger, addr string, sink Sink, hosts Hosts, known List,
	seed uint64) *Watcher {
	w := &Watcher{loop: l, bounds: bounds, log: log, addr: addr, sink: sink, hosts: hosts, known: map[string]Entry{},
		startedAt: l.Now(), rng: rand.New(rand.NewPCG(seed, rngStream))}
	known.Full = true
	w.apply(known, admission.ListCached)
	if delay := w.rng.Float64() * float64(bounds.ClusterJitter); delay >= 1 {
		w.dialTimer = l.After(time.Duration(delay), w.dial)
		return w
	}
	w.dial()
	return w
}

// rngStream makes the random numbers differ from those of the decision module, which uses the same seed.
const rngStream = 0x64697363

// IsReady reports whether the list of hosts can be used: discovery has sent it, or a watch has failed (or Refetch was
// called) and there is a list from before the start, or DiscoveryReadyTimeout has passed. To wait longer would keep a fleet
// that starts all at once out of service for as long as it overloads discovery.
func (w *Watcher) IsReady() bool {
	return w.hasSynced || w.hasFailed && len(w.known) > 0 || w.loop.Now()-w.startedAt > w.bounds.DiscoveryReadyTimeout
}

// HasSynced reports whether discovery has sent a list since the watcher was created.
func (w *Watcher) HasSynced() bool { return w.hasSynced }

// HostCount returns the number of hosts in the current list, in any state.
func (w *Watcher) HostCount() int { return len(w.known) }

// Current returns the current list, sorted by name, in the states that discovery reports.
func (w *Watcher) Current() List {
	list := List{Version: w.version, Full: true}
	for _, e := range w.known {
		list.Entries = append(list.Entries, e)
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Adopt passes on the current list in full, for a sink whose state was replaced in a handover. If discovery has not sent a
// list to this process yet, it takes over the predecessor's list, which is newer than the one from before the start.
func (w *Watcher) Adopt(predecessor List) {
	if w.hasSynced {
		predecessor = w.Current()
	}
	predecessor.Full = true
	w.apply(predecessor, admission.ListChanges)
}

// Refetch requests the full list by a new watch, after the backoff. It does nothing if such a request is outstanding. If
// another watch is already being opened, its first message ends the request, too, even if that watch asked for changes only.
func (w *Watcher) Refetch() {
	if !w.needsFullList {
		w.needsFullList = true
		w.scheduleRetry("full list requested", w.loop.Now())
	}
}

// SetAddr connects to discovery at another address. Changes from the old address apply until the new one has sent the full
// list: versions of different addresses can't be compared.
func (w *Watcher) SetAddr(addr string) {
	if addr == w.addr {
		return
	}
	w.log.Debug("discovery moves", "from", w.addr, "to", addr)
	w.addr, w.needsFullList, w.backoff = addr, true, 0
	w.dial()
}

// apply makes a list the current one, or changes the current one by it, and passes it on.
func (w *Watcher) apply(list List, kind admission.ListKind) {
	update := admission.ServerList{Kind: kind, Version: list.Version}
	if kind == admission.ListChanges && list.Full {
		update.Kind = admission.ListFull
	}
	listed := map[string]bool{}
	list.Entries = append(list.Entries, w.superseded(list.Entries)...)
	for i := range list.Entries {
		e := &list.Entries[i]
		e.Boot = w.bootTime(*e)
		update.Servers = append(update.Servers, w.withDrain(e.ServerEntry))
		listed[e.Name] = true
	}
	// The sink is called before the hosts: requests not yet sent to a host that leaves are to be sent elsewhere, so the
	// decision module must know first that it leaves.
	w.version = list.Version
	w.sink.ServerListReceived(update)
	for i, e := range list.Entries {
		if e.State == admission.Gone {
			w.remove(e.Name)
			continue
		}
		w.known[e.Name] = e
		w.hosts.SetHost(e.Name, e.Addr, e.Boot, update.Servers[i].State != admission.Up)
	}
	if list.Full { // hosts that a full list leaves out are gone
		for name := range w.known {
			if !listed[name] {
				w.remove(name)
			}
		}
	}
}

// superseded returns, in state Gone, the known hosts that discovery does not name in its message and whose address a host
// in the message has come up at: their processes have ended, and what is sent there would reach the other host.
func (w *Watcher) superseded(entries []Entry) (gone []Entry) {
	named := make(map[string]bool, len(entries))
	owners := map[string]bool{}
	for i := range entries {
		e := &entries[i]
		named[e.Name] = true
		if previous, isKnown := w.known[e.Name]; e.State != admission.Gone && (!isKnown || previous.Addr != e.Addr) {
			owners[e.Addr] = true
		}
	}
	if len(owners) == 0 {
		return nil
	}
	for name, e := range w.known {
		if !named[name] && owners[e.Addr] {
			e.State = admission.Gone
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return gone
}

// remove drops a host that is gone from the current list.
func (w *Watcher) remove(name string) {
	w.hosts.RemoveHost(name)
	delete(w.known, name)
}

// dial opens the next watch, in place of one that is still being opened.
func (w *Watcher) dial() {
	w.dialTimer.Stop()
	w.next.close()
	now := w.loop.Now()
	opened := &watch{watcher: w, parser: http1.NewResponseParser(w.bounds.MaxHeaderBytes, w.bounds.MaxClusterMessageBytes, 0),
		openedAt: now, lastActivity: now}
	w.next = nil
	err := opened.open()
	switch {
	case loop.IsOutOfResources(err):
		// This machine lacks the resources. Discovery got no request, so a backoff would not spare it any load.
		w.reportLoss(err.Error())
		w.dialTimer = w.loop.After(w.bounds.InitialBackoff, w.dial)
		return
	case err != nil:
		w.scheduleRetry(err.Error(), now)
		return
	}
	index := w.version
	if w.needsFullList {
		index = 0
	}
	opened.unsent = http1.AppendRequest(nil, "GET", "/discovery/hosts?stream=1&index="+strconv.FormatUint(index, 10),
		"discovery", nil, nil)
	opened.resetSilenceTimer(w.bounds.ClusterDialTimeout)
	w.next = opened
}

// scheduleRetry opens the next watch after a random 10 to 100 percent of an exponential backoff from ClusterInitialBackoff
// to ClusterMaxBackoff. Discovery is one service for all ingresses: if all of them keep requesting the list it answers none
// in time, and none gets the list. However many watches have failed, the next one is opened within ClusterMaxWatchGap of
// lastActivity, the time when the previous one last received data or, if it received none, was opened. Discovery may have
// published a change at any time since, and each ingress that can reach it must act on a change within a fixed time. The
// longest wait is not cut below InitialBackoff for that.
func (w *Watcher) scheduleRetry(cause string, lastActivity time.Duration) {
	w.reportLoss(cause)
	w.backoff = min(max(2*w.backoff, w.bounds.ClusterInitialBackoff), w.bounds.ClusterMaxBackoff)
	maxWait := max(w.bounds.InitialBackoff, min(w.backoff, lastActivity+w.bounds.ClusterMaxWatchGap-w.loop.Now()))
	w.dialTimer.Stop()
	w.dialTimer = w.loop.After(time.Duration((0.1+0.9*w.rng.Float64())*float64(maxWait)), w.dial)
}

// scheduleReopen replaces a watch that had received data and is lost, or that connected and received nothing. It waits no
// longer than before the first watch, a random part of ClusterJitter: changes published since count as known here, and
// nothing indicates that discovery is overloaded. Once discovery has refused a watch or ended one early, a backoff is set
// and scheduleRetry spaces out all further watches. The new watch is opened at least InitialBackoff after the ended one was
// opened, so that watches that end at once don't follow each other without a pause.
func (w *Watcher) scheduleReopen(ended *watch, cause string) {
	if w.backoff > 0 {
		w.scheduleRetry(cause, ended.lastActivity)
		return
	}
	w.reportLoss(cause)
	w.dialTimer.Stop()
	wait := time.Duration(w.rng.Float64() * float64(w.bounds.ClusterJitter))
	w.dialTimer = w.loop.At(max(w.loop.Now()+wait, ended.openedAt+w.bounds.InitialBackoff), w.dial)
}

// reportLoss records that a watch has failed or that Refetch was called. If no watch is active it logs the loss: once until
// a watch works again, and at most once per logInterval.
func (w *Watcher) reportLoss(cause string) {
	w.hasFailed = true
	if now := w.loop.Now(); w.active == nil && !w.lossReported &&
		(w.lossLoggedAt == 0 || now-w.lossLoggedAt > logInterval) {
		w.lossReported, w.lossLoggedAt = true, now
		w.log.Warn("discovery watch lost", "cause", cause)
	}
}

// logInterval is the minimum time between two warnings of the same kind.
const logInterval = 10 * time.Second

// recordSuccess notes that a watch has delivered a valid message. It ends the backoff only if the watch has been open for
// longer than MaxBackoff, so that a watch that ends soon after its list is not replaced faster.
func (w *Watcher) recordSuccess(from *watch) {
	if w.loop.Now()-from.openedAt > w.bounds.MaxBackoff {
		w.backoff = 0
	}
	if w.lossReported {
		w.lossReported = false
		w.log.Info("discovery watch restored")
	}
}

// firstByteTimeout returns how long a watch may take from its connection to the first byte of its response. It doubles
// with each consecutive watch that received nothing, up to ClusterSilenceTimeout, so that a watch also succeeds when
// discovery has become slow. It doubles at most 8 times, so that the shift can't overflow.
func (w *Watcher) firstByteTimeout() time.Duration {
	return min(w.bounds.ClusterResponseTimeout<<min(w.silentWatches, 8), w.bounds.ClusterSilenceTimeout)
}
