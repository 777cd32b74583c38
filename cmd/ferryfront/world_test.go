package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	tracev1 "go.opentelemetry.io/proto/otlp/trace/v1"

	"ferryfront.example/ferryfront/internal/standin"
)

// patience bounds every wait on a condition; none takes nearly as long.
const patience = 20 * time.Second

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ferryfront")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "ferryfront")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// logFile is what the processes of a test log to, without a pipe between: what one has logged before it answers
// can be read once the answer has come.
type logFile struct{ *os.File }

func logTo(t *testing.T) logFile {
	f, err := os.OpenFile(filepath.Join(t.TempDir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	return logFile{f}
}

func (l logFile) String() string {
	raw, err := os.ReadFile(l.Name())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// world stands in for all that is around one daemon: upstream hosts, counter, discovery and clients.
type world struct {
	t       *testing.T
	hosts   map[string]http.HandlerFunc // by id; each is a server of its own
	counter http.HandlerFunc            // numbers', unless a test has its own
	count   http.HandlerFunc
	numbers *standin.Counter
	mute    bool   // discovery does not listen
	lists   string // address of a discovery that a test serves itself
	args    []string
	most    int // descriptors that the system lets the process hold, 0: as many as the tests may
	change  func(config, settings map[string]any)
	unknown bool // the configuration knows no hosts: they are only told by discovery

	env  []string          // more environment
	at   map[string]string // addresses of hosts that a test serves itself
	addr string
	door string // of operators, empty: none
	path string // of the configuration
	told obj    // what it says
	cmd  *exec.Cmd
	log  logFile
	news chan string   // lines for the watches of discovery
	over chan struct{} // closed at the end of the test

	mu    sync.Mutex
	seen  []string          // what upstream hosts got
	spans []*tracev1.Span   // what a collector got
	ended map[string]int    // connections closed, by the server's address
	addrs map[string]string // of upstream hosts, by id
}

// closed tells how many connections to an upstream host have ended.
func (w *world) closed(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended[w.addrs[id]]
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, hosts: map[string]http.HandlerFunc{}, news: make(chan string), over: make(chan struct{}),
		log: logTo(t), ended: map[string]int{}, addrs: map[string]string{}}
	var err error
	w.numbers, err = standin.NewCounter()
	require.NoError(t, err)
	t.Cleanup(w.numbers.Close)
	w.hosts["h1"] = w.echo
	w.counter, w.count = w.numbers.ServeHTTP, w.numbers.ServeHTTP
	return w
}

// hold waits until release is closed, or until the test is over (it has failed).
func (w *world) hold(release <-chan struct{}) {
	select {
	case <-release:
	case <-w.over:
	}
}

// holdCounter keeps the counter from answering until release is closed; requests wait for it as long as the test likes.
func (w *world) holdCounter(release <-chan struct{}) {
	w.counter = func(rw http.ResponseWriter, r *http.Request) {
		w.hold(release)
		w.count(rw, r)
	}
	w.change = func(_, settings map[string]any) {
		patient(settings, 60000)
		settings["period"] = 2000
		settings["extra"].(obj)["counterTimeout"] = 60000
	}
}

// echo answers with what came, and notes it.
func (w *world) echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	got := fmt.Sprintf("%s %s id=%s key=%s body=%d", r.Method, r.RequestURI, r.Header.Get("Request-Id"),
		r.Header.Get("Idempotency-Key"), len(body))
	w.note(got)
	fmt.Fprint(rw, got)
}

func (w *world) note(s string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, s)
}

// noted is what upstream hosts got.
func (w *world) noted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.seen), func(s string) bool { return strings.HasPrefix(s, "watch") })
}

func (w *world) serve(h http.HandlerFunc) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ended[s.Listener.Addr().String()]++
		}
	}
	s.Start()
	w.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func free(t *testing.T) string {
	addr, err := standin.Free()
	require.NoError(t, err)
	return addr
}

type obj = map[string]any

// entry is a host of the list; each is of a cell of its own.
func entry(id, addr, state string) obj {
	return obj{"id": id, "addr": addr, "zone": "a", "kind": "k", "cell": int(id[1] - '0'), "state": state, "weight": 1, "started_ms": 0}
}

func line(version int, full bool, entries ...obj) string {
	b, _ := json.Marshal(obj{"version": version, "full": full, "servers": entries})
	return string(b) + "\n"
}

// patient gives all classes so many milliseconds.
func patient(settings map[string]any, most int) {
	for _, c := range settings["classes"].([]obj) {
		c["deadline"], c["onTime"] = most, most
	}
}

