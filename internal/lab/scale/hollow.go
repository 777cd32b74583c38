package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/daemon"
)

// action is what a hollow process is asked to do.
type action string

const (
	actionInform  action = "inform"  // take the fleet that comes with the order
	actionStart   action = "start"   // the members' daemons
	actionKill    action = "kill"    // as SIGKILL does
	actionLose    action = "lose"    // as the loss of their machines does
	actionChange  action = "change"  // give them the next version of the settings
	actionCut     action = "cut"     // Members and all others hear nothing of each other; none: the cut is healed
	actionTrim    action = "trim"    // give back the memory that the start has taken
	actionTraffic action = "traffic" // tell how many bytes they have sent and received
)

// order is one line that a hollow process reads.
type order struct {
	Fleet   *fleetConfig `json:"fleet,omitempty"` // of the first order alone
	Action  action       `json:"action"`
	Members []int        `json:"members,omitempty"`
	Version int          `json:"version,omitempty"` // of actionChange
}

// notice is one line that a hollow process writes.
type notice struct {
	Event   *Event          `json:"event,omitempty"`
	Traffic []memberTraffic `json:"traffic,omitempty"`
	Done    action          `json:"done,omitempty"` // an order has been carried out
	Error   string          `json:"error,omitempty"`
}

// memberTraffic is how many bytes of messages between ingresses a process of a member has sent and received so far.
type memberTraffic struct {
	Member int    `json:"member"`
	Bytes  uint64 `json:"bytes"`
}

// hollowProcess runs many daemons, each with its own event loop, as orders say.
type hollowProcess struct {
	fleet   fleetConfig
	members map[int]*hollowMember
	island  atomic.Pointer[map[int]bool] // members that are cut off from all others; nil: nobody is

	mu  sync.Mutex
	out *json.Encoder
}

// hollowMember is one daemon without client or upstream traffic.
type hollowMember struct {
	file     *memberFile
	embedded *daemon.Embedded // nil while it does not run
	signals  chan os.Signal
	ended    chan struct{}
}

// How a hollow process collects its heap. While dozens of daemons read their lists of hosts it goes by a limit alone,
// which the machine has room for; from then on it collects as a real ingress does.
const (
	startGC        = 400
	steadyGC       = 100
	memberMemoryMB = 13 // of the limit, for each member
)

// hollowThreads is how many threads of a hollow process run at a time. With one for each of its daemons, the processes of
// the real ingresses and of the test itself would have next to no part of the processors where all want to run.
const hollowThreads = 2

// ServeHollow runs hollow ingresses until the end of its orders.
func ServeHollow(in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(hollowThreads)
	debug.SetGCPercent(startGC)
	p := &hollowProcess{members: map[int]*hollowMember{}, out: json.NewEncoder(out)}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var o order
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("order not read: %w", err)
		}
		p.carryOut(o)
	}
}

func (p *hollowProcess) carryOut(o order) {
	if o.Fleet != nil {
		p.fleet = *o.Fleet
	}
	n := notice{Done: o.Action}
	switch o.Action {
	case actionCut:
		p.cut(o.Members)
	case actionInform:
		debug.SetMemoryLimit(int64(o.Fleet.PerProcess) * memberMemoryMB << 20)
	case actionTrim:
		debug.SetGCPercent(steadyGC)
		debug.FreeOSMemory()
	}
	for _, m := range o.Members {
		if err := p.apply(o, m, &n); err != nil {
			n.Error = fmt.Sprintf("%s %d: %v", o.Action, m, err)
			break
		}
	}
	p.tell(n)
}

func (p *hollowProcess) apply(o order, m int, n *notice) error {
	switch o.Action {
	case actionStart:
		return p.start(m)
	case actionKill:
		p.members[m].stop((*daemon.Embedded).Kill)
	case actionLose:
		p.members[m].stop((*daemon.Embedded).StopSilently)
	case actionChange:
		return p.members[m].change(o.Version)
	case actionTraffic:
		if sent, received, ok := p.members[m].traffic(); ok {
			n.Traffic = append(n.Traffic, memberTraffic{m, sent + received})
		}
	}
	return nil
}

func (p *hollowProcess) tell(n notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.out.Encode(n) // without a reader the end of the orders comes, too
}

// cut has the members of an island hear nobody else.
func (p *hollowProcess) cut(members []int) {
	if len(members) == 0 {
		p.island.Store(nil)
		return
	}
	island := map[int]bool{}
	for _, m := range members {
		island[m] = true
	}
	p.island.Store(&island)
}

// reach tells whether messages between two members get through. Both ends drop what does not, so that nothing crosses
// in either direction though one of them may be a real process, which drops nothing.
func (p *hollowProcess) reach(a, b int) bool {
	island := p.island.Load()
	return island == nil || (*island)[a] == (*island)[b]
}

// start begins a member, or begins it anew with the configuration that it had last.
func (p *hollowProcess) start(m int) error {
	member := p.members[m]
	if member == nil {
		file, err := newMemberFile(filepath.Join(p.fleet.Folder, fmt.Sprintf("%d.json", m)), p.fleet, m)
		if err != nil {
			return err
		}
		member = &hollowMember{file: file}
		p.members[m] = member
	}
	member.awaitEnd()
	member.embedded = daemon.NewEmbedded(func(other string) bool {
		number, err := memberNumber(other)
		return err != nil || p.reach(m, number)
	})
	member.signals, member.ended = make(chan os.Signal, 1), make(chan struct{})
	getenv := func(name string) string {
		if name == "GW_CONFIG" {
			return member.file.path
		}
		return ""
	}
	options := daemon.Options{
		LoadConfig:   func() (config.Config, error) { return config.Load(getenv) },
		ReloadConfig: func(was config.Config) (config.Config, error) { return config.Reload(getenv, was) },
		Version:      "hollow", HasMembership: len(p.fleet.Replicas) == 0, Signals: member.signals, Getenv: getenv, Embedded: member.embedded,
		Notify: func(...string) {},
		Log:    slog.New(eventHandler{m, func(e Event) { p.tell(notice{Event: &e}) }}),
	}
	if !options.HasMembership {
		options.ControlReplicas = p.fleet.Replicas[m]
	}
	go func() {
		defer close(member.ended)
		if err := daemon.Run(options); err != nil {
			p.tell(notice{Error: fmt.Sprintf("member %d ended: %v", m, err)})
		}
	}()
	return nil
}

// stop ends a member that runs. A reload that is under way finds nobody.
func (h *hollowMember) stop(how func(*daemon.Embedded)) {
	if h == nil || h.embedded == nil {
		return
	}
	how(h.embedded)
	close(h.signals)
	h.signals = nil
}

// awaitEnd returns once an earlier process of the member, if there was one, has given up its descriptors.
func (h *hollowMember) awaitEnd() {
	if h.embedded != nil {
		h.embedded.Release()
		<-h.ended
	}
}

var errNotRunning = errors.New("it does not run")

// change gives a member a further version of the settings, as an operator does.
func (h *hollowMember) change(version int) error {
	if h == nil || h.signals == nil {
		return errNotRunning
	}
	change(version)(h.file.config, h.file.settings)
	if err := h.file.write(); err != nil {
		return err
	}
	h.signals <- syscall.SIGHUP
	return nil
}

func (h *hollowMember) traffic() (sent, received uint64, ok bool) {
	if h == nil || h.signals == nil {
		return 0, 0, false
	}
	return h.embedded.MessageBytes()
}
