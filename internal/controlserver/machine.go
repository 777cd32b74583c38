package controlserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// The first byte of a log entry tells its type.
const (
	entryCommand = 1 // a controlgroup.Command
	entryAddress = 2 // a replicaAddress, as JSON
)

// replicaAddress records where a replica listens for members, followers and operators.
type replicaAddress struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
}

// document is one document with its versions in force, oldest first.
type document struct {
	name     string
	versions []versions.Doc
}

// machine applies the replicated log: it owns the group's state. Raft calls it from one goroutine; what others read is
// guarded by its mutex.
type machine struct {
	changed   func() // called after versions in force have changed, without the mutex
	published atomic.Pointer[[]document]

	mu        sync.Mutex
	state     *controlgroup.State
	addresses map[string]string // listen address by replica, of those that were added later
}

func newMachine(changed func()) *machine {
	m := &machine{changed: changed, state: controlgroup.NewState(), addresses: map[string]string{}}
	m.published.Store(new([]document))
	return m
}

// Apply implements raft.FSM. What it returns is nil or an error.
func (m *machine) Apply(log *raft.Log) any {
	if log.Type != raft.LogCommand || len(log.Data) == 0 {
		return nil
	}
	documents, err := m.applyEntry(log.Data[0], log.Data[1:])
	if documents {
		m.changed()
	}
	if err != nil {
		return err
	}
	return nil
}

// applyEntry tells whether it may have changed which versions are in force.
func (m *machine) applyEntry(entry byte, data []byte) (documents bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch entry {
	case entryCommand:
		command, err := controlgroup.ParseCommand(data)
		if err != nil {
			return false, err
		}
		err = m.state.Apply(command)
		switch command.(type) {
		case controlgroup.ProposeVersion, controlgroup.RetireVersion:
			m.publish()
			return true, err
		}
		return false, err
	case entryAddress:
		var address replicaAddress
		if err := json.Unmarshal(data, &address); err != nil {
			return false, err
		}
		m.addresses[address.ID] = address.Listen
		return false, nil
	}
	return false, fmt.Errorf("log entry of unknown type %d", entry)
}

// publish notes what is in force for those that only read that. The caller holds the mutex.
func (m *machine) publish() {
	var all []document
	for _, name := range m.state.Documents() {
		all = append(all, document{name, slices.Clone(m.state.InForce(name))})
	}
	m.published.Store(&all)
}

// locked runs a function that uses the state while nothing is applied to it.
func (m *machine) locked(use func(state *controlgroup.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	use(m.state)
}

// documents returns what is in force. Nobody writes to it again.
func (m *machine) documents() []document { return *m.published.Load() }

// address returns where a replica that was added later listens.
func (m *machine) address(id string) (listen string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listen, ok = m.addresses[id]
	return listen, ok
}

// snapshot is the form of a machine on disk.
type snapshot struct {
	Addresses map[string]string `json:"addresses"`
	State     []byte            `json:"state"`
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return snapshot{maps.Clone(m.addresses), m.state.Snapshot()}, nil
}

// Restore implements raft.FSM.
func (m *machine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	var read snapshot
	if err := json.NewDecoder(from).Decode(&read); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	state, err := controlgroup.Restore(read.State)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	m.state, m.addresses = state, read.Addresses
	if m.addresses == nil {
		m.addresses = map[string]string{}
	}
	m.publish()
	m.mu.Unlock()
	m.changed()
	return nil
}

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
