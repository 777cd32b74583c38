package flow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// However a body is split when it is appended and consumed, it comes out once and in order, and the pipe never holds
// more than its window.
func TestBodyPassesInOrderWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 20).Draw(t, "window")
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")
		p := New(window, int64(len(body)))
		var got []byte
		calls := 0
		p.OnData = func() { calls++ }
		for rest := body; ; {
			if n := min(rapid.IntRange(0, 30).Draw(t, "append"), p.FreeSpace(), len(rest)); n > 0 {
				p.Append(rest[:n])
				rest = rest[n:]
			}
			require.LessOrEqual(t, len(p.Bytes()), window)
			if len(rest) == 0 {
				p.CloseWrite(true)
			}
			n := min(rapid.IntRange(0, 30).Draw(t, "consume"), len(p.Bytes()))
			got = append(got, p.Bytes()[:n]...)
			p.Consume(n)
			if p.IsComplete() {
				break
			}
		}
		require.Equal(t, string(body), string(got))
		require.Equal(t, len(body) > 0, p.HasConsumed())
		require.Positive(t, calls)
	})
}

func TestTruncatedPipeIsNeverComplete(t *testing.T) {
	p := New(4, -1)
	p.Append([]byte("ab"))
	p.CloseWrite(false)
	p.CloseWrite(true)
	p.Consume(2)
	require.True(t, p.IsTruncated())
	require.False(t, p.IsComplete())
}

// After CloseRead, appended bytes are not kept, and the writer always has free space: it must not wait for a reader
// that is gone.
func TestCloseRead(t *testing.T) {
	p := New(2, -1)
	calls := 0
	p.OnFreeSpace = func() { calls++ }
	p.Append([]byte("ab"))
	require.Zero(t, p.FreeSpace())
	p.CloseRead()
	p.CloseRead()
	require.Equal(t, 1, calls)
	p.Append([]byte("cd"))
	require.Empty(t, p.Bytes())
	require.Equal(t, 2, p.FreeSpace())
	(*Pipe)(nil).CloseRead()
}
