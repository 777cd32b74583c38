package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/nettest"
)

// longBody returns a body of n bytes that depends on the seed. It is generated while it is read and never held whole.
func longBody(seed int64, n int64) io.Reader {
	return io.LimitReader(rand.New(rand.NewSource(seed)), n)
}

// digest returns the length and hash of a body, and the error of reading it.
func digest(r io.Reader) string {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%d %x %v", n, h.Sum(nil), err)
}

// peakResidentBytes returns the peak resident memory of a process.
func peakResidentBytes(t *testing.T, pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			require.NoError(t, err)
			return kb << 10
		}
	}
	return 0
}

const mib = 1 << 20

// More bytes are in flight than fit into the memory limit, in both directions, with a length and in chunks. Each body arrives
// as it was sent. Readers wait at first, so that the daemon has to buffer or stop reading.
func TestLongBodiesPassThrough(t *testing.T) {
	const each, streams, limit = 8 * mib, 12, 64
	env := newTestEnv(t)
	env.modifyConfig = func(config, settings map[string]any) {
		config["limits"] = object{"cores": 1, "memory_mb": limit, "sockets": 1024}
		for _, c := range settings["classes"].([]object) {
			c["deadline"] = 20000
		}
	}
	var gate sync.WaitGroup
	gate.Add(streams)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			gate.Done()
			gate.Wait() // all requests have arrived before the first body is read
			fmt.Fprint(rw, digest(r.Body))
			return
		}
		seed, _ := strconv.ParseInt(r.URL.RawQuery, 10, 64)
		if seed%2 == 0 {
			rw.Header().Set("Content-Length", strconv.Itoa(each))
		}
		_, _ = io.Copy(rw, longBody(seed, each))
	}
	env.start()
	var all sync.WaitGroup
	for i := range int64(streams) {
		all.Go(func() {
			body := longBody(i, each)
			if i%2 == 0 {
				body = struct{ io.Reader }{body} // in chunks
			}
			r := env.request("POST", "/api/31", "order", body, "Request-Id", fmt.Sprint("u", i), "Idempotency-Key", fmt.Sprint("k", i),
				"Request-Timeout", "15000m")
			if i%2 == 1 {
				r.ContentLength = each
			}
			got, err := env.do(r)
			if err != nil || got.body != digest(longBody(i, each)) {
				t.Errorf("upload %d: %d %v %.80q", i, got.status, err, got.body)
			}
		})
	}
	all.Wait()
	gate.Add(streams)
	for i := range int64(streams) {
		r := env.request("GET", "/api/32?"+strconv.FormatInt(i, 10), "stock", nil, "Request-Id", fmt.Sprint("d", i))
		all.Go(func() {
			resp, err := http.DefaultClient.Do(r)
			for err == nil && resp.StatusCode != 200 { // one host has a limited capacity
				resp.Body.Close()
				time.Sleep(10 * time.Millisecond)
				resp, err = http.DefaultClient.Do(r)
			}
			gate.Done()
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			gate.Wait()
			if got := digest(resp.Body); got != digest(longBody(i, each)) {
				t.Errorf("download %d: %s", i, got)
			}
		})
	}
	all.Wait()
	require.Less(t, peakResidentBytes(t, env.cmd.Process.Pid), int64(limit*mib))
	require.Greater(t, each*streams, limit*mib)
}

