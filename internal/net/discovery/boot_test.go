package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Discovery reports a host's start by the wall clock, which may have been set by seconds or an hour, forward or back, since
// this process started. A host that has just started must never be taken for a warm one, and a start that is already known
// must not change.
func TestBootTimeAfterWallClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		for _, hostFollows := range []bool{true, false} { // whether the host's clock was set, too
			l, err := loop.New()
			require.NoError(t, err)
			l.SetClockOffset(-step) // the wall clock is ahead of the loop's by the step
			w := &Watcher{loop: l, known: map[string]Entry{}}
			now, age := l.Now(), 500*time.Millisecond
			started := now - age
			if hostFollows {
				started += step
			}
			e := Entry{Started: started, ServerEntry: admission.ServerEntry{Name: "h", Boot: started}}
			boot := w.bootTime(e)
			require.LessOrEqual(t, boot, now, "step %v", step)
			require.GreaterOrEqual(t, boot, now-age-10*time.Millisecond, "step %v, host's clock was set, too: %v", step, hostFollows)
			e.Boot = boot
			w.known["h"] = e
			l.SetClockOffset(0)
			e.Boot = e.Started
			require.Equal(t, boot, w.bootTime(e), "a known start changed")
		}
	}
	l, err := loop.New()
	require.NoError(t, err)
	require.Zero(t, (&Watcher{loop: l}).bootTime(Entry{}), "a start that is not given is long ago")
}
