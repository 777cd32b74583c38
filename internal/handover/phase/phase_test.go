package phase

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// processPair is the state of both processes and of the messages between them. It is copied for each possible next event, so
// that every order of events can be tried.
type processPair struct {
	oldProcess                   OldProcess
	newProcess                   NewProcess
	isOldAlive, isNewAlive       bool
	isNewKilled                  bool // the new process was sent SIGKILL and hasn't ended yet
	isOldReading                 bool
	isNewReading                 bool
	isOldListening               bool // the old process still holds the listeners
	reports                      int  // results reported to the requester
	upgrades                     int
	toNew, toOld                 string
	isOldDraining, isNewDraining bool
}

// messageLetters encodes messages on their way, so that a processPair can be compared as text.
var messageLetters = map[Message]byte{Hello: 'h', Prepared: 'p', Restored: 'r', Serving: 's', Refused: 'R', Leaving: 'l', Welcome: 'w',
	Snapshot: 'S', Commit: 'c', Abort: 'a', Settled: 't', Farewell: 'f'}

func messageOfLetter(b byte) Message {
	for m, l := range messageLetters {
		if l == b {
			return m
		}
	}
	panic(string(b))
}

func (p *processPair) handleOld(ev Event) {
	for _, a := range p.oldProcess.Handle(ev) {
		switch a {
		case Spawn:
			p.newProcess, p.isNewAlive, p.toOld, p.toNew, p.isNewReading, p.isNewKilled = NewProcess{}, true, "h", "", false, false
		case SendWelcome:
			p.send(Welcome)
		case Freeze:
			p.isOldReading = false
		case SendSnapshot:
			p.send(Snapshot)
		case SendCommit:
			p.send(Commit)
		case Unfreeze, ReclaimListeners:
			p.isOldReading = true
		case SendAbort:
			p.send(Abort)
		case Kill:
			p.isNewKilled = p.isNewAlive
		case SendSettled:
			p.send(Settled)
		case Drain:
			p.isOldDraining = true
		case SendFarewell:
			p.send(Farewell)
			p.isOldAlive, p.isOldListening = false, false
		case ReportDone, ReportFailed:
			p.reports++
		}
	}
}

func (p *processPair) send(m Message) {
	if p.isNewAlive {
		p.toNew += string(messageLetters[m])
	}
}

func (p *processPair) handleNew(ev Event) {
	for _, a := range p.newProcess.Handle(ev) {
		reply := map[Action]Message{SendPrepared: Prepared, SendRestored: Restored, SendServing: Serving, SendRefused: Refused,
			SendLeaving: Leaving}
		if m, ok := reply[a]; ok && p.isOldAlive {
			p.toOld += string(messageLetters[m])
		}
		switch a {
		case Serve:
			p.isNewReading = true
		case Drain:
			p.isNewDraining = true
		case Exit:
			p.isNewAlive = false
		}
	}
}

