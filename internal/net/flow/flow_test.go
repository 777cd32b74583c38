package flow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// However pieces are put and taken, all comes out once and in order, and the window holds.
func TestAllComesOutInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.IntRange(1, 20).Draw(t, "window")
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")
		p := New(window, int64(len(body)))
		var got []byte
		told := 0
		p.OnData = func() { told++ }
		for left := body; ; {
			if n := min(rapid.IntRange(0, 30).Draw(t, "put"), p.FreeSpace(), len(left)); n > 0 {
				p.Append(left[:n])
				left = left[n:]
			}
			require.LessOrEqual(t, len(p.Bytes()), window)
			if len(left) == 0 {
				p.CloseWrite(true)
			}
			n := min(rapid.IntRange(0, 30).Draw(t, "take"), len(p.Bytes()))
			got = append(got, p.Bytes()[:n]...)
			p.Consume(n)
			if p.IsComplete() {
				break
			}
		}
		require.Equal(t, string(body), string(got))
		require.Equal(t, len(body) > 0, p.HasConsumed())
		require.Positive(t, told)
	})
}

func TestABrokenPipeIsNeverWhole(t *testing.T) {
	p := New(4, -1)
	p.Append([]byte("ab"))
	p.CloseWrite(false)
	p.CloseWrite(true)
	p.Consume(2)
	require.True(t, p.IsTruncated())
	require.False(t, p.IsComplete())
}

// What is put when nobody takes any more is held nowhere, and the putter is not kept waiting.
func TestDrop(t *testing.T) {
	p := New(2, -1)
	room := 0
	p.OnFreeSpace = func() { room++ }
	p.Append([]byte("ab"))
	require.Zero(t, p.FreeSpace())
	p.CloseRead()
	p.CloseRead()
	require.Equal(t, 1, room)
	p.Append([]byte("cd"))
	require.Empty(t, p.Bytes())
	require.Equal(t, 2, p.FreeSpace())
	(*Pipe)(nil).CloseRead()
}
