package phase

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// pair is both processes with what is on its way between them; it is a value, so that every order of events
// can be tried from it.
type pair struct {
	old              OldProcess
	new              NewProcess
	oldAlive, newUp  bool
	doomed           bool // SIGKILL was sent to the new one and has not struck yet
	oldReads         bool
	newReads         bool
	listens          bool // the old one still holds the listeners
	told             int  // reports to who asked
	asked            int
	toNew, toOld     string
	oldDrain, newEnd bool
}

var letters = map[Message]byte{Hello: 'h', Prepared: 'p', Restored: 'r', Serving: 's', Refused: 'R', Leaving: 'l', Welcome: 'w',
	Snapshot: 'S', Commit: 'c', Abort: 'a', Settled: 't', Farewell: 'f'}

func messageOf(b byte) Message {
	for m, l := range letters {
		if l == b {
			return m
		}
	}
	panic(string(b))
}

func (p *pair) onOld(ev Event) {
	for _, a := range p.old.Handle(ev) {
		switch a {
		case Spawn:
			p.new, p.newUp, p.toOld, p.toNew, p.newReads, p.doomed = NewProcess{}, true, "h", "", false, false
		case SendWelcome:
			p.send(Welcome)
		case Freeze:
			p.oldReads = false
		case SendSnapshot:
			p.send(Snapshot)
		case SendCommit:
			p.send(Commit)
		case Unfreeze, ReclaimListeners:
			p.oldReads = true
		case SendAbort:
			p.send(Abort)
		case Kill:
			p.doomed = p.newUp
		case SendSettled:
			p.send(Settled)
		case Drain:
			p.oldDrain = true
		case SendFarewell:
			p.send(Farewell)
			p.oldAlive, p.listens = false, false
		case ReportDone, ReportFailed:
			p.told++
		}
	}
}

func (p *pair) send(m Message) {
	if p.newUp {
		p.toNew += string(letters[m])
	}
}

func (p *pair) onNew(ev Event) {
	for _, a := range p.new.Handle(ev) {
		reply := map[Action]Message{SendPrepared: Prepared, SendRestored: Restored, SendServing: Serving, SendRefused: Refused,
			SendLeaving: Leaving}
		if m, ok := reply[a]; ok && p.oldAlive {
			p.toOld += string(letters[m])
		}
		switch a {
		case Serve:
			p.newReads = true
		case Drain:
			p.newEnd = true
		case Exit:
			p.newUp = false
		}
	}
}

// steps are all that may happen next.
func (p pair) steps() []pair {
	var next []pair
	try := func(may bool, f func(q *pair)) {
		if may {
			q := p
			f(&q)
			next = append(next, q)
		}
	}
	try(p.oldAlive && p.asked < 2 && !p.old.IsInProgress() && !p.oldDrain && !p.newUp,
		func(q *pair) { q.asked++; q.onOld(UpgradeRequested{}) })
	try(p.newUp && p.toNew != "", func(q *pair) {
		m := messageOf(q.toNew[0])
		q.toNew = q.toNew[1:]
		q.onNew(MessageReceived{Message: m, Protocol: Protocol})
	})
	try(p.oldAlive && p.toOld != "", func(q *pair) {
		m := messageOf(q.toOld[0])
		q.toOld = q.toOld[1:]
		q.onOld(MessageReceived{Message: m, Protocol: Protocol})
	})
	try(p.newUp && p.new.State == Building, func(q *pair) { q.onNew(PrepareDone{}) })
	try(p.newUp && p.new.State == Building, func(q *pair) { q.onNew(TakeoverFailed{"test"}) })
	try(p.newUp && p.new.State == AwaitingSnapshot && p.new.hasSnapshot, func(q *pair) { q.onNew(SnapshotRestored{}) })
	try(p.oldAlive && p.old.State == Copying, func(q *pair) { q.onOld(CustomersCopied{}) })
	try(p.oldAlive && p.old.IsInProgress(), func(q *pair) { q.onOld(PhaseTimedOut{}) })
	try(p.newUp && !p.new.IsServing(), func(q *pair) { q.onNew(PhaseTimedOut{}) })
	try(p.oldAlive && p.old.IsCommitted() && !p.old.isDrained, func(q *pair) { q.onOld(Drained{}) })
	try(p.oldAlive && !p.oldDrain && !p.old.isTerminating, func(q *pair) { q.onOld(TerminateRequested{}) })
	try(p.newUp && !p.newEnd, func(q *pair) { q.onNew(TerminateRequested{}) })
	try(p.newUp && p.newEnd, func(q *pair) { q.newUp, q.newReads = false, false })
	try(p.newUp, func(q *pair) { q.newUp, q.newReads = false, false }) // killed, or struck at last
	// The old one learns of the other's death once it has read what that had sent, and the channel stays open
	// until then, so that a new one in Holding never takes a SIGKILL on its way for the old one's death.
	try(!p.newUp && p.oldAlive && p.old.IsInProgress() && p.toOld == "", func(q *pair) { q.onOld(PeerExited{"killed"}) })
	try(p.oldAlive && p.newUp && !p.doomed, func(q *pair) { // kill -9 of the old one
		q.oldAlive, q.oldReads, q.listens = false, false, false
	})
	try(!p.oldAlive && p.newUp && p.toNew == "" && p.new.State != Independent, func(q *pair) { q.onNew(PeerExited{}) })
	return next
}

