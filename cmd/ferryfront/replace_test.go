package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// process is a daemon process that the platform, here the test, has started.
type process struct {
	cmd       *exec.Cmd
	adminAddr string
	done      chan struct{}
}

// withHandoverDir gives the daemon an admin endpoint and a directory for the handover socket.
func (env *testEnv) withHandoverDir() *testEnv {
	env.extraEnv = append(env.extraEnv, "TMPDIR="+env.t.TempDir())
	return env.withAdmin()
}

// startReplacement starts a second process as the platform does: same addresses and directory, another admin endpoint.
func (env *testEnv) startReplacement() *process {
	env.t.Helper()
	p := &process{cmd: exec.Command(binaryPath, "serve"), adminAddr: freeAddr(env.t), done: make(chan struct{})}
	p.cmd.Env, p.cmd.Stderr = append([]string{"GW_CONFIG=" + env.configPath, "GW_MGMT=" + p.adminAddr}, env.extraEnv...), env.log.File
	require.NoError(env.t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	env.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

// isReady reports whether the process is ready by its admin endpoint.
func (p *process) isReady() bool {
	c, err := net.DialTimeout("tcp", p.adminAddr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "STATUS\n")
	answer, _ := io.ReadAll(c)
	return strings.HasPrefix(string(answer), "200")
}

// firstProcess returns the process that env.launch has started.
func (env *testEnv) firstProcess() *process {
	p := &process{cmd: env.cmd, adminAddr: env.adminAddr, done: make(chan struct{})}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	return p
}

// requireExit waits until a process has exited with 0, for less time than until the platform would kill it.
func (env *testEnv) requireExit(p *process) {
	env.t.Helper()
	select {
	case <-p.done:
		require.Zero(env.t, p.cmd.ProcessState.ExitCode())
	case <-time.After(3700 * time.Millisecond):
		require.Fail(env.t, "the old process goes on")
	}
}

// startLoad sends rate requests a second until stop is called, which returns their number and those without a response 200.
func (env *testEnv) startLoad(rate int) (stop func() (asked int, faults []string)) {
	var all sync.WaitGroup
	var asked atomic.Int32
	var mu sync.Mutex
	var faults []string
	end := make(chan struct{})
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	all.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-tick.C:
			}
			class, method := "stock", "GET"
			if i%4 == 0 {
				class, method = "order", "POST"
			}
			path := fmt.Sprintf("/api/%x?n=%d", 1000+i%50, i)
			var body io.Reader
			if method == "POST" {
				body = strings.NewReader("{}")
			}
			r := env.request(method, path, class, body, "Request-Id", fmt.Sprint("l", i), "Idempotency-Key", fmt.Sprint("lk", i))
			asked.Add(1)
			all.Go(func() {
				resp, err := client.Do(r)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil || resp.StatusCode != 200 {
					mu.Lock()
					defer mu.Unlock()
					status := 0
					if resp != nil {
						status = resp.StatusCode
					}
					faults = append(faults, fmt.Sprint(r.Header.Get("Request-Id"), " ", status, " ", err))
				}
			})
		}
	})
	return func() (int, []string) {
		close(end)
		all.Wait()
		client.CloseIdleConnections()
		return int(asked.Load()), faults
	}
}

// Twenty replacements at 200 requests a second. Every request gets one response and reaches one host once, no connection is
// reset, and each old process ends, by itself or on SIGTERM.
func TestReplacementsUnderLoad(t *testing.T) {
	env := newTestEnv(t).withHandoverDir()
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond) // the work of an upstream host
		env.echo(rw, r)
	}
	env.hosts["h2"] = env.hosts["h1"]
	env.start()
	stop := env.startLoad(200)
	old := env.firstProcess()
	for i := range 20 {
		began := time.Now()
		next := env.startReplacement()
		env.eventually(next.isReady)
		require.Less(t, time.Since(began), 6*time.Second)
		if i%2 == 0 {
			require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
		}
		env.requireExit(old)
		old = next
		env.adminAddr = next.adminAddr
	}
	asked, faults := stop()
	require.Empty(t, faults)
	require.Equal(t, 20, strings.Count(env.log.String(), `msg="taken over"`), "each handed over")
	require.Len(t, env.recorded(), asked)
	seen := map[string]bool{}
	for _, got := range env.recorded() {
		require.False(t, seen[got], "twice at a host: %s", got)
		seen[got] = true
	}
	now := env.metrics()
	require.Less(t, now["app_backend_calls"], asked, "each process counts for itself")
}

