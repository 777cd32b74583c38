package phase

import "fmt"

// NewState is a phase of the new process.
type NewState int

const (
	AwaitingWelcome  NewState = iota // Hello is sent, Welcome is due
	Building                         // configuration, parts, discovery
	AwaitingSnapshot                 // prepared: customers come, then the snapshot
	AwaitingCommit                   // all is in place: Commit is due
	OnProbation                      // serving, on probation
	PastProbation                    // serving; the predecessor, if it is still there, only ends what it has
	Independent                      // the predecessor is gone
	Ended                            // we end, and had taken nothing
	newStateCount
)

var newStateNames = [newStateCount]string{"greeting", "building", "waiting", "holding", "trial", "alone", "independent", "ended"}

func (s NewState) String() string { return newStateNames[s] }

// NewProcess is the machine of the process that takes over.
type NewProcess struct {
	State   NewState
	Failure string // why it ended

	isTerminating bool
	hasSnapshot   bool // a snapshot has come
}

// IsServing tells whether this process accepts and reads.
func (m *NewProcess) IsServing() bool { return m.State >= OnProbation && m.State <= Independent }

// Handle takes one event and returns what is to be done.
func (m *NewProcess) Handle(ev Event) []Action {
	if m.State == Ended {
		return nil
	}
	switch ev := ev.(type) {
	case MessageReceived:
		return m.handleMessage(ev)
	case InvalidData:
		if m.IsServing() {
			return nil // nothing that it still says is worth ending for
		}
		return m.refuse("the old process has sent garbage: " + ev.Reason)
	case PrepareDone:
		if m.State == Building {
			m.State = AwaitingSnapshot
			return []Action{SendPrepared}
		}
	case TakeoverFailed:
		if !m.IsServing() {
			return m.refuse(ev.Reason)
		}
	case SnapshotRestored:
		if m.State == AwaitingSnapshot && m.hasSnapshot {
			m.State = AwaitingCommit
			return []Action{SendRestored}
		}
	case PeerExited:
		return m.peerExited()
	case PhaseTimedOut:
		if !m.IsServing() && m.State != AwaitingCommit { // holding, only the old process's word or death decides
			return m.refuse("the old process has said nothing while " + m.State.String())
		}
	case TerminateRequested:
		switch {
		case !m.IsServing():
			return m.refuse("the new process was told to end")
		case m.isTerminating:
			return nil
		case m.State == Independent:
			m.isTerminating = true
			return []Action{Drain}
		}
		m.isTerminating = true
		return []Action{SendLeaving, Drain}
	case ReloadRequested:
		if m.IsServing() {
			return []Action{ReloadConfig}
		}
	}
	return nil
}

func (m *NewProcess) handleMessage(ev MessageReceived) []Action {
	switch {
	case ev.Message == Abort && !m.IsServing():
		m.State, m.Failure = Ended, "the old process carries on: "+ev.Text
		return []Action{Exit}
	case ev.Message == Welcome && m.State == AwaitingWelcome && ev.Protocol != Protocol:
		return m.refuse(fmt.Sprintf("the old process speaks protocol %d of the hand-over, this one %d", ev.Protocol, Protocol))
	case ev.Message == Welcome && m.State == AwaitingWelcome:
		m.State = Building
		return []Action{Prepare}
	case ev.Message == Snapshot && m.State == AwaitingSnapshot && !m.hasSnapshot:
		m.hasSnapshot = true
		return []Action{Restore}
	case ev.Message == Commit && m.State == AwaitingCommit:
		m.State = OnProbation
		return []Action{StopTimer, Serve, SendServing}
	case ev.Message == Settled && m.State == OnProbation:
		m.State = PastProbation
		return nil
	case ev.Message == Farewell && m.IsServing():
		if m.State == Independent {
			return nil
		}
		m.State = Independent
		return []Action{ForgetPredecessor}
	case m.IsServing():
		return nil
	}
	return m.refuse(fmt.Sprintf("the old process has sent %s while %s", ev.Message, m.State))
}

// peerExited: an old process that wants to carry on says Abort first. One that is peerExited without a word has died, and
// nobody serves: who has all its state takes over.
func (m *NewProcess) peerExited() []Action {
	switch m.State {
	case AwaitingCommit:
		m.State = Independent
		return []Action{StopTimer, Serve, ForgetPredecessor}
	case OnProbation, PastProbation:
		m.State = Independent
		return []Action{ForgetPredecessor}
	case Independent:
		return nil
	}
	m.State, m.Failure = Ended, "the old process has ended while "+m.State.String()
	return []Action{Exit}
}

func (m *NewProcess) refuse(why string) []Action {
	m.State, m.Failure = Ended, why
	return []Action{SendRefused, Exit}
}
