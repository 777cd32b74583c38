package daemon

import (
	"log/slog"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
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
