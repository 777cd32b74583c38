// Package stand holds what the cases of the review share: a record, the platform's discovery and counter, and ingress
// processes that are started by the commands of deploy/balancer.toml. Everything listens on 127.0.0.1 at free ports.
package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Trouble reports whether the run includes the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord starts the record of a case in its folder.
func OpenRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &Record{file: file, start: time.Now()}
	r.Printf("case %s, trouble %v", filepath.Base(folder), Trouble())
	return r, nil
}

// Printf writes one line with the time since the start in milliseconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1e3, fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// Listen opens a listener on a free port.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// FreeAddress returns an address on which nothing listens now.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Host is an entry of discovery's list.
type Host struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type hostList struct {
	Version int    `json:"version"`
	Full    bool   `json:"full"`
	Servers []Host `json:"servers"`
}

// Discovery is the agent that tells the list of order servers.
type Discovery struct {
	mu      sync.Mutex
	version int
	hosts   []Host
	changed chan struct{}
	server  *http.Server
	address string
}

// StartDiscovery starts an agent that knows these hosts.
func StartDiscovery(hosts []Host) (*Discovery, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	d := &Discovery{version: 1, hosts: hosts, changed: make(chan struct{}), address: listener.Addr().String()}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 20 * time.Second}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Set replaces the list.
func (d *Discovery) Set(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list, or a watch: the whole list now and at each change, and an empty line every 2 s.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	isWatch := r.URL.Query().Get("stream") != ""
	told := 0
	for {
		d.mu.Lock()
		list, changed := hostList{Version: d.version, Full: true, Servers: d.hosts}, d.changed
		d.mu.Unlock()
		line := []byte("\n")
		if list.Version != told {
			text, err := json.Marshal(list)
			if err != nil {
				return
			}
			told, line = list.Version, append(text, '\n')
		}
		if _, err := w.Write(line); err != nil || !isWatch {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Counter is the shared quota counter.
type Counter struct {
	mu      sync.Mutex
	numbers map[string]*number
	server  *http.Server
	address string
}

type number struct {
	total float64
	until time.Time
}

// StartCounter starts a counter without numbers.
func StartCounter() (*Counter, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	c := &Counter{numbers: map[string]*number{}, address: listener.Addr().String()}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: 20 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// maxNumberLife is the longest life of a number.
const maxNumberLife = 60000

// ServeHTTP adds to a number and answers with its total.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	by, err := strconv.ParseFloat(r.URL.Query().Get("by"), 64)
	life, lifeErr := strconv.Atoi(r.URL.Query().Get("expire_ms"))
	if r.Method != http.MethodPost || err != nil || lifeErr != nil || !strings.HasPrefix(r.URL.Path, "/counters/") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.numbers[r.URL.Path]
	if n == nil || now.After(n.until) {
		n = &number{until: now.Add(time.Duration(min(max(life, 1), maxNumberLife)) * time.Millisecond)}
		c.numbers[r.URL.Path] = n
	}
	n.total += by
	_, _ = io.WriteString(w, strconv.FormatFloat(n.total, 'g', 7, 64))
}

// World is everything around the ingresses, and the ingresses.
type World struct {
	Record    *Record
	Discovery *Discovery
	Counter   *Counter
	Ingresses []*Ingress

	root, dir, run string
}

// NewWorld starts discovery and the counter. root is the repository, where bin/ is built.
func NewWorld(root string, record *Record, hosts []Host) (*World, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, root: root, run: run}
	if w.dir, err = os.MkdirTemp("", "ferryfront-review-"); err != nil {
		return nil, err
	}
	if w.Discovery, err = StartDiscovery(hosts); err != nil {
		return nil, err
	}
	w.Counter, err = StartCounter()
	return w, err
}

// runCommand returns the command of the deploy file that starts an ingress.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(value), "\""), nil
		}
	}
	return "", errors.New("deploy/balancer.toml names no run command")
}

// Close ends the ingresses that still run and removes the temporary folder.
func (w *World) Close() {
	for _, in := range w.Ingresses {
		in.Kill()
	}
	_ = w.Discovery.server.Close()
	_ = w.Counter.server.Close()
	_ = os.RemoveAll(w.dir)
}

