package controlserver

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

const (
	proposalsMost   = 64 // waiting, at one replica
	proposalTimeout = 10 * time.Second
	expiryPeriod    = time.Second
)

const unavailable = controlgroup.Unavailable

var (
	errNoLeader   = errors.New(unavailable + "no leader is known")
	errLeaderLost = errors.New(unavailable + "the leader was lost; whether the version was committed is not known")
	errOverload   = errors.New(unavailable + "too many proposals")
	errNoResult   = errors.New(unavailable + "no result in time; whether the version was committed is not known")
)

// Retryable tells whether a proposal with this error may succeed when it is made again.
func Retryable(result controlgroup.ProposeResult) bool {
	return strings.HasPrefix(result.Error, unavailable)
}

// proposer is who waits for the result of a proposal. result does not wait.
type proposer interface {
	result(r controlgroup.ProposeResult)
}

// pendingProposal is one that this replica has passed on.
type pendingProposal struct {
	from    proposer
	request uint64 // by the proposer's own count
	until   time.Time
}

// proposalTable numbers the proposals of a replica's members and operators, and routes the results.
type proposalTable struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]pendingProposal
}

func newProposalTable() *proposalTable { return &proposalTable{pending: map[uint64]pendingProposal{}} }

// add returns the number under which a proposal is passed on; false: there are too many.
func (t *proposalTable) add(from proposer, request uint64) (number uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= proposalsMost {
		return 0, false
	}
	t.last++
	t.pending[t.last] = pendingProposal{from, request, time.Now().Add(proposalTimeout)}
	return t.last, true
}

// answer routes a result, once.
func (t *proposalTable) answer(result controlgroup.ProposeResult) {
	t.mu.Lock()
	pending, ok := t.pending[result.Request]
	delete(t.pending, result.Request)
	t.mu.Unlock()
	if ok {
		result.Request = pending.request
		pending.from.result(result)
	}
}

// failAll answers all that wait with an error.
func (t *proposalTable) failAll(err error) {
	t.fail(err, func(pendingProposal) bool { return true })
}

func (t *proposalTable) fail(err error, which func(pendingProposal) bool) {
	t.mu.Lock()
	var failed []uint64
	for number, pending := range t.pending {
		if which(pending) {
			failed = append(failed, number)
		}
	}
	t.mu.Unlock()
	for _, number := range failed {
		t.answer(controlgroup.ProposeResult{Request: number, Error: err.Error()})
	}
}

// expireProposals answers those that have no result in time.
func (s *Server) expireProposals() {
	ticker := time.NewTicker(expiryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.context.Done():
			return
		case now := <-ticker.C:
			s.proposals.fail(errNoResult, func(p pendingProposal) bool { return now.After(p.until) })
		}
	}
}

// propose passes a proposal of a member or an operator on to the leader.
func (s *Server) propose(from proposer, p controlgroup.Propose) {
	number, ok := s.proposals.add(from, p.Request)
	if !ok {
		from.result(controlgroup.ProposeResult{Request: p.Request, Error: errOverload.Error()})
		return
	}
	p.Request = number
	if !s.toLeader(p) {
		s.proposals.answer(controlgroup.ProposeResult{Request: number, Error: errNoLeader.Error()})
	}
}

// propose takes the proposals one after the other: checks each in full, and answers when a quorum has it.
func (l *leaderLoop) propose(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.proposals:
			proposal := in.message.(controlgroup.Propose)
			result := controlgroup.ProposeResult{Request: proposal.Request}
			if err := l.server.commit(proposal); err != nil {
				result.Error = err.Error()
			}
			l.server.log.Info("proposal", "document", proposal.Document, "version", proposal.Version, "term", l.term,
				"error", result.Error)
			in.from.deliver(result)
		}
	}
}

// commit returns nil once the version is in force, durably.
func (s *Server) commit(p controlgroup.Propose) error {
	if err := validate(p); err != nil {
		return err
	}
	command := controlgroup.ProposeVersion{Document: p.Document, Version: p.Version, Text: p.Text}
	var err error
	s.machine.locked(func(state *controlgroup.State) { err = state.Check(command) })
	if err != nil {
		return err
	}
	refused, err := s.node.applyCommand(command)
	if err != nil {
		return fmt.Errorf("%sthe version could not be replicated: %w", unavailable, err)
	}
	return refused
}

// replicate has commands of the leader's own replicated. Those that fail are given again by the leader's decisions.
func (s *Server) replicate(commands []controlgroup.Command) {
	for i, err := range s.node.applyAll(commands) {
		if err != nil {
			s.log.Warn("command not applied", "command", fmt.Sprintf("%T", commands[i]), "error", err)
			continue
		}
		switch c := commands[i].(type) {
		case controlgroup.RetireVersion:
			s.log.Info("version retired", "document", c.Document, "version", c.Version)
		case controlgroup.ClaimPlace:
			s.log.Debug("place claimed", "member", c.Member, "incarnation", c.Incarnation)
		case controlgroup.ReleasePlace:
			s.log.Debug("place released", "member", c.Member, "incarnation", c.Incarnation)
		}
	}
}