// start starts the daemon and waits until it says that it is ready.
func (w *world) start() *world {
	var list []obj
	for id, h := range w.hosts {
		if w.addrs[id] = w.at[id]; w.addrs[id] == "" {
			w.addrs[id] = free(w.t)
		}
		if h != nil { // a host without a handler refuses connections
			w.addrs[id] = w.serve(h)
		}
		list = append(list, entry(id, w.addrs[id], "Ready"))
	}
	discovery := w.lists
	if discovery == "" {
		discovery = free(w.t)
	}
	if !w.mute && w.lists == "" {
		discovery = w.serve(w.watch(w.news, list...))
		w.addrs["discovery"] = discovery
	}
	known := obj{"version": 1, "full": true, "servers": list}
	if w.unknown {
		known["servers"] = []obj{}
	}
	class := func(name, effect string) obj {
		return obj{"name": name, "effect": effect, "onTime": 1000, "deadline": 3000, "value": 1, "dedupScope": "cell", "repeatWindow": 3000}
	}
	settings := obj{"balancers": 1, "me": 0, "period": 4, "zone": "a", "discovery": "push",
		"classes": []obj{class("stock", "retryable"), class("catalogue", "retryable"), class("order", "dedup")},
		"tiersOfService": []obj{{"name": "boutique", "quotaRate": 100, "storeSize": 200, "valueFactor": 1},
			{"name": "small", "quotaRate": 0.1, "storeSize": 3, "valueFactor": 1, "overrunCost": 1}},
		"extra":  obj{"hasCounter": true, "counterTimeout": 30, "maxUnits": 2},
		"limits": obj{"maxAttempts": 3, "cancelling": true, "dialTimeout": 250, "idleClose": 15000, "maxRetryAfter": 2000},
		"rules":  obj{"answerSlack": 16, "drainGrace": 500}}
	w.addr = free(w.t)
	config := obj{"name": "n0", "listen": w.addr, "discovery": discovery, "counter": w.serve(w.counter), "seed": "1f",
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	if w.change != nil {
		w.change(config, settings)
	}
	w.path, w.told = filepath.Join(w.t.TempDir(), "config.json"), config
	w.configure()
	w.launch()
	w.t.Cleanup(func() {
		close(w.over)
		_ = syscall.Kill(-w.cmd.Process.Pid, syscall.SIGKILL)
		if w.cmd.ProcessState == nil {
			_ = w.cmd.Process.Kill()
			_ = w.cmd.Wait()
		}
		if w.t.Failed() {
			w.t.Log(w.log.String())
		}
	})
	w.until(w.ready)
	return w
}

// launch starts the process with the configuration as it was written last.
func (w *world) launch() {
	command := append([]string{binary, "serve"}, w.args...)
	if w.most > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, w.most)}, command...)
	}
	w.cmd = exec.Command(command[0], command[1:]...)
	discovery := fmt.Sprint(w.told["discovery"])
	w.cmd.Env, w.cmd.Stderr = append([]string{"GW_CONFIG=" + w.path, "GW_DISCOVERY=" + discovery}, w.env...), w.log.File
	// A successor is of the same group, and outlives the process that the test knows.
	w.cmd.SysProcAttr, w.cmd.WaitDelay = &syscall.SysProcAttr{Setpgid: true}, time.Second
	require.NoError(w.t, w.cmd.Start())
}

// ready tells whether the process says that it is ready.
func (w *world) ready() bool {
	resp, err := http.Get("http://" + w.addr + "/up")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// watch is discovery: a list, and then what the channel brings.
func (w *world) watch(news <-chan string, list ...obj) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.note("watch " + r.URL.Query().Get("index"))
		fmt.Fprint(rw, line(5, true, list...))
		for {
			rw.(http.Flusher).Flush()
			select {
			case text := <-news:
				fmt.Fprint(rw, text)
			case <-r.Context().Done():
				return
			}
		}
	}
}

// configure writes the configuration as it is now.
func (w *world) configure() {
	raw, err := json.Marshal(w.told)
	require.NoError(w.t, err)
	require.NoError(w.t, os.WriteFile(w.path, raw, 0o600))
}

// until waits on a condition.
func (w *world) until(cond func() bool) {
	w.t.Helper()
	require.Eventually(w.t, cond, patience, 5*time.Millisecond)
}

// reply is an answer, read whole.
type reply struct {
	status int
	header http.Header
	body   string
}

var customers int

// request builds a request of the platform's protocol, by a customer of its own unless one is given.
func (w *world) request(method, path, class string, body io.Reader, header ...string) *http.Request {
	if !strings.HasPrefix(path, "/") {
		customers++
		path = fmt.Sprintf("/api/%016x%s", customers, path)
	}
	r, err := http.NewRequest(method, "http://"+w.addr+path, body)
	require.NoError(w.t, err)
	for name, v := range map[string]string{"Request-Id": "r1", "Request-Class": class, "X-Plan": "boutique",
		"Request-Timeout": "2500m", "X-Quota": "units=1,spread=1,first=0"} {
		r.Header.Set(name, v)
	}
	if class == "order" {
		r.Header.Set("Idempotency-Key", "k1")
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (w *world) do(r *http.Request) (reply, error) {
	client := http.Client{Timeout: patience}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b)}, err
}

func (w *world) get(r *http.Request) reply {
	w.t.Helper()
	got, err := w.do(r)
	require.NoError(w.t, err)
	return got
}

// raw writes bytes on a connection of its own.
func (w *world) raw(text string) net.Conn {
	c, err := net.Dial("tcp", w.addr)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	require.NoError(w.t, c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, text)
	require.NoError(w.t, err)
	return c
}

// ends waits for the end of the process and returns its exit code.
func (w *world) ends() int {
	done := make(chan struct{})
	go func() { _ = w.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(patience):
		require.Fail(w.t, "the process goes on")
	}
	return w.cmd.ProcessState.ExitCode()
}

func (w *world) signal(s syscall.Signal) { require.NoError(w.t, w.cmd.Process.Signal(s)) }
