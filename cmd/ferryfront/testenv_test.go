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

// testTimeout bounds every wait on a condition; none takes nearly as long.
const testTimeout = 20 * time.Second

var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ferryfront")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "ferryfront")
	if out, err := exec.Command("go", "build", "-o", binaryPath, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// logFile is what the processes of a test log to, without a pipe between: what one has logged before it answers
// can be read once the answer has come.
type logFile struct{ *os.File }

func newLogFile(t *testing.T) logFile {
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

// testEnv stands in for all that is around one daemon: upstream hosts, counter, discovery and clients.
type testEnv struct {
	t                     *testing.T
	hosts                 map[string]http.HandlerFunc // by id; each is a server of its own
	counterHandler        http.HandlerFunc            // numbers', unless a test has its own
	defaultCounterHandler http.HandlerFunc
	counter               *standin.Counter
	isDiscoveryDown       bool   // discovery does not listen
	discoveryAddr         string // address of a discovery that a test serves itself
	args                  []string
	maxDescriptors        int // descriptors that the system lets the process hold, 0: as many as the tests may
	modifyConfig          func(config, settings map[string]any)
	hasNoKnownHosts       bool // the configuration knows no hosts: they are only told by discovery

	extraEnv          []string          // more environment
	externalHostAddrs map[string]string // addresses of hosts that a test serves itself
	addr              string
	adminAddr         string // of operators, empty: none
	configPath        string // of the configuration
	config            object // what it says
	cmd               *exec.Cmd
	log               logFile
	discoveryUpdates  chan string   // lines for the watches of discovery
	testDone          chan struct{} // closed at the end of the test

	mu          sync.Mutex
	records     []string          // what upstream hosts got
	spans       []*tracev1.Span   // what a collector got
	closedConns map[string]int    // connections closed, by the server's address
	hostAddrs   map[string]string // of upstream hosts, by id
}

// closedConnections tells how many connections to an upstream host have ended.
func (env *testEnv) closedConnections(id string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.closedConns[env.hostAddrs[id]]
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, hosts: map[string]http.HandlerFunc{}, discoveryUpdates: make(chan string), testDone: make(chan struct{}),
		log: newLogFile(t), closedConns: map[string]int{}, hostAddrs: map[string]string{}}
	var err error
	env.counter, err = standin.NewCounter()
	require.NoError(t, err)
	t.Cleanup(env.counter.Close)
	env.hosts["h1"] = env.echo
	env.counterHandler, env.defaultCounterHandler = env.counter.ServeHTTP, env.counter.ServeHTTP
	return env
}

// waitFor waits until release is closed, or until the test is over (it has failed).
func (env *testEnv) waitFor(release <-chan struct{}) {
	select {
	case <-release:
	case <-env.testDone:
	}
}

// delayCounter keeps the counter from answering until release is closed; requests wait for it as long as the test likes.
func (env *testEnv) delayCounter(release <-chan struct{}) {
	env.counterHandler = func(rw http.ResponseWriter, r *http.Request) {
		env.waitFor(release)
		env.defaultCounterHandler(rw, r)
	}
	env.modifyConfig = func(_, settings map[string]any) {
		setDeadlines(settings, 60000)
		settings["period"] = 2000
		settings["extra"].(object)["counterTimeout"] = 60000
	}
}

// echo answers with what came, and notes it.
func (env *testEnv) echo(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	got := fmt.Sprintf("%s %s id=%s key=%s body=%d", r.Method, r.RequestURI, r.Header.Get("Request-Id"),
		r.Header.Get("Idempotency-Key"), len(body))
	env.record(got)
	fmt.Fprint(rw, got)
}

func (env *testEnv) record(s string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.records = append(env.records, s)
}

// recorded is what upstream hosts got.
func (env *testEnv) recorded() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(env.records), func(s string) bool { return strings.HasPrefix(s, "watch") })
}

func (env *testEnv) serve(h http.HandlerFunc) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			env.mu.Lock()
			defer env.mu.Unlock()
			env.closedConns[s.Listener.Addr().String()]++
		}
	}
	s.Start()
	env.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func freeAddr(t *testing.T) string {
	addr, err := standin.Free()
	require.NoError(t, err)
	return addr
}

type object = map[string]any

// hostEntry is a host of the list; each is of a cell of its own.
func hostEntry(id, addr, state string) object {
	return object{"id": id, "addr": addr, "zone": "a", "kind": "k", "cell": int(id[1] - '0'), "state": state, "weight": 1, "started_ms": 0}
}

func discoveryMessage(version int, full bool, entries ...object) string {
	b, _ := json.Marshal(object{"version": version, "full": full, "servers": entries})
	return string(b) + "\n"
}

// setDeadlines gives all classes so many milliseconds.
func setDeadlines(settings map[string]any, most int) {
	for _, c := range settings["classes"].([]object) {
		c["deadline"], c["onTime"] = most, most
	}
}

