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

type desk struct{ ready bool }

func (d desk) IsReady() bool                    { return d.ready }
func (d desk) AppendMetrics(room []byte) []byte { return append(room, "app_inflight 3\n"...) }

func (d desk) StatusDetails() string { return " settings=3" }

type idle struct{}

func (idle) Turn(time.Duration) time.Duration { return 0 }

const patience = 20 * time.Second

// open opens an endpoint on a loop of its own and returns its address.
func open(t *testing.T, o Handler, lim limits.Limits) (string, *bytes.Buffer) {
	addr, err := standin.Free()
	require.NoError(t, err)
	l, err := loop.New()
	require.NoError(t, err)
	log := &bytes.Buffer{}
	_, err = Open(l, lim, slog.New(slog.NewTextHandler(log, nil)), addr, o)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- l.Run(idle{}) }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		require.NoError(t, <-done)
		require.Empty(t, log.String(), "bad calls are not logged")
	})
	return addr, log
}

var bounds = limits.Limits{MaxManagementConns: 4, MaxManagementLineBytes: 256, ManagementConnTimeout: patience, MaxAcceptsPerTurn: 64}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

func ask(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "an answer ends with its connection, never with a reset")
	return string(answer)
}

func TestCalls(t *testing.T) {
	addr, _ := open(t, desk{ready: true}, bounds)
	for _, c := range [][2]string{
		{"STATUS\n", "200 ready settings=3\n"}, {"STATUS\r\n", "200 ready settings=3\n"},
		{"METRICS\n", "app_inflight 3\nEOF\n"},
		{"STATUS\nMETRICS\nSTATUS\n", "200 ready settings=3\n"}, // one line to a connection
		{"PAUSE\n", "400 no such call\n"}, {"status\n", "400 no such call\n"}, {"\n", "400 no such call\n"},
		{"STATUS now\n", "400 no such call\n"}, {"\x00\xff\xfe\n", "400 no such call\n"},
		{strings.Repeat("x", 1<<16), "400 no such call\n"}, // no end of line within the bound
	} {
		require.Equal(t, c[1], ask(t, addr, c[0]), "%.20q", c[0])
	}
	addr, _ = open(t, desk{}, bounds)
	require.Equal(t, "400 not ready settings=3\n", ask(t, addr, "STATUS\n"))
}

func TestALineInPieces(t *testing.T) {
	addr, _ := open(t, desk{ready: true}, bounds)
	c := dial(t, addr)
	for _, b := range []byte("STATUS\n") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "200 ready settings=3\n", string(answer))
}

// Callers that say nothing hold every place; the next is answered all the same, and they are the ones to go.
func TestSilentCallersShutNobodyOut(t *testing.T) {
	addr, _ := open(t, desk{ready: true}, bounds)
	var silent []net.Conn
	for range 3 * bounds.MaxManagementConns {
		c := dial(t, addr)
		_, err := io.WriteString(c, "STAT")
		require.NoError(t, err)
		silent = append(silent, c)
	}
	require.Equal(t, "200 ready settings=3\n", ask(t, addr, "STATUS\n"))
	_, err := silent[0].Read(make([]byte, 1))
	require.Error(t, err)
}

func TestACallerHasOnlySoLong(t *testing.T) {
	short := bounds
	short.ManagementConnTimeout = 20 * time.Millisecond
	addr, _ := open(t, desk{ready: true}, short)
	c := dial(t, addr)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