// The path of the handover socket holds something unusable. The new process starts next to the old one in time, and no
// request is lost.
func TestUnusableHandoverSocket(t *testing.T) {
	for name, place := range map[string]func(t *testing.T, path string){
		"stale": func(t *testing.T, path string) {
			fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
			require.NoError(t, err)
			require.NoError(t, unix.Bind(fd, &unix.SockaddrUnix{Name: path}))
			require.NoError(t, unix.Close(fd))
		},
		"silent": func(t *testing.T, path string) {
			fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
			require.NoError(t, err)
			require.NoError(t, unix.Bind(fd, &unix.SockaddrUnix{Name: path}))
			require.NoError(t, unix.Listen(fd, 4))
			t.Cleanup(func() { _ = unix.Close(fd) })
		},
		"folder":  func(t *testing.T, path string) { require.NoError(t, os.Mkdir(path, 0o700)) },
		"link":    func(t *testing.T, path string) { require.NoError(t, os.Symlink("/dev/null", path)) },
		"file":    func(t *testing.T, path string) { require.NoError(t, os.WriteFile(path, []byte("x"), 0o600)) },
		"nothing": func(*testing.T, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t).withHandoverDir().start()
			path := filepath.Join(strings.TrimPrefix(env.extraEnv[0], "TMPDIR="), ".ferryfront-n0")
			require.NoError(t, os.Remove(path))
			place(t, path)
			old := env.firstProcess()
			stop := env.startLoad(100)
			began := time.Now()
			next := env.startReplacement()
			env.eventually(next.isReady)
			require.Less(t, time.Since(began), 6*time.Second)
			require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
			env.requireExit(old)
			_, faults := stop()
			require.Empty(t, faults)
			require.NotContains(t, env.log.String(), "taken over\"")
		})
	}
}

// A successor is killed before or after it is ready. The old process keeps serving and hands over to the next successor.
func TestSuccessorDies(t *testing.T) {
	env := newTestEnv(t).withHandoverDir().start()
	old := env.firstProcess()
	for i := range 12 {
		dead := env.startReplacement()
		if i%3 == 0 {
			env.eventually(dead.isReady)
		} else {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond) // at various times of its start
		}
		require.NoError(t, dead.cmd.Process.Kill())
		<-dead.done
		env.eventually(func() bool {
			got, err := env.do(env.request("GET", "/api/41", "stock", nil, "Request-Id", fmt.Sprint("d", i)))
			return err == nil && got.status == 200
		})
		env.eventually(old.isReady)
	}
	next := env.startReplacement()
	env.eventually(next.isReady)
	env.requireExit(old)
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/41", "stock", nil)).status)
}

// Guards against orders that run in two cells: a successor is killed while its orders are in flight, and the old process, which
// serves again, sent their repeats to hosts of any cell.
func TestOrdersStayInCellWhenSuccessorIsKilled(t *testing.T) {
	const orders = 12
	env := newTestEnv(t).withHandoverDir()
	for _, id := range []string{"h1", "h2", "h3"} {
		env.hosts[id] = func(_ http.ResponseWriter, r *http.Request) {
			env.record(r.Header.Get("Idempotency-Key") + " " + id)
			if strings.HasPrefix(r.Header.Get("Request-Id"), "first") {
				_, _ = io.ReadAll(r.Body) // the server notices a closed connection only after the body
				<-r.Context().Done()
			}
		}
	}
	env.start()
	old := env.firstProcess()
	successor := env.startReplacement()
	env.eventually(successor.isReady)
	order := func(try string, i int) *http.Request {
		return env.request("POST", fmt.Sprintf("/api/%x", 100+i), "order", strings.NewReader("x"), "Request-Id",
			fmt.Sprint(try, i), "Idempotency-Key", fmt.Sprint("k", i))
	}
	for i := range orders {
		r := order("first", i)
		r.GetBody = nil // the client must not repeat it by itself
		go func() { _, _ = env.do(r) }()
	}
	env.eventually(func() bool { return len(env.recorded()) == orders })
	require.NoError(t, successor.cmd.Process.Kill())
	<-successor.done
	env.eventually(old.isReady)
	for i := range orders {
		require.Equal(t, 200, env.mustDo(order("again", i)).status)
	}
	hosts := map[string]string{}
	for _, record := range env.recorded() {
		key, host, _ := strings.Cut(record, " ")
		if hosts[key] == "" {
			hosts[key] = host
		}
		require.Equal(t, hosts[key], host, "%s ran in two cells", key)
	}
	require.Len(t, hosts, orders)
}

