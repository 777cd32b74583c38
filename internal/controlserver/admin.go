package controlserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
	"ferryfront.example/ferryfront/internal/versions"
)

// Operators and other replicas ask on the same port as members, with one JSON object a line, and get one a line. The
// first byte tells the two protocols apart.
const (
	adminFirstByte = '{'
	adminIdle      = 30 * time.Second
	adminLineMost  = 64 << 10
	replaceTimeout = 5 * time.Second
)

// Operations of a [Request].
const (
	OpStatus   = "status"
	OpPosition = "position" // where the log ends: a replica that starts asks the others
	OpBackup   = "backup"
	OpReplace  = "replace" // of the leader only
)

// Request of an operator or another replica.
type Request struct {
	Op   string   `json:"op"`
	Old  string   `json:"old,omitempty"`  // of OpReplace
	With *Replica `json:"with,omitempty"` // of OpReplace
}

// Response to a Request. One of its fields is set; Error for a request that failed.
type Response struct {
	Error    string           `json:"error,omitempty"`
	Status   *Status          `json:"status,omitempty"`
	Position *PositionReport  `json:"position,omitempty"`
	Backup   []BackupDocument `json:"backup,omitempty"`
}

// PositionReport tells how much a replica's log holds.
type PositionReport struct {
	position
	Commands bool `json:"commands"` // it holds, or held, more than what every new group's log has
}

// BackupDocument is a document with the texts of its versions in force, oldest first.
type BackupDocument struct {
	Name     string          `json:"name"`
	Versions []BackupVersion `json:"versions"`
}

// BackupVersion is one version of a document.
type BackupVersion struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// Status is one replica's view of the group.
type Status struct {
	Replica   string           `json:"replica"`
	State     string           `json:"state"` // leader, follower, candidate, or rejoining before it takes part in elections
	Leader    string           `json:"leader"`
	Term      uint64           `json:"term"`
	Applied   uint64           `json:"applied"` // index of the log
	Members   int              `json:"members"` // connected to this replica
	Replicas  []ReplicaStatus  `json:"replicas"`
	Documents []DocumentStatus `json:"documents"`
	Leases    *LeaseStatus     `json:"leases,omitempty"` // of the leader only
}

// ReplicaStatus is one member of the group.
type ReplicaStatus struct {
	ID     string `json:"id"`
	Raft   string `json:"raft"`
	Listen string `json:"listen"`
	Voter  bool   `json:"voter"`
}

// DocumentStatus lists the versions of a document that are in force, oldest first.
type DocumentStatus struct {
	Name    string          `json:"name"`
	InForce []VersionStatus `json:"in_force"`
}

// VersionStatus names a version.
type VersionStatus struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

func newVersionStatus(v versions.Version) VersionStatus {
	return VersionStatus{v.Number, fmt.Sprintf("%016x", v.Hash)}
}

// LeaseStatus is the leader's view of the leases.
type LeaseStatus struct {
	Settings int             `json:"settings"` // settings leases held
	Shares   int             `json:"shares"`   // share leases held
	BlindMS  int64           `json:"blind_ms"` // earlier leaders' leases may be held so much longer
	Waiting  []WaitingStatus `json:"waiting"`
}

// WaitingStatus tells whom a rollout waits for.
type WaitingStatus struct {
	Document string                  `json:"document"`
	Next     VersionStatus           `json:"next"`
	Members  []controlgroup.MemberID `json:"members"`
}

// serveAdmin answers requests until the peer ends the connection.
func (s *Server) serveAdmin(conn net.Conn, from *bufio.Reader) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, readBuffer), adminLineMost)
	for lines.Scan() {
		response := s.answer(lines.Bytes())
		line, err := json.Marshal(response)
		if err != nil {
			line, _ = json.Marshal(Response{Error: err.Error()})
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, err := conn.Write(append(line, '\n')); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(adminIdle))
	}
	_ = conn.(*net.TCPConn).CloseWrite() // an orderly end, so that the last answer arrives
}

func (s *Server) answer(line []byte) Response {
	var request Request
	if err := json.Unmarshal(line, &request); err != nil {
		return Response{Error: fmt.Sprintf("request: %v", err)}
	}
	var response Response
	var err error
	switch request.Op {
	case OpStatus:
		status := s.Status()
		response.Status = &status
	case OpPosition:
		response.Position, err = s.positionReport()
	case OpBackup:
		response.Backup = s.backup()
	case OpReplace:
		err = s.replace(request.Old, request.With)
	default:
		err = fmt.Errorf("operation %q is not known", request.Op)
	}
	if err != nil {
		return Response{Error: err.Error()}
	}
	return response
}

