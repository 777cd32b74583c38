package handover

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/net/downstream"
)

// roundTrip encodes a message and decodes it into an empty one, as on the way to the other process.
func roundTrip[M proto.Message](t *rapid.T, m M, empty M) M {
	b, err := proto.Marshal(m)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(b, empty))
	return empty
}

// Every field of the state survives encoding and decoding. A field that a conversion forgets would come back as zero.
func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.Make[admission.CustomerState]().Draw(t, "customer")
		require.Equal(t, c, DecodeCustomer(roundTrip(t, EncodeCustomer(c), &pb.Customer{})))
		o := rapid.Make[core.Snapshot]().Draw(t, "open")
		s := &pb.Snapshot{LastStream: o.LastID}
		s.Streams, s.Keys = EncodeStreams(o)
		requireEqualJSON(t, o, DecodeStreams(roundTrip(t, s, &pb.Snapshot{})))
		ev := rapid.Make[admission.AttemptEnded]().Draw(t, "attempt")
		ev.Outcome = admission.Outcome(rapid.IntRange(0, int(admission.OutcomeCount)-1).Draw(t, "outcome"))
		ev.Attempt %= 8
		ev.Done, ev.Billed, ev.Used, ev.Report, ev.NotReplayable = true, 0, 0, nil, false // not in the message
		got, at := DecodeAttemptEnded(roundTrip(t, EncodeAttemptEnded(ev, time.Hour), &pb.AttemptEnded{}))
		require.Equal(t, time.Hour, at)
		require.Equal(t, ev, got)
	})
}

func TestGatewayStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := rapid.Make[admission.State]().Draw(t, "gateway")
		for i := range g.Servers {
			g.Servers[i].Entry.State = admission.ServerState(i % 3)
		}
		requireEqualJSON(t, g, DecodeGateway(roundTrip(t, EncodeGateway(g), &pb.Gateway{})))
	})
}

func TestConnectionStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.Make[downstream.ConnState]().Draw(t, "connection")
		s.Parser.Framing, s.Parser.ChunkState = s.Parser.Framing&3, s.Parser.ChunkState&3
		requireEqualJSON(t, s, DecodeClientConn(roundTrip(t, EncodeClientConn(s), &pb.ClientConnection{})))
	})
}

// requireEqualJSON compares two values and takes empty lists for missing ones, because messages don't distinguish them.
func requireEqualJSON(t *rapid.T, want, got any) {
	require.Equal(t, normalizedJSON(want), normalizedJSON(got))
}

// normalizedJSON returns the JSON form of a value, the same for a missing and an empty list.
func normalizedJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return strings.NewReplacer("null", "[]", `""`, "[]").Replace(string(b))
}
