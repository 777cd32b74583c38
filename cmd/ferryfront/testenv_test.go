package main

import (
	"cmp"
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

// testTimeout bounds every wait for a condition. Far less is usual.
const testTimeout = 20 * time.Second

// binaryPath is the path of the program, which TestMain builds.
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

// logFile is the file to which the processes of a test log. There is no pipe in between, so what a process logged before a
// response can be read once the response has arrived.
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

// testEnv runs one daemon with stand-ins for everything around it: upstream hosts, counter, discovery and clients.
type testEnv struct {
	t                     *testing.T
	hosts                 map[string]http.HandlerFunc // by id; each runs as a server; nil: the host refuses connections
	counterHandler        http.HandlerFunc            // handles calls to the counter; a test may replace it
	defaultCounterHandler http.HandlerFunc
	counter               *standin.Counter
	isDiscoveryDown       bool   // discovery doesn't listen
	discoveryAddr         string // of a discovery that the test runs itself; empty: the environment runs one
	binary                string // of the daemon; empty: binaryPath
	args                  []string
	maxDescriptors        int // RLIMIT_NOFILE of the daemon; 0: as for the test
	modifyConfig          func(config, settings map[string]any)
	hasNoKnownHosts       bool // the configuration has no known hosts, only discovery has them

	extraEnv          []string          // further environment variables of the daemon
	externalHostAddrs map[string]string // by id, of hosts that the test runs itself
	addr              string
	adminAddr         string // of the admin endpoint; empty: none
	configPath        string // of the configuration file
	config            object // written by writeConfig
	cmd               *exec.Cmd
	log               logFile
	discoveryUpdates  chan string   // messages that discovery sends
	testDone          chan struct{} // closed at the end of the test

	mu          sync.Mutex
	records     []string          // requests that hosts got, and notes of other handlers
	spans       []*tracev1.Span   // received by collectTelemetry
	closedConns map[string]int    // number of closed connections, by server address
	hostAddrs   map[string]string // by id
}

// closedConnections returns how many connections to an upstream host have been closed.
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

// waitFor waits until release is closed or the test has ended.
func (env *testEnv) waitFor(release <-chan struct{}) {
	select {
	case <-release:
	case <-env.testDone:
	}
}

// delayCounter holds back the counter's responses until release is closed. Deadlines and the counter's timeout are set to a
// minute, so that requests wait that long.
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

// echo records the request and responds with a summary of it.
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

// recorded returns what record has stored, without the calls to discovery.
func (env *testEnv) recorded() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(env.records), func(s string) bool { return strings.HasPrefix(s, "watch") })
}

// serve runs a server until the end of the test and returns its address.
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

// freeAddr returns a local address at which nothing listens.
func freeAddr(t *testing.T) string {
	addr, err := standin.Free()
	require.NoError(t, err)
	return addr
}

// object is a JSON object.
type object = map[string]any

// hostEntry returns a host for a discovery message. The second byte of its id, a digit, is its cell.
func hostEntry(id, addr, state string) object {
	return object{"id": id, "addr": addr, "zone": "a", "kind": "k", "cell": int(id[1] - '0'), "state": state, "weight": 1, "started_ms": 0}
}

// discoveryMessage returns a line as discovery sends it. A full message replaces the list, another one changes it.
func discoveryMessage(version int, full bool, entries ...object) string {
	b, _ := json.Marshal(object{"version": version, "full": full, "servers": entries})
	return string(b) + "\n"
}

// setDeadlines sets the deadlines and targets of all classes, in milliseconds.
func setDeadlines(settings map[string]any, deadline int) {
	for _, c := range settings["classes"].([]object) {
		c["deadline"], c["onTime"] = deadline, deadline
	}
}

// start starts the stand-ins and the daemon and waits until the daemon is ready.
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

// launch starts the daemon with the configuration that was written last.
func (env *testEnv) launch() {
	command := append([]string{cmp.Or(env.binary, binaryPath), "serve"}, env.args...)
	if env.maxDescriptors > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, env.maxDescriptors)}, command...)
	}
	env.cmd = exec.Command(command[0], command[1:]...)
	discovery := fmt.Sprint(env.config["discovery"])
	env.cmd.Env, env.cmd.Stderr = append([]string{"GW_CONFIG=" + env.configPath, "GW_DISCOVERY=" + discovery}, env.extraEnv...), env.log.File
	// A successor is in the same process group and may outlive env.cmd.
	env.cmd.SysProcAttr, env.cmd.WaitDelay = &syscall.SysProcAttr{Setpgid: true}, time.Second
	require.NoError(env.t, env.cmd.Start())
}

// isReady reports whether the daemon's readiness check succeeds.
func (env *testEnv) isReady() bool {
	resp, err := http.Get("http://" + env.addr + "/up")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// discoveryHandler handles calls to discovery: it sends the list and then each message of updates.
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

// writeConfig writes env.config to its file.
func (env *testEnv) writeConfig() {
	raw, err := json.Marshal(env.config)
	require.NoError(env.t, err)
	require.NoError(env.t, os.WriteFile(env.configPath, raw, 0o600))
}

// eventually waits for a condition.
func (env *testEnv) eventually(cond func() bool) {
	env.t.Helper()
	require.Eventually(env.t, cond, testTimeout, 5*time.Millisecond)
}

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   string
}

// lastCustomer is the id of the customer that request or frontRequest used last.
var lastCustomer int

// request returns a request in the platform's protocol. A path that doesn't begin with / gets a new customer in front.
// header holds names and values in turn.
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

// mustDo sends a request and fails the test if there is no response.
func (env *testEnv) mustDo(r *http.Request) response {
	env.t.Helper()
	got, err := env.do(r)
	require.NoError(env.t, err)
	return got
}

// dialAndWrite opens a connection to the daemon and writes text to it.
func (env *testEnv) dialAndWrite(text string) net.Conn {
	c, err := net.Dial("tcp", env.addr)
	require.NoError(env.t, err)
	env.t.Cleanup(func() { c.Close() })
	require.NoError(env.t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(env.t, err)
	return c
}

// waitForExit waits until the daemon has exited and returns its exit code.
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
