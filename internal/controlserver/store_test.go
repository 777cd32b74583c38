package controlserver

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

func TestTheStoreKeepsWhatRaftGivesIt(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s, err := openStore(dir, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.False(t, s.commands.Load())
	entries := []*raft.Log{{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: []byte("c")},
		{Index: 2, Term: 3, Type: raft.LogCommand, Data: []byte("data"), Extensions: []byte("more")}}
	require.NoError(t, s.StoreLogs(entries))
	require.Equal(t, []byte("more"), entries[1].Extensions, "the entries are raft's")
	require.NoError(t, s.SetUint64([]byte("term"), 7))
	require.NoError(t, s.Set([]byte("vote"), nil))
	require.NoError(t, s.Close())
	s, err = openStore(dir, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.True(t, s.commands.Load())
	var entry raft.Log
	require.NoError(t, s.GetLog(2, &entry))
	require.Equal(t, entries[1].Data, entry.Data)
	require.Equal(t, entries[1].Extensions, entry.Extensions)
	term, err := s.GetUint64([]byte("term"))
	require.NoError(t, err)
	require.Equal(t, uint64(7), term)
	_, err = openStore(dir, slog.New(slog.DiscardHandler))
	require.ErrorContains(t, err, "in use by another process")
	require.NotErrorIs(t, err, ErrDamagedStore)
	require.NoError(t, s.Close())
}

// Whatever part of the file is lost or overwritten: the store is refused by name, or has only entries that were
// written.
func TestADamagedStoreIsRefusedOrWhole(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s, err := openStore(dir, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	for i := range uint64(200) {
		require.NoError(t, s.StoreLog(&raft.Log{Index: i + 1, Term: 1, Type: raft.LogCommand, Data: entryData(i + 1)}))
	}
	require.NoError(t, s.Close())
	whole, err := os.ReadFile(filepath.Join(dir, storeFile))
	require.NoError(t, err)
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	try := func(what string, content []byte) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, storeFile), content, 0o600))
		s, err := openStore(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			require.ErrorIs(t, err, ErrDamagedStore, what)
			refused++
			return
		}
		defer func() { _ = s.Close() }()
		last, err := s.LastIndex()
		require.NoError(t, err, what)
		for index := uint64(1); index <= last; index++ {
			var entry raft.Log
			require.NoError(t, s.GetLog(index, &entry), what)
			require.Equal(t, entryData(index), entry.Data, what)
		}
	}
	for range 60 {
		cut := random.IntN(len(whole))
		try(fmt.Sprintf("cut to %d of %d", cut, len(whole)), whole[:cut])
		spoilt := append([]byte(nil), whole...)
		at := random.IntN(len(whole))
		for i := at; i < min(len(whole), at+512); i++ {
			spoilt[i] = byte(random.Uint32())
		}
		try(fmt.Sprintf("overwritten at %d", at), spoilt)
	}
	t.Logf("%d of 120 refused", refused)
	require.Greater(t, refused, 30)
}

func entryData(index uint64) []byte { return fmt.Appendf(nil, "%0200d", index) }

// A replica on a damaged disk does not start; on an empty one it is brought up to date by the others.
func TestAReplicaOnADamagedDisk(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(g.ids...)
	for number := range uint64(3) {
		g.propose(drainedVersion(number + 1))
	}
	g.untilNewest(DocumentDrained, 3)
	torn := g.follower()
	g.stop(torn)
	path := filepath.Join(g.configs[torn].Data, storeFile)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for part := range 8 {
		cut := len(whole) * part / 8
		require.NoError(t, os.WriteFile(path, whole[:cut], 0o600))
		if err := g.open(torn); err != nil {
			require.ErrorIs(t, err, ErrDamagedStore, "cut to %d of %d", cut, len(whole))
			continue
		}
		g.untilNewest(DocumentDrained, 3)
		g.stop(torn)
	}
	tail := append([]byte(nil), whole...)
	for i := len(tail) / 2; i < len(tail); i++ {
		tail[i] = 0xA5
	}
	require.NoError(t, os.WriteFile(path, tail, 0o600))
	if err := g.open(torn); !errors.Is(err, ErrDamagedStore) {
		require.NoError(t, err)
		g.stop(torn)
	}
	require.NoError(t, os.RemoveAll(g.configs[torn].Data))
	g.start(torn)
	g.untilNewest(DocumentDrained, 3)
	g.propose(drainedVersion(4))
	g.untilNewest(DocumentDrained, 4)
}
