package mgmt

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/standin"
)

type fakeHandler struct{ isReady bool }

func (h fakeHandler) IsReady() bool                   { return h.isReady }
func (h fakeHandler) AppendMetrics(buf []byte) []byte { return append(buf, "app_inflight 3\n"...) }
func (h fakeHandler) StatusDetails() string           { return " settings=3" }

// idleTurner is a loop.Turner that does nothing.
type idleTurner struct{}

func (idleTurner) Turn(time.Duration) time.Duration { return 0 }

const testTimeout = 20 * time.Second

// openEndpoint opens an endpoint on a loop of its own and returns its address and its log.
func openEndpoint(t *testing.T, h Handler, bounds limits.Limits) (string, *bytes.Buffer) {
	addr, err := standin.Free()
	require.NoError(t, err)
	l, err := loop.New()
	require.NoError(t, err)
	log := &bytes.Buffer{}
	_, err = Open(l, bounds, slog.New(slog.NewTextHandler(log, nil)), addr, h)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- l.Run(idleTurner{}) }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		require.NoError(t, <-done)
		require.Empty(t, log.String(), "a bad request was logged")
	})
	return addr, log
}

var testBounds = limits.Limits{MaxManagementConns: 4, MaxManagementLineBytes: 256,
	ManagementConnTimeout: testTimeout, MaxAcceptsPerTurn: 64}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// ask sends text on a new connection and returns all that it receives until the connection ends.
func ask(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the connection must end without a reset")
	return string(answer)
}

func TestAnswers(t *testing.T) {
	addr, _ := openEndpoint(t, fakeHandler{isReady: true}, testBounds)
	for _, exchange := range [][2]string{ // request, answer
		{"STATUS\n", "200 ready settings=3\n"}, {"STATUS\r\n", "200 ready settings=3\n"},
		{"METRICS\n", "app_inflight 3\nEOF\n"},
		{"STATUS\nMETRICS\nSTATUS\n", "200 ready settings=3\n"}, // only the first line is answered
		{"PAUSE\n", "400 no such call\n"}, {"status\n", "400 no such call\n"}, {"\n", "400 no such call\n"},
		{"STATUS now\n", "400 no such call\n"}, {"\x00\xff\xfe\n", "400 no such call\n"},
		{strings.Repeat("x", 1<<16), "400 no such call\n"}, // no end of line within MaxManagementLineBytes
	} {
		require.Equal(t, exchange[1], ask(t, addr, exchange[0]), "%.20q", exchange[0])
	}
	addr, _ = openEndpoint(t, fakeHandler{}, testBounds)
	require.Equal(t, "400 not ready settings=3\n", ask(t, addr, "STATUS\n"))
}

func TestLineInPieces(t *testing.T) {
	addr, _ := openEndpoint(t, fakeHandler{isReady: true}, testBounds)
	c := dial(t, addr)
	for _, b := range []byte("STATUS\n") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "200 ready settings=3\n", string(answer))
}

// Connections that send no complete line may reach the limit of open ones. The next connection must still be answered, and
// the oldest of them is closed for it.
func TestSilentConnectionsDoNotBlockOthers(t *testing.T) {
	addr, _ := openEndpoint(t, fakeHandler{isReady: true}, testBounds)
	var silent []net.Conn
	for range 3 * testBounds.MaxManagementConns {
		c := dial(t, addr)
		_, err := io.WriteString(c, "STAT")
		require.NoError(t, err)
		silent = append(silent, c)
	}
	require.Equal(t, "200 ready settings=3\n", ask(t, addr, "STATUS\n"))
	_, err := silent[0].Read(make([]byte, 1))
	require.Error(t, err)
}

func TestConnectionTimeout(t *testing.T) {
	short := testBounds
	short.ManagementConnTimeout = 20 * time.Millisecond
	addr, _ := openEndpoint(t, fakeHandler{isReady: true}, short)
	c := dial(t, addr)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