// nextSteps returns the states after each event that can happen next.
func (p processPair) nextSteps() []processPair {
	var next []processPair
	try := func(isPossible bool, f func(q *processPair)) {
		if isPossible {
			q := p
			f(&q)
			next = append(next, q)
		}
	}
	try(p.isOldAlive && p.upgrades < 2 && !p.oldProcess.IsInProgress() && !p.isOldDraining && !p.isNewAlive,
		func(q *processPair) { q.upgrades++; q.handleOld(UpgradeRequested{}) })
	try(p.isNewAlive && p.toNew != "", func(q *processPair) {
		m := messageOfLetter(q.toNew[0])
		q.toNew = q.toNew[1:]
		q.handleNew(MessageReceived{Message: m, Protocol: Protocol})
	})
	try(p.isOldAlive && p.toOld != "", func(q *processPair) {
		m := messageOfLetter(q.toOld[0])
		q.toOld = q.toOld[1:]
		q.handleOld(MessageReceived{Message: m, Protocol: Protocol})
	})
	try(p.isNewAlive && p.newProcess.State == Building, func(q *processPair) { q.handleNew(PrepareDone{}) })
	try(p.isNewAlive && p.newProcess.State == Building, func(q *processPair) { q.handleNew(TakeoverFailed{"test"}) })
	try(p.isNewAlive && p.newProcess.State == AwaitingSnapshot && p.newProcess.hasSnapshot, func(q *processPair) { q.handleNew(SnapshotRestored{}) })
	try(p.isOldAlive && p.oldProcess.State == Copying, func(q *processPair) { q.handleOld(CustomersCopied{}) })
	try(p.isOldAlive && p.oldProcess.IsInProgress(), func(q *processPair) { q.handleOld(PhaseTimedOut{}) })
	try(p.isNewAlive && !p.newProcess.IsServing(), func(q *processPair) { q.handleNew(PhaseTimedOut{}) })
	try(p.isOldAlive && p.oldProcess.IsCommitted() && !p.oldProcess.isDrained, func(q *processPair) { q.handleOld(Drained{}) })
	try(p.isOldAlive && !p.isOldDraining && !p.oldProcess.isTerminating, func(q *processPair) { q.handleOld(TerminateRequested{}) })
	try(p.isNewAlive && !p.isNewDraining, func(q *processPair) { q.handleNew(TerminateRequested{}) })
	try(p.isNewAlive && p.isNewDraining, func(q *processPair) { q.isNewAlive, q.isNewReading = false, false })
	try(p.isNewAlive, func(q *processPair) { q.isNewAlive, q.isNewReading = false, false }) // killed by somebody, or by the SIGKILL
	// The old process learns of the new one's end after reading its last messages, and keeps the connection open until then.
	// So a new process in AwaitingCommit that is about to be killed never takes the old one for dead.
	try(!p.isNewAlive && p.isOldAlive && p.oldProcess.IsInProgress() && p.toOld == "", func(q *processPair) { q.handleOld(PeerExited{"killed"}) })
	try(p.isOldAlive && p.isNewAlive && !p.isNewKilled, func(q *processPair) { // SIGKILL of the old process
		q.isOldAlive, q.isOldReading, q.isOldListening = false, false, false
	})
	try(!p.isOldAlive && p.isNewAlive && p.toNew == "" && p.newProcess.State != Independent, func(q *processPair) { q.handleNew(PeerExited{}) })
	return next
}

// Tries every order in which messages, timeouts, deaths and signals can come, over two upgrades in a row.
func TestEveryOrderOfEvents(t *testing.T) {
	t.Run("upgrade", func(t *testing.T) { tryEveryOrder(t, false) })
	t.Run("started by somebody else", func(t *testing.T) { tryEveryOrder(t, true) })
}

// tryEveryOrder explores all states that can be reached and checks in each that at most one process reads requests, and at each
// end that one does, unless the ingress is ending.
func tryEveryOrder(t *testing.T, isExternal bool) {
	first := processPair{isOldAlive: true, isOldReading: true, isOldListening: true, oldProcess: OldProcess{HasExternalSuccessor: isExternal}}
	seen := map[string]bool{}
	work := []processPair{first}
	states := map[string]bool{}
	for len(work) > 0 {
		p := work[len(work)-1]
		work = work[:len(work)-1]
		key := fmt.Sprintf("%+v", p)
		if seen[key] {
			continue
		}
		seen[key] = true
		states[p.oldProcess.State.String()], states[p.newProcess.State.String()] = true, true
		require.False(t, p.isOldReading && p.isNewReading, "both read: %s", key)
		require.LessOrEqual(t, p.reports, p.upgrades, key)
		next := p.nextSteps()
		if p.isOldAlive && !p.isOldReading && !p.oldProcess.isTerminating { // an upgrade is still to be decided, or the new process reads
			require.True(t, p.oldProcess.IsInProgress(), "the old process has stopped reading without an upgrade: %s", key)
		}
		if len(next) == 0 || slices.Equal(next, []processPair{p}) {
			reads := p.isOldAlive && p.isOldReading || p.isNewAlive && p.isNewReading
			require.True(t, reads || !p.isOldAlive && !p.isNewAlive || p.isOldDraining || p.oldProcess.isTerminating, "no process serves: %s", key)
		}
		work = append(work, next...)
	}
	for s := range oldStateCount {
		require.True(t, states[s.String()], "never reached: %s", s)
	}
	for s := range newStateCount {
		require.True(t, states[s.String()], "never reached: %s", s)
	}
	t.Logf("%d states", len(seen))
}

