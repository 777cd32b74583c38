package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host that reads slowly lets the connection be read in small parts. Its socket becomes empty now and then while the
// client's system holds the rest: input that comes soon after that was written long before.
func TestEmptySocketOfBlockedClientIsNoSignThatItIsBehind(t *testing.T) {
	const start = time.Hour
	at := func(milliseconds int) time.Duration { return start + time.Duration(milliseconds)*time.Millisecond }
	u := unreadInput{emptyAt: start, isDrained: true}
	require.Equal(t, at(5), u.since(at(5)), "polled and empty: input has just been written")
	u.noteRead(at(5), false)
	u.notePolled(at(5), false, -1)
	for now := 100; now < 500; now += 100 {
		require.Equal(t, at(5), u.since(at(now)))
		u.noteRead(at(now), true)
		require.Equal(t, at(5), u.since(at(now+1)), "the client's system may send the rest")
		u.notePolled(at(now+2), false, -1)
	}
	u.noteRead(at(600), true)
	require.Equal(t, at(600)+settleTime, u.since(at(600)+settleTime), "nothing has come: the client is behind")
	u.noteRead(at(700), true)
	require.Equal(t, at(701), u.since(at(701)))
}