// A host reads none of many long request bodies at first. What the daemon buffers stays within its memory, however many
// requests there are.
func TestManyLongBodiesAtOnce(t *testing.T) {
	const each, streams, limit = 8 * mib, 60, 64 // more than the kernel buffers
	env := newTestEnv(t)
	env.modifyConfig = func(config, settings map[string]any) {
		config["limits"] = object{"cores": 1, "memory_mb": limit, "sockets": 1024}
		setDeadlines(settings, 20000)
	}
	gate := make(chan struct{})
	var arrived atomic.Int32
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		env.waitFor(gate)
		fmt.Fprint(rw, digest(r.Body))
	}
	env.start()
	var all sync.WaitGroup
	for i := range int64(streams) {
		var tries []*http.Request // a rejected request is sent again, as clients do
		for n := range 50 {
			r := env.request("POST", fmt.Sprintf("/api/%x", 5000+i), "order", longBody(i, each), "Request-Id", fmt.Sprint("m", i, ".", n),
				"Idempotency-Key", fmt.Sprint("k", i), "Request-Timeout", "19000m")
			r.ContentLength = each
			tries = append(tries, r)
		}
		all.Go(func() {
			for _, r := range tries {
				got, err := env.do(r)
				if err == nil && (got.status == 429 || got.status == 503) {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				if err != nil || got.body != digest(longBody(i, each)) {
					t.Errorf("%d: %d %v %.80q", i, got.status, err, got.body)
				}
				return
			}
			t.Errorf("%d: rejected every time", i)
		})
	}
	env.eventually(func() bool { return arrived.Load() == streams })
	close(gate)
	all.Wait()
	held := peakResidentBytes(t, env.cmd.Process.Pid)
	t.Logf("%d MB resident at the most", held/mib)
	require.Less(t, held, int64(limit*mib*5/8))
}

// A client that sends slowly, but not below the minimum rate, is served. The request timeout starts at the last byte.
func TestTimeoutRunsFromLastByte(t *testing.T) {
	env := newTestEnv(t).start()
	const n = 200 << 10
	c := env.dialAndWrite(fmt.Sprintf("POST /api/33 HTTP/1.1\r\nRequest-Id: slow\r\nRequest-Class: order\r\nX-Plan: boutique\r\n"+
		"Idempotency-Key: k\r\nRequest-Timeout: 900m\r\nContent-Length: %d\r\n\r\n", n))
	piece := bytes.Repeat([]byte("x"), n/20)
	for range 20 {
		_, err := c.Write(piece)
		require.NoError(t, err)
		time.Sleep(75 * time.Millisecond) // 1.5 s in all
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Contains(t, env.recorded()[0], fmt.Sprint("body=", n))
}

// The host closes the connection in the middle of a response. The client can tell that it is incomplete, whatever the framing
// at both ends.
func TestTruncatedResponse(t *testing.T) {
	env := newTestEnv(t).withAdmin()
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "sized" {
			rw.Header().Set("Content-Length", strconv.Itoa(mib))
		}
		_, _ = rw.Write(make([]byte, 200<<10))
		rw.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	env.start()
	for _, how := range []string{"sized", "chunked"} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			c := env.dialAndWrite("GET /api/34?" + how + " " + proto + "\r\nRequest-Id: " + how + proto[7:] + "\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "%s to %s", how, proto)
		}
	}
	now := env.metrics()
	require.Equal(t, 4, now[callsMetric("stock", "failure")], "an incomplete response is a failure")
	require.Zero(t, now[callsMetric("stock", "success")])
}

// Long messages in each framing: chunks with extensions and trailers, split at any byte, headers sent alone first, responses
// ended by closing the connection, an HTTP/1.0 client, and pipelined requests after a long one.
func TestFramingsOfLongMessages(t *testing.T) {
	env := newTestEnv(t)
	const n = 150 << 10
	answer := strings.Repeat("0123456789", n/10)
	plain := func(text string) string { // runs a host that writes text and closes
		return nettest.Serve(t, func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		})
	}
	forms := map[string]string{
		"h1": "HTTP/1.1 200 OK\r\n\r\n" + answer,
		"h2": "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n" + answer,
		"h3": "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x;a=\"b\"\r\n%s\r\n1\r\n!\r\n0\r\nTrailer: t\r\n\r\n", n, answer),
	}
	for id, text := range forms {
		env.hosts = map[string]http.HandlerFunc{id: nil}
		x := newTestEnv(t)
		x.hosts, x.externalHostAddrs = map[string]http.HandlerFunc{id: nil}, map[string]string{id: plain(text)}
		x.start()
		want := answer
		if id == "h3" {
			want += "!"
		}
		got := x.mustDo(x.request("GET", "/api/35", "stock", nil))
		require.Equal(t, 200, got.status, id)
		require.Equal(t, len(want), len(got.body), id)
		require.True(t, want == got.body, id)
		c := x.dialAndWrite("GET /api/35 HTTP/1.0\r\nRequest-Id: old\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n")
		old, err := io.ReadAll(c)
		require.NoError(t, err, id)
		require.True(t, strings.HasSuffix(string(old), "\r\n\r\n"+want), "%s: %.300q", id, old)
	}
	env = newTestEnv(t).start()
	// Byte by byte around the chunk boundaries, with a pipelined request after it.
	text := "POST /api/36 HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: order\r\nX-Plan: boutique\r\nIdempotency-Key: k\r\n" +
		"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
	c := env.dialAndWrite(text)
	r := bufio.NewReader(c)
	for _, want := range []string{"HTTP/1.1 100 Continue\r\n", "\r\n"} {
		got, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, b := range []byte(fmt.Sprintf("%x;ext\r\n", n)) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	_, err := io.WriteString(c, answer)
	require.NoError(t, err)
	for _, b := range []byte("\r\n0\r\nT: x\r\n\r\nGET /api/36 HTTP/1.1\r\nRequest-Id: b\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	for _, id := range []string{"a", "b"} {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), "id="+id)
	}
	require.Contains(t, env.recorded()[0], fmt.Sprint("body=", n))
}

