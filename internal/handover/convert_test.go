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

// there is a message's way to the other process.
func there[M proto.Message](t *rapid.T, m M, empty M) M {
	b, err := proto.Marshal(m)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(b, empty))
	return empty
}

// Whatever a part's state holds, every field of it comes over: a field that was forgotten comes back zero.
func TestWhatIsSentIsWhatComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.Make[admission.CustomerState]().Draw(t, "customer")
		require.Equal(t, c, FromCustomer(there(t, Customer(c), &pb.Customer{})))
		o := rapid.Make[core.Snapshot]().Draw(t, "open")
		s := &pb.Snapshot{LastStream: o.LastID}
		s.Streams, s.Keys = Open(o)
		equal(t, o, FromOpen(there(t, s, &pb.Snapshot{})))
		ev := rapid.Make[admission.AttemptEnded]().Draw(t, "attempt")
		ev.Outcome = admission.Outcome(rapid.IntRange(0, int(admission.OutcomeCount)-1).Draw(t, "outcome"))
		ev.Attempt %= 8
		ev.Done, ev.Billed, ev.Used, ev.Report, ev.NotReplayable = true, 0, 0, nil, false // not told
		got, at := FromAttempt(there(t, Attempt(ev, time.Hour), &pb.AttemptEnded{}))
		require.Equal(t, time.Hour, at)
		require.Equal(t, ev, got)
	})
}

func TestAGatewaysStateComesOverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := rapid.Make[admission.State]().Draw(t, "gateway")
		for i := range g.Servers {
			g.Servers[i].Entry.State = admission.ServerState(i % 3)
		}
		equal(t, g, FromGateway(there(t, Gateway(g), &pb.Gateway{})))
	})
}

func TestAConnectionsStateComesOverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.Make[downstream.ConnState]().Draw(t, "connection")
		s.Parser.Framing, s.Parser.ChunkState = s.Parser.Framing&3, s.Parser.ChunkState&3
		equal(t, s, FromClient(there(t, Client(s), &pb.ClientConnection{})))
	})
}

// equal takes an empty list for none, as the messages do.
func equal(t *rapid.T, want, got any) {
	require.Equal(t, normal(want), normal(got))
}

// normal writes a value so that no list and an empty one are the same.
func normal(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return strings.NewReplacer("null", "[]", `""`, "[]").Replace(string(b))
}