// Every order in which messages, time-outs, deaths and signals may come is tried, over two upgrades in a row.
func TestEveryOrderOfEvents(t *testing.T) {
	t.Run("upgrade", func(t *testing.T) { everyOrder(t, false) })
	t.Run("started by somebody else", func(t *testing.T) { everyOrder(t, true) })
}

func everyOrder(t *testing.T, beside bool) {
	first := pair{oldAlive: true, oldReads: true, listens: true, old: OldProcess{HasExternalSuccessor: beside}}
	seen := map[string]bool{}
	work := []pair{first}
	states := map[string]bool{}
	for len(work) > 0 {
		p := work[len(work)-1]
		work = work[:len(work)-1]
		key := fmt.Sprintf("%+v", p)
		if seen[key] {
			continue
		}
		seen[key] = true
		states[p.old.State.String()], states[p.new.State.String()] = true, true
		require.False(t, p.oldReads && p.newReads, "both read: %s", key)
		require.LessOrEqual(t, p.told, p.asked, key)
		next := p.steps()
		if p.oldAlive && !p.oldReads && !p.old.isTerminating { // someone reads, or it is still to be decided
			require.True(t, p.old.IsInProgress(), "the old process reads no more for nothing: %s", key)
		}
		if len(next) == 0 || slices.Equal(next, []pair{p}) {
			reads := p.oldAlive && p.oldReads || p.newUp && p.newReads
			require.True(t, reads || !p.oldAlive && !p.newUp || p.oldDrain || p.old.isTerminating, "the service is lost: %s", key)
		}
		work = append(work, next...)
	}
	for s := range oldStateCount {
		require.True(t, states[s.String()], "never reached: %s", s)
	}
	for s := range newStateCount {
		require.True(t, states[s.String()], "never reached: %s", s)
	}
	t.Logf("%d situations", len(seen))
}

// The old process is told to end once the new one serves, by who has started that: the new one goes on, whether or
// not the old one still has something, and it is not taken for dead by its own end.
func TestTheEndOfAnOldProcessIsNotTheNewOnes(t *testing.T) {
	m := OldProcess{State: Probation, HasExternalSuccessor: true}
	require.Equal(t, []Action{DrainRemaining, StopTimer, SendSettled, ReportDone}, m.Handle(TerminateRequested{}))
	require.Equal(t, Draining, m.State)
	require.Equal(t, []Action{SendFarewell}, m.Handle(Drained{}))
	m = OldProcess{State: Draining, HasExternalSuccessor: true}
	require.Equal(t, []Action{DrainRemaining}, m.Handle(TerminateRequested{}))
	require.Empty(t, m.Handle(TerminateRequested{}))
	require.NotContains(t, m.Handle(PeerExited{"killed"}), ReclaimListeners, "both were told to end, or killed")
}

// The death of the old process after all is in place must not leave the listeners to nobody.
func TestWhoHoldsAllTakesOverFromTheDead(t *testing.T) {
	m := NewProcess{State: AwaitingCommit}
	require.Equal(t, []Action{StopTimer, Serve, ForgetPredecessor}, m.Handle(PeerExited{}))
	m = NewProcess{State: AwaitingSnapshot}
	require.Equal(t, []Action{Exit}, m.Handle(PeerExited{}))
}

func TestEveryStateMeetsEveryEvent(t *testing.T) {
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
			if s >= Starting && s <= Frozen && m.State == Idle { // each failure is told, and the other one ended
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

func TestASignalDuringAnUpgrade(t *testing.T) {
	for s := Starting; s <= Frozen; s++ {
		m := OldProcess{State: s}
		actions := m.Handle(TerminateRequested{})
		require.Equal(t, Drain, actions[len(actions)-1])
		require.Equal(t, Idle, m.State)
		require.Empty(t, m.Handle(UpgradeRequested{}), "nothing is started on the way out")
	}
	m := OldProcess{State: Probation}
	require.Equal(t, []Action{SendTerminate}, m.Handle(TerminateRequested{}))
	require.NotContains(t, m.Handle(PeerExited{"exit 0"}), ReclaimListeners, "its end was asked for")
	m = OldProcess{State: Copying}
	m.Handle(ReloadRequested{})
	m.State = Frozen
	require.Contains(t, m.Handle(MessageReceived{Message: Restored}), SendReload, "it may have read the old configuration")
}
