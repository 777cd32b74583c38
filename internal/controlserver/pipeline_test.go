package controlserver

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"ferryfront.example/ferryfront/internal/net/nettest"
)

// newTestTransport returns a transport for raft that listens at an address of its own.
func newTestTransport(t *testing.T) *guardedTransport {
	listener, err := net.Listen("tcp", nettest.FreeAddress(t))
	require.NoError(t, err)
	inner := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streamLayer{listener},
		Timeout: time.Minute, MaxPool: 1, MaxRPCsInFlight: raft.DefaultMaxRPCsInFlight,
		Logger: hclog.New(&hclog.LoggerOptions{Output: io.Discard})})
	transport := newGuardedTransport(inner, newVotingGate())
	t.Cleanup(func() { require.NoError(t, transport.Close()) })
	return transport
}

// Guards against a replica that hangs as it stops: raft's reader of a pipeline had ended after an answer without success,
// and the sender waited for room in the pipeline, which nobody made any more. The sender must get an error.
func TestSenderDoesNotWaitForAPipelineThatNobodyReads(t *testing.T) {
	leader, follower := newTestTransport(t), newTestTransport(t)
	const term = 3
	for name, refusal := range map[string]raft.AppendEntriesResponse{
		"no success": {Term: term}, "newer term": {Term: term + 1, Success: true},
	} {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			defer close(stopped)
			go func() { // the follower
				for {
					select {
					case rpc := <-follower.Consumer():
						answer := refusal
						rpc.Respond(&answer, nil)
					case <-stopped:
						return
					}
				}
			}()
			pipeline, err := leader.AppendEntriesPipeline("follower", follower.LocalAddr())
			require.NoError(t, err)
			defer func() { require.NoError(t, pipeline.Close()) }()
			go func() { <-pipeline.Consumer() }() // raft's reader, which stops after this answer
			failed := make(chan error, 1)
			go func() { // raft's sender
				for {
					request := &raft.AppendEntriesRequest{Term: term}
					if _, err := pipeline.AppendEntries(request, &raft.AppendEntriesResponse{}); err != nil {
						failed <- err
						return
					}
				}
			}()
			select {
			case err := <-failed:
				require.Error(t, err)
			case <-time.After(20 * time.Second):
				require.Fail(t, "the sender waits for a pipeline that nobody reads")
			}
		})
	}
}