// Status returns this replica's view. The leases come first: a leader has them once it has applied all that earlier
// ones have committed, so the documents are no older.
func (s *Server) Status() Status {
	leases := s.leaseStatus()
	status := Status{Replica: s.cfg.ID, State: s.state(), Leader: s.node.leader(), Term: s.node.raft.CurrentTerm(),
		Applied: s.node.raft.AppliedIndex(), Members: s.members.count(), Leases: leases}
	for _, server := range s.node.servers() {
		status.Replicas = append(status.Replicas, ReplicaStatus{string(server.ID), string(server.Address),
			s.listenAddress(server.ID), server.Suffrage == raft.Voter})
	}
	for _, d := range s.machine.documents() {
		inForce := make([]VersionStatus, len(d.versions))
		for i, v := range d.versions {
			inForce[i] = newVersionStatus(v.Version)
		}
		status.Documents = append(status.Documents, DocumentStatus{d.name, inForce})
	}
	return status
}

func (s *Server) state() string {
	if !s.node.gate.isOpen() {
		return "rejoining"
	}
	switch s.node.raft.State() {
	case raft.Leader:
		return "leader"
	case raft.Candidate:
		return "candidate"
	case raft.Shutdown:
		return "shutdown"
	}
	return "follower"
}

// leaseStatus returns nil where this replica does not lead.
func (s *Server) leaseStatus() *LeaseStatus {
	loop := s.leaderRoute()
	if loop == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.context, time.Second)
	defer cancel()
	view, ok := loop.askStatus(ctx)
	if !ok {
		return nil
	}
	status := &LeaseStatus{Settings: view.Leases, Shares: view.Shares,
		BlindMS: max(0, view.BlindUntil-s.now()).Milliseconds()}
	for _, w := range view.Waiting {
		status.Waiting = append(status.Waiting, WaitingStatus{w.Document, newVersionStatus(w.Next), w.Members})
	}
	return status
}

func (s *Server) positionReport() (*PositionReport, error) {
	p, err := s.node.position()
	return &PositionReport{p, s.node.hasCommands()}, err
}

func (s *Server) backup() []BackupDocument {
	backup := []BackupDocument{}
	for _, d := range s.machine.documents() {
		b := BackupDocument{Name: d.name}
		for _, v := range d.versions {
			b.Versions = append(b.Versions, BackupVersion{v.Number, string(v.Text)})
		}
		backup = append(backup, b)
	}
	return backup
}

// replace takes one replica out of the group and another in. Each step may be repeated.
func (s *Server) replace(old string, with *Replica) error {
	switch {
	case with == nil || with.ID == "" || with.Raft == "" || with.Listen == "":
		return errors.New("replace: the new replica needs an id and two addresses")
	case old == with.ID:
		return errors.New("replace: the new replica needs an id of its own")
	case s.leaderRoute() == nil:
		return fmt.Errorf("%sreplace: %s does not lead", unavailable, s.cfg.ID)
	case old == s.cfg.ID:
		if err := s.node.raft.LeadershipTransfer().Error(); err != nil {
			return fmt.Errorf("%sreplace: %s can't hand over: %w", unavailable, s.cfg.ID, err)
		}
		return fmt.Errorf("%sreplace: %s leads no longer, ask the new leader", unavailable, s.cfg.ID)
	}
	if _, err := Ask(s.context, with.Listen, Request{Op: OpPosition}); err != nil {
		return fmt.Errorf("replace: the new replica does not answer: %w", err)
	}
	if err := s.node.replace(old, *with); err != nil { // each step may be made again
		return fmt.Errorf("%sreplace: %w", unavailable, err)
	}
	s.log.Info("replica replaced", "old", old, "new", with.ID, "raft", with.Raft, "listen", with.Listen)
	return nil
}

// replace removes before it adds: so a quorum is never larger than the replicas that were there.
func (n *node) replace(old string, with Replica) error {
	address, err := json.Marshal(replicaAddress{with.ID, with.Listen})
	if err != nil {
		return err
	}
	if _, err := n.apply(entryAddress, address); err != nil {
		return err
	}
	if err := n.raft.RemoveServer(raft.ServerID(old), 0, replaceTimeout).Error(); err != nil {
		return err
	}
	return n.raft.AddVoter(raft.ServerID(with.ID), raft.ServerAddress(with.Raft), 0, replaceTimeout).Error()
}
