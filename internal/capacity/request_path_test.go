package capacity

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDecisionsAreMeasuredOnRequestsThatAreSent(t *testing.T) {
	cost, err := measureDecision(t.Context(), 200, 100)
	require.NoError(t, err)
	assert.Positive(t, cost.microseconds)
	assert.Positive(t, cost.megabytes)
}

func TestEveryDescribedRouteIsFound(t *testing.T) {
	cost, err := measureRoutes(t.Context(), 300)
	require.NoError(t, err)
	assert.Positive(t, cost.lookupMicroseconds)
	assert.Positive(t, cost.loadMilliseconds)
	assert.Positive(t, cost.megabytes)
}

func TestLoadClientCountsAnswersAndRefusals(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls%4 == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	client := newLoadClient(server.Listener.Addr().String(), "t", 1, 3)
	require.NoError(t, client.run(t.Context(), 40, time.Millisecond))
	assert.Equal(t, 30, client.answered)
	assert.Equal(t, map[int]int{http.StatusServiceUnavailable: 10}, client.other)
	assert.Positive(t, client.percentile(99))
}

func TestLoadClientTellsOfAConnectionThatBreaks(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.Close()
		}
	}()
	client := newLoadClient(listener.Addr().String(), "t", 1, 1)
	assert.Error(t, client.run(t.Context(), 2, time.Millisecond))
}

func TestARepeatWithRefusalsDoesNotCount(t *testing.T) {
	least, err := leastLoad(t.Context(), func(try int) (ingressCost, error) {
		if try == 0 {
			return ingressCost{}, errRefused
		}
		return ingressCost{processorMicroseconds: float64(10 - try), addedP99: float64(try), directP99: max(1, 4-float64(try))}, nil
	})
	require.NoError(t, err)
	assert.Equal(t, ingressCost{processorMicroseconds: 7, addedP99: 3, directP99: 1}, least, "of the calmest repeat")
	broken := errors.New("broken")
	_, err = leastLoad(t.Context(), func(int) (ingressCost, error) { return ingressCost{}, broken })
	assert.ErrorIs(t, err, broken)
}

func TestProcessFiguresAreRead(t *testing.T) {
	spent, err := processTime(os.Getpid())
	require.NoError(t, err)
	assert.Positive(t, spent)
	megabytes, err := residentMegabytes(os.Getpid())
	require.NoError(t, err)
	assert.Greater(t, megabytes, 1.0)
}
