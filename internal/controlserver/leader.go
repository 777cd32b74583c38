package controlserver

import (
	"context"
	"sync"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

const (
	batchWindow    = 15 * time.Millisecond  // renewals of this time share one check of leadership
	tickPeriod     = 20 * time.Millisecond  // between two looks for commands to replicate
	commandWait    = 200 * time.Millisecond // grants wait no longer for commands that they may depend on
	barrierTimeout = 5 * time.Second
	barrierRetry   = 20 * time.Millisecond
	leaderQueue    = 8192 // messages, above the renewals of the whole fleet in a second
	originAge      = 10 * time.Second
)

// origin is where a message came from: this replica's members, or a follower. deliver does not wait.
type origin interface {
	deliver(m controlgroup.Message)
}

// process names one process of a member.
type process struct {
	member      controlgroup.MemberID
	incarnation controlgroup.Incarnation
}

type leaderInput struct {
	from    origin
	message controlgroup.Message
}

// leaderLoop hosts the decisions of a leader for the length of one term. Its goroutine alone uses them.
type leaderLoop struct {
	server    *Server
	term      uint64
	inputs    chan leaderInput
	proposals chan leaderInput
	statuses  chan chan controlgroup.Status
	verified  chan verification
	applied   chan struct{} // the commands of a tick are replicated, or have failed

	decisions *controlgroup.Leader
	origins   map[process]originAt
	applying  bool             // commands of a tick are on their way
	verifying bool             // a check of leadership is
	due       bool             // the batch's window is over, and its check has not begun
	window    <-chan time.Time // nil: no batch is open
	heldUntil time.Duration    // grants wait for commands until then
}

type originAt struct {
	origin
	at time.Duration
}

// verification is the result of a check of leadership for a batch.
type verification struct {
	batch controlgroup.Batch
	err   error
}

func newLeaderLoop(s *Server, term uint64) *leaderLoop {
	return &leaderLoop{server: s, term: term, inputs: make(chan leaderInput, leaderQueue),
		proposals: make(chan leaderInput, proposalsMost), statuses: make(chan chan controlgroup.Status),
		verified: make(chan verification, 1), applied: make(chan struct{}, 1), origins: map[process]originAt{}}
}

// send implements route, for this replica's own members.
func (l *leaderLoop) send(m controlgroup.Message) bool { return l.receive(l.server, m) }

// receive takes a message from any replica's members without waiting.
func (l *leaderLoop) receive(from origin, m controlgroup.Message) bool {
	to := l.inputs
	if _, ok := m.(controlgroup.Propose); ok {
		to = l.proposals
	}
	select {
	case to <- leaderInput{from, m}:
		return true
	default:
		return false
	}
}

// run implements route.
func (l *leaderLoop) run(ctx context.Context) {
	var helpers sync.WaitGroup
	defer helpers.Wait()
	if !l.barrier(ctx) {
		return
	}
	l.server.machine.locked(func(state *controlgroup.State) {
		l.decisions = controlgroup.NewLeader(l.server.cfg.Timing, state, l.term, l.server.now())
	})
	l.server.log.Info("granting leases", "term", l.term)
	helpers.Go(func() { l.propose(ctx) })
	defer l.server.connections.closeRelays()
	l.loop(ctx)
}

// barrier waits until all that earlier leaders have replicated is applied here.
func (l *leaderLoop) barrier(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.server.node.raft.Barrier(barrierTimeout).Error()
		if err == nil {
			return true
		}
		l.server.log.Debug("barrier failed", "term", l.term, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(barrierRetry):
		}
	}
	return false
}

func (l *leaderLoop) loop(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	sweep := time.NewTicker(originAge)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inputs:
			l.handle(in)
		case <-l.window:
			l.window, l.due, l.heldUntil = nil, true, l.server.now()+commandWait
			l.tick()
		case <-tick.C:
			l.tick()
		case <-l.applied:
			l.applying, l.due = false, true // renewals may have waited for a place
		case result := <-l.verified:
			l.finishBatch(result)
		case reply := <-l.statuses:
			reply <- l.status()
		case <-sweep.C:
			l.dropOldOrigins()
		}
		l.beginVerification()
	}
}

func (l *leaderLoop) handle(in leaderInput) {
	now := l.server.now()
	switch m := in.message.(type) {
	case controlgroup.Renew:
		l.origins[process{m.Member, m.Incarnation}] = originAt{in.from, now}
		l.decide(func() { l.decisions.Renew(m, now) })
		if l.window == nil && !l.due {
			l.window = time.After(batchWindow)
		}
	case controlgroup.Closed:
		l.server.log.Info("member closed", "member", m.Member, "incarnation", m.Incarnation)
		l.decide(func() { l.decisions.Closed(m, now) })
	}
}

// decide uses the decisions, which read the replicated state.
func (l *leaderLoop) decide(use func()) {
	l.server.machine.locked(func(*controlgroup.State) { use() })
}

// tick has the commands that are due replicated, those of one tick at a time.
func (l *leaderLoop) tick() {
	if l.applying {
		return
	}
	var commands []controlgroup.Command
	l.decide(func() { commands = l.decisions.Tick(l.server.now()) })
	if len(commands) == 0 {
		return
	}
	l.applying = true
	go func() {
		l.server.replicate(commands)
		l.applied <- struct{}{}
	}()
}

// beginVerification checks the leadership for the batch whose window is over. Commands of this instant go first where
// they don't take long: a place that is free is claimed before its renewal is answered.
func (l *leaderLoop) beginVerification() {
	if !l.due || l.verifying || l.applying && l.server.now() < l.heldUntil {
		return
	}
	l.due = false
	var batch controlgroup.Batch
	l.decide(func() { batch = l.decisions.BeginVerify() })
	if batch.Empty() {
		return
	}
	l.verifying = true
	go func() { l.verified <- verification{batch, l.server.node.verifyLeader(l.term)} }()
}

// finishBatch answers the renewals of a batch if the check has succeeded.
func (l *leaderLoop) finishBatch(result verification) {
	l.verifying = false
	if result.err != nil {
		l.server.log.Warn("leadership not confirmed, renewals dropped", "term", l.term, "error", result.err)
		return
	}
	var grants []controlgroup.Grant
	l.decide(func() { grants = l.decisions.Verified(result.batch, l.server.now()) })
	for _, grant := range grants {
		if origin, ok := l.origins[process{grant.Member, grant.Incarnation}]; ok {
			origin.deliver(grant)
		}
	}
}

func (l *leaderLoop) status() (status controlgroup.Status) {
	l.decide(func() { status = l.decisions.Status(l.server.now()) })
	return status
}

// dropOldOrigins forgets where processes were that have not renewed for long.
func (l *leaderLoop) dropOldOrigins() {
	now := l.server.now()
	for key, origin := range l.origins {
		if now-origin.at > originAge {
			delete(l.origins, key)
		}
	}
}

// askStatus asks the loop for the leader's view.
func (l *leaderLoop) askStatus(ctx context.Context) (controlgroup.Status, bool) {
	reply := make(chan controlgroup.Status, 1)
	select {
	case l.statuses <- reply:
		return <-reply, true
	case <-ctx.Done():
		return controlgroup.Status{}, false
	}
}
