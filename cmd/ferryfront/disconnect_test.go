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

// Events that cross, made to come in the bad order with real connections: a peer holds the one until the other was seen.

// disconnects are the ways in which a client leaves.
func disconnects() map[string]func(*testing.T, net.Conn) {
	reset := func(t *testing.T, c net.Conn) {
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
	}
	ahead := func(t *testing.T, c net.Conn) { // more than is held of what is sent ahead, and than a socket holds
		_, err := io.WriteString(c, strings.Repeat("GET /up HTTP/1.1\r\nPad: "+strings.Repeat("x", 1000)+"\r\n\r\n", 900))
		require.NoError(t, err)
	}
	return map[string]func(*testing.T, net.Conn){
		"end":   func(t *testing.T, c net.Conn) { require.NoError(t, c.Close()) },
		"half":  func(t *testing.T, c net.Conn) { require.NoError(t, c.(*net.TCPConn).CloseWrite()) },
		"reset": reset,
		"end behind bytes": func(t *testing.T, c net.Conn) {
			ahead(t, c)
			require.NoError(t, c.Close())
		},
		"reset behind bytes": func(t *testing.T, c net.Conn) {
			ahead(t, c)
			reset(t, c)
		},
	}
}

func (env *testEnv) hasReceived(id string) bool {
	return strings.Contains(strings.Join(env.recorded(), "\n"), "id="+id+" ")
}

func rawRequest(id, customer string) string {
	return "GET /api/" + customer + " HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Class: stock\r\nX-Plan: boutique\r\n\r\n"
}

// waitForTurns has the daemon take up and answer what came behind all that came so far.
func (env *testEnv) waitForTurns() {
	for range 16 { // what is there in one turn may be told in any order, and much is read in as many turns
		resp, err := http.Get("http://" + env.addr + "/up")
		require.NoError(env.t, err)
		resp.Body.Close()
	}
}

// A client leaves while its request waits for the counter: it is not sent on when the answer comes.
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
		env.waitForTurns() // calls on one connection come to the counter one by one, so it can't tell of each
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

// A client leaves while its request waits for room at the hosts: it is not sent on when there is some.
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
	for i := range 6 { // all that one ingress alone may have out
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
		require.ErrorContains(t, err, "timeout", "%s: it waits", name)
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

// A planned end beside a request half read, one with an attempt out, a kept connection, further signals, and a host that
// hangs for longer than there is time: each taken request has its answer, and its connection ends with that.
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
	env.modifyConfig = func(_, settings map[string]any) { // patient beyond what a planned end has
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
	require.Greater(t, took, 3*time.Second, "its deadline counts as 3 s")
	require.Zero(t, env.waitForExit())
	require.Equal(t, 1, strings.Count(env.log.String(), "msg=draining"))
}
