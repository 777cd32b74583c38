package controlserver

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// failingDisk is a store on a disk that is full, or fails, for a while.
type failingDisk struct {
	durableStore
	failing *atomic.Bool
}

func (d failingDisk) fault() error {
	if d.failing.Load() {
		return []error{syscall.ENOSPC, syscall.EIO}[rand.IntN(2)]
	}
	return nil
}

func (d failingDisk) StoreLogs(logs []*raft.Log) error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.durableStore.StoreLogs(logs)
}

func (d failingDisk) Set(key, value []byte) error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.durableStore.Set(key, value)
}

func (d failingDisk) DeleteRange(first, last uint64) error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.durableStore.DeleteRange(first, last)
}

// withDisks puts a disk that can be made to fail between each replica and its own.
func (g *testGroup) withDisks() map[string]*atomic.Bool {
	failing := map[string]*atomic.Bool{}
	for id, cfg := range g.configs {
		fails := &atomic.Bool{}
		cfg.disk = func(inner durableStore) durableStore { return failingDisk{inner, fails} }
		g.configs[id], failing[id] = cfg, fails
	}
	return failing
}

// A replica's disk can't be written for a while, its leader's or all replicas', in the middle of proposals and of an
// election: no replica ends, what was answered as committed stays, and the group goes on once the disks do.
func TestDisksThatFailForAWhile(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	failing := g.withDisks()
	g.start(g.ids...)
	number := uint64(1)
	g.propose(drainedVersion(number))
	for round, ids := range [][]string{{g.leader()}, {g.follower()}, g.ids} {
		for _, id := range ids {
			failing[id].Store(true)
		}
		if round == 2 { // and who leads is asked to give way, so that each has to write a term or a vote
			_ = g.servers[g.leader()].node.raft.LeadershipTransfer().Error()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
		number++
		result, err := ProposeTo(ctx, g.address(g.follower()), proposalOf(drainedVersion(number)))
		cancel()
		committed := err == nil && result.Error == ""
		require.False(t, committed && round == 2, "without a disk nothing is committed")
		for _, id := range ids {
			failing[id].Store(false)
		}
		g.propose(drainedVersion(number))
		g.untilNewest(DocumentDrained, number)
	}
	for _, id := range g.ids { // and all of it is on each disk
		g.stop(id)
		g.start(id)
	}
	g.untilNewest(DocumentDrained, number)
}
