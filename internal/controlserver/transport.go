package controlserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer carries raft's connections between replicas.
type streamLayer struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// position is where a log ends. Of two, the one of the later term is newer, and within a term the longer.
type position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

func (p position) less(than position) bool {
	return p.Term < than.Term || p.Term == than.Term && p.Index < than.Index
}

// guardedTransport is raft's transport between replicas with two additions. It keeps a replica out of elections until
// it is known to have what it had acknowledged (see votingGate). And it notes which heartbeat a follower has answered,
// so that a leader that was paused is not confirmed by an answer from before the pause, as raft.VerifyLeader may be.
type guardedTransport struct {
	*raft.NetworkTransport
	gate     *votingGate
	incoming chan raft.RPC
	done     chan struct{}
	closing  sync.Once

	epoch     atomic.Uint64 // heartbeats that begin from now on confirm it
	mu        sync.Mutex
	confirmed map[raft.ServerID]confirmation
}

// confirmation is that a follower answered a heartbeat, as a follower of the term, which began in the epoch.
type confirmation struct{ term, epoch uint64 }

func newGuardedTransport(inner *raft.NetworkTransport, gate *votingGate) *guardedTransport {
	t := &guardedTransport{NetworkTransport: inner, gate: gate, incoming: make(chan raft.RPC),
		done: make(chan struct{}), confirmed: map[raft.ServerID]confirmation{}}
	go t.filter()
	return t
}

// Consumer implements raft.Transport.
func (t *guardedTransport) Consumer() <-chan raft.RPC { return t.incoming }

// Close implements raft.WithClose.
func (t *guardedTransport) Close() error {
	t.closing.Do(func() { close(t.done) })
	return t.NetworkTransport.Close()
}

// filter answers requests for votes itself while the gate refuses them, and passes all else on.
func (t *guardedTransport) filter() {
	for {
		select {
		case <-t.done:
			return
		case rpc := <-t.NetworkTransport.Consumer():
			if t.refuses(rpc) {
				continue
			}
			if entries, ok := rpc.Command.(*raft.AppendEntriesRequest); ok && !t.gate.passed() {
				rpc.RespChan = t.observe(entries, rpc.RespChan)
			}
			select {
			case t.incoming <- rpc:
			case <-t.done:
				return
			}
		}
	}
}

func (t *guardedTransport) refuses(rpc raft.RPC) bool {
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax}
	switch c := rpc.Command.(type) {
	case *raft.RequestVoteRequest:
		if t.gate.refuses(position{c.LastLogTerm, c.LastLogIndex}) {
			rpc.Respond(&raft.RequestVoteResponse{RPCHeader: header}, nil)
			return true
		}
	case *raft.RequestPreVoteRequest:
		if t.gate.refuses(position{c.LastLogTerm, c.LastLogIndex}) {
			rpc.Respond(&raft.RequestPreVoteResponse{RPCHeader: header}, nil)
			return true
		}
	case *raft.TimeoutNowRequest: // asks to begin an election at once
		if !t.gate.passed() {
			rpc.Respond(nil, errNotCaughtUp)
			return true
		}
	}
	return false
}

// observe passes on the answer to a leader's entries, and opens the gate when the log here then holds all that the
// leader knew to be committed.
func (t *guardedTransport) observe(request *raft.AppendEntriesRequest, to chan<- raft.RPCResponse) chan<- raft.RPCResponse {
	through := request.PrevLogEntry + uint64(len(request.Entries))
	committed := request.LeaderCommitIndex
	answers := make(chan raft.RPCResponse, 1)
	go func() {
		select {
		case answer := <-answers:
			response, ok := answer.Response.(*raft.AppendEntriesResponse)
			if ok && answer.Error == nil && response.Success && committed > 0 && through >= committed {
				t.gate.caughtUp()
			}
			to <- answer
		case <-t.done:
		}
	}()
	return answers
}

// RequestVote implements raft.Transport.
func (t *guardedTransport) RequestVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestVoteRequest,
	response *raft.RequestVoteResponse) error {
	if t.gate.refuses(position{request.LastLogTerm, request.LastLogIndex}) {
		return errNotCaughtUp
	}
	if err := t.NetworkTransport.RequestVote(id, target, request, response); err != nil {
		return err
	}
	return checkReplica(id, response.RPCHeader)
}

// RequestPreVote implements raft.WithPreVote.
func (t *guardedTransport) RequestPreVote(id raft.ServerID, target raft.ServerAddress, request *raft.RequestPreVoteRequest,
	response *raft.RequestPreVoteResponse) error {
	if t.gate.refuses(position{request.LastLogTerm, request.LastLogIndex}) {
		return errNotCaughtUp
	}
	if err := t.NetworkTransport.RequestPreVote(id, target, request, response); err != nil {
		return err
	}
	return checkReplica(id, response.RPCHeader)
}

// errOtherReplica is the error of a call that another replica has answered than the one that was called.
var errOtherReplica = errors.New("another replica has answered at this address")

// checkReplica returns an error if a response is of another replica than the called one, which has come up at its address.
// Its vote or confirmation must not count twice. A response without an id is of an earlier version of the protocol.
func checkReplica(id raft.ServerID, header raft.RPCHeader) error {
	if len(header.ID) > 0 && raft.ServerID(header.ID) != id {
		return fmt.Errorf("%w: %s instead of %s", errOtherReplica, header.ID, id)
	}
	return nil
}

// AppendEntries implements raft.Transport.
func (t *guardedTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {
	epoch := t.epoch.Load()
	if err := t.NetworkTransport.AppendEntries(id, target, request, response); err != nil {
		return err
	}
	if err := checkReplica(id, response.RPCHeader); err != nil {
		return err
	}
	if response.Success && response.Term == request.Term {
		t.mu.Lock()
		defer t.mu.Unlock()
		was := t.confirmed[id]
		if was.term < request.Term || was.term == request.Term && was.epoch < epoch {
			t.confirmed[id] = confirmation{request.Term, epoch}
		}
	}
	return nil
}

// confirmedSince tells whether, with this replica, a quorum of the voters has confirmed the term in heartbeats that
// began in this epoch or later.
func (t *guardedTransport) confirmedSince(term, epoch uint64, self raft.ServerID, servers []raft.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	voters, confirmed := 0, 0
	for _, server := range servers {
		if server.Suffrage != raft.Voter {
			continue
		}
		voters++
		c := t.confirmed[server.ID]
		if server.ID == self || c.term == term && c.epoch >= epoch {
			confirmed++
		}
	}
	return confirmed > voters/2
}

// verifyRounds bounds how often a verification asks anew: each follower may have one older answer on its way.
const verifyRounds = 4

// verifyLeader returns nil if this replica was the leader of the term at some instant after the call began.
func (n *node) verifyLeader(term uint64) error {
	epoch := n.transport.epoch.Add(1)
	for range verifyRounds {
		if err := n.raft.VerifyLeader().Error(); err != nil {
			return err
		}
		configuration := n.raft.GetConfiguration()
		if err := configuration.Error(); err != nil {
			return err
		}
		if n.transport.confirmedSince(term, epoch, n.id, configuration.Configuration().Servers) {
			return nil
		}
	}
	return fmt.Errorf("no quorum has confirmed term %d", term)
}