// Ingress is one ingress process.
type Ingress struct {
	Name, Addr string

	log     string // path
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts the ingress with the number me of so many and waits until it is up.
func (w *World) Start(me int, settings map[string]any) (*Ingress, error) {
	in := &Ingress{Name: fmt.Sprintf("n%d", me), ended: make(chan struct{})}
	var err error
	if in.Addr, err = FreeAddress(); err != nil {
		return nil, err
	}
	dir := filepath.Join(w.dir, in.Name)
	temp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	config := map[string]any{"name": in.Name, "listen": in.Addr, "discovery": w.Discovery.address, "counter": w.Counter.address,
		"seed": fmt.Sprintf("%x", time.Now().UnixNano()), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": hostList{Version: 1, Full: true, Servers: w.Discovery.hosts}, "settings": settings}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	in.log = filepath.Join(dir, "log")
	log, err := os.Create(in.log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	in.command = exec.Command("/bin/sh", "-c", w.run)
	in.command.Dir, in.command.Stdout, in.command.Stderr = w.root, log, log
	in.command.Env = append(os.Environ(), "GW_NAME="+in.Name, "GW_LISTEN="+in.Addr, "GW_DISCOVERY="+w.Discovery.address,
		"GW_CONFIG="+path, "TMPDIR="+temp)
	in.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := in.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = in.command.Wait()
		close(in.ended)
	}()
	w.Ingresses = append(w.Ingresses, in)
	w.Record.Printf("ingress %s started: %s, listens on %s", in.Name, w.run, in.Addr)
	return in, in.awaitUp(30 * time.Second)
}

// awaitUp waits until GET /up is answered with 200.
func (in *Ingress) awaitUp(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + in.Addr + "/up")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not up after %s", in.Name, limit)
}

// Kill ends the process, and those that it has started and that live on, and waits for its end.
func (in *Ingress) Kill() {
	_ = syscall.Kill(-in.command.Process.Pid, syscall.SIGKILL) // its process group
	<-in.ended
}

// HasEnded reports whether the process is gone.
func (in *Ingress) HasEnded() bool {
	select {
	case <-in.ended:
		return true
	default:
		return false
	}
}

// Levis returns settings like those of entrepot-levis, for the ingress with the number me of so many.
func Levis(me, ingresses int) map[string]any {
	type object = map[string]any
	return object{
		"balancers": ingresses, "me": me, "family": "gate", "layer": 0, "period": 4.0, "discovery": "push",
		"zone": "salle-a", "zones": []string{"salle-a", "salle-b", "salle-c"}, "tiers": []string{"commandes"}, "weights": "none",
		"kinds": []string{"std-2c"}, "clientHabits": object{"marksRetry": false},
		"classes": []object{
			{"name": "stock", "effect": "retryable", "dedupScope": "all", "onTime": 1200.0, "deadline": 3000.0, "value": 3.0,
				"lateShare": 0.0, "repeatWindow": 5000.0, "stream": false},
			{"name": "catalogue", "effect": "retryable", "dedupScope": "all", "onTime": 600.0, "deadline": 2000.0, "value": 1.0,
				"lateShare": 0.0, "repeatWindow": 5000.0, "stream": false},
			{"name": "order", "effect": "dedup", "dedupScope": "cell", "onTime": 1200.0, "deadline": 3000.0, "value": 2.0,
				"lateShare": 0.0, "repeatWindow": 3000.0, "stream": false}},
		"tiersOfService": []object{
			{"name": "boutique", "quotaRate": 0.91, "storeSize": 3.0, "valueFactor": 1.2, "overWorth": 0.1, "overrunCost": 0.0,
				"atOnce": 0, "hardRate": 0.0, "hardSlack": 0.0, "neverOverDepth": 0.0},
			{"name": "distributeur", "quotaRate": 7.7, "storeSize": 19.0, "valueFactor": 1.6, "overWorth": 0.0, "overrunCost": 1.0,
				"atOnce": 0, "hardRate": 17.0, "hardSlack": 4.0, "neverOverDepth": 42.0}},
		"extra": object{"hasCounter": true, "counterPrice": 0.01, "counterTimeout": 30.0, "maxUnits": 1, "settles": false,
			"inboxPerS": 0.0, "metering": 0.0},
		"limits": object{"maxAttempts": 3, "cancelling": true, "parallelTries": false, "probes": true, "retryAfter": false,
			"mayTell": false, "dialTimeout": 250.0, "idleClose": 15000.0, "maxOpen": 20000, "maxRetryAfter": 2000.0,
			"cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "streamsPerConn": 32},
		"rules": object{"answerSlack": 16.0, "askWithin": 10000.0, "cold": 16000.0, "coldFrom": 0.15, "drainGrace": 500.0,
			"fall": 3000.0, "tipMultiple": 2.0},
		"prices": object{"crossZone": 0.01, "probe": 0.01, "waste": 0.029, "lateFail": 0.062, "connection": 0.0, "handshake": 0.0},
		"goal":   object{"whole": 0.45, "worstWindow": 0.3, "worstTenant": 0.25, "worstClass": 0.0},
		"stats":  object{"how": "none", "names": []string{}},
	}
}

// Pid returns the process id.
func (in *Ingress) Pid() int { return in.command.Process.Pid }

// Log returns what the process has written to its standard output and standard error.
func (in *Ingress) Log() string {
	text, err := os.ReadFile(in.log)
	if err != nil {
		return ""
	}
	return string(text)
}
