package controlserver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

const (
	relayQueue        = 8192 // messages, above the renewals of a replica's members in seconds
	relayDialLimit    = time.Second
	relayBackoffFirst = 20 * time.Millisecond
	relayBackoffMost  = 500 * time.Millisecond
	closedMost        = 1024 // ended processes of which the leader is told when there is one again
)

// relayClient is a follower's route: it passes the messages of its members over one connection to the leader.
type relayClient struct {
	server *Server
	leader string
	queue  chan controlgroup.Message

	mu        sync.Mutex
	connected bool
}

func newRelayClient(s *Server, leader string) *relayClient {
	return &relayClient{server: s, leader: leader, queue: make(chan controlgroup.Message, relayQueue)}
}

// send implements route.
func (r *relayClient) send(m controlgroup.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.connected {
		return false
	}
	select {
	case r.queue <- m:
		return true
	default:
		return false
	}
}

// run implements route: it connects again and again.
func (r *relayClient) run(ctx context.Context) {
	backoff := relayBackoffFirst
	for ctx.Err() == nil {
		began := time.Now()
		if err := r.connect(ctx); err != nil {
			r.server.log.Debug("no relay to the leader", "leader", r.leader, "error", err)
		}
		if time.Since(began) > relayBackoffMost {
			backoff = relayBackoffFirst
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, relayBackoffMost)
	}
}

// connect serves one connection until it ends.
func (r *relayClient) connect(ctx context.Context) error {
	address := r.server.listenAddress(raft.ServerID(r.leader))
	if address == "" {
		return fmt.Errorf("the address of %s is not known", r.leader)
	}
	dialer := net.Dialer{Timeout: relayDialLimit}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(controlgroup.Append(nil, controlgroup.Relay{Replica: r.server.cfg.ID})); err != nil {
		return err
	}
	r.setConnected(true)
	defer r.server.proposals.failAll(errLeaderLost)
	defer r.setConnected(false)
	r.server.flushEnded()
	ended := make(chan struct{})
	var writing sync.WaitGroup
	defer writing.Wait()
	defer close(ended)
	writing.Go(func() {
		defer func() { _ = conn.Close() }()
		_ = writeFrames(conn, r.queue, ended)
	})
	return r.read(conn)
}

func (r *relayClient) setConnected(connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected = connected
	for !connected && len(r.queue) > 0 { // what the next connection is not to send late
		<-r.queue
	}
}

// read routes the leader's answers.
func (r *relayClient) read(conn net.Conn) error {
	frames := &frameReader{from: conn}
	for {
		m, err := frames.next()
		if err != nil {
			return err
		}
		r.server.deliver(m)
	}
}

// writeFrames writes what comes through a queue, what waits there in one go.
func writeFrames(conn net.Conn, queue <-chan controlgroup.Message, ended <-chan struct{}) error {
	w := bufio.NewWriter(conn)
	for {
		var m controlgroup.Message
		select {
		case <-ended:
			return nil
		case m = <-queue:
		}
		if err := conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
			return err
		}
		if _, err := w.Write(controlgroup.Append(nil, m)); err != nil {
			return err
		}
		if len(queue) == 0 {
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

// relayConn is a follower's connection at the leader.
type relayConn struct {
	conn  net.Conn
	queue chan controlgroup.Message
}

// deliver implements origin. A follower that doesn't read is disconnected.
func (r *relayConn) deliver(m controlgroup.Message) {
	select {
	case r.queue <- m:
	default:
		r.close()
	}
}

func (r *relayConn) close() { _ = r.conn.Close() }

// serveRelay takes the messages of a follower's members while this replica leads.
func (s *Server) serveRelay(conn net.Conn, frames *frameReader, hello controlgroup.Relay) {
	leader := s.leaderRoute()
	if leader == nil {
		s.log.Debug("relay refused: not the leader", "follower", hello.Replica)
		return
	}
	relay := &relayConn{conn: conn, queue: make(chan controlgroup.Message, relayQueue)}
	s.connections.addRelay(relay)
	defer s.connections.removeRelay(relay)
	s.log.Info("follower connected", "follower", hello.Replica)
	ended := make(chan struct{})
	var writing sync.WaitGroup
	defer writing.Wait()
	defer close(ended)
	writing.Go(func() {
		defer relay.close()
		_ = writeFrames(conn, relay.queue, ended)
	})
	_ = conn.SetReadDeadline(time.Time{})
	for {
		m, err := frames.next()
		if err != nil {
			s.logFrameError(conn, err)
			return
		}
		if s.leaderRoute() != leader || !leader.receive(relay, m) {
			if _, proposal := m.(controlgroup.Propose); !proposal {
				continue // a renewal is repeated
			}
			relay.deliver(controlgroup.ProposeResult{Request: m.(controlgroup.Propose).Request, Error: errOverload.Error()})
		}
	}
}

// endedProcesses holds ended processes of which no leader could be told yet.
type endedProcesses struct {
	mu  sync.Mutex
	all []controlgroup.Closed
}

// memberEnded tells the leader that a process has ended, now or as soon as there is one. Word that gets lost costs the
// length of a lease.
func (s *Server) memberEnded(c controlgroup.Closed) {
	if s.toLeader(c) {
		return
	}
	s.ended.mu.Lock()
	defer s.ended.mu.Unlock()
	if len(s.ended.all) < closedMost {
		s.ended.all = append(s.ended.all, c)
	}
}

// flushEnded tells the leader of the processes that have ended while there was none.
func (s *Server) flushEnded() {
	s.ended.mu.Lock()
	waiting := s.ended.all
	s.ended.all = nil
	s.ended.mu.Unlock()
	for _, c := range waiting {
		s.memberEnded(c)
	}
}
