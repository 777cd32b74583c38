package daemon

import (
	"log/slog"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/nettest"
)

// idleTurner has nothing to do at the end of a turn.
type idleTurner struct{}

func (idleTurner) Turn(time.Duration) time.Duration { return 0 }

// After Farewell the successor serves alone and closes its end of the connection. The predecessor may see that before it
// has ended itself, and must not kill the successor then.
func TestSuccessorIsNotKilledAfterFarewell(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHandoverMessageBytes: 1 << 20, DrainFlushPeriod: time.Second}
	p := &predecessorRole{daemon: &Daemon{loop: events, log: slog.New(slog.DiscardHandler), cfg: config.Config{Limits: bounds}}}
	ownFD, successorFD, err := handover.Pair()
	require.NoError(t, err)

	successor := exec.Command("cat") // exits with status 0 once its input is closed
	input, err := successor.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, successor.Start())
	p.successor = &successorProcess{role: p, cmd: successor}
	p.successor.conn, err = handover.New(events, bounds, ownFD, p.successor)
	require.NoError(t, err)

	p.machine.State = phase.Draining
	p.handle(phase.Drained{})
	require.Equal(t, phase.Finished, p.machine.State)
	received, err := unix.Read(successorFD, make([]byte, 64))
	require.NoError(t, err)
	require.Positive(t, received, "no Farewell was sent")
	require.NoError(t, unix.Close(successorFD))
	require.NoError(t, events.Run(idleTurner{}))

	require.NoError(t, input.Close())
	require.NoError(t, successor.Wait(), "the successor was killed")
}

// messageRecorder is the other end of a handover connection. It stops its loop with the end of the connection.
type messageRecorder struct {
	loop     *loop.Loop
	messages []*pb.Envelope
}

func (r *messageRecorder) HandleMessage(e *pb.Envelope, fds []int) {
	r.messages = append(r.messages, e)
	for _, fd := range fds {
		loop.CloseFD(fd)
	}
}

func (r *messageRecorder) ConnectionLost(error) { r.loop.Stop() }

// readLate has a successor that stands still for a time, and then reads until the connection ends. It returns what it read.
func readLate(t *testing.T, fd int, standsStill time.Duration) <-chan []*pb.Envelope {
	events, err := loop.New()
	require.NoError(t, err)
	recorder := &messageRecorder{loop: events}
	_, err = handover.New(events, limits.Limits{MaxHandoverMessageBytes: 1 << 20}, fd, recorder)
	require.NoError(t, err)
	read := make(chan []*pb.Envelope, 1)
	go func() {
		time.Sleep(standsStill)
		_ = events.Run(idleTurner{})
		read <- recorder.messages
	}()
	return read
}

// predecessorWithFullSocket returns a process whose successor has more to read than the socket holds.
func predecessorWithFullSocket(t *testing.T, events *loop.Loop, bounds limits.Limits) (p *predecessorRole, successorFD int) {
	p = &predecessorRole{daemon: &Daemon{loop: events, log: slog.New(slog.DiscardHandler), cfg: config.Config{Limits: bounds}}}
	ownFD, successorFD, err := handover.Pair()
	require.NoError(t, err)
	p.successor = &successorProcess{role: p}
	p.successor.conn, err = handover.New(events, bounds, ownFD, p.successor)
	require.NoError(t, err)
	for p.successor.conn.QueuedBytes() < bounds.MaxHandoverMessageBytes {
		p.send(&pb.Envelope{Body: &pb.Envelope_Welcome{Welcome: &pb.Welcome{Version: strings.Repeat("x", 1000)}}})
	}
	return p, successorFD
}

// Guards against a time that runs while messages are queued and not sent: the old process of an upgrade ended 50 ms after its
// last message, and client connections that a successor had not read by then were lost with it.
func TestPredecessorEndsOnceItsLastMessagesAreSent(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHandoverMessageBytes: 1 << 20, DrainFlushPeriod: 10 * time.Millisecond}
	p, successorFD := predecessorWithFullSocket(t, events, bounds)
	p.machine.State = phase.Draining
	p.handle(phase.Drained{})
	read := readLate(t, successorFD, 20*bounds.DrainFlushPeriod)
	require.NoError(t, events.Run(idleTurner{}))
	require.Zero(t, p.successor.conn.QueuedBytes())
	events.Close() // as the end of the process does
	messages := <-read
	require.NotNil(t, messages[len(messages)-1].GetFarewell())
}

// Guards against the same time in a handover that fails: a replacement that sees the connection end without an abort takes
// the old process for dead, and serves beside it.
func TestReplacementReadsTheAbortHoweverLate(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHandoverMessageBytes: 1 << 20, DrainFlushPeriod: 10 * time.Millisecond}
	p, successorFD := predecessorWithFullSocket(t, events, bounds)
	p.machine.State, p.machine.HasExternalSuccessor = phase.Copying, true
	conn := p.successor.conn
	p.handle(phase.PhaseTimedOut{})
	require.Equal(t, phase.Idle, p.machine.State)
	read := readLate(t, successorFD, 20*bounds.DrainFlushPeriod)
	var stopWhenSent func()
	stopWhenSent = func() {
		if conn.QueuedBytes() == 0 {
			events.Stop()
			return
		}
		events.After(time.Millisecond, stopWhenSent)
	}
	stopWhenSent()
	require.NoError(t, events.Run(idleTurner{}))
	events.Close()
	messages := <-read
	require.NotNil(t, messages[len(messages)-1].GetAbort())
}

// A process that has nothing left does not wait for a successor that has ended.
func TestPredecessorEndsWithItsSuccessor(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	p, successorFD := predecessorWithFullSocket(t, events, limits.Limits{MaxHandoverMessageBytes: 1 << 20})
	p.machine.State = phase.Draining
	p.handle(phase.Drained{})
	require.NoError(t, unix.Close(successorFD))
	require.NoError(t, events.Run(idleTurner{}))
}

// Guards against connections that wait for a process which has ended: a successor that was told to end is not replaced by its
// predecessor, which closes the listeners and the connections that it still has.
func TestPredecessorClosesListenersWhenItsLeavingSuccessorEnds(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHandoverMessageBytes: 1 << 20}
	p, _ := predecessorWithFullSocket(t, events, bounds)
	p.daemon.server = downstream.New(events, bounds, p.daemon.log)
	require.NoError(t, p.daemon.server.Listen(nettest.FreeAddress(t), nil))
	p.daemon.server.Suspend()
	p.machine.State = phase.Draining
	p.handle(phase.MessageReceived{Message: phase.Leaving})
	require.False(t, p.daemon.server.ListenersClosed())
	p.successor.handleExit("exit status 0")
	require.True(t, p.daemon.server.ListenersClosed())
	require.Nil(t, p.successor)
}
