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

// A successor that has read Farewell closes its end of the connection, which may be seen before this process has
// ended: that successor serves alone and must not be killed.
func TestASuccessorThatWasToldFarewellIsNotKilled(t *testing.T) {
	events, err := loop.New()
	require.NoError(t, err)
	bounds := limits.Limits{MaxHandoverMessageBytes: 1 << 20, DrainFlushPeriod: time.Second}
	p := &predecessor{d: &Daemon{loop: events, log: slog.New(slog.DiscardHandler), cfg: config.Config{Limits: bounds}}}
	ours, theirs, err := handover.Pair()
	require.NoError(t, err)

	successor := exec.Command("cat") // ends in good order once its input is closed
	input, err := successor.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, successor.Start())
	p.peer = &peer{p: p, cmd: successor}
	p.peer.conn, err = handover.New(events, bounds, ours, p.peer)
	require.NoError(t, err)

	p.machine.State = phase.Emptying
	p.handle(phase.Emptied{})
	require.Equal(t, phase.Over, p.machine.State)
	received, err := unix.Read(theirs, make([]byte, 64))
	require.NoError(t, err)
	require.Positive(t, received, "Farewell")
	require.NoError(t, unix.Close(theirs))
	require.NoError(t, events.Run(idleTurner{}))

	require.NoError(t, input.Close())
	require.NoError(t, successor.Wait(), "it was killed")
}
