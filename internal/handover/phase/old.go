package phase

import "fmt"

// OldState is a phase of the old process. String returns the name in oldStateNames.
type OldState int

const (
	Idle      OldState = iota // no upgrade is in progress
	Starting                  // waiting for Hello of the new process, which is being started
	Preparing                 // the new process reads its configuration and reaches discovery
	Copying                   // copying customers to the new process while serving
	Frozen                    // no process reads requests; the new process restores the snapshot
	Probation                 // the new process serves; if it dies now, the upgrade is reported as failed
	Draining                  // the probation is over; this process finishes what it still has
	Finished                  // nothing is left; this process exits
	oldStateCount
)

// oldStateNames are texts that operators read.
var oldStateNames = [oldStateCount]string{"idle", "starting", "preparing", "copying", "frozen", "probation", "emptying", "over"}

// String returns the state's name.
func (s OldState) String() string { return oldStateNames[s] }

// OldProcess is the state machine of the process that is replaced. Its zero value serves.
type OldProcess struct {
	State   OldState
	Failure string // why the last upgrade failed
	// HasExternalSuccessor means that somebody else started the new process. This process doesn't start or kill it then,
	// and a SIGTERM to this process doesn't end it.
	HasExternalSuccessor bool

	isDrained       bool // this process has no open connection or stream left
	isTerminating   bool // this process or the whole ingress is ending, so it must not take the listeners back
	hasMissedReload bool // SIGHUP came when the new process may have read the configuration already
}

// IsCommitted reports whether the new process serves.
func (m *OldProcess) IsCommitted() bool { return m.State == Probation || m.State == Draining }

// IsInProgress reports whether an upgrade is in progress, up to the exit of this process.
func (m *OldProcess) IsInProgress() bool { return m.State != Idle && m.State != Finished }

// Handle takes one event and returns the actions that it causes, in order. An event that doesn't fit the state is ignored.
// Before the commit, a message out of order or invalid data fails the upgrade.
func (m *OldProcess) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case UpgradeRequested:
		if m.State != Idle || m.isTerminating {
			return nil // the caller tells the requester why
		}
		m.State, m.Failure, m.isDrained, m.hasMissedReload = Starting, "", false, false
		return []Action{Spawn, StartTimer}
	case SpawnFailed:
		if m.State == Starting {
			return m.fail("not started: " + ev.Reason)
		}
	case MessageReceived:
		return m.handleMessage(ev)
	case InvalidData:
		if m.IsCommitted() { // the new process serves whatever it sends
			return nil
		}
		if m.IsInProgress() {
			return m.fail("the new process has sent garbage: " + ev.Reason)
		}
	case PeerExited:
		return m.peerExited(ev.Detail)
	case PhaseTimedOut:
		return m.phaseTimedOut()
	case CustomersCopied:
		if m.State == Copying {
			m.State = Frozen
			return []Action{StopTimer, Freeze, SendSnapshot, StartTimer}
		}
	case Drained:
		m.isDrained = m.IsCommitted()
		if m.State == Draining {
			return m.finish()
		}
	case TerminateRequested:
		return m.terminate()
	case ReloadRequested:
		if m.IsCommitted() {
			return []Action{SendReload}
		}
		m.hasMissedReload = m.IsInProgress()
	}
	return nil
}

// handleMessage takes a message of the new process.
func (m *OldProcess) handleMessage(ev MessageReceived) []Action {
	switch {
	case m.State == Idle || m.State == Finished: // from a process of a failed upgrade
		return nil
	case ev.Message == Refused && !m.IsCommitted():
		return m.fail("refused by the new process: " + ev.Text)
	case ev.Message == Hello && m.State == Starting && ev.Protocol != Protocol:
		return m.fail(fmt.Sprintf("the new process speaks protocol %d of the hand-over, this one %d", ev.Protocol, Protocol))
	case ev.Message == Hello && m.State == Starting:
		m.State = Preparing
		return []Action{StopTimer, SendWelcome, StartTimer}
	case ev.Message == Prepared && m.State == Preparing:
		m.State = Copying
		return []Action{StopTimer, StartTimer, CopyCustomers}
	case ev.Message == Restored && m.State == Frozen:
		m.State = Probation
		actions := []Action{StopTimer, SendCommit, StartTimer}
		if m.hasMissedReload {
			m.hasMissedReload = false
			actions = append(actions, SendReload)
		}
		return actions
	case ev.Message == Leaving && m.IsCommitted():
		m.isTerminating = true
		return nil
	case m.IsCommitted():
		return nil
	}
	return m.fail(fmt.Sprintf("the new process has sent %s while %s", ev.Message, m.State))
}

// peerExited handles the end of the new process. Before the commit the upgrade fails. After it, this process takes the
// listeners back, unless the whole ingress is ending.
func (m *OldProcess) peerExited(detail string) []Action {
	switch {
	case m.State == Idle || m.State == Finished:
		return nil
	case !m.IsCommitted():
		return m.fail("the new process has ended while " + m.State.String() + ": " + detail)
	case m.isTerminating: // it was asked to end
		m.State = Draining
		actions := []Action{StopTimer}
		if m.isDrained {
			actions = append(actions, m.finish()...)
		}
		return actions
	}
	reported := m.State == Draining
	m.State = Idle
	m.Failure = "the new process has ended after it took over: " + detail
	if reported { // as done, so the requester no longer listens
		return []Action{StopTimer, ReclaimListeners}
	}
	return []Action{StopTimer, ReclaimListeners, ReportFailed}
}

// phaseTimedOut fails the upgrade if the phase comes before the commit, and ends the probation if that is the phase.
func (m *OldProcess) phaseTimedOut() []Action {
	switch m.State {
	case Starting, Preparing, Copying, Frozen:
		return m.fail("the new process has taken too long while " + m.State.String())
	case Probation:
		m.State = Draining
		actions := []Action{SendSettled, ReportDone}
		if m.isDrained {
			actions = append(actions, m.finish()...)
		}
		return actions
	}
	return nil
}

// fail ends an upgrade before its commit. This process goes on serving.
func (m *OldProcess) fail(reason string) []Action {
	failedIn := m.State
	m.State, m.Failure = Idle, reason
	actions := []Action{StopTimer, SendAbort, Kill}
	if failedIn == Frozen {
		actions = append(actions, Unfreeze)
	}
	return append(actions, ReportFailed)
}

// terminate handles a SIGTERM. Once the new process serves, the signal is passed on to it, unless somebody else started
// it: then the signal is for this process only.
func (m *OldProcess) terminate() []Action {
	switch {
	case m.State == Finished:
		return nil
	case m.State == Idle:
		m.isTerminating = true
		return []Action{Drain}
	case !m.IsCommitted():
		m.isTerminating = true
		return append(m.fail("the ingress was told to end"), Drain)
	case m.isTerminating:
		return nil
	case m.HasExternalSuccessor:
		return m.drainRemaining()
	}
	m.isTerminating = true
	return []Action{SendTerminate}
}

// drainRemaining ends what this process still has and cuts a probation short. The new process serves on.
func (m *OldProcess) drainRemaining() []Action {
	m.isTerminating = true
	actions := []Action{DrainRemaining}
	if m.State == Probation {
		m.State = Draining
		actions = append(actions, StopTimer, SendSettled, ReportDone)
	}
	if m.isDrained {
		actions = append(actions, m.finish()...)
	}
	return actions
}

// finish ends this process, which has nothing left.
func (m *OldProcess) finish() []Action {
	m.State = Finished
	return []Action{SendFarewell}
}