// SIGHUP and SIGTERM reach the old process at various times of a replacement. The new process serves, with a handover or
// without.
func TestSignalsDuringAReplacement(t *testing.T) {
	for i := range 10 {
		env := newTestEnv(t).withHandoverDir().start()
		old := env.firstProcess()
		stop := env.startLoad(50)
		next := env.startReplacement()
		time.Sleep(time.Duration(i) * 4 * time.Millisecond) // at various times of its start
		require.NoError(t, old.cmd.Process.Signal(syscall.SIGHUP))
		require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
		env.eventually(next.isReady)
		env.requireExit(old)
		_, faults := stop()
		require.Empty(t, faults)
		require.Equal(t, 200, env.mustDo(env.request("GET", "/api/42", "stock", nil)).status)
	}
}

// Without a writable directory for the handover socket, both processes listen at the same address.
func TestReplacementWithoutDirectory(t *testing.T) {
	for _, dir := range []string{"", "/proc", "/no/such/folder"} {
		env := newTestEnv(t).withAdmin()
		env.extraEnv = []string{"TMPDIR=" + dir}
		env.start()
		old := env.firstProcess()
		next := env.startReplacement()
		env.eventually(next.isReady)
		require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
		env.requireExit(old)
		require.Equal(t, 200, env.mustDo(env.request("GET", "/api/43", "stock", nil)).status)
	}
}

// A replacement with many idle connections and half read requests. All connections are handed over and none is closed, and
// both processes together stay within the descriptor limit of one.
func TestReplacementWithManyConnections(t *testing.T) {
	const sockets = 384
	env := newTestEnv(t).withHandoverDir()
	change := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		change(config, settings)
		config["limits"].(object)["sockets"] = sockets
	}
	env.start()
	old := env.firstProcess()
	head := "GET /api/44 HTTP/1.1\r\nRequest-Class: stock\r\nX-Plan: boutique\r\nRequest-Id: "
	var idle, half []net.Conn
	for i := range 40 {
		c := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		idle = append(idle, c)
		half = append(half, env.dialAndWrite(head+fmt.Sprint("c", i)))
	}
	next := env.startReplacement()
	env.eventually(next.isReady)
	held := processDescriptors(t, old) + processDescriptors(t, next)
	require.LessOrEqual(t, held, sockets)
	for i := range idle {
		for c, text := range map[net.Conn]string{idle[i]: head + fmt.Sprint("d", i) + "\r\n\r\n", half[i]: "\r\n\r\n"} {
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
		}
	}
	env.requireExit(old)
}

// processDescriptors returns how many descriptors a process has open, 0 if it has ended.
func processDescriptors(t *testing.T, p *process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		require.ErrorIs(t, err, os.ErrNotExist)
	}
	return len(entries)
}

// A third process starts before the second one has completed the handover from the first. It starts next to them without a
// handover. Both others end on SIGTERM, and no request is lost.
func TestTwoConcurrentReplacements(t *testing.T) {
	env := newTestEnv(t).withHandoverDir().start()
	stop := env.startLoad(100)
	first := env.firstProcess()
	second := env.startReplacement()
	env.eventually(second.isReady)
	third := env.startReplacement()
	env.eventually(third.isReady)
	for _, p := range []*process{first, second} {
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		env.requireExit(p)
	}
	_, faults := stop()
	require.Empty(t, faults)
	require.True(t, third.isReady())
}

// A client of the handover socket that stays silent or sends invalid data doesn't disturb the process. The next real
// successor takes over.
func TestInvalidSuccessorIsRejected(t *testing.T) {
	env := newTestEnv(t).withHandoverDir().start()
	old := env.firstProcess()
	path := filepath.Join(strings.TrimPrefix(env.extraEnv[0], "TMPDIR="), ".ferryfront-n0")
	connect := func() int {
		fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
		require.NoError(t, err)
		require.NoError(t, unix.Connect(fd, &unix.SockaddrUnix{Name: path}))
		return fd
	}
	for _, text := range []string{"garbage", "\x00", "\x00\x0a\x02\x08\x63", strings.Repeat("x", 30000)} {
		fd := connect()
		require.NoError(t, unix.Sendto(fd, []byte(text), 0, nil))
		env.eventually(func() bool { // it is rejected
			n, err := unix.Read(fd, make([]byte, 100))
			return n == 0 || err != nil
		})
		require.NoError(t, unix.Close(fd))
		require.True(t, old.isReady())
	}
	silent := connect()
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/45", "stock", nil)).status)
	require.NoError(t, unix.Close(silent))
	env.eventually(func() bool { return strings.Count(env.log.String(), "this process carries on") >= 5 })
	next := env.startReplacement()
	env.eventually(next.isReady)
	require.Contains(t, env.log.String(), "taken over")
	env.requireExit(old)
}
