package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A message is parsed as it was written, in at most one datagram; updates that do not fit are left out from the end.
func TestMessageRoundTripsWithinADatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		msg := Message{Kind: Kind(rapid.IntRange(0, int(JoinRequest)).Draw(t, "kind")), From: "ingress-0",
			LeftDigest: rapid.Uint64().Draw(t, "left digest"), Seq: rapid.Uint64().Draw(t, "seq"),
			Target: rapid.StringMatching(`(n[0-9]{1,3})?`).Draw(t, "target")}
		for i := range rapid.IntRange(0, 40).Draw(t, "updates") {
			msg.Updates = append(msg.Updates, Update{Name: fmt.Sprintf("ingress-%d", i),
				Incarnation: rapid.Uint64().Draw(t, "incarnation"), State: State(rapid.IntRange(0, int(Left)).Draw(t, "state"))})
		}
		b := Append(nil, msg)
		require.LessOrEqual(t, len(b), MaxDatagramBytes)
		got, err := Parse(b)
		require.NoError(t, err)
		require.Equal(t, msg.Kind, got.Kind)
		require.Equal(t, msg.Seq, got.Seq)
		require.Equal(t, msg.Target, got.Target)
		require.Equal(t, msg.From, got.From)
		require.Equal(t, msg.LeftDigest, got.LeftDigest)
		require.LessOrEqual(t, len(got.Updates), len(msg.Updates))
		require.Equal(t, msg.Updates[:len(got.Updates)], got.Updates[:len(got.Updates):len(got.Updates)])
		if len(msg.Updates) > 0 && len(got.Updates) == 0 {
			t.Fatalf("not one update fitted")
		}
	})
}

// No input makes Parse panic or hang.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: PingReq, From: "n4", Seq: 7, Target: "n2", Updates: []Update{{"n1", 3, Suspect}}}))
	f.Add([]byte{0x08, 0x09})
	f.Add([]byte{0x22, 0x02, 0x10, 0x01})
	f.Add(make([]byte, 300))
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, err := Parse(b)
		if err == nil {
			require.LessOrEqual(t, len(Append(nil, msg)), MaxDatagramBytes+len(b))
		}
	})
}

func TestParseErrorsNameTheField(t *testing.T) {
	_, err := Parse([]byte{0x08, 0x09})
	require.ErrorContains(t, err, "field kind")
	_, err = Parse([]byte{0x22, 0x02, 0x10, 0x01})
	require.ErrorContains(t, err, "updates.name")
	_, err = Parse([]byte{0x08, 0x01})
	require.ErrorContains(t, err, "field from")
	_, err = Parse(make([]byte, 300))
	require.ErrorIs(t, err, ErrTooLong)
}
