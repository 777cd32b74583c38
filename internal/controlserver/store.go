package controlserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	storeFile        = "raft.db"
	storeLockTimeout = time.Second // another process that has the file open
	checksumSize     = 8
)

// ErrDamagedStore is wrapped by each error about a store whose content can't be relied on. The replica does not start
// on it: with a new, empty data directory it is brought up to date by the others.
var ErrDamagedStore = errors.New("the store is damaged; move the data directory away and start again, " +
	"and the replica is brought up to date by the others")

// checkedStore is raft's log and stable store in one bbolt file. bbolt has checksums of its two meta pages only, so
// each record gets one here.
type checkedStore struct {
	bolt     durableStore
	log      *slog.Logger
	commands atomic.Bool // a command was ever in the log, committed or not
}

// durableStore is what lies on the disk. Tests put one between that fails.
type durableStore interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// openStore opens or creates the store in a directory, and reads all of it once to find damage before raft acts on it.
func openStore(dir string, log *slog.Logger) (*checkedStore, error) {
	path := filepath.Join(dir, storeFile)
	if err := checkFile(path); err != nil {
		return nil, err
	}
	bolt, err := openBolt(path)
	if err != nil {
		return nil, err
	}
	s := &checkedStore{bolt: bolt, log: log}
	if err := s.checkLog(); err != nil {
		_ = bolt.Close()
		return nil, fmt.Errorf("%s: %w: %w", path, err, ErrDamagedStore)
	}
	return s, nil
}

// checkFile looks for damage to the file's pages, in a way that survives pages which are missing or make no sense.
func checkFile(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 { // as when a first start was killed
		return nil
	}
	if err != nil {
		return err
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %v: %w", path, r, ErrDamagedStore)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: storeLockTimeout})
	if err != nil {
		return openError(path, err)
	}
	defer func() { _ = db.Close() }()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%s: %d bytes of %d: %w", path, info.Size(), tx.Size(), ErrDamagedStore)
		}
		return nil
	})
}

func openError(path string, err error) error {
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("%s: in use by another process", path)
	}
	var system *os.PathError
	if errors.As(err, &system) {
		return err
	}
	return fmt.Errorf("%s: %w: %w", path, err, ErrDamagedStore)
}

// openBolt opens the file and checks that its pages form a tree.
func openBolt(path string) (bolt *raftboltdb.BoltStore, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: %v: %w", path, r, ErrDamagedStore)
		}
	}()
	bolt, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: storeLockTimeout}})
	if err != nil {
		return nil, openError(path, err)
	}
	return bolt, nil
}

// checkLog reads the whole log, which raft keeps short by its snapshots.
func (s *checkedStore) checkLog() (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("reading the log: %v", r)
		}
	}()
	first, err := s.FirstIndex()
	if err != nil {
		return err
	}
	last, err := s.LastIndex()
	if err != nil || last == 0 {
		return err
	}
	for index := first; index <= last; index++ {
		var log raft.Log
		if err := s.GetLog(index, &log); err != nil {
			return fmt.Errorf("log entry %d of %d to %d: %w", index, first, last, err)
		}
		s.note(&log)
	}
	return nil
}

// empty tells whether raft never wrote to it.
func (s *checkedStore) empty() (bool, error) {
	last, err := s.LastIndex()
	if err != nil || last > 0 {
		return false, err
	}
	_, err = s.Get([]byte("CurrentTerm"))
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return true, nil
	}
	return false, err
}

func (s *checkedStore) note(log *raft.Log) {
	if log.Type == raft.LogCommand {
		s.commands.Store(true)
	}
}

// Close closes the file.
func (s *checkedStore) Close() error { return s.bolt.Close() }

// FirstIndex implements raft.LogStore.
func (s *checkedStore) FirstIndex() (uint64, error) { return s.bolt.FirstIndex() }

// LastIndex implements raft.LogStore.
func (s *checkedStore) LastIndex() (uint64, error) { return s.bolt.LastIndex() }