// start starts the daemon and waits until it says that it is ready.
func (env *testEnv) start() *testEnv {
	var list []object
	for id, h := range env.hosts {
		if env.hostAddrs[id] = env.externalHostAddrs[id]; env.hostAddrs[id] == "" {
			env.hostAddrs[id] = freeAddr(env.t)
		}
		if h != nil { // a host without a handler refuses connections
			env.hostAddrs[id] = env.serve(h)
		}
		list = append(list, hostEntry(id, env.hostAddrs[id], "Ready"))
	}
	discovery := env.discoveryAddr
	if discovery == "" {
		discovery = freeAddr(env.t)
	}
	if !env.isDiscoveryDown && env.discoveryAddr == "" {
		discovery = env.serve(env.discoveryHandler(env.discoveryUpdates, list...))
		env.hostAddrs["discovery"] = discovery
	}
	known := object{"version": 1, "full": true, "servers": list}
	if env.hasNoKnownHosts {
		known["servers"] = []object{}
	}
	class := func(name, effect string) object {
		return object{"name": name, "effect": effect, "onTime": 1000, "deadline": 3000, "value": 1, "dedupScope": "cell", "repeatWindow": 3000}
	}
	settings := object{"balancers": 1, "me": 0, "period": 4, "zone": "a", "discovery": "push",
		"classes": []object{class("stock", "retryable"), class("catalogue", "retryable"), class("order", "dedup")},
		"tiersOfService": []object{{"name": "boutique", "quotaRate": 100, "storeSize": 200, "valueFactor": 1},
			{"name": "small", "quotaRate": 0.1, "storeSize": 3, "valueFactor": 1, "overrunCost": 1}},
		"extra":  object{"hasCounter": true, "counterTimeout": 30, "maxUnits": 2},
		"limits": object{"maxAttempts": 3, "cancelling": true, "dialTimeout": 250, "idleClose": 15000, "maxRetryAfter": 2000},
		"rules":  object{"answerSlack": 16, "drainGrace": 500}}
	env.addr = freeAddr(env.t)
	config := object{"name": "n0", "listen": env.addr, "discovery": discovery, "counter": env.serve(env.counterHandler), "seed": "1f",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	if env.modifyConfig != nil {
		env.modifyConfig(config, settings)
	}
	env.configPath, env.config = filepath.Join(env.t.TempDir(), "config.json"), config
	env.writeConfig()
	env.launch()
	env.t.Cleanup(func() {
		close(env.testDone)
		_ = syscall.Kill(-env.cmd.Process.Pid, syscall.SIGKILL)
		if env.cmd.ProcessState == nil {
			_ = env.cmd.Process.Kill()
			_ = env.cmd.Wait()
		}
		if env.t.Failed() {
			env.t.Log(env.log.String())
		}
	})
	env.eventually(env.isReady)
	return env
}

// launch starts the process with the configuration as it was written last.
func (env *testEnv) launch() {
	command := append([]string{binaryPath, "serve"}, env.args...)
	if env.maxDescriptors > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, env.maxDescriptors)}, command...)
	}
	env.cmd = exec.Command(command[0], command[1:]...)
	discovery := fmt.Sprint(env.config["discovery"])
	env.cmd.Env, env.cmd.Stderr = append([]string{"GW_CONFIG=" + env.configPath, "GW_DISCOVERY=" + discovery}, env.extraEnv...), env.log.File
	// A successor is of the same group, and outlives the process that the test knows.
	env.cmd.SysProcAttr, env.cmd.WaitDelay = &syscall.SysProcAttr{Setpgid: true}, time.Second
	require.NoError(env.t, env.cmd.Start())
}

// isReady tells whether the process says that it is isReady.
func (env *testEnv) isReady() bool {
	resp, err := http.Get("http://" + env.addr + "/up")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// discoveryHandler is discovery: a list, and then what the channel brings.
func (env *testEnv) discoveryHandler(news <-chan string, list ...object) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		env.record("watch " + r.URL.Query().Get("index"))
		fmt.Fprint(rw, discoveryMessage(5, true, list...))
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

// writeConfig writes the configuration as it is now.
func (env *testEnv) writeConfig() {
	raw, err := json.Marshal(env.config)
	require.NoError(env.t, err)
	require.NoError(env.t, os.WriteFile(env.configPath, raw, 0o600))
}

// eventually waits on a condition.
func (env *testEnv) eventually(cond func() bool) {
	env.t.Helper()
	require.Eventually(env.t, cond, testTimeout, 5*time.Millisecond)
}

// response is an answer, read whole.
type response struct {
	status int
	header http.Header
	body   string
}

var lastCustomer int

// request builds a request of the platform's protocol, by a customer of its own unless one is given.
func (env *testEnv) request(method, path, class string, body io.Reader, header ...string) *http.Request {
	if !strings.HasPrefix(path, "/") {
		lastCustomer++
		path = fmt.Sprintf("/api/%016x%s", lastCustomer, path)
	}
	r, err := http.NewRequest(method, "http://"+env.addr+path, body)
	require.NoError(env.t, err)
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

func (env *testEnv) do(r *http.Request) (response, error) {
	client := http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b)}, err
}

func (env *testEnv) mustDo(r *http.Request) response {
	env.t.Helper()
	got, err := env.do(r)
	require.NoError(env.t, err)
	return got
}

// dialAndWrite writes bytes on a connection of its own.
func (env *testEnv) dialAndWrite(text string) net.Conn {
	c, err := net.Dial("tcp", env.addr)
	require.NoError(env.t, err)
	env.t.Cleanup(func() { c.Close() })
	require.NoError(env.t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(env.t, err)
	return c
}

// waitForExit waits for the end of the process and returns its exit code.
func (env *testEnv) waitForExit() int {
	done := make(chan struct{})
	go func() { _ = env.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		require.Fail(env.t, "the process goes on")
	}
	return env.cmd.ProcessState.ExitCode()
}

func (env *testEnv) signal(s syscall.Signal) { require.NoError(env.t, env.cmd.Process.Signal(s)) }
