package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Shape of the replicated log's measurement.
const (
	replicas       = 3
	logChanges     = 100 // one after the other, whose latencies are recorded
	logRounds      = 3   // of so many changes, of which the least latencies count
	logTime        = 700 * time.Millisecond
	logApplyLimit  = 5 * time.Second
	logElection    = time.Second // a busy machine stalls a replica for a part of it
	logElectionMax = 10 * time.Second
	logWarmUp      = 5 // changes before those that count
)

// discardingMachine is a state machine that keeps nothing: only the log is measured.
type discardingMachine struct{}

// Apply takes a committed entry.
func (discardingMachine) Apply(*raft.Log) any { return nil }

// Snapshot returns an empty snapshot.
func (discardingMachine) Snapshot() (raft.FSMSnapshot, error) { return emptySnapshot{}, nil }

// Restore takes a snapshot.
func (discardingMachine) Restore(snapshot io.ReadCloser) error { return snapshot.Close() }

type emptySnapshot struct{}

// Persist writes nothing.
func (emptySnapshot) Persist(sink raft.SnapshotSink) error { return sink.Close() }

// Release holds nothing to release.
func (emptySnapshot) Release() {}

// raftReplica is one member of the group.
type raftReplica struct {
	node      *raft.Raft
	transport *raft.NetworkTransport
	store     *raftboltdb.BoltStore
	file      string
}

// raftGroup is a replicated log of three replicas in this process, over loopback connections, each with its log on disk.
type raftGroup struct {
	dir      string
	replicas []raftReplica
	leader   *raft.Raft
}

// newRaftGroup starts a group and waits for its leader.
func newRaftGroup(ctx context.Context) (*raftGroup, error) {
	dir, err := os.MkdirTemp("", "replicated-log-")
	if err != nil {
		return nil, err
	}
	g := &raftGroup{dir: dir}
	var servers []raft.Server
	for i := range replicas {
		transport, err := raft.NewTCPTransport("127.0.0.1:0", nil, replicas, time.Second, io.Discard)
		if err != nil {
			return nil, errors.Join(err, g.close())
		}
		g.replicas = append(g.replicas, raftReplica{transport: transport})
		servers = append(servers, raft.Server{ID: replicaID(i), Address: transport.LocalAddr()})
	}
	for i := range g.replicas {
		if err := g.replicas[i].start(filepath.Join(dir, fmt.Sprintf("log-%d.db", i)), replicaID(i), servers); err != nil {
			return nil, errors.Join(err, g.close())
		}
	}
	if err := g.awaitLeader(ctx); err != nil {
		return nil, errors.Join(err, g.close())
	}
	return g, nil
}

func replicaID(i int) raft.ServerID { return raft.ServerID(fmt.Sprintf("replica-%d", i)) }

// start opens the replica's log and joins the group.
func (r *raftReplica) start(file string, id raft.ServerID, servers []raft.Server) (err error) {
	r.file = file
	if r.store, err = raftboltdb.New(raftboltdb.Options{Path: file}); err != nil {
		return err
	}
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = id, hclog.NewNullLogger()
	config.HeartbeatTimeout, config.ElectionTimeout, config.LeaderLeaseTimeout = logElection, logElection, logElection
	snapshots := raft.NewDiscardSnapshotStore()
	if err := raft.BootstrapCluster(config, r.store, r.store, snapshots, r.transport, raft.Configuration{Servers: servers}); err != nil {
		return err
	}
	r.node, err = raft.NewRaft(config, discardingMachine{}, r.store, r.store, snapshots, r.transport)
	return err
}

// awaitLeader waits until one replica leads.
func (g *raftGroup) awaitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logElectionMax)
	defer cancel()
	for ; ; time.Sleep(5 * time.Millisecond) {
		for _, r := range g.replicas {
			if r.node.State() == raft.Leader {
				g.leader = r.node
				return r.node.Barrier(logApplyLimit).Error()
			}
		}
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("no leader: %w", err)
		}
	}
}

// apply commits one change.
func (g *raftGroup) apply(change []byte) error { return g.leader.Apply(change, logApplyLimit).Error() }

