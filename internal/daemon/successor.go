package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// successor carries out what the new process's machine wants.
type successor struct {
	d       *Daemon
	machine phase.New
	conn    *handover.Conn
	timer   *loop.Timer

	welcome   *pb.Welcome
	bound     map[string]int // listeners that the old process does not have, by address
	snapshot  *pb.Snapshot
	listeners []int // that came with it
	commit    *pb.Commit
	customers uint64
	told      bool // we were told to end
}

// greetMost bounds the time until Welcome: limits are known only once the configuration has been read.
const greetMost = 5 * time.Second

// succeed starts as the successor of the process at the other end of a descriptor.
func (d *Daemon) succeed(fd int) error {
	if err := os.Unsetenv(handover.Env); err != nil { // it is not for processes that this one starts
		return fmt.Errorf("%s: %w", handover.Env, err)
	}
	s := &successor{d: d, bound: map[string]int{}}
	// Only this connection's own bound is needed before the configuration is read.
	conn, err := handover.New(d.loop, limits.Limits{MaxHandoverMessageBytes: greetBytes}, fd, s)
	if err != nil {
		return err
	}
	s.conn, d.succ = conn, s
	s.timer = d.loop.After(greetMost, func() { s.handle(phase.TimeUp{}) })
	if d.beside {
		d.loop.After(besideMost, s.late)
	}
	s.send(&pb.Envelope{Body: &pb.Envelope_Hello{Hello: &pb.Hello{Protocol: phase.Protocol, Version: d.o.Version,
		Pid: int64(os.Getpid())}}})
	return nil
}

const greetBytes = 64 << 20

// late ends waiting for a predecessor that somebody else runs. It is not waited for even where only its word could
// tell whether we serve: should we, after all, it sees our end of the connection closed and serves on.
func (s *successor) late() {
	if s.machine.Serves() || s.machine.State == phase.Ended {
		return
	}
	s.handle(phase.TimeUp{})
	if s.machine.State == phase.Holding {
		s.d.startOver("the old process has said nothing while holding")
	}
}

func (s *successor) send(e *pb.Envelope) { s.conn.Send(e) }

func (s *successor) handle(ev phase.Event) {
	for _, a := range s.machine.Handle(ev) {
		s.do(a)
	}
}

func (s *successor) do(a phase.Action) {
	d := s.d
	switch a {
	case phase.Prepare:
		s.prepare()
	case phase.SendPrepared:
		s.send(&pb.Envelope{Body: &pb.Envelope_Prepared{Prepared: &pb.Prepared{}}})
	case phase.Restore:
		if err := s.restore(); err != nil {
			s.handle(phase.Unfit{Why: err.Error()})
			return
		}
		s.handle(phase.RestoredAll{})
	case phase.SendRestored:
		s.send(&pb.Envelope{Body: &pb.Envelope_Restored{Restored: &pb.Restored{Customers: s.customers}}})
	case phase.Serve:
		s.serve()
	case phase.SendServing:
		s.send(&pb.Envelope{Body: &pb.Envelope_Serving{Serving: &pb.Serving{}}})
	case phase.SendRefused:
		s.send(&pb.Envelope{Body: &pb.Envelope_Refused{Refused: &pb.Refused{Reason: s.machine.Failure}}})
	case phase.SendLeaving:
		s.send(&pb.Envelope{Body: &pb.Envelope_Leaving{Leaving: &pb.Leaving{}}})
	case phase.Drain:
		d.drain()
	case phase.Forget:
		s.forget()
	case phase.ReloadOwn:
		d.reconfigure()
	case phase.Exit:
		if d.beside && s.told {
			d.loop.Stop()
			return
		}
		if d.beside {
			d.startOver(s.machine.Failure)
			return
		}
		d.fail("upgrade not taken over: %s", s.machine.Failure)
	case phase.StopClock:
		s.timer.Stop()
	}
}

// Lost: the old process has ended, or can't be understood.
func (s *successor) Lost(err error) {
	if errors.Is(err, io.EOF) {
		s.handle(phase.PeerGone{})
		return
	}
	s.handle(phase.Garbled{Why: err.Error()})
}

