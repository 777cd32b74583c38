package controlserver

import (
	"context"
	"time"

	"github.com/hashicorp/raft"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

// route carries messages of this replica's members to the leader, which may be this replica.
type route interface {
	// send takes a Renew, Closed or Propose without waiting; false: it was not taken.
	send(m controlgroup.Message) bool
	// run serves the route until the context ends.
	run(ctx context.Context)
}

// leadership is who leads, as far as this replica knows. The zero value: nobody.
type leadership struct {
	leader string
	term   uint64 // only where this replica leads
}

// leadershipPoll bounds how late a change is noticed whose observation raft has dropped.
const leadershipPoll = 50 * time.Millisecond

// followLeadership has a route to whoever leads.
func (s *Server) followLeadership() {
	observations := make(chan raft.Observation, 64)
	observer := raft.NewObserver(observations, false, nil)
	s.node.raft.RegisterObserver(observer)
	defer s.node.raft.DeregisterObserver(observer)
	poll := time.NewTicker(leadershipPoll)
	defer poll.Stop()
	var current leadership
	stop := func() {}
	defer func() { stop() }()
	for {
		if now := s.leadership(); now != current {
			stop()
			current, stop = now, s.startRoute(now)
		}
		select {
		case <-s.context.Done():
			return
		case <-observations:
		case <-poll.C:
		}
	}
}

func (s *Server) leadership() leadership {
	if term, ok := s.node.leads(); ok {
		return leadership{s.cfg.ID, term}
	}
	if leader := s.node.leader(); leader != s.cfg.ID {
		return leadership{leader: leader}
	}
	return leadership{}
}

// startRoute begins to use a route and returns what ends it, which waits for its end.
func (s *Server) startRoute(to leadership) (stop func()) {
	var r route
	switch {
	case to.leader == "":
		s.log.Info("no leader")
		return func() {}
	case to.term > 0:
		s.log.Info("leading", "term", to.term)
		r = newLeaderLoop(s, to.term)
	default:
		s.log.Info("following", "leader", to.leader)
		r = newRelayClient(s, to.leader)
	}
	ctx, cancel := context.WithCancel(s.context)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	s.setRoute(r)
	s.flushEnded()
	return func() {
		s.setRoute(nil)
		cancel()
		<-done
		s.proposals.failAll(errLeaderLost)
	}
}

func (s *Server) setRoute(r route) {
	s.routeMutex.Lock()
	defer s.routeMutex.Unlock()
	s.route = r
}

// toLeader passes a message to the leader; false: there is none now, or it is overloaded.
func (s *Server) toLeader(m controlgroup.Message) bool {
	s.routeMutex.RLock()
	defer s.routeMutex.RUnlock()
	return s.route != nil && s.route.send(m)
}

// leaderRoute returns the leader's loop if this replica leads.
func (s *Server) leaderRoute() *leaderLoop {
	s.routeMutex.RLock()
	defer s.routeMutex.RUnlock()
	loop, _ := s.route.(*leaderLoop)
	return loop
}

// deliver routes an answer of the leader to the member or proposer that waits for it. It does not wait.
func (s *Server) deliver(m controlgroup.Message) {
	switch m := m.(type) {
	case controlgroup.Grant:
		s.members.grant(m)
	case controlgroup.ProposeResult:
		s.proposals.answer(m)
	}
}
