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

// successorProcess is one successor, however it ends.
type successorProcess struct {
	role   *predecessorRole
	conn   *handover.Conn
	cmd    *exec.Cmd
	isLost bool // nothing more comes from it
}

// spawn starts what lies at the binary's path now. To start a process may take milliseconds, so it is done
// beside the loop.
func (p *predecessorRole) spawn() {
	d := p.d
	ours, theirs, err := handover.Pair()
	if err != nil {
		d.loop.After(0, func() { p.handle(phase.SpawnFailed{Why: err.Error()}) })
		return
	}
	r := &successorProcess{role: p}
	if r.conn, err = handover.New(d.loop, d.cfg.Limits, ours, r); err != nil {
		loop.CloseFD(ours)
		loop.CloseFD(theirs)
		d.loop.After(0, func() { p.handle(phase.SpawnFailed{Why: err.Error()}) })
		return
	}
	p.successor = r
	setMemoryLimit(d.cfg.Limits, 2)
	go func() {
		end := os.NewFile(uintptr(theirs), "handover")
		cmd := exec.Command(d.options.UpgradeCommand[0], d.options.UpgradeCommand[1:]...)
		cmd.Env = append(os.Environ(), handover.Env+"=3")
		cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = os.Stdout, os.Stderr, []*os.File{end}
		err := cmd.Start()
		_ = end.Close()
		if err != nil {
			d.loop.Post(func() {
				r.conn.Close()
				if p.successor == r {
					p.successor = nil
					p.handle(phase.SpawnFailed{Why: err.Error()})
				}
			})
			return
		}
		d.loop.Post(func() {
			r.cmd = cmd
			if p.successor != r || !p.machine.UnderWay() { // given up before it was there
				_ = cmd.Process.Kill()
			}
		})
		_ = cmd.Wait() // what matters of its end is in the state
		how := cmd.ProcessState.String()
		d.loop.Post(func() { r.handleExit(how) })
	}()
}

// handleExit: the process has ended, for certain. What it had still said is heard first.
func (r *successorProcess) handleExit(how string) {
	if !r.isLost {
		r.conn.Drain()
	}
	r.isLost = true
	if r.role.successor == r {
		r.role.handle(phase.PeerGone{How: how})
		r.role.successor = nil
	}
	r.conn.Close()
}

// Lost: the new process has closed its end, or can't be understood. Whoever has closed it would serve beside
// us if we took that for its death, so it is made sure. After Farewell it serves alone and closes its end, while this
// process may not have ended yet: it is left to serve then.
func (r *successorProcess) Lost(err error) {
	r.isLost = true
	if r.role.successor != r || r.role.machine.State == phase.Over {
		return
	}
	if !errors.Is(err, io.EOF) {
		r.role.handle(phase.Garbled{Why: err.Error()})
	}
	if r.cmd != nil && (errors.Is(err, io.EOF) || !r.role.machine.Committed()) {
		_ = r.cmd.Process.Kill()
	}
	if r.role.machine.Beside && errors.Is(err, io.EOF) { // it has ended, or begins by itself
		r.handleExit("it has closed its end")
	}
}

// Message takes one of the new process's.
func (r *successorProcess) Message(e *pb.Envelope, fds []int) {
	for _, fd := range fds { // it has none to give
		loop.CloseFD(fd)
	}
	p := r.role
	if p.successor != r {
		return
	}
	switch m := e.GetBody().(type) {
	case *pb.Envelope_Hello:
		p.result.Pid = int(m.Hello.GetPid())
		p.handle(phase.Told{Message: phase.Hello, Protocol: int(m.Hello.GetProtocol())})
	case *pb.Envelope_Prepared:
		p.handle(phase.Told{Message: phase.Prepared})
	case *pb.Envelope_CaughtUp:
		if len(p.customersToCopy) == 0 {
			p.handle(phase.Copied{})
		}
	case *pb.Envelope_Restored:
		p.result.Customers = m.Restored.GetCustomers()
		p.handle(phase.Told{Message: phase.Restored})
	case *pb.Envelope_Serving:
		p.result.FreezeMicroseconds = (p.d.loop.Now() - p.frozenAt).Microseconds()
		p.handle(phase.Told{Message: phase.Serving})
	case *pb.Envelope_Refused:
		p.handle(phase.Told{Message: phase.Refused, Text: m.Refused.GetReason()})
	case *pb.Envelope_Leaving:
		p.handle(phase.Told{Message: phase.Leaving})
	default: // of a later version of the protocol's fields, which an earlier one may pass over
	}
}