// Message takes one of the old process's.
func (s *successor) Message(e *pb.Envelope, fds []int) {
	d := s.d
	restored := s.snapshot != nil && s.machine.State != phase.Ended
	now := d.loop.Now()
	switch m := e.GetBody().(type) {
	case *pb.Envelope_Welcome:
		s.welcome = m.Welcome
		s.handle(phase.Told{Message: phase.Welcome, Protocol: int(m.Welcome.GetProtocol())})
	case *pb.Envelope_Customers:
		if s.machine.State != phase.Waiting || restored {
			break
		}
		for _, c := range m.Customers.GetCustomers() {
			d.module.PutCustomer(handover.FromCustomer(c))
		}
	case *pb.Envelope_Mark:
		if s.machine.State == phase.Waiting {
			s.send(&pb.Envelope{Body: &pb.Envelope_CaughtUp{CaughtUp: &pb.CaughtUp{}}})
		}
	case *pb.Envelope_Snapshot:
		s.snapshot, s.listeners = m.Snapshot, fds
		fds = nil
		s.handle(phase.Told{Message: phase.Snapshot})
	case *pb.Envelope_Commit:
		s.commit = m.Commit
		s.handle(phase.Told{Message: phase.Commit})
	case *pb.Envelope_Abort:
		s.handle(phase.Told{Message: phase.Abort, Text: m.Abort.GetReason()})
	case *pb.Envelope_Client:
		if len(fds) == 1 && s.machine.Serves() {
			if err := d.server.AdoptConnection(handover.FromClient(m.Client), fds[0]); err != nil {
				d.log.Warn("client connection not taken over", "error", err)
			}
			fds = nil
		}
	case *pb.Envelope_Upstream:
		if len(fds) == 1 && s.machine.Serves() {
			if err := d.hosts.AdoptConnection(m.Upstream.GetHost(), time.Duration(m.Upstream.GetSince()), fds[0]); err != nil {
				d.log.Warn("upstream connection not taken over", "error", err)
			}
			fds = nil
		}
	case *pb.Envelope_Sent:
		if restored {
			at := time.Duration(m.Sent.GetAt())
			d.module.PredecessorSent(now, m.Sent.GetStream(), m.Sent.GetHost())
			d.core.PredecessorAttemptStarted(m.Sent.GetStream(), m.Sent.GetHost(), at)
		}
	case *pb.Envelope_Attempt:
		if restored {
			ev, at := handover.FromAttempt(m.Attempt)
			d.module.PredecessorAttemptEnded(now, ev)
			d.core.PredecessorAttemptEnded(ev.ID, ev.Server, at-ev.Took, ev.Outcome)
		}
	case *pb.Envelope_Done:
		if restored {
			d.core.Execute(d.module.PredecessorDone(now, m.Done.GetStream()))
			d.core.PredecessorStreamDone(m.Done.GetStream())
		}
	case *pb.Envelope_CounterReleased:
		s.wholeCounter()
	case *pb.Envelope_Settled:
		s.handle(phase.Told{Message: phase.Settled})
	case *pb.Envelope_Reload:
		s.handle(phase.ReloadAsked{})
	case *pb.Envelope_Terminate:
		s.handle(phase.EndAsked{})
	case *pb.Envelope_Farewell:
		s.handle(phase.Told{Message: phase.Farewell})
	default: // of a later version of the protocol's fields, which an earlier one may pass over
	}
	for _, fd := range fds { // of a message that should have had none
		loop.CloseFD(fd)
	}
}

