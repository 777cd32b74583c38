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
	Emptying                  // it has stood them; what we have is ending
	Over                      // we end
	oldStates
)

var oldNames = [oldStates]string{"idle", "starting", "preparing", "copying", "frozen", "probation", "emptying", "over"}

func (s OldState) String() string { return oldNames[s] }

// Old is the machine of the process that is to be replaced.
type Old struct {
	State   OldState
	Failure string // why the last upgrade failed
	Beside  bool   // somebody else has started the new process: our end is not its end, nor is it ours to start or kill

	empty  bool // nothing of ours is open
	ending bool // the ingress is to end: nobody's place is taken back
	missed bool // SIGHUP came while the successor may have read the configuration already
}

// Committed tells whether a successor serves.
func (m *Old) Committed() bool { return m.State == Probation || m.State == Emptying }

// UnderWay tells whether an upgrade is.
func (m *Old) UnderWay() bool { return m.State != Idle && m.State != Over }

// Handle takes one event and returns what is to be done.
func (m *Old) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case Asked:
		if m.State != Idle || m.ending {
			return nil // the asker is told by the caller, see UnderWay
		}
		m.State, m.Failure, m.empty, m.missed = Starting, "", false, false
		return []Action{Spawn, StartClock}
	case SpawnFailed:
		if m.State == Starting {
			return m.fail("not started: " + ev.Why)
		}
	case Told:
		return m.told(ev)
	case Garbled:
		if m.Committed() { // it serves, and what it says does not matter for that
			return nil
		}
		if m.UnderWay() {
			return m.fail("the new process has sent garbage: " + ev.Why)
		}
	case PeerGone:
		return m.gone(ev.How)
	case TimeUp:
		return m.timeUp()
	case Copied:
		if m.State == Copying {
			m.State = Frozen
			return []Action{StopClock, Freeze, SendSnapshot, StartClock}
		}
	case Emptied:
		m.empty = m.Committed()
		if m.State == Emptying {
			return m.over()
		}
	case EndAsked:
		return m.end()
	case ReloadAsked:
		if m.Committed() {
			return []Action{SendReload}
		}
		m.missed = m.UnderWay()
	}
	return nil
}

func (m *Old) told(ev Told) []Action {
	switch {
	case m.State == Idle || m.State == Over: // of a process that was given up
		return nil
	case ev.Message == Refused && !m.Committed():
		return m.fail("refused by the new process: " + ev.Text)
	case ev.Message == Hello && m.State == Starting && ev.Protocol != Protocol:
		return m.fail(fmt.Sprintf("the new process speaks protocol %d of the hand-over, this one %d", ev.Protocol, Protocol))
	case ev.Message == Hello && m.State == Starting:
		m.State = Preparing
		return []Action{StopClock, SendWelcome, StartClock}
	case ev.Message == Prepared && m.State == Preparing:
		m.State = Copying
		return []Action{StopClock, StartClock, CopyAhead}
	case ev.Message == Restored && m.State == Frozen:
		m.State = Probation
		actions := []Action{StopClock, SendCommit, StartClock}
		if m.missed {
			m.missed = false
			actions = append(actions, SendReload)
		}
		return actions
	case ev.Message == Leaving && m.Committed():
		m.ending = true
		return nil
	case m.Committed():
		return nil
	}
	return m.fail(fmt.Sprintf("the new process has sent %s while %s", ev.Message, m.State))
}

func (m *Old) gone(how string) []Action {
	switch {
	case m.State == Idle || m.State == Over:
		return nil
	case !m.Committed():
		return m.fail("the new process has ended while " + m.State.String() + ": " + how)
	case m.ending: // as it was told to
		m.State = Emptying
		actions := []Action{StopClock}
		if m.empty {
			actions = append(actions, m.over()...)
		}
		return actions
	}
	reported := m.State == Emptying
	m.State = Idle
	m.Failure = "the new process has ended after it took over: " + how
	if reported { // as done: who asked has gone
		return []Action{StopClock, Reclaim}
	}
	return []Action{StopClock, Reclaim, ReportFailed}
}

func (m *Old) timeUp() []Action {
	switch m.State {
	case Starting, Preparing, Copying, Frozen:
		return m.fail("the new process has taken too long while " + m.State.String())
	case Probation:
		m.State = Emptying
		actions := []Action{SendSettled, ReportDone}
		if m.empty {
			actions = append(actions, m.over()...)
		}
		return actions
	}
	return nil
}

// fail ends an upgrade before its commit.
func (m *Old) fail(why string) []Action {
	was := m.State
	m.State, m.Failure = Idle, why
	actions := []Action{StopClock, SendAbort, Kill}
	if was == Frozen {
		actions = append(actions, Unfreeze)
	}
	return append(actions, ReportFailed)
}

func (m *Old) end() []Action {
	switch {
	case m.State == Over:
		return nil
	case m.State == Idle:
		m.ending = true
		return []Action{Drain}
	case !m.Committed():
		m.ending = true
		return append(m.fail("the ingress was told to end"), Drain)
	case m.ending:
		return nil
	case m.Beside:
		return m.release()
	}
	m.ending = true
	return []Action{SendTerminate}
}

// release ends what this process still has. The new one goes on, and has stood its probation.
func (m *Old) release() []Action {
	m.ending = true
	actions := []Action{EndOwn}
	if m.State == Probation {
		m.State = Emptying
		actions = append(actions, StopClock, SendSettled, ReportDone)
	}
	if m.empty {
		actions = append(actions, m.over()...)
	}
	return actions
}

func (m *Old) over() []Action {
	m.State = Over
	return []Action{SayFarewell}
}
