package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Races of events, forced into the harmful order over real connections: a stand-in holds one event back until the other
// has been seen.

// disconnects returns the ways in which a client can disconnect, by name.
func disconnects() map[string]func(*testing.T, net.Conn) {
	reset := func(t *testing.T, c net.Conn) {
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
	}
	pipeline := func(t *testing.T, c net.Conn) { // more than the daemon buffers of pipelined requests, and than a socket holds
		_, err := io.WriteString(c, strings.Repeat("GET /up HTTP/1.1\r\nPad: "+strings.Repeat("x", 1000)+"\r\n\r\n", 900))
		require.NoError(t, err)
	}
	return map[string]func(*testing.T, net.Conn){
		"end":   func(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) },
		"half":  func(t *testing.T, c net.Conn) { require.NoError(t, c.(*net.TCPConn).CloseWrite()) },
		"reset": reset,
		"end behind bytes": func(t *testing.T, c net.Conn) {
			pipeline(t, c)
			require.NoError(t, c.Close())
		},
		"reset behind bytes": func(t *testing.T, c net.Conn) {
			pipeline(t, c)
			reset(t, c)
		},
	}
}

// hasReceived reports whether an upstream host has recorded the request with this id.
func (env *testEnv) hasReceived(id string) bool {
	return strings.Contains(strings.Join(env.recorded(), "\n"), "id="+id+" ")
}

// rawRequest returns the text of a request of class stock.
func rawRequest(id, customer string) string {
	return "GET /api/" + customer + " HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n"
}

// waitForTurns sends requests until the daemon must have handled all events that came before them.
func (env *testEnv) waitForTurns() {
	for range 16 { // events of one turn come in any order, and reading much takes several turns
		resp, err := http.Get("http://" + env.addr + "/up")
		require.NoError(env.t, err)
		resp.Body.Close()
	}
}

// A client disconnects while its request waits for the counter. The request must not be sent upstream when the counter
// responds.
func TestClientDisconnectsWhileCounterIsQueried(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.delayCounter(release)
	env.start()
	n := 0
	var names []string
	for name, leave := range disconnects() {
		n++
		names = append(names, name)
		c := env.dialAndWrite(rawRequest(fmt.Sprintf("gone%d", n), fmt.Sprintf("%x", 0x100+n)))
		env.waitForTurns() // the counter gets calls on one connection one by one, so it can't report each
		leave(t, c)
		env.waitForTurns()
		require.False(t, env.hasReceived(fmt.Sprintf("gone%d", n)), name)
	}
	stays := env.dialAndWrite(rawRequest("stays", "99"))
	env.waitForTurns()
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	env.waitForTurns()
	for i, name := range names {
		require.False(t, env.hasReceived(fmt.Sprintf("gone%d", i+1)), name)
	}
}

// A client disconnects while its request is queued because the hosts are full. The request must not be sent upstream when
// one has capacity.
func TestClientDisconnectsWhileRequestIsQueued(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	busy := make(chan struct{}, 64)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "holds") {
			busy <- struct{}{}
			env.waitFor(release)
		}
		env.echo(rw, r)
	}
	env.modifyConfig = func(_, settings map[string]any) {
		setDeadlines(settings, 60000)
	}
	env.start()
	var holding []net.Conn
	for i := range 6 { // as many as one ingress may have in flight
		holding = append(holding, env.dialAndWrite(rawRequest(fmt.Sprintf("holds%d", i), fmt.Sprintf("%x", 0x200+i))))
		<-busy
	}
	n := 0
	for name, leave := range disconnects() {
		n++
		c := env.dialAndWrite(rawRequest(fmt.Sprintf("gone%d", n), fmt.Sprintf("%x", 0x100+n)))
		env.waitForTurns()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		require.ErrorContains(t, err, "timeout", "%s: the request is queued", name)
		leave(t, c)
		env.waitForTurns()
	}
	close(release)
	for _, c := range holding {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
	}
	for i := range n {
		require.False(t, env.hasReceived(fmt.Sprintf("gone%d", i+1)))
	}
}

// SIGTERM comes while one request is half read, one has an attempt in flight, connections are idle and a host hangs for
// longer than the drain lasts; further signals follow. Each accepted request gets a response, and its connection is closed
// after it.
func TestDrainWithConcurrentEvents(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	out := make(chan struct{}, 2)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("Request-Id") {
		case "hangs":
			out <- struct{}{}
			env.waitFor(nil)
		case "out":
			out <- struct{}{}
			env.waitFor(release)
		}
		env.echo(rw, r)
	}
	env.modifyConfig = func(_, settings map[string]any) { // deadlines longer than a drain
		setDeadlines(settings, 20000)
	}
	env.start()
	reader := func(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }
	whole := rawRequest("half", "1")
	half := env.dialAndWrite(whole[:len(whole)/2])
	attempt := env.dialAndWrite(rawRequest("out", "2"))
	<-out
	hangs := env.dialAndWrite(rawRequest("hangs", "3"))
	<-out
	idle := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
	idles := reader(idle)
	_, err := http.ReadResponse(idles, nil)
	require.NoError(t, err)
	kept := env.dialAndWrite("GET /up HTTP/1.1\r\n\r\n")
	keeps := reader(kept)
	_, err = http.ReadResponse(keeps, nil)
	require.NoError(t, err)
	began := time.Now()
	env.signal(syscall.SIGTERM)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "draining") })
	env.signal(syscall.SIGTERM)
	env.signal(syscall.SIGHUP)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "configuration reloaded") })
	answer := func(r *bufio.Reader) {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.True(t, resp.Close)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	_, err = io.WriteString(kept, rawRequest("kept", "4"))
	require.NoError(t, err)
	answer(keeps)
	_, err = idles.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the listener is closed by now")
	_, err = io.WriteString(half, whole[len(whole)/2:])
	require.NoError(t, err)
	answer(reader(half))
	close(release)
	answer(reader(attempt))
	resp, err := http.ReadResponse(reader(hangs), nil)
	require.NoError(t, err)
	require.Equal(t, 504, resp.StatusCode)
	took := time.Since(began)
	require.Greater(t, took, 3*time.Second, "a deadline counts as 3 s at most")
	require.Zero(t, env.waitForExit())
	require.Equal(t, 1, strings.Count(env.log.String(), "msg=draining"))
}