// prepare builds all parts. Listeners of the old process will come; others are opened here, where a failure
// still costs nothing.
func (s *successor) prepare() {
	d := s.d
	if err := d.assemble(); err != nil {
		s.handle(phase.Unfit{Why: err.Error()})
		return
	}
	shareMemory(d.cfg.Limits, 2)
	if d.beside { // its admin endpoint is its own, and tells that it is not ready yet
		if err := d.openAdmin(); err != nil {
			s.handle(phase.Unfit{Why: err.Error()})
			return
		}
	}
	if name := s.welcome.GetName(); name != d.cfg.Name {
		s.handle(phase.Unfit{Why: fmt.Sprintf("the configuration is %s's, the running process is %s", d.cfg.Name, name)})
		return
	}
	d.server.Suspend()
	d.core.HoldEvents()
	if d.counter != nil {
		d.counter.Resize(d.cfg.Limits.UpgradeCounterConns)
	}
	for _, f := range d.fronts {
		if slices.Contains(s.welcome.GetListeners(), f.addr) {
			continue
		}
		fd, err := loop.ListenReusePort(f.addr)
		if err != nil {
			s.handle(phase.Unfit{Why: err.Error()})
			return
		}
		s.bound[f.addr] = fd
	}
	s.timer.Stop()
	s.timer = d.loop.After(d.cfg.Limits.PrepareTimeout+d.cfg.Limits.CopyTimeout, func() { s.handle(phase.TimeUp{}) })
	s.awaitCluster()
}

// clusterEvery is how often it is looked whether discovery has spoken.
const clusterEvery = 2 * time.Millisecond

// awaitCluster: ready with discovery's list; or without, after the time in which a start is, too.
func (s *successor) awaitCluster() {
	if s.machine.State != phase.Building {
		return
	}
	if s.d.watcher.IsReady() {
		s.handle(phase.Ready{})
		return
	}
	s.d.loop.After(clusterEvery, s.awaitCluster)
}

// restore puts the old process's state in place.
func (s *successor) restore() error {
	d := s.d
	names := s.snapshot.GetListeners()
	if len(names) != len(s.listeners) {
		return fmt.Errorf("%d listeners were told of and %d have come", len(names), len(s.listeners))
	}
	d.loop.SetClockOffset(time.Duration(s.snapshot.GetClockOffset()))
	if err := d.module.Restore(handover.FromGateway(s.snapshot.GetGateway())); err != nil {
		return err
	}
	s.customers = uint64(d.module.CustomerCount())
	now := d.loop.Now()
	open := handover.FromOpen(s.snapshot)
	d.core.Restore(now, open, d.module.Adopt(now))
	d.watcher.Adopt(handover.FromHosts(s.snapshot))
	for i, fd := range s.listeners {
		at := slices.IndexFunc(d.fronts, func(f opening) bool { return f.addr == names[i] })
		if at < 0 { // the configuration has dropped it
			loop.CloseFD(fd)
			continue
		}
		s.bound[names[i]] = fd
	}
	for _, f := range d.fronts {
		if err := d.server.AdoptListener(s.bound[f.addr], f.addr, f.front); err != nil {
			return err
		}
	}
	return nil
}

func (s *successor) serve() {
	d := s.d
	d.server.SetPredecessorConnections(int(s.commit.GetClients()))
	d.hosts.SetPredecessorConnections(int(s.commit.GetUpstreams()))
	d.server.Resume()
	for _, f := range d.fronts {
		f.ready()
	}
	if err := errors.Join(d.openControl(), d.openAdmin()); err != nil {
		d.log.Warn("control socket not opened", "error", err)
	}
	d.openMembersAgain()
	d.openControlGroup()
	d.await()
	d.log.Info("taken over", "version", d.o.Version, "from", s.welcome.GetVersion(), "listen", d.cfg.Listen,
		"customers", s.customers, "streams", d.core.PredecessorStreams(), "clock", d.loop.ClockOffset())
	d.o.Notify("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

func (s *successor) wholeCounter() {
	if d := s.d; d.counter != nil {
		d.counter.Resize(d.cfg.Limits.CounterConns)
	}
}

// forget goes on alone: the old process is gone, and with it all that it still had.
func (s *successor) forget() {
	d := s.d
	if n := d.core.PredecessorStreams(); n > 0 {
		d.log.Warn("the old process has ended with open streams", "streams", n)
	}
	d.core.Execute(d.module.PredecessorGone(d.loop.Now()))
	d.core.PredecessorExited()
	d.server.SetPredecessorConnections(0)
	d.hosts.SetPredecessorConnections(0)
	s.wholeCounter()
	shareMemory(d.cfg.Limits, 1)
	s.conn.Close()
}
