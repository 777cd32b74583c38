package daemon

import (
	"errors"
	"io"
	"os"
	"os/exec"

	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// successorProcess is one successor with its connection, from the start of the handover to the end of that process. It
// belongs to the loop's goroutine.
type successorProcess struct {
	role   *predecessorRole
	conn   *handover.Conn
	cmd    *exec.Cmd // nil: not started yet, or started by the platform
	isLost bool      // the connection delivers no more messages
}

// spawn starts the binary that is at the path of the upgrade command now. Starting a process may take milliseconds, so it
// runs on a goroutine of its own, which then waits for the process to end. If the start fails, the state machine gets
// SpawnFailed.
func (p *predecessorRole) spawn() {
	d := p.daemon
	ownFD, successorFD, err := handover.Pair()
	if err != nil {
		d.loop.After(0, func() { p.handle(phase.SpawnFailed{Reason: err.Error()}) })
		return
	}
	successor := &successorProcess{role: p}
	if successor.conn, err = handover.New(d.loop, d.cfg.Limits, ownFD, successor); err != nil {
		loop.CloseFD(ownFD)
		loop.CloseFD(successorFD)
		d.loop.After(0, func() { p.handle(phase.SpawnFailed{Reason: err.Error()}) })
		return
	}
	p.successor = successor
	d.setMemoryShare(predecessorShare)
	go func() {
		successorEnd := os.NewFile(uintptr(successorFD), "handover")
		cmd := exec.Command(d.options.UpgradeCommand[0], d.options.UpgradeCommand[1:]...)
		cmd.Env = append(os.Environ(), handover.DescriptorEnv+"=3") // the first of ExtraFiles becomes descriptor 3
		cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = os.Stdout, os.Stderr, []*os.File{successorEnd}
		err := cmd.Start()
		_ = successorEnd.Close()
		if err != nil {
			d.loop.Post(func() {
				successor.conn.Close()
				if p.successor == successor {
					p.successor = nil
					p.handle(phase.SpawnFailed{Reason: err.Error()})
				}
			})
			return
		}
		d.loop.Post(func() {
			successor.cmd = cmd
			if p.successor != successor || !p.machine.IsInProgress() { // the upgrade was given up before the process had started
				_ = cmd.Process.Kill()
			}
		})
		_ = cmd.Wait() // the process state tells all that is needed
		exitStatus := cmd.ProcessState.String()
		d.loop.Post(func() { successor.handleExit(exitStatus) })
	}()
}

// handleExit handles the certain end of the process. Messages that it sent before are handled first.
func (s *successorProcess) handleExit(exitStatus string) {
	if !s.isLost {
		s.conn.ReadAll()
	}
	s.isLost = true
	if s.role.successor == s {
		s.stopIfFinished()
		s.role.handle(phase.PeerExited{Detail: exitStatus})
		s.role.successor = nil
		if s.role.machine.IsCommitted() { // it was told to end, and this process does not take its listeners back
			s.role.daemon.server.EndHandOver()
		}
	}
	s.conn.Close()
}

// stopIfFinished ends this process if it only waits until the successor has read its last messages, which the successor
// can't do any more.
func (s *successorProcess) stopIfFinished() {
	if s.role.machine.State == phase.Finished {
		s.role.daemon.loop.Stop()
	}
}

// ConnectionLost handles the end of the connection: the successor has closed its end, or what it sends can't be parsed. A closed
// connection is no proof that the successor is dead: both processes would serve if this one took its place back. So the
// successor is killed, and only its exit counts. After Farewell the successor serves alone and closes its end, which may
// be seen before this process has ended: it must not be killed then. A replacement that has closed its end counts as
// ended, since it can't be killed: it has ended or restarts without a predecessor.
func (s *successorProcess) ConnectionLost(err error) {
	s.isLost = true
	switch {
	case s.role.successor != s: // a failed handover to a replacement, or to a process whose exit closes the connection
		if s.cmd == nil {
			s.conn.Close()
		}
		return
	case s.role.machine.State == phase.Finished:
		s.stopIfFinished()
		return
	}
	if !errors.Is(err, io.EOF) {
		s.role.handle(phase.InvalidData{Reason: err.Error()})
	}
	if s.cmd != nil && (errors.Is(err, io.EOF) || !s.role.machine.IsCommitted()) {
		_ = s.cmd.Process.Kill()
	}
	if s.role.machine.HasExternalSuccessor && errors.Is(err, io.EOF) {
		s.handleExit("it has closed its end")
	}
}

// HandleMessage handles a message of the successor.
func (s *successorProcess) HandleMessage(e *pb.Envelope, fds []int) {
	for _, fd := range fds { // a successor has no descriptors to send
		loop.CloseFD(fd)
	}
	p := s.role
	if p.successor != s {
		return
	}
	switch m := e.GetBody().(type) {
	case *pb.Envelope_Hello:
		p.result.Pid = int(m.Hello.GetPid())
		p.handle(phase.MessageReceived{Message: phase.Hello, Protocol: int(m.Hello.GetProtocol())})
	case *pb.Envelope_Prepared:
		p.handle(phase.MessageReceived{Message: phase.Prepared})
	case *pb.Envelope_CaughtUp:
		if len(p.customersToCopy) == 0 {
			p.handle(phase.CustomersCopied{})
		}
	case *pb.Envelope_Restored:
		p.result.Customers = m.Restored.GetCustomers()
		p.handle(phase.MessageReceived{Message: phase.Restored})
	case *pb.Envelope_Serving:
		p.result.FreezeMicroseconds = (p.daemon.loop.Now() - p.frozenAt).Microseconds()
		p.handle(phase.MessageReceived{Message: phase.Serving})
	case *pb.Envelope_Refused:
		p.handle(phase.MessageReceived{Message: phase.Refused, Text: m.Refused.GetReason()})
	case *pb.Envelope_Leaving:
		p.handle(phase.MessageReceived{Message: phase.Leaving})
	case *pb.Envelope_Configuration:
		p.successorConfiguration, p.hasUnansweredReload = m.Configuration, false
	case *pb.Envelope_KeySent:
		p.daemon.core.SuccessorKeySent(handover.DecodeKey(m.KeySent))
	case *pb.Envelope_KeyNotRun:
		p.daemon.core.SuccessorKeyNotRun(handover.DecodeKey(m.KeyNotRun))
	default: // a message of a later version of the program, which this one may ignore
	}
}
