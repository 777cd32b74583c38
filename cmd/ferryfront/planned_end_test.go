package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is read shortly before the process ends, run by a host and never answered: when the open
// requests of a planned end have expired, a request that becomes whole is refused or left unread, and no host gets it.
func TestRequestInTheLastMomentOfAPlannedEndIsNotSentOn(t *testing.T) {
	const (
		deadlineMilliseconds = 1000
		pendingSince         = 900 * time.Millisecond // after SIGTERM, so that it is open when the process has to end
	)
	env := newTestEnv(t)
	release := make(chan struct{})
	defer close(release)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.echo(rw, r)
		env.waitFor(release)
	}
	env.modifyConfig = func(_, settings map[string]any) { setDeadlines(settings, deadlineMilliseconds) }
	env.start()
	pending := env.dialAndWrite(strings.TrimSuffix(rawRequest("pending", "11"), "\r\n"))
	late := env.dialAndWrite(strings.TrimSuffix(rawRequest("late", "12"), "\r\n"))
	env.waitForTurns()
	env.signal(syscall.SIGTERM)
	time.Sleep(pendingSince)
	_, err := io.WriteString(pending, "\r\n")
	require.NoError(t, err)
	env.eventually(func() bool { return env.hasReceived("pending") })
	resp, err := http.ReadResponse(bufio.NewReader(pending), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)

	_, _ = io.WriteString(late, "\r\n") // it fails if the process has ended already
	if resp, err := http.ReadResponse(bufio.NewReader(late), nil); err == nil {
		require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
	}
	require.Zero(t, env.waitForExit())
	require.False(t, env.hasReceived("late"))
}
