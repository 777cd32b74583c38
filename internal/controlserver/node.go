package controlserver

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

const (
	snapshotsKept     = 2
	snapshotThreshold = 1024 // log entries; a claim of a place is the most frequent, so about one an ingress's start
	snapshotInterval  = 30 * time.Second
	trailingLogs      = 1024
	connectionPool    = 3 // of raft, a replica: entries, heartbeats, votes
	transportTimeout  = time.Second
	applyTimeout      = 5 * time.Second
)

// Election holds the durations on which the choice of a leader depends. Slower networks need longer ones.
type Election struct {
	Heartbeat time.Duration // without a word of the leader this long, a follower stands for election
	Election  time.Duration // in which a candidate waits for votes
	Lease     time.Duration // a leader that reaches no quorum this long steps down; at most Heartbeat
	Commit    time.Duration // between entries that tell followers what is committed
}

// DefaultElection has a new leader stand about half a second after the old one has gone, where a round trip between
// replicas takes well below 100 ms.
var DefaultElection = Election{Heartbeat: 300 * time.Millisecond, Election: 300 * time.Millisecond,
	Lease: 200 * time.Millisecond, Commit: 25 * time.Millisecond}

// node is this replica's part in the consensus.
type node struct {
	id        raft.ServerID
	raft      *raft.Raft
	store     *checkedStore
	transport *guardedTransport
	gate      *votingGate
	snapshots raft.SnapshotStore
	fresh     bool // the store was empty at the start
}

// openNode opens the store and starts raft on it. The replica takes part in elections only once its gate is open.
func openNode(cfg Config, listener net.Listener, machine *machine, log *slog.Logger) (*node, error) {
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, err
	}
	store, err := openStore(cfg.Data, log)
	if err != nil {
		return nil, err
	}
	if cfg.disk != nil {
		store.bolt = cfg.disk(store.bolt)
	}
	n := &node{id: raft.ServerID(cfg.ID), store: store, gate: newVotingGate()}
	if err := n.start(cfg, listener, machine, log); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return n, nil
}

func (n *node) start(cfg Config, listener net.Listener, machine *machine, log *slog.Logger) error {
	logger := newRaftLogger(log)
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(cfg.Data, snapshotsKept, logger)
	if err != nil {
		return err
	}
	n.snapshots = snapshots
	if n.fresh, err = n.store.empty(); err != nil {
		return err
	}
	if n.fresh && n.hasCommands() {
		return fmt.Errorf("%s: a snapshot is there, but no log: %w", cfg.Data, ErrDamagedStore)
	}
	inner := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Logger: logger, MaxPool: connectionPool,
		Stream: streamLayer{listener}, Timeout: transportTimeout})
	n.transport = newGuardedTransport(inner, n.gate)
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = n.id, logger
	config.HeartbeatTimeout, config.ElectionTimeout = cfg.Election.Heartbeat, cfg.Election.Election
	config.LeaderLeaseTimeout, config.CommitTimeout = cfg.Election.Lease, cfg.Election.Commit
	config.SnapshotThreshold, config.SnapshotInterval = snapshotThreshold, snapshotInterval
	config.TrailingLogs = trailingLogs
	n.raft, err = raft.NewRaft(config, machine, n.store, n.store, snapshots, n.transport)
	if err != nil {
		return errors.Join(err, n.transport.Close())
	}
	return nil
}

// bootstrap writes the first configuration of the group into an empty store.
func (n *node) bootstrap(replicas []Replica) error {
	var configuration raft.Configuration
	for _, r := range replicas {
		configuration.Servers = append(configuration.Servers,
			raft.Server{ID: raft.ServerID(r.ID), Address: raft.ServerAddress(r.Raft)})
	}
	err := n.raft.BootstrapCluster(configuration).Error()
	if errors.Is(err, raft.ErrCantBootstrap) { // a leader was faster
		return nil
	}
	return err
}

// servers returns the members of the group that this replica knows of; none before the first start of the group.
func (n *node) servers() []raft.Server {
	future := n.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// hasCommands tells whether the log holds, or a snapshot replaces, any command.
func (n *node) hasCommands() bool {
	snapshots, err := n.snapshots.List()
	return n.store.commands.Load() || err != nil || len(snapshots) > 0
}

// position returns where this replica's log ends.
func (n *node) position() (position, error) {
	index := n.raft.LastIndex()
	if index == 0 {
		return position{}, nil
	}
	var entry raft.Log
	if err := n.store.GetLog(index, &entry); err == nil {
		return position{entry.Term, index}, nil
	}
	// The log may end with a snapshot.
	var p position
	stats := n.raft.Stats()
	if _, err := fmt.Sscan(stats["last_log_index"], &p.Index); err != nil {
		return p, err
	}
	_, err := fmt.Sscan(stats["last_log_term"], &p.Term)
	return p, err
}

// apply replicates an entry and returns once it is committed by a quorum and applied here. The error of its
// application comes as refused; err tells that it is not known to be committed.
func (n *node) apply(entry byte, data []byte) (refused, err error) {
	future := n.raft.Apply(append([]byte{entry}, data...), applyTimeout)
	if err := future.Error(); err != nil {
		return nil, err
	}
	refused, _ = future.Response().(error)
	return refused, nil
}

func (n *node) applyCommand(command controlgroup.Command) (refused, err error) {
	return n.apply(entryCommand, controlgroup.AppendCommand(nil, command))
}

// applyAll replicates commands together and tells for each what went wrong.
func (n *node) applyAll(commands []controlgroup.Command) []error {
	futures := make([]raft.ApplyFuture, len(commands))
	for i, command := range commands {
		futures[i] = n.raft.Apply(controlgroup.AppendCommand([]byte{entryCommand}, command), applyTimeout)
	}
	failures := make([]error, len(commands))
	for i, future := range futures {
		if failures[i] = future.Error(); failures[i] == nil {
			failures[i], _ = future.Response().(error)
		}
	}
	return failures
}

// leader returns the leader that this replica knows of; empty without one.
func (n *node) leader() string {
	_, id := n.raft.LeaderWithID()
	return string(id)
}

// leads returns the term in which this replica is the leader, and whether it is.
func (n *node) leads() (term uint64, ok bool) {
	before := n.raft.CurrentTerm()
	ok = n.raft.State() == raft.Leader
	return before, ok && n.raft.CurrentTerm() == before
}

// stop ends raft and closes the store.
func (n *node) stop() error {
	err := n.raft.Shutdown().Error()
	return errors.Join(err, n.transport.Close(), n.store.Close())
}