// DeleteRange implements raft.LogStore.
func (s *checkedStore) DeleteRange(first, last uint64) error { return s.bolt.DeleteRange(first, last) }

// GetLog implements raft.LogStore.
func (s *checkedStore) GetLog(index uint64, log *raft.Log) error {
	if err := s.bolt.GetLog(index, log); err != nil {
		return err
	}
	if log.Index != index || len(log.Extensions) < checksumSize {
		return errors.New("no such entry was written")
	}
	at := len(log.Extensions) - checksumSize
	sum := binary.BigEndian.Uint64(log.Extensions[at:])
	log.Extensions = log.Extensions[:at:at]
	if sum != logChecksum(log) {
		return errors.New("checksum differs")
	}
	return nil
}

// StoreLog implements raft.LogStore.
func (s *checkedStore) StoreLog(log *raft.Log) error { return s.StoreLogs([]*raft.Log{log}) }

// StoreLogs implements raft.LogStore. The entries belong to raft, so copies get the checksum.
func (s *checkedStore) StoreLogs(logs []*raft.Log) error {
	copies := make([]*raft.Log, len(logs))
	for i, log := range logs {
		summed := *log
		summed.Extensions = binary.BigEndian.AppendUint64(append([]byte(nil), log.Extensions...), logChecksum(log))
		copies[i] = &summed
		s.note(log)
	}
	return s.bolt.StoreLogs(copies)
}

func logChecksum(log *raft.Log) uint64 {
	b := binary.BigEndian.AppendUint64(nil, log.Index)
	b = binary.BigEndian.AppendUint64(b, log.Term)
	b = append(b, byte(log.Type))
	b = binary.BigEndian.AppendUint64(b, uint64(len(log.Data)))
	b = append(b, log.Data...)
	return xxhash.Sum64(append(b, log.Extensions...))
}

// retryWrite is the time between two tries of a write that raft can't go on without, logWrite between two lines that say so.
const (
	retryWrite = 50 * time.Millisecond
	logWrite   = 10 * time.Second
)

// Set implements raft.StableStore. It holds raft's term and vote: without its promise on the disk a replica must not go on,
// and raft ends the process where it can't be written. A disk may be full, or fail, for a while, so it is tried until it is
// written; meanwhile this replica does nothing, as one that stands still.
func (s *checkedStore) Set(key, value []byte) error {
	summed := binary.BigEndian.AppendUint64(append([]byte(nil), value...), valueChecksum(key, value))
	var logged time.Time
	for {
		err := s.bolt.Set(key, summed)
		if err == nil || errors.Is(err, bbolterrors.ErrDatabaseNotOpen) {
			return err
		}
		if time.Since(logged) > logWrite {
			logged = time.Now()
			s.log.Error("store can't be written; this replica waits for its disk", "key", string(key), "error", err)
		}
		time.Sleep(retryWrite)
	}
}

// Get implements raft.StableStore.
func (s *checkedStore) Get(key []byte) ([]byte, error) {
	b, err := s.bolt.Get(key)
	if err != nil {
		return nil, err
	}
	at := len(b) - checksumSize
	if at < 0 || binary.BigEndian.Uint64(b[at:]) != valueChecksum(key, b[:at]) {
		return nil, fmt.Errorf("%s: checksum differs: %w", key, ErrDamagedStore)
	}
	return b[:at:at], nil
}

// SetUint64 implements raft.StableStore.
func (s *checkedStore) SetUint64(key []byte, value uint64) error {
	return s.Set(key, binary.BigEndian.AppendUint64(nil, value))
}

// GetUint64 implements raft.StableStore.
func (s *checkedStore) GetUint64(key []byte) (uint64, error) {
	b, err := s.Get(key)
	if err != nil {
		return 0, err
	}
	if len(b) != 8 {
		return 0, fmt.Errorf("%s: %d bytes: %w", key, len(b), ErrDamagedStore)
	}
	return binary.BigEndian.Uint64(b), nil
}

func valueChecksum(key, value []byte) uint64 {
	return xxhash.Sum64(append(append(append([]byte(nil), key...), 0), value...))
}
