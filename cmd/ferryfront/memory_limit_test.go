package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The least memory and the descriptors that the operators' pages name.
const (
	leastMemoryMB = 96
	crowdSockets  = 1024
	crowdClients  = 280
)

// maxOrdinaryWait bounds the wait of an ordinary client beside misbehaving ones.
const maxOrdinaryWait = time.Second

// crowdClient is a way in which a client of a crowd holds memory of the process.
type crowdClient struct {
	name string
	run  func(env *testEnv, c net.Conn, id string)
}

// crowdHead returns the head of a request with further header lines, which end with CRLF each.
func crowdHead(method, path, class, id, further string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: " + class +
		"\r\nX-Plan: boutique\r\nRequest-Timeout: 2500m\r\nX-Quota: units=1,spread=1,first=0\r\n"
	if method == "POST" {
		head += "Idempotency-Key: key-" + id + "\r\n"
	}
	return head + further + "\r\n"
}

// shortFields returns header lines of the given total size, each as short as possible.
func shortFields(bytes int) string { return strings.Repeat("a:\n", bytes/3) }

// longFieldHead is close to the largest head that is accepted.
const longFieldHead = 15 << 10

// crowdBody is as long as the longest body that is held whole.
var crowdBody = strings.Repeat("x", 64<<10)

// crowdKinds are the clients of which a crowd is mixed.
var crowdKinds = []crowdClient{
	{"stops near the end of a body", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("POST", "/api/41", "order", id, "Content-Length: 65536\r\n")+crowdBody[:65000])
	}},
	{"stops in a chunked body", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("POST", "/api/42", "order", id, "Transfer-Encoding: chunked\r\n")+
			fmt.Sprintf("%x\r\n%s", 65000, crowdBody[:64000]))
	}},
	{"many short fields and half of a body", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("POST", "/api/43", "order", id, "Content-Length: 60000\r\n"+shortFields(longFieldHead))+
			crowdBody[:30000])
	}},
	{"many short fields without an end", func(env *testEnv, c net.Conn, id string) {
		head := crowdHead("GET", "/api/44", "stock", id, shortFields(longFieldHead))
		_, _ = io.WriteString(c, head[:len(head)-2])
	}},
	{"stops in a long body", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("POST", "/api/45", "order", id, "Content-Length: 8000000\r\n"))
		for range 30 {
			_, _ = io.WriteString(c, crowdBody)
		}
	}},
	{"writes a body slowly", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("POST", "/api/46", "order", id, "Content-Length: 65536\r\n"))
		for rest := crowdBody; rest != ""; {
			n := min(len(rest), 7000)
			if _, err := io.WriteString(c, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"reads nothing of a long answer", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("GET", "/api/47?long", "stock", id, ""))
	}},
	{"reads a long answer slowly", func(env *testEnv, c net.Conn, id string) {
		_, _ = io.WriteString(c, crowdHead("GET", "/api/48?long", "stock", id, ""))
		for range 40 {
			if _, err := io.CopyN(io.Discard, c, 8<<10); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"reads nothing of many answers", func(env *testEnv, c net.Conn, id string) {
		for i := range 200 {
			_, _ = io.WriteString(c, crowdHead("GET", "/api/49?whole", "stock", fmt.Sprint(id, "-", i), ""))
		}
	}},
	{"pipelines bodies", func(env *testEnv, c net.Conn, id string) {
		for i := range 20 {
			_, _ = io.WriteString(c, crowdHead("POST", "/api/4a", "order", fmt.Sprint(id, "-", i), "Content-Length: 60000\r\n")+
				crowdBody[:60000])
		}
	}},
}

// crowdHost answers with 60 KB, or with 4 MB if asked for a long answer.
func crowdHost(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.URL.RawQuery {
	case "long":
		for range 64 {
			_, _ = io.WriteString(rw, crowdBody)
		}
	case "whole":
		rw.Header().Set("Content-Length", "60000")
		_, _ = io.WriteString(rw, crowdBody[:60000])
	default:
		fmt.Fprint(rw, "ok")
	}
}

// joinCrowd opens connections of the given kinds in turn, with small socket buffers, and keeps them for a time.
func (env *testEnv) joinCrowd(kinds []crowdClient, clients int, length time.Duration) {
	var crowd sync.WaitGroup
	defer crowd.Wait()
	end := time.Now().Add(length)
	for i := range clients {
		crowd.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				c, err := net.DialTimeout("tcp", env.addr, length)
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
				_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				_ = c.SetDeadline(end)
				kinds[i%len(kinds)].run(env, c, fmt.Sprintf("c%d-%d-%d", i, round, rand.Uint64()))
				for range 30 { // stays for a while, unless the connection ends
					if _, err := c.Write(nil); err != nil || time.Now().After(end) {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
		time.Sleep(time.Millisecond)
	}
}

// askBeside sends ordinary requests, each on a new connection, until done is closed. It returns the longest wait for an
// answer and the number of requests without one.
func (env *testEnv) askBeside(done <-chan struct{}) (longest time.Duration, asked, unanswered int) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return longest, asked, unanswered
		case <-time.After(20 * time.Millisecond):
		}
		asked++
		began := time.Now()
		r := env.request("GET", fmt.Sprintf("/api/%x", 0x5000+i%50), "stock", nil, "Request-Id", fmt.Sprint("beside", i))
		client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			env.t.Logf("request %d: %v", i, err)
			unanswered++
		}
		longest = max(longest, time.Since(began))
	}
}

