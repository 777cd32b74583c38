package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// World is everything around one or more ingresses, which are processes of the real binary.
type World struct {
	Dir       string
	Record    *Record
	Hosts     []*Host
	Counter   *Counter
	Discovery *Discovery
	Ingresses []*Ingress
	cells     *cells
}

// Ingress is one, whichever process serves it now.
type Ingress struct {
	Name, Addr, Control, Binary, Log string
	Args                             []string
	env                              []string
	config                           string         // path of its configuration,
	told                             map[string]any // and what that says
	Cmd                              *exec.Cmd      // the first process
	ended                            chan struct{}
}

// Shape says what a world is made of.
type Shape struct {
	Hosts, Ingresses int
	Work             time.Duration
	Plans            []map[string]any // as in an ingress's settings; nil: one that hardly limits, one with a ceiling
	Settings         string           // text of the program's own settings beyond the control socket
	Sockets          int
	Version          int                   // of the settings; 0: they have none
	Links            *Links                // between ingresses that talk; nil: they do not
	Replicas         func(me int) []string // of the control group, as an ingress reaches them; nil: there is none
	Bare             bool                  // without settings of the program's own, and so without a control socket

	Args []string // more arguments of an ingress

	// Env is more environment of an ingress, by its number and address; nil: none.
	Env func(me int, addr string) []string

	// Adjust changes the configuration of an ingress before its start, by its number; nil: nothing is changed.
	Adjust func(me int, config, settings map[string]any)
}

// Window is for which the cells of a world know a key.
const Window = 3 * time.Second

// Plans of a world that says nothing of them: boutique and distributeur.
func Plans() []map[string]any {
	return []map[string]any{
		{"name": "boutique", "quotaRate": 50, "storeSize": 200, "valueFactor": 1.2, "overWorth": 0.1},
		{"name": "small", "quotaRate": 10, "storeSize": 30, "valueFactor": 1.2, "overWorth": 0.1},
		{"name": "distributeur", "quotaRate": 20, "storeSize": 40, "valueFactor": 1.6, "overrunCost": 1, "hardRate": 40,
			"neverOverDepth": 80, "hardSlack": 8},
	}
}

