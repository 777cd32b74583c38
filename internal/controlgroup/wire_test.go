package controlgroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/internal/versions"
)

func drawVersion(t *rapid.T) versions.Version {
	return versions.Version{
		Number: rapid.Uint64Range(1, versions.MaxNumber).Draw(t, "number"),
		Hash:   rapid.Uint64().Draw(t, "hash"),
	}
}

func drawVersions(t *rapid.T) []versions.Version {
	var list []versions.Version
	for range rapid.IntRange(0, 5).Draw(t, "versions") {
		list = append(list, drawVersion(t))
	}
	return list
}

func drawName(t *rapid.T) string { return rapid.StringMatching(`[a-z]{1,64}`).Draw(t, "name") }

func drawText(t *rapid.T) []byte {
	if size := rapid.SampledFrom([]int{0, 1, 100, TextMost}).Draw(t, "size"); size > 0 {
		return make([]byte, size)
	}
	return nil
}

func drawLength(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(lengthMost)).Draw(t, "length"))
}

func drawMessage(t *rapid.T) Message {
	member := MemberID(rapid.Uint32().Draw(t, "member"))
	incarnation := Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation"))
	number := rapid.Uint64().Draw(t, "number")
	switch kind(rapid.IntRange(int(kindRenew), int(kindRelay)).Draw(t, "kind")) {
	case kindRenew:
		renew := Renew{Member: member, Incarnation: incarnation, Sequence: number}
		for range rapid.IntRange(0, 3).Draw(t, "reports") {
			renew.Reports = append(renew.Reports, Report{drawName(t), drawVersions(t)})
		}
		return renew
	case kindGrant:
		return Grant{member, incarnation, number, drawLength(t), drawLength(t), drawLength(t),
			rapid.Bool().Draw(t, "superseded"), rapid.Uint64().Draw(t, "term")}
	case kindInForce:
		return InForce{drawName(t), drawVersions(t)}
	case kindContent:
		return Content{drawName(t), drawVersion(t), drawText(t)}
	case kindPropose:
		return Propose{number, drawName(t), drawVersion(t), drawText(t)}
	case kindProposeResult:
		return ProposeResult{number, rapid.String().Draw(t, "error")}
	case kindClosed:
		return Closed{member, incarnation}
	}
	return Relay{drawName(t)}
}

// Frames come out as they went in, one after the other, wherever the stream is cut.
func TestFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawMessage(t), drawMessage(t)
		stream := Append(Append(nil, first), second)
		got, rest, err := Next(stream)
		require.NoError(t, err)
		require.Equal(t, first, got)
		part := rest[:rapid.IntRange(0, len(rest)-1).Draw(t, "cut")]
		got, same, err := Next(part)
		require.NoError(t, err)
		require.Nil(t, got)
		require.Equal(t, part, same)
		got, rest, err = Next(rest)
		require.NoError(t, err)
		require.Equal(t, second, got)
		require.Empty(t, rest)
	})
}

func TestMalformedFramesAreRefused(t *testing.T) {
	for name, frame := range map[string][]byte{
		"empty":                {0, 0, 0, 0},
		"bytes, at most":       {0, 2, 0, 1, 1},
		"kind 99":              {0, 0, 0, 1, 99},
		"incarnation: missing": {0, 0, 0, 3, byte(kindClosed), 8, 5},
		"document: missing":    {0, 0, 0, 1, byte(kindInForce)},
		"version: 0, not one":  {0, 0, 0, 1, byte(kindContent)},
		"replica: missing":     {0, 0, 0, 1, byte(kindRelay)},
		"field":                {0, 0, 0, 2, byte(kindRenew), 8},
		"member: ":             {0, 0, 0, 7, byte(kindClosed), 8, 255, 255, 255, 255, 127},
	} {
		message, rest, err := Next(frame)
		require.ErrorIs(t, err, ErrFrame, name)
		require.ErrorContains(t, err, name)
		require.Nil(t, message)
		require.Equal(t, frame, rest)
	}
	long := Append(nil, Content{"settings", versions.Version{Number: 1}, make([]byte, TextMost+1)})
	_, _, err := Next(long)
	require.ErrorContains(t, err, "field text: 65537 bytes")
}

func TestALongReasonIsCut(t *testing.T) {
	reason := make([]byte, FrameMost)
	for i := range reason {
		reason[i] = "\u00e4"[i%2]
	}
	message, _, err := Next(Append(nil, ProposeResult{1, string(reason)}))
	require.NoError(t, err)
	require.Equal(t, string(reason[:reasonMost]), message.(ProposeResult).Error)
}

func FuzzNext(f *testing.F) {
	version := versions.Version{Number: 3, Hash: 4}
	for _, message := range []Message{
		Renew{1, 2, 3, []Report{{"settings", []versions.Version{version}}}},
		Grant{1, 2, 3, time.Second, time.Minute, time.Millisecond, true, 4},
		InForce{"settings", []versions.Version{version}},
		Content{"settings", version, []byte("text")},
		Propose{1, "settings", version, []byte("text")},
		ProposeResult{1, "older"},
		Closed{1, 2},
		Relay{"a"},
	} {
		f.Add(Append(nil, message))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		message, rest, err := Next(b)
		if err != nil || message == nil {
			require.Equal(t, b, rest)
			return
		}
		again, _, err := Next(Append(nil, message))
		require.NoError(t, err)
		require.Equal(t, message, again)
	})
}
