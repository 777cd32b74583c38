// Package controlserver is the replica side of the control group: it hosts the decisions of package controlgroup on a
// replicated log (hashicorp/raft), accepts the ingresses, the following replicas and the operators on one TCP port, and
// sends each ingress the versions in force and the grants of its leases.
//
// One goroutine owns the decisions of a leader (leaderLoop); raft's own goroutine applies the log (machine); each
// connection has one goroutine that reads and one that writes. No queue is unbounded, and a peer that is too slow is
// disconnected instead of delaying others.
package controlserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

// Replica names one member of the group and its addresses.
type Replica struct {
	ID     string
	Raft   string // for the other replicas
	Listen string // for members, followers and operators
}

// Config of one replica. Zero durations take their defaults.
type Config struct {
	ID         string
	Data       string    // directory, of this replica alone
	Replicas   []Replica // of the group when it first starts, this one included
	Timing     controlgroup.Timing
	Election   Election
	RejoinWait time.Duration // see DefaultRejoinWait
	Log        *slog.Logger

	disk func(durableStore) durableStore // of tests: what lies between the replica and its disk, nil: nothing
}

// DefaultRejoinWait is how long a restarted replica waits for a leader, or for word of all other replicas, before it
// relies on its disk alone and takes part in elections.
const DefaultRejoinWait = 5 * time.Second

// Validate tells what is wrong with a configuration.
func (c Config) Validate() error {
	if _, err := c.self(); err != nil {
		return err
	}
	if c.Data == "" {
		return errors.New("no data directory")
	}
	seen := map[string]bool{}
	for _, r := range c.Replicas {
		for _, name := range []string{r.ID, r.Raft, r.Listen} {
			if name == "" || seen[name] {
				return fmt.Errorf("replica %s=%s,%s: each replica needs an id and two addresses of its own", r.ID,
					r.Raft, r.Listen)
			}
			seen[name] = true
		}
	}
	if err := c.withDefaults().Timing.Validate(); err != nil {
		return err
	}
	if c.Election.Lease > c.Election.Heartbeat {
		return errors.New("the leader's lease is longer than the heartbeat timeout")
	}
	return nil
}

func (c Config) self() (Replica, error) {
	for _, r := range c.Replicas {
		if r.ID == c.ID {
			return r, nil
		}
	}
	return Replica{}, fmt.Errorf("%q is none of the replicas", c.ID)
}

func (c Config) withDefaults() Config {
	if c.Timing == (controlgroup.Timing{}) {
		c.Timing = controlgroup.DefaultTiming
	}
	if c.Election == (Election{}) {
		c.Election = DefaultElection
	}
	if c.RejoinWait == 0 {
		c.RejoinWait = DefaultRejoinWait
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return c
}

// Server is one replica.
type Server struct {
	cfg       Config
	log       *slog.Logger
	born      time.Time
	listener  net.Listener
	machine   *machine
	node      *node
	members   *memberTable
	proposals *proposalTable

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	routeMutex sync.RWMutex
	route      route // to the leader; nil: none is known

	connections connectionTable
	ended       endedProcesses
}

// Listeners are the two ports of a replica, for who has opened them already.
type Listeners struct{ Listen, Raft net.Listener }

// Open starts a replica on the given ports, which it closes at its end. It returns once the replica accepts
// connections, which may be before it knows of a leader.
func Open(cfg Config, ports Listeners) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Join(err, ports.Listen.Close(), ports.Raft.Close())
	}
	s := &Server{cfg: cfg, log: cfg.Log.With("replica", cfg.ID), born: time.Now(), listener: ports.Listen}
	s.context, s.cancel = context.WithCancel(context.Background())
	s.members, s.proposals = newMemberTable(), newProposalTable()
	s.machine = newMachine(s.members.wakeAll)
	var err error
	if s.node, err = openNode(cfg, ports.Raft, s.machine, s.log); err != nil {
		return nil, errors.Join(err, ports.Listen.Close(), ports.Raft.Close())
	}
	s.log.Info("replica started", "listen", ports.Listen.Addr(), "raft", ports.Raft.Addr(), "fresh", s.node.fresh)
	for _, part := range []func(){s.accept, s.followLeadership, s.rejoin, s.expireProposals} {
		s.running.Go(part)
	}
	return s, nil
}

// Listen opens the ports of the replica that the configuration names as its own.
func Listen(cfg Config) (Listeners, error) {
	self, err := cfg.self()
	if err != nil {
		return Listeners{}, err
	}
	listen, err := net.Listen("tcp", self.Listen)
	if err != nil {
		return Listeners{}, err
	}
	raftPort, err := net.Listen("tcp", self.Raft)
	if err != nil {
		return Listeners{}, errors.Join(err, listen.Close())
	}
	return Listeners{listen, raftPort}, nil
}

// Close ends the replica and returns when all of it has stopped. One that leads hands over first, where it can.
func (s *Server) Close() error {
	if _, leads := s.node.leads(); leads {
		if err := s.node.raft.LeadershipTransfer().Error(); err != nil {
			s.log.Info("leadership not handed over", "error", err)
		}
	}
	s.cancel()
	err := s.listener.Close()
	s.connections.closeAll()
	s.running.Wait()
	return errors.Join(err, s.node.stop())
}

// now is the time by the replica's monotonic clock, as package controlgroup wants it.
func (s *Server) now() time.Duration { return time.Since(s.born) }

// listenAddress tells where a replica listens for followers; empty if that isn't known.
func (s *Server) listenAddress(id raft.ServerID) string {
	if listen, ok := s.machine.address(string(id)); ok {
		return listen
	}
	for _, r := range s.cfg.Replicas {
		if r.ID == string(id) {
			return r.Listen
		}
	}
	return ""
}
