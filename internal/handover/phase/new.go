package phase

import "fmt"

// NewState is a phase of the new process. String returns the name in newStateNames.
type NewState int

const (
	AwaitingWelcome  NewState = iota // Hello has been sent
	Building                         // reading the configuration, building the parts, reaching discovery
	AwaitingSnapshot                 // receiving customers, then the snapshot
	AwaitingCommit                   // the snapshot is restored; waiting for Commit
	OnProbation                      // serving; the old process hasn't reported the upgrade as done yet
	PastProbation                    // serving; the old process, if it still runs, only finishes what it has
	Independent                      // serving; the old process is gone
	Ended                            // exiting without having served
	newStateCount
)

// newStateNames are parts of texts that operators and the other process read.
var newStateNames = [newStateCount]string{"greeting", "building", "waiting", "holding", "trial", "alone", "independent", "ended"}

// String returns the state's name.
func (s NewState) String() string { return newStateNames[s] }

// NewProcess is the state machine of the process that takes over. Its zero value has just sent Hello.
type NewProcess struct {
	State   NewState
	Failure string // why this process doesn't take over; set when State becomes Ended

	isTerminating bool
	hasSnapshot   bool // the snapshot has arrived
}

// IsServing reports whether this process accepts connections and reads requests.
func (m *NewProcess) IsServing() bool { return m.State >= OnProbation && m.State <= Independent }

// Handle takes one event and returns the actions that it causes, in order. An event that doesn't fit the state is ignored.
// Before this process serves, a message out of order ends the takeover.
func (m *NewProcess) Handle(ev Event) []Action {
	if m.State == Ended {
		return nil
	}
	switch ev := ev.(type) {
	case MessageReceived:
		return m.handleMessage(ev)
	case InvalidData:
		if m.IsServing() {
			return nil // this process serves on whatever the old one sends
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
		if !m.IsServing() && m.State != AwaitingCommit { // in AwaitingCommit only a message or the death of the old process decides
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

// handleMessage takes a message of the old process.
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

// peerExited handles the end of the old process. An old process that carries on sends Abort first. Without an Abort it has
// died and no process serves, so the new process takes over if it has restored the snapshot.
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

// refuse ends the takeover and tells the old process the reason.
func (m *NewProcess) refuse(reason string) []Action {
	m.State, m.Failure = Ended, reason
	return []Action{SendRefused, Exit}
}