// close ends the replicas and removes their files.
func (g *raftGroup) close() error {
	var errs []error
	for _, r := range g.replicas {
		if r.node != nil {
			errs = append(errs, r.node.Shutdown().Error())
		}
		errs = append(errs, r.transport.Close())
		if r.store != nil {
			errs = append(errs, r.store.Close())
		}
	}
	return errors.Join(append(errs, os.RemoveAll(g.dir))...)
}

// logCost is what changes of one size cost a replicated log.
type logCost struct {
	p50, p99 time.Duration // until a change is committed
	written  float64       // bytes to the disk by all replicas for a change
	growth   float64       // bytes that the file of one replica grows by for a change
}

// measureLog commits changes of a size one after the other, in several rounds of which the least latencies count.
func measureLog(ctx context.Context, bytes int) (least logCost, err error) {
	g, err := newRaftGroup(ctx)
	if err != nil {
		return least, err
	}
	defer func() { err = errors.Join(err, g.close()) }()
	change := make([]byte, bytes)
	if err := g.commit(ctx, change, logWarmUp, func(time.Duration) {}); err != nil {
		return least, err
	}
	before, err := g.storage()
	if err != nil {
		return least, err
	}
	for round := range logRounds {
		latencies := hdrhistogram.New(1, logApplyLimit.Microseconds(), 3)
		err := g.commit(ctx, change, logChanges, func(took time.Duration) {
			_ = latencies.RecordValue(took.Microseconds()) // one beyond the range has failed already
		})
		if err != nil {
			return least, err
		}
		p50 := time.Duration(latencies.ValueAtPercentile(50)) * time.Microsecond
		p99 := time.Duration(latencies.ValueAtPercentile(99)) * time.Microsecond
		if round > 0 {
			p50, p99 = min(p50, least.p50), min(p99, least.p99)
		}
		least.p50, least.p99 = p50, p99
	}
	after, err := g.storage()
	least.written = float64(after.written-before.written) / (logRounds * logChanges)
	least.growth = float64(after.size-before.size) / (logRounds * logChanges)
	return least, err
}

// commit commits a change so many times, one after the other, and tells how long each took.
func (g *raftGroup) commit(ctx context.Context, change []byte, times int, took func(time.Duration)) error {
	for range times {
		began := time.Now()
		if err := errors.Join(g.apply(change), ctx.Err()); err != nil {
			return err
		}
		took(time.Since(began))
	}
	return nil
}

// storage is what the group has used of the disk.
type storage struct {
	written int64 // by this process, which holds all replicas
	size    int64 // of one replica's file
}

// storage reads the size of a replica's log, and what the process has caused to be written to the storage layer.
func (g *raftGroup) storage() (storage, error) {
	info, err := os.Stat(g.replicas[0].file)
	if err != nil {
		return storage{}, err
	}
	account, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return storage{}, err
	}
	used := storage{size: info.Size()}
	for line := range strings.Lines(string(account)) {
		if value, found := strings.CutPrefix(line, "write_bytes: "); found {
			used.written, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return used, err
		}
	}
	return used, errors.New("/proc/self/io has no write_bytes")
}

// measureLogRate is how many changes a second are committed for so many proposers, each with one out at a time.
func measureLogRate(ctx context.Context, proposers int) (perSecond float64, err error) {
	g, err := newRaftGroup(ctx)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, g.close()) }()
	ctx, cancel := context.WithTimeout(ctx, logTime)
	defer cancel()
	began := time.Now()
	committed, errs := make([]int, proposers), make([]error, proposers)
	var all sync.WaitGroup
	for p := range proposers {
		all.Go(func() {
			change := make([]byte, documentBytes)
			for ctx.Err() == nil && errs[p] == nil {
				if errs[p] = g.apply(change); errs[p] == nil {
					committed[p]++
				}
			}
		})
	}
	all.Wait()
	sum := 0
	for _, n := range committed {
		sum += n
	}
	return float64(sum) / time.Since(began).Seconds(), errors.Join(errs...)
}
