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

// end is a sink that notes what comes and stops the loop when it has enough.
type end struct {
	l    *loop.Loop
	got  []*pb.Envelope
	fds  []int
	err  error
	want int
	conn *Conn
}

func (e *end) Message(m *pb.Envelope, fds []int) {
	e.got, e.fds = append(e.got, m), append(e.fds, fds...)
	if len(e.got) == e.want {
		e.l.Stop()
	}
}

func (e *end) Lost(err error) { e.err = err; e.l.Stop() }

func (e *end) Turn(time.Duration) time.Duration { return 0 }

func ends(t *testing.T, most int) (l *loop.Loop, a *Conn, b *end, raw int) {
	l, err := loop.New()
	require.NoError(t, err)
	ours, theirs, err := Pair()
	require.NoError(t, err)
	b = &end{l: l}
	lim := limits.Limits{MaxHandoverMessageBytes: most}
	a, err = New(l, lim, ours, &end{l: l})
	require.NoError(t, err)
	b.conn, err = New(l, lim, theirs, b)
	require.NoError(t, err)
	return l, a, b, ours
}

func TestALongMessageAndItsDescriptorsComeWhole(t *testing.T) {
	l, a, b, _ := ends(t, 16<<20)
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	fd, err := loop.Duplicate(int(w.Fd()))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	long := bytes.Repeat([]byte("x"), 5<<20) // far over what a socket takes at once
	a.Send(&pb.Envelope{Body: &pb.Envelope_Client{Client: &pb.ClientConnection{Out: long}}}, fd)
	require.Positive(t, a.Waiting())
	a.Send(&pb.Envelope{Body: &pb.Envelope_Farewell{Farewell: &pb.Farewell{}}})
	b.want = 2
	require.NoError(t, l.Run(b))
	require.Equal(t, long, b.got[0].GetClient().GetOut())
	require.NotNil(t, b.got[1].GetFarewell())
	require.Len(t, b.fds, 1)
	_, err = unix.Write(b.fds[0], []byte("through"))
	require.NoError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(r, got)
	require.NoError(t, err)
	require.Equal(t, "through", string(got))
	loop.CloseFD(b.fds[0])
	_, err = r.Read(got)
	require.ErrorIs(t, err, io.EOF, "the sender has closed its own")
	require.Zero(t, a.Waiting())
}

func TestWhatCanNotBeReadIsALoss(t *testing.T) {
	for name, packets := range map[string][]string{"garbage": {"\x00garbage that is no message"}, "an unknown mark": {"\x07"},
		"over the bound": {"\x01" + string(make([]byte, 900)), "\x01" + string(make([]byte, 900))}} {
		l, _, b, raw := ends(t, 1000)
		for _, p := range packets {
			_, err := unix.Write(raw, []byte(p))
			require.NoError(t, err)
		}
		require.NoError(t, l.Run(b))
		require.Error(t, b.err, name)
		require.NotErrorIs(t, b.err, io.EOF, name)
		require.Empty(t, b.got, name)
	}
}

func TestTheEndOfTheOtherSideIsToldAfterItsLastWord(t *testing.T) {
	l, a, b, _ := ends(t, 1000)
	a.Send(&pb.Envelope{Body: &pb.Envelope_Refused{Refused: &pb.Refused{Reason: "why"}}})
	a.Close()
	require.NoError(t, l.Run(b))
	require.Equal(t, "why", b.got[0].GetRefused().GetReason())
	require.ErrorIs(t, b.err, io.EOF)
}

// A process that dies with messages unread resets the connection; that is its end, and no garbage.
func TestTheDeathOfASideThatHasNotReadAll(t *testing.T) {
	l, a, b, raw := ends(t, 1000)
	theirs := b.conn.src.Detach() // it reads no more
	a.Send(&pb.Envelope{Body: &pb.Envelope_Settled{Settled: &pb.Settled{}}})
	loop.CloseFD(theirs)
	other := a.sink.(*end)
	require.NoError(t, l.Run(other))
	require.ErrorIs(t, other.err, io.EOF)
	require.GreaterOrEqual(t, raw, 0)
}

// A message of a later version keeps what an earlier one does not know.
func TestUnknownFieldsAreKept(t *testing.T) {
	l, a, b, raw := ends(t, 1000)
	_, err := unix.Write(raw, []byte("\x00\xca\x3e\x01x\x0a\x02\x08\x01")) // field 1001 beside a hello
	require.NoError(t, err)
	_ = a
	b.want = 1
	require.NoError(t, l.Run(b))
	require.EqualValues(t, 1, b.got[0].GetHello().GetProtocol())
	require.NotEmpty(t, b.got[0].ProtoReflect().GetUnknown())
}

// The machine has no memory for a message for a moment: that is no end of the other side, and every message comes, each
// once and in order.
func TestMessagesThatThereIsNoMemoryForYet(t *testing.T) {
	l, a, b, _ := ends(t, 1<<20)
	calls := 0
	a.sendMessage = func(fd int, data, oob []byte, to unix.Sockaddr, flags int) (int, error) {
		if calls++; calls%3 != 0 {
			return 0, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}[calls%2]
		}
		return unix.SendmsgN(fd, data, oob, to, flags)
	}
	const messages = 10
	b.want = messages
	for i := range messages {
		a.Send(&pb.Envelope{Body: &pb.Envelope_Done{Done: &pb.StreamDone{Stream: uint64(i)}}})
	}
	l.After(5*time.Second, l.Stop)
	require.NoError(t, l.Run(b))
	require.NoError(t, b.err)
	require.Len(t, b.got, messages)
	for i, m := range b.got {
		require.Equal(t, uint64(i), m.GetDone().GetStream())
	}
}
