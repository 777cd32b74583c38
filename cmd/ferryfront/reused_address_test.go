package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host of another cell comes up at the address of one that has gone, and discovery names it before it names the other as
// gone. An order that may have run in the first cell is not sent to the new host, which does not know its key.
func TestOrderIsNotRepeatedAtHostWithReusedAddress(t *testing.T) {
	env := newTestEnv(t)
	env.hosts["h1"] = func(rw http.ResponseWriter, r *http.Request) {
		env.echo(rw, r)
		if r.Header.Get("Request-Id") == "first" {
			<-r.Context().Done()
		}
	}
	env.start()
	order := func(id string) *http.Request {
		r := env.request("POST", "/api/81", "order", strings.NewReader("x"), "Request-Id", id, "Idempotency-Key", "k1",
			"Request-Timeout", "600m")
		r.GetBody = nil
		return r
	}
	leaves := env.dialAndWrite(strings.Replace(crowdHead("POST", "/api/81", "order", "first", "Content-Length: 0\r\n"), "key-first",
		"k1", 1))
	env.eventually(func() bool { return env.timesReceived("first") == 1 })
	require.NoError(t, leaves.Close())
	env.waitForTurns()
	env.discoveryUpdates <- discoveryMessage(6, false, hostEntry("h2", env.hostAddrs["h1"], "Ready"))
	env.eventually(func() bool { // the new host serves
		return env.mustDo(env.request("GET", "/api/82", "stock", nil, "Request-Id", "other")).status == 200
	})
	require.NotEqual(t, 200, env.mustDo(order("again")).status)
	require.Zero(t, env.timesReceived("again"))
	time.Sleep(3 * time.Second) // the repeat window is over
	require.Equal(t, 200, env.mustDo(order("later")).status)
}
