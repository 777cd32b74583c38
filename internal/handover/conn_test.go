package handover

import (
	"bytes"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// recordingSink records what its connection reads. It stops the loop after wantMessages messages or the loss of the connection.
type recordingSink struct {
	loop         *loop.Loop
	messages     []*pb.Envelope
	fds          []int
	err          error
	wantMessages int
	conn         *Conn
}

func (e *recordingSink) HandleMessage(m *pb.Envelope, fds []int) {
	e.messages, e.fds = append(e.messages, m), append(e.fds, fds...)
	if len(e.messages) == e.wantMessages {
		e.loop.Stop()
	}
}

func (e *recordingSink) ConnectionLost(err error) { e.err = err; e.loop.Stop() }

func (e *recordingSink) Turn(time.Duration) time.Duration { return 0 }

// newTestPair returns the two ends of a connection, with b as the sink of one, and the descriptor of the other, a.
func newTestPair(t *testing.T, maxMessageBytes int) (l *loop.Loop, a *Conn, b *recordingSink, raw int) {
	l, err := loop.New()
	require.NoError(t, err)
	ours, theirs, err := Pair()
	require.NoError(t, err)
	b = &recordingSink{loop: l}
	lim := limits.Limits{MaxHandoverMessageBytes: maxMessageBytes}
	a, err = New(l, lim, ours, &recordingSink{loop: l})
	require.NoError(t, err)
	b.conn, err = New(l, lim, theirs, b)
	require.NoError(t, err)
	return l, a, b, ours
}

func TestLongMessageWithDescriptor(t *testing.T) {
	l, a, b, _ := newTestPair(t, 16<<20)
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	fd, err := loop.Duplicate(int(w.Fd()))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	long := bytes.Repeat([]byte("x"), 5<<20) // far more than a socket buffers
	a.Send(&pb.Envelope{Body: &pb.Envelope_Client{Client: &pb.ClientConnection{Out: long}}}, fd)
	require.Positive(t, a.QueuedBytes())
	a.Send(&pb.Envelope{Body: &pb.Envelope_Farewell{Farewell: &pb.Farewell{}}})
	b.wantMessages = 2
	require.NoError(t, l.Run(b))
	require.Equal(t, long, b.messages[0].GetClient().GetOut())
	require.NotNil(t, b.messages[1].GetFarewell())
	require.Len(t, b.fds, 1)
	_, err = unix.Write(b.fds[0], []byte("through"))
	require.NoError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(r, got)
	require.NoError(t, err)
	require.Equal(t, "through", string(got))
	loop.CloseFD(b.fds[0])
	_, err = r.Read(got)
	require.ErrorIs(t, err, io.EOF, "the sender has closed its descriptor")
	require.Zero(t, a.QueuedBytes())
}

func TestInvalidDataLosesConnection(t *testing.T) {
	for name, packets := range map[string][]string{"garbage": {"\x00garbage that is no message"}, "an unknown mark": {"\x07"},
		"over the bound": {"\x01" + string(make([]byte, 900)), "\x01" + string(make([]byte, 900))}} {
		l, _, b, raw := newTestPair(t, 1000)
		for _, p := range packets {
			_, err := unix.Write(raw, []byte(p))
			require.NoError(t, err)
		}
		require.NoError(t, l.Run(b))
		require.Error(t, b.err, name)
		require.NotErrorIs(t, b.err, io.EOF, name)
		require.Empty(t, b.messages, name)
	}
}

func TestPeerCloseIsReportedAfterLastMessage(t *testing.T) {
	l, a, b, _ := newTestPair(t, 1000)
	a.Send(&pb.Envelope{Body: &pb.Envelope_Refused{Refused: &pb.Refused{Reason: "why"}}})
	a.Close()
	require.NoError(t, l.Run(b))
	require.Equal(t, "why", b.messages[0].GetRefused().GetReason())
	require.ErrorIs(t, b.err, io.EOF)
}

// A process that dies with unread messages resets the connection. That counts as its end and not as invalid data.
func TestPeerDiesWithUnreadMessages(t *testing.T) {
	l, a, b, raw := newTestPair(t, 1000)
	theirs := b.conn.source.Detach() // the other end reads no more
	a.Send(&pb.Envelope{Body: &pb.Envelope_Settled{Settled: &pb.Settled{}}})
	loop.CloseFD(theirs)
	other := a.sink.(*recordingSink)
	require.NoError(t, l.Run(other))
	require.ErrorIs(t, other.err, io.EOF)
	require.GreaterOrEqual(t, raw, 0)
}

// Fields of a later version that this one doesn't know are kept and don't make a message invalid.
func TestUnknownFieldsAreKept(t *testing.T) {
	l, a, b, raw := newTestPair(t, 1000)
	_, err := unix.Write(raw, []byte("\x00\xca\x3e\x01x\x0a\x02\x08\x01")) // a Hello and the unknown field 1001
	require.NoError(t, err)
	_ = a
	b.wantMessages = 1
	require.NoError(t, l.Run(b))
	require.EqualValues(t, 1, b.messages[0].GetHello().GetProtocol())
	require.NotEmpty(t, b.messages[0].ProtoReflect().GetUnknown())
}

// Sending fails for lack of memory for a while. The connection stays open, and every message arrives once and in order.
func TestSendRetriesWithoutMemory(t *testing.T) {
	l, a, b, _ := newTestPair(t, 1<<20)
	calls := 0
	a.sendMessage = func(fd int, data, oob []byte, to unix.Sockaddr, flags int) (int, error) {
		if calls++; calls%3 != 0 {
			return 0, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}[calls%2]
		}
		return unix.SendmsgN(fd, data, oob, to, flags)
	}
	const messages = 10
	b.wantMessages = messages
	for i := range messages {
		a.Send(&pb.Envelope{Body: &pb.Envelope_Done{Done: &pb.StreamDone{Stream: uint64(i)}}})
	}
	l.After(5*time.Second, l.Stop)
	require.NoError(t, l.Run(b))
	require.NoError(t, b.err)
	require.Len(t, b.messages, messages)
	for i, m := range b.messages {
		require.Equal(t, uint64(i), m.GetDone().GetStream())
	}
}
