package phase

import "fmt"

// OldState is a phase of the old process.
type OldState int

const (
	Idle      OldState = iota // no upgrade is under way
	Starting                  // the new process is started; its Hello is due
	Preparing                 // it reads its configuration and reaches discovery
	Copying                   // customers are copied ahead, while serving
	Frozen                    // nobody reads; the snapshot is on its way
	Probation                 // the new process serves; its first moments
	Draining                  // it has stood them; what we have is ending
	Finished                  // we end
	oldStateCount
)

var oldStateNames = [oldStateCount]string{"idle", "starting", "preparing", "copying", "frozen", "probation", "emptying", "over"}

func (s OldState) String() string { return oldStateNames[s] }

// OldProcess is the machine of the process that is to be replaced.
type OldProcess struct {
	State                OldState
	Failure              string // why the last upgrade failed
	HasExternalSuccessor bool   // somebody else has started the new process: our end is not its end, nor is it ours to start or kill

	isDrained       bool // nothing of ours is open
	isTerminating   bool // the ingress is to end: nobody's place is taken back
	hasMissedReload bool // SIGHUP came while the successor may have read the configuration already
}

// IsCommitted tells whether a successor serves.
func (m *OldProcess) IsCommitted() bool { return m.State == Probation || m.State == Draining }

// IsInProgress tells whether an upgrade is.
func (m *OldProcess) IsInProgress() bool { return m.State != Idle && m.State != Finished }

// Handle takes one event and returns what is to be done.
func (m *OldProcess) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case UpgradeRequested:
		if m.State != Idle || m.isTerminating {
			return nil // the asker is told by the caller, see UnderWay
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
		if m.IsCommitted() { // it serves, and what it says does not matter for that
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

func (m *OldProcess) handleMessage(ev MessageReceived) []Action {
	switch {
	case m.State == Idle || m.State == Finished: // of a process that was given up
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

func (m *OldProcess) peerExited(how string) []Action {
	switch {
	case m.State == Idle || m.State == Finished:
		return nil
	case !m.IsCommitted():
		return m.fail("the new process has ended while " + m.State.String() + ": " + how)
	case m.isTerminating: // as it was told to
		m.State = Draining
		actions := []Action{StopTimer}
		if m.isDrained {
			actions = append(actions, m.finish()...)
		}
		return actions
	}
	reported := m.State == Draining
	m.State = Idle
	m.Failure = "the new process has ended after it took over: " + how
	if reported { // as done: who asked has gone
		return []Action{StopTimer, ReclaimListeners}
	}
	return []Action{StopTimer, ReclaimListeners, ReportFailed}
}

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

// fail ends an upgrade before its commit.
func (m *OldProcess) fail(why string) []Action {
	was := m.State
	m.State, m.Failure = Idle, why
	actions := []Action{StopTimer, SendAbort, Kill}
	if was == Frozen {
		actions = append(actions, Unfreeze)
	}
	return append(actions, ReportFailed)
}

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

// drainRemaining ends what this process still has. The new one goes on, and has stood its probation.
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

func (m *OldProcess) finish() []Action {
	m.State = Finished
	return []Action{SendFarewell}
}
