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

// halfResponseHandler returns a handler that sends half of a long response, and the rest when release is closed. With the query
// "endless" it sends a byte every millisecond instead of the rest. With "sized" the response has a Content-Length.
func (env *testEnv) halfResponseHandler(release <-chan struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		half := strings.Repeat("x", 128<<10)
		if r.URL.Query().Has("sized") {
			rw.Header().Set("Content-Length", fmt.Sprint(2*len(half)))
		}
		fmt.Fprint(rw, half)
		rw.(http.Flusher).Flush()
		env.record("half " + r.Header.Get("Request-Id"))
		if !r.URL.Query().Has("endless") {
			env.waitFor(release)
			fmt.Fprint(rw, half)
			return
		}
		for {
			select {
			case <-env.testDone:
				return
			case <-r.Context().Done():
				return
			case <-time.After(time.Millisecond):
				if _, err := fmt.Fprint(rw, "x"); err != nil {
					return
				}
				rw.(http.Flusher).Flush()
			}
		}
	}
}

// readHalfResponse sends a request to such a handler and reads a quarter of the response.
func (env *testEnv) readHalfResponse(id, query, proto, header string) (*bufio.Reader, *http.Response) {
	c := env.dialAndWrite("GET /api/7" + id + "?" + query + " " + proto + "\r\nRequest-Id: " + id + "\r\nRequest-Class: stock\r\n" +
		"X-Plan: boutique\r\n" + header + "\r\n")
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(env.t, err)
	require.Equal(env.t, 200, resp.StatusCode)
	_, err = io.CopyN(io.Discard, resp.Body, 64<<10)
	require.NoError(env.t, err)
	return r, resp
}

// A response is relayed completely even if the host takes longer for it than the request's timeout: only its first bytes must
// come in time.
func TestLongResponseContinuesPastTimeout(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.hosts["h1"] = env.halfResponseHandler(release)
	env.start()
	var all []*http.Response
	for i, query := range []string{"", "sized"} {
		for j, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			_, resp := env.readHalfResponse(fmt.Sprintf("%d%d", i, j), query, proto, "Request-Timeout: 200m\r\n")
			all = append(all, resp)
		}
	}
	began := time.Now()
	env.eventually(func() bool { return time.Since(began) > 900*time.Millisecond }) // longer than the timeout and the interval at which the daemon checks timeouts
	close(release)
	for _, resp := range all {
		n, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, int64(192<<10), n)
	}
}

// SIGTERM comes while responses are half relayed and requests are pipelined. The responses are completed. Of the pipelined
// requests only the first is served, because its response announces the close. An endless response is aborted when the drain
// ends, so that its client can tell that it is incomplete.
func TestDrainWithResponsesInProgress(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	halves := env.halfResponseHandler(release)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("Request-Id"), "ahead") {
			halves(rw, r)
			return
		}
		env.echo(rw, r)
		env.waitFor(release)
	}
	env.modifyConfig = func(_, settings map[string]any) { // deadlines longer than a drain
		setDeadlines(settings, 20000)
	}
	env.start()
	_, sized := env.readHalfResponse("1", "sized", "HTTP/1.1", "")
	_, chunks := env.readHalfResponse("2", "", "HTTP/1.1", "")
	_, old := env.readHalfResponse("3", "endless", "HTTP/1.0", "")
	ahead := bufio.NewReader(env.dialAndWrite(rawRequest("ahead1", "11") + rawRequest("ahead2", "12") + rawRequest("ahead3", "13")))
	env.eventually(func() bool { return env.hasReceived("ahead1") })
	env.signal(syscall.SIGTERM)
	env.eventually(func() bool { return strings.Contains(env.log.String(), "draining") })
	close(release)
	for _, resp := range []*http.Response{sized, chunks} {
		n, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, int64(192<<10), n)
	}
	resp, err := http.ReadResponse(ahead, nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	_, err = ahead.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, err = io.Copy(io.Discard, old.Body)
	require.Error(t, err, "to an HTTP/1.0 client, an orderly close would mean a complete response")
	require.Zero(t, env.waitForExit())
	require.False(t, env.hasReceived("ahead2"))
}

// A client sends more of a long body than the daemon buffers and resets its connection while the counter is queried. The
// request must not be sent upstream when the counter responds.
func TestClientResetsAfterLongBody(t *testing.T) {
	env := newTestEnv(t)
	release := make(chan struct{})
	env.delayCounter(release)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.record("begun id=" + r.Header.Get("Request-Id") + " ")
		_, _ = io.Copy(io.Discard, r.Body)
	}
	env.start()
	c := env.dialAndWrite("POST /api/5 HTTP/1.1\r\nRequest-Id: gone\r\nRequest-Class: order\r\nIdempotency-Key: k\r\nX-Plan: boutique\r\n" +
		"Content-Length: 16000000\r\n\r\n")
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	n, err := io.Copy(c, io.LimitReader(zeroReader{}, 16000000)) // until the daemon and the kernel take no more
	require.ErrorContains(t, err, "timeout")
	require.Greater(t, n, int64(128<<10))
	env.waitForTurns()
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
	env.waitForTurns()
	close(release)
	stays := env.dialAndWrite(rawRequest("stays", "99"))
	env.eventually(func() bool { return env.hasReceived("stays") })
	stays.Close()
	require.False(t, env.hasReceived("gone"))
}
