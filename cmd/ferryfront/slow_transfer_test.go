package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// finalAnswerSlack is how long after its time a request may still get its final answer.
const finalAnswerSlack = 500 * time.Millisecond

// listenSmall listens with small receive buffers for its connections, so that what is not read stays with the sender.
func listenSmall(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// slowReaderHost is a host that reads some bytes of each connection at once, then at a rate, 0: no more.
func slowReaderHost(t *testing.T, first int64, bytesPerSecond int) (addr string) {
	ln := listenSmall(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				_, err := io.CopyN(io.Discard, c, first)
				for err == nil && bytesPerSecond > 0 {
					_, err = io.CopyN(io.Discard, c, int64(bytesPerSecond/20))
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// buildWithFaults builds the program so that the environment can change system calls; see loop.FaultsEnvVar.
func buildWithFaults(t *testing.T) (path string) {
	path = filepath.Join(t.TempDir(), "ferryfront")
	out, err := exec.Command("go", "build", "-tags", "faultinject", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// bodyForms are the forms of a request body in HTTP/1.1.
var bodyForms = map[string]func(size int) (header, text string){
	"length": func(size int) (string, string) {
		return fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size)
	},
	"chunked": func(size int) (string, string) {
		var text strings.Builder
		for size > 0 {
			n := min(size, 10000)
			fmt.Fprintf(&text, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
			size -= n
		}
		return "Transfer-Encoding: chunked\r\n", text.String() + "0\r\n\r\n"
	},
}

// uploadWhole writes a request whose body fits into the sockets' buffers, and returns when its last byte was written and
// when its final answer began; a zero time: none came.
func (env *testEnv) uploadWhole(head, body string) (written, answered time.Time, status int) {
	c, err := net.Dial("tcp", env.addr)
	require.NoError(env.t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	done := make(chan time.Time, 1)
	go func() {
		if _, err := io.WriteString(c, head+body); err == nil {
			done <- time.Now()
			return
		}
		done <- time.Time{}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return <-done, time.Time{}, 0
	}
	answered = time.Now()
	return <-done, answered, resp.StatusCode
}

// A host stops reading a long request, or reads it slowly, while its client has written all of it. The final answer comes in
// the client's time.
func TestRequestThatHostReadsSlowlyIsAnsweredInTime(t *testing.T) {
	const timeout = 600 * time.Millisecond
	hosts := map[string]struct {
		first          int64
		bytesPerSecond int
	}{"stops reading": {first: 18 << 10}, "reads nothing": {}, "reads slowly": {first: 18 << 10, bytesPerSecond: 80 << 10}}
	var all sync.WaitGroup
	defer all.Wait()
	binary := buildWithFaults(t)
	for name, host := range hosts {
		env := newTestEnv(t)
		env.binary, env.extraEnv = binary, []string{"FERRYFRONT_FAULTS=sendbuffer=8192"}
		env.modifyConfig = func(_, settings map[string]any) { // each request is sent on, whatever became of those before
			settings["tiersOfService"].([]object)[0]["quotaRate"] = 1e6
			settings["limits"].(object)["maxAttempts"] = 1
		}
		env.hosts["h1"] = nil
		env.externalHostAddrs = map[string]string{"h1": slowReaderHost(t, host.first, host.bytesPerSecond)}
		env.start()
		for form, body := range bodyForms {
			for _, size := range []int{300 << 10, 800 << 10, 3 << 20} {
				all.Go(func() {
					id := fmt.Sprint(form, size)
					header, text := body(size)
					path := fmt.Sprintf("/api/%x", 0x6100+size>>10)
					head := strings.Replace(crowdHead("POST", path, "order", id, header), "2500m",
						strconv.Itoa(int(timeout.Milliseconds()))+"m", 1)
					written, answered, status := env.uploadWhole(head, text)
					t.Logf("%s, %s, %d bytes: written whole: %v, answered after %v with %d", name, form, size, !written.IsZero(),
						answered.Sub(written), status)
					switch late := answered.Sub(written) - timeout; {
					case written.IsZero(): // its time has not begun
					case answered.IsZero() || late > finalAnswerSlack:
						t.Errorf("%s, %s, %d bytes: answered %v after its time (status %d)", name, form, size, late, status)
					}
				})
			}
		}
	}
}

// slowAnswer writes an answer of the given length in parts over some time, in one of the forms of HTTP/1.1.
func slowAnswer(form string, size int, length time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, w, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		head := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", size),
			"chunked": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n"}[form]
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
		const parts = 50
		for range parts {
			part := strings.Repeat("y", size/parts)
			if form == "chunked" {
				part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			time.Sleep(length / parts)
		}
		if form == "chunked" {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		_ = w.Flush()
	}
}

// A long answer that its host writes slowly is passed on whole, also if it takes many times the request's time, and if the
// process is told to end meanwhile.
func TestSlowlyWrittenAnswerIsNotCutOff(t *testing.T) {
	const size, length, timeout = 500 << 10, 3 * time.Second, 500
	for _, isEnding := range []bool{false, true} {
		t.Run(fmt.Sprint("ending ", isEnding), func(t *testing.T) {
			env := newTestEnv(t)
			env.modifyConfig = func(_, settings map[string]any) { setDeadlines(settings, timeout) }
			forms := []string{"length", "chunked", "close"}
			env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) { slowAnswer(r.URL.RawQuery, size, length)(rw, r) }
			env.start()
			var all sync.WaitGroup
			defer all.Wait()
			for _, form := range forms {
				all.Go(func() {
					resp, err := http.DefaultClient.Do(env.request("GET", "/api/62?"+form, "stock", nil, "Request-Id", form))
					if err != nil {
						t.Errorf("%s: %v", form, err)
						return
					}
					defer resp.Body.Close()
					n, err := io.Copy(io.Discard, resp.Body)
					if err != nil || n != size {
						t.Errorf("%s: status %d, %d bytes: %v", form, resp.StatusCode, n, err)
					}
				})
			}
			if isEnding {
				time.Sleep(400 * time.Millisecond)
				env.signal(syscall.SIGTERM)
			}
		})
	}
}

// A client writes a long request slowly, for many times the time that it gives for the answer. Its time has not begun, and the
// request is served, also if its host reads in pauses that are short of that time.
func TestSlowlyWrittenRequestIsServed(t *testing.T) {
	const size, pieces, pause = 400 << 10, 25, 100 * time.Millisecond
	env := newTestEnv(t)
	env.binary, env.extraEnv = buildWithFaults(t), []string{"FERRYFRONT_FAULTS=sendbuffer=8192"}
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 64<<10)
		read := 0
		for {
			n, err := io.ReadFull(r.Body, buffer)
			if read += n; err != nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		fmt.Fprint(rw, read)
	}
	env.start()
	var all sync.WaitGroup
	defer all.Wait()
	for form, body := range bodyForms {
		all.Go(func() {
			header, text := body(size)
			head := strings.Replace(crowdHead("POST", "/api/63", "order", "slow-"+form, header), "2500m", "600m", 1)
			c := env.dialAndWrite(head)
			for len(text) > 0 {
				n := min(len(text), size/pieces)
				if _, err := io.WriteString(c, text[:n]); err != nil {
					t.Errorf("%s: %v", form, err)
					return
				}
				text = text[n:]
				time.Sleep(pause)
			}
			if status := env.statusOf(c); status != 200 {
				t.Errorf("%s: status %d", form, status)
			}
		})
	}
}