// NewWorld starts hosts, counter and discovery. Files go into dir.
func NewWorld(dir string, s Shape) (*World, error) {
	w := &World{Dir: dir, Record: NewRecord(), cells: &cells{window: Window, seen: map[string]time.Time{}}}
	var err error
	if w.Counter, err = NewCounter(); err != nil {
		return nil, err
	}
	if w.Discovery, err = NewDiscovery(w.Record); err != nil {
		return nil, err
	}
	for i := range s.Hosts {
		h := &Host{Name: fmt.Sprintf("h%d", i), Zone: "salle-a", Cell: i / 2, Slots: 16, Queue: 32, Work: s.Work}
		if err := w.AddHost(h); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// AddHost starts a host and tells of it.
func (w *World) AddHost(h *Host) error {
	if err := h.start(w.Record, w.cells); err != nil {
		return err
	}
	w.Hosts = append(w.Hosts, h)
	w.Discovery.Set(h, "Ready")
	return nil
}

// Config is an ingress's configuration.
func (w *World) Config(name, addr string, me int, s Shape) map[string]any {
	class := func(name, effect string, aim, deadline int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "onTime": aim, "deadline": deadline, "value": worth,
			"dedupScope": "cell", "repeatWindow": Window.Milliseconds()}
	}
	plans := s.Plans
	if plans == nil {
		plans = Plans()
	}
	sockets := s.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	c := map[string]any{"name": name, "listen": addr, "discovery": w.Discovery.Addr(), "counter": w.Counter.Addr(), "seed": "1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known":  map[string]any{"version": 0, "full": true, "servers": []any{}},
		"settings": map[string]any{"balancers": max(1, s.Ingresses), "me": me, "period": 1, "zone": "salle-a", "discovery": "push",
			"classes": []any{class("stock", "retryable", 1200, 3000, 3), class("catalogue", "retryable", 600, 2000, 1),
				class("order", "dedup", 1200, 3000, 2), class("commit", "fragile", 1200, 3000, 2)},
			"tiersOfService": plans,
			"extra":          map[string]any{"hasCounter": true, "counterTimeout": 30, "maxUnits": 2},
			"limits":         map[string]any{"maxAttempts": 3, "cancelling": true, "dialTimeout": 250, "idleClose": 15000, "maxRetryAfter": 2000},
			"rules":          map[string]any{"answerSlack": 16, "drainGrace": 500, "cold": 8000, "coldFrom": 0.2, "tipMultiple": 2, "fall": 3000},
			"prices":         map[string]any{"crossZone": 0.01}}}
	if s.Version > 0 {
		c["settings_version"] = s.Version
		c["drained"] = map[string]any{"version": s.Version, "hosts": []string{}}
	}
	if s.Links != nil {
		c["peer_listen"], c["peers"] = s.Links.Listen(me), s.Links.Peers(me)
	}
	return c
}

// Start starts an ingress of the binary. Its path is a copy's, so that the test may put another in its place.
func (w *World) Start(binary string, s Shape) (*Ingress, error) {
	me := len(w.Ingresses)
	in := &Ingress{Name: fmt.Sprintf("n%d", me), ended: make(chan struct{})}
	dir := filepath.Join(w.Dir, in.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if in.Addr, err = Free(); err != nil {
		return nil, err
	}
	in.Control, in.Binary, in.Log = filepath.Join(dir, "control.sock"), filepath.Join(dir, "ferryfront"), filepath.Join(dir, "log")
	if err := in.Install(binary); err != nil {
		return nil, err
	}
	in.told, in.config = w.Config(in.Name, in.Addr, me, s), filepath.Join(dir, "config.json")
	own := filepath.Join(dir, "own.cue")
	adjust := func(config, settings map[string]any) {
		if s.Adjust != nil {
			s.Adjust(me, config, settings)
		}
	}
	if err := in.Configure(adjust); err != nil {
		return nil, err
	}
	if err := os.WriteFile(own, []byte(s.own(in.Control, me)), 0o600); err != nil {
		return nil, err
	}
	in.env = append(os.Environ(), "GW_CONFIG="+in.config)
	if s.Env != nil {
		in.env = append(in.env, s.Env(me, in.Addr)...)
	}
	if in.Args = []string{"serve", "--config", own}; s.Bare {
		in.Args = in.Args[:1]
	}
	in.Args = append(in.Args, s.Args...)
	if err := in.run(); err != nil {
		return nil, err
	}
	w.Ingresses = append(w.Ingresses, in)
	return in, in.Ready(10 * time.Second)
}

// own is the text of an ingress's own settings.
func (s Shape) own(control string, me int) string {
	text := fmt.Sprintf("control: %q\n%s", control, s.Settings)
	if s.Replicas != nil {
		list, _ := json.Marshal(s.Replicas(me)) // of texts, which can be written
		text += fmt.Sprintf("\ncontrol_group: replicas: %s\n", list)
	}
	return text
}

// Configure changes the ingress's configuration, and its settings, on disk. SIGHUP has a process read it.
func (in *Ingress) Configure(change func(config, settings map[string]any)) error {
	change(in.told, in.told["settings"].(map[string]any))
	raw, err := json.Marshal(in.told)
	if err != nil {
		return err
	}
	next := in.config + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, in.config)
}

// Again starts an ingress that has ended once more, as it was started first.
func (w *World) Again(i int) error {
	in := w.Ingresses[i]
	<-in.ended
	in.ended = make(chan struct{})
	if err := in.run(); err != nil {
		return err
	}
	return in.Ready(10 * time.Second)
}

// run starts the first process.
func (in *Ingress) run() error {
	log, err := os.OpenFile(in.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.Cmd = exec.Command(in.Binary, in.Args...)
	in.Cmd.Env, in.Cmd.Stdout, in.Cmd.Stderr = in.env, log, log
	// Successors are of the same group, and outlive the first process.
	in.Cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := in.Cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(in.Cmd, in.ended)
	return nil
}

// Install puts a binary at the ingress's path, in one step.
func (in *Ingress) Install(binary string) error {
	b, err := os.ReadFile(binary)
	if err != nil {
		return err
	}
	return in.Put(b, 0o700)
}

// Put writes a file there.
func (in *Ingress) Put(b []byte, mode os.FileMode) error {
	next := in.Binary + ".next"
	_ = os.Remove(next) // of an earlier try
	// A process started meanwhile would inherit the descriptor, and for that long the file could not be run.
	syscall.ForkLock.RLock()
	err := os.WriteFile(next, b, mode)
	syscall.ForkLock.RUnlock()
	if err != nil {
		return err
	}
	return os.Rename(next, in.Binary)
}

// Ready waits until the ingress says that it may be sent requests.
func (in *Ingress) Ready(most time.Duration) error {
	for end := time.Now().Add(most); ; {
		if up(in.Addr) {
			return nil
		}
		if time.Now().After(end) {
			log, _ := os.ReadFile(in.Log)
			return fmt.Errorf("%s is not ready: %s", in.Name, log)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func up(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	b := make([]byte, 12)
	n, _ := conn.Read(b)
	return string(b[:n]) == "HTTP/1.1 200"
}

// Ended is closed when the first process has ended.
func (in *Ingress) Ended() <-chan struct{} { return in.ended }

// Kill ends every process of the ingress.
func (in *Ingress) Kill() { _ = syscall.Kill(-in.Cmd.Process.Pid, syscall.SIGKILL) }

// Alive tells whether any process of the ingress is left, one that nobody has waited for included.
func (in *Ingress) Alive() bool { return syscall.Kill(-in.Cmd.Process.Pid, 0) == nil }

// Close ends the world.
func (w *World) Close() {
	for _, in := range w.Ingresses {
		in.Kill()
		<-in.ended
	}
	for _, h := range w.Hosts {
		_ = h.server.Close()
	}
	w.Counter.Close()
	_ = w.Discovery.server.Close()
}
