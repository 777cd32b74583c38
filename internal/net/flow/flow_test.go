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
			if n := min(rapid.IntRange(0, 30).Draw(t, "put"), p.Room(), len(left)); n > 0 {
				p.Put(left[:n])
				left = left[n:]
			}
			require.LessOrEqual(t, len(p.Next()), window)
			if len(left) == 0 {
				p.End(true)
			}
			n := min(rapid.IntRange(0, 30).Draw(t, "take"), len(p.Next()))
			got = append(got, p.Next()[:n]...)
			p.Took(n)
			if p.Whole() {
				break
			}
		}
		require.Equal(t, string(body), string(got))
		require.Equal(t, len(body) > 0, p.Taken())
		require.Positive(t, told)
	})
}

func TestABrokenPipeIsNeverWhole(t *testing.T) {
	p := New(4, -1)
	p.Put([]byte("ab"))
	p.End(false)
	p.End(true)
	p.Took(2)
	require.True(t, p.Broken())
	require.False(t, p.Whole())
}

// What is put when nobody takes any more is held nowhere, and the putter is not kept waiting.
func TestDrop(t *testing.T) {
	p := New(2, -1)
	room := 0
	p.OnRoom = func() { room++ }
	p.Put([]byte("ab"))
	require.Zero(t, p.Room())
	p.Drop()
	p.Drop()
	require.Equal(t, 1, room)
	p.Put([]byte("cd"))
	require.Empty(t, p.Next())
	require.Equal(t, 2, p.Room())
	(*Pipe)(nil).Drop()
}