// withCrowdLimits gives the daemon the least memory and four hosts.
func (env *testEnv) withCrowdLimits() *testEnv {
	before := env.modifyConfig
	env.modifyConfig = func(config, settings map[string]any) {
		config["limits"] = object{"cores": 1, "memory_mb": leastMemoryMB, "sockets": crowdSockets}
		settings["tiersOfService"].([]object)[0]["quotaRate"] = 1e6
		settings["tiersOfService"].([]object)[0]["storeSize"] = 1e6
		if before != nil {
			before(config, settings)
		}
	}
	for i := 1; i <= 4; i++ {
		env.hosts[fmt.Sprint("h", i)] = crowdHost
	}
	return env
}

// requireCrowdIsHarmless starts a daemon and requires that a crowd of the given kinds stays within the memory limit and that
// others are served beside it.
func requireCrowdIsHarmless(t *testing.T, kinds []crowdClient, clients int) {
	env := newTestEnv(t).withAdmin().withCrowdLimits().start()
	done := make(chan struct{})
	go func() {
		defer close(done)
		env.joinCrowd(kinds, clients, 3*time.Second)
	}()
	longest, asked, unanswered := env.askBeside(done)
	peak := peakResidentBytes(t, env.cmd.Process.Pid)
	t.Logf("peak %d KB, longest wait %v, %d of %d unanswered", peak>>10, longest, unanswered, asked)
	require.Less(t, peak, int64(leastMemoryMB*mib))
	require.Less(t, longest, maxOrdinaryWait)
	require.Zero(t, unanswered)
	require.NotContains(t, env.log.String(), "unanswered at its deadline")
	require.Eventually(t, func() bool { return env.metrics()["app_memory_held"] <= heldWhenIdle }, testTimeout, 50*time.Millisecond,
		"what the crowd held is accounted for when it has gone")
}

// heldWhenIdle is more than the idle connections hold that are left when a crowd has gone, and less than four bodies.
const heldWhenIdle = 256 << 10

// A crowd of clients that hold as much memory as they can stays within the memory limit, and others are served beside it.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	t.Run("mixed", func(t *testing.T) { requireCrowdIsHarmless(t, crowdKinds, crowdClients) })
	for _, kind := range crowdKinds {
		t.Run(kind.name, func(t *testing.T) { requireCrowdIsHarmless(t, []crowdClient{kind}, crowdClients) })
	}
}

// More clients stop in the middle of a long body than there are places. Others get theirs in time.
func TestCrowdThatStopsInUploadsMakesRoom(t *testing.T) {
	const clients = 420
	for _, kind := range crowdKinds {
		if kind.name == "stops in a long body" {
			requireCrowdIsHarmless(t, []crowdClient{kind}, clients)
		}
	}
}