// Whoever started the new process ends the old one with SIGTERM once the new one serves. The new one must serve on, whether or
// not the old one has open requests, and the old one must not take the listeners back.
func TestTerminatingOldProcessKeepsNewOne(t *testing.T) {
	m := OldProcess{State: Probation, HasExternalSuccessor: true}
	require.Equal(t, []Action{DrainRemaining, StopTimer, SendSettled, ReportDone}, m.Handle(TerminateRequested{}))
	require.Equal(t, Draining, m.State)
	require.Equal(t, []Action{SendFarewell}, m.Handle(Drained{}))
	m = OldProcess{State: Draining, HasExternalSuccessor: true}
	require.Equal(t, []Action{DrainRemaining}, m.Handle(TerminateRequested{}))
	require.Empty(t, m.Handle(TerminateRequested{}))
	require.NotContains(t, m.Handle(PeerExited{"killed"}), ReclaimListeners, "both processes were ended")
}

// The old process dies after the new one has restored the snapshot. The new one must serve then, or no process would.
func TestRestoredProcessTakesOverFromDeadOne(t *testing.T) {
	m := NewProcess{State: AwaitingCommit}
	require.Equal(t, []Action{StopTimer, Serve, ForgetPredecessor}, m.Handle(PeerExited{}))
	m = NewProcess{State: AwaitingSnapshot}
	require.Equal(t, []Action{Exit}, m.Handle(PeerExited{}))
}

func TestEveryEventInEveryState(t *testing.T) {
	var events []Event
	for m := range messageCount {
		events = append(events, MessageReceived{Message: m, Protocol: Protocol}, MessageReceived{Message: m, Protocol: 9})
	}
	events = append(events, UpgradeRequested{}, SpawnFailed{"x"}, InvalidData{"x"}, PeerExited{"x"}, PhaseTimedOut{}, CustomersCopied{}, Drained{}, PrepareDone{},
		TakeoverFailed{"x"}, SnapshotRestored{}, TerminateRequested{}, ReloadRequested{})
	for _, ev := range events {
		for s := range oldStateCount {
			m := OldProcess{State: s}
			actions := m.Handle(ev)
			require.Equal(t, s == Frozen && m.State == Idle, slices.Contains(actions, Unfreeze), "%s %#v", s, ev)
			if s >= Starting && s <= Frozen && m.State == Idle { // each failure is reported and ends the new process
				require.Contains(t, actions, ReportFailed, "%s %#v", s, ev)
				require.Contains(t, actions, Kill, "%s %#v", s, ev)
				require.NotEmpty(t, m.Failure)
			}
			if s == Finished || s == Idle && ev != (UpgradeRequested{}) && ev != (TerminateRequested{}) {
				require.Empty(t, actions, "%s %#v", s, ev)
			}
		}
		for s := range newStateCount {
			m := NewProcess{State: s}
			actions := m.Handle(ev)
			served := s >= OnProbation && s <= Independent
			require.Equal(t, served, m.IsServing() && !slices.Contains(actions, Serve), "%s %#v", s, ev)
			require.Equal(t, s != Ended && m.State == Ended, slices.Contains(actions, Exit), "%s %#v", s, ev)
		}
	}
}

func TestSignalsDuringUpgrade(t *testing.T) {
	for s := Starting; s <= Frozen; s++ {
		m := OldProcess{State: s}
		actions := m.Handle(TerminateRequested{})
		require.Equal(t, Drain, actions[len(actions)-1])
		require.Equal(t, Idle, m.State)
		require.Empty(t, m.Handle(UpgradeRequested{}), "no upgrade starts while the ingress ends")
	}
	m := OldProcess{State: Probation}
	require.Equal(t, []Action{SendTerminate}, m.Handle(TerminateRequested{}))
	require.NotContains(t, m.Handle(PeerExited{"exit 0"}), ReclaimListeners, "its end was requested")
	m = OldProcess{State: Copying}
	m.Handle(ReloadRequested{})
	m.State = Frozen
	require.Contains(t, m.Handle(MessageReceived{Message: Restored}), SendReload, "the new process may have read the old configuration")
}