// A request is rejected before its body has arrived. A client that sends the whole body before it reads still gets the
// response.
func TestResponseBeforeEndOfBody(t *testing.T) {
	env := newTestEnv(t).start()
	for _, c := range []struct {
		class, plan string
		status      int
	}{{"none", "boutique", 400}, {"order", "none", 400}} {
		r := env.request("POST", "/api/37", c.class, io.LimitReader(rand.New(rand.NewSource(1)), 5*mib), "X-Plan", c.plan, "Idempotency-Key", "k")
		r.ContentLength = 5 * mib
		conn, err := net.Dial("tcp", env.addr)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		require.NoError(t, r.Write(conn)) // the whole body before the response is read
		resp, err := http.ReadResponse(bufio.NewReader(conn), r)
		require.NoError(t, err)
		require.Equal(t, c.status, resp.StatusCode)
	}
	require.Empty(t, env.recorded())
}

func TestInvalidBodies(t *testing.T) {
	env := newTestEnv(t).start()
	head := "POST /api/38 HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: order\r\nX-Plan: boutique\r\nIdempotency-Key: k\r\n"
	big := strings.Repeat("x", 100<<10)
	for text, status := range map[string]int{
		head + "Content-Length: 33554433\r\n\r\n":                                               413,
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n":                        400,
		head + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\nzz\r\n":               400,
		head + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "longer than told\r\n":     400,
		head + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\nffffffffffffffff\r\n": 400,
		head + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\n1ffffff\r\n":          413,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(env.dialAndWrite(text)), nil)
		require.NoError(t, err, "%.200q", text)
		require.Equal(t, status, resp.StatusCode, "%.200q", text)
	}
	// A body that ends early makes the request invalid, and nothing of it reaches the host.
	c := env.dialAndWrite(head + "Content-Length: 204800\r\n\r\n" + big)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	_, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, 200, env.mustDo(env.request("GET", "/api/38", "stock", nil)).status)
	for _, got := range env.recorded() {
		require.NotContains(t, got, "body=204800")
	}
}

// The daemon may hold few connections, and hundreds a second are opened that stay silent, send half a request, or send one and
// stay open. A client that takes 2 s to write its request still gets its response.
func TestSlowWriterIsKeptUnderConnectionLoad(t *testing.T) {
	env := newTestEnv(t)
	env.modifyConfig = func(config, _ map[string]any) { config["limits"].(object)["sockets"] = 192 }
	env.start()
	stop := make(chan struct{})
	var idleClients sync.WaitGroup
	for i := range 4 {
		idleClients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond): // at most 400 a second in all
				}
				c, err := net.Dial("tcp", env.addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, []string{"", "GET /api/1 HT", "GET /up HTTP/1.1\r\n\r\n"}[(n+i)%3])
			}
		})
	}
	text := "GET /api/39 HTTP/1.1\r\nRequest-Id: slow\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n"
	c, err := net.Dial("tcp", env.addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	for len(text) > 0 {
		n := min(3, len(text))
		_, err := io.WriteString(c, text[:n])
		require.NoError(t, err)
		text = text[n:]
		time.Sleep(60 * time.Millisecond) // 2 s in all
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	close(stop)
	idleClients.Wait()
}
