package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// A host's start is told in wall-clock time. Where that was stepped, by seconds or an hour, either way, one that has just
// started never passes for one that is warm, and one that has long been there keeps what was told of it.
func TestAHostsStartWhereTheWallClockWasStepped(t *testing.T) {
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		for _, follows := range []bool{true, false} { // whether the host's clock was stepped, too
			l, err := loop.New()
			require.NoError(t, err)
			l.SetClockOffset(-step) // the wall clock is ahead of the loop's by the step
			w := &Watcher{loop: l, known: map[string]Entry{}}
			now, age := l.Now(), 500*time.Millisecond
			started := now - age
			if follows {
				started += step
			}
			e := Entry{Started: started, ServerEntry: admission.ServerEntry{Name: "h", Boot: started}}
			boot := w.boot(e)
			require.LessOrEqual(t, boot, now, "step %v", step)
			require.GreaterOrEqual(t, boot, now-age-10*time.Millisecond, "step %v, the host's clock follows: %v", step, follows)
			e.Boot = boot
			w.known["h"] = e
			l.SetClockOffset(0)
			e.Boot = e.Started
			require.Equal(t, boot, w.boot(e), "the same start as before")
		}
	}
	l, err := loop.New()
	require.NoError(t, err)
	require.Zero(t, (&Watcher{loop: l}).boot(Entry{}), "long ago")
}
