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

// successorRole carries out what the new process's machine wants.
type successorRole struct {
	d          *Daemon
	machine    phase.New
	conn       *handover.Conn
	phaseTimer *loop.Timer

	welcome        *pb.Welcome
	listenerFDs    map[string]int // listeners that the old process does not have, by address
	snapshot       *pb.Snapshot
	snapshotFDs    []int // that came with it
	commit         *pb.Commit
	customerCount  uint64
	isEndRequested bool // we were told to end
}

// welcomeTimeout bounds the time until Welcome: limits are known only once the configuration has been read.
const welcomeTimeout = 5 * time.Second

// startAsSuccessor starts as the successor of the process at the other end of a descriptor.
func (d *Daemon) startAsSuccessor(fd int) error {
	if err := os.Unsetenv(handover.Env); err != nil { // it is not for processes that this one starts
		return fmt.Errorf("%s: %w", handover.Env, err)
	}
	s := &successorRole{d: d, listenerFDs: map[string]int{}}
	// Only this connection's own bound is needed before the configuration is read.
	conn, err := handover.New(d.loop, limits.Limits{MaxHandoverMessageBytes: maxSuccessorMessageBytes}, fd, s)
	if err != nil {
		return err
	}
	s.conn, d.asSuccessor = conn, s
	s.phaseTimer = d.loop.After(welcomeTimeout, func() { s.handle(phase.TimeUp{}) })
	if d.isReplacement {
		d.loop.After(replacementTimeout, s.handleLatePredecessor)
	}
	s.send(&pb.Envelope{Body: &pb.Envelope_Hello{Hello: &pb.Hello{Protocol: phase.Protocol, Version: d.options.Version,
		Pid: int64(os.Getpid())}}})
	return nil
}

const maxSuccessorMessageBytes = 64 << 20

// handleLatePredecessor ends waiting for a predecessor that somebody else runs. It is not waited for even where only its word could
// tell whether we serve: should we, after all, it sees our end of the connection closed and serves on.
func (s *successorRole) handleLatePredecessor() {
	if s.machine.Serves() || s.machine.State == phase.Ended {
		return
	}
	s.handle(phase.TimeUp{})
	if s.machine.State == phase.Holding {
		s.d.restartStandalone("the old process has said nothing while holding")
	}
}

func (s *successorRole) send(e *pb.Envelope) { s.conn.Send(e) }

func (s *successorRole) handle(ev phase.Event) {
	for _, a := range s.machine.Handle(ev) {
		s.execute(a)
	}
}

func (s *successorRole) execute(a phase.Action) {
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
		s.send(&pb.Envelope{Body: &pb.Envelope_Restored{Restored: &pb.Restored{Customers: s.customerCount}}})
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
		s.finishAlone()
	case phase.ReloadOwn:
		d.reloadConfig()
	case phase.Exit:
		if d.isReplacement && s.isEndRequested {
			d.loop.Stop()
			return
		}
		if d.isReplacement {
			d.restartStandalone(s.machine.Failure)
			return
		}
		d.fail("upgrade not taken over: %s", s.machine.Failure)
	case phase.StopClock:
		s.phaseTimer.Stop()
	}
}

// Lost: the old process has ended, or can't be understood.
func (s *successorRole) Lost(err error) {
	if errors.Is(err, io.EOF) {
		s.handle(phase.PeerGone{})
		return
	}
	s.handle(phase.Garbled{Why: err.Error()})
}

// Message takes one of the old process's.
func (s *successorRole) Message(e *pb.Envelope, fds []int) {
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
		s.snapshot, s.snapshotFDs = m.Snapshot, fds
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
			if err := d.upstreams.AdoptConnection(m.Upstream.GetHost(), time.Duration(m.Upstream.GetSince()), fds[0]); err != nil {
				d.log.Warn("upstream connection not taken over", "error", err)
			}
			fds = nil
		}
	case *pb.Envelope_Sent:
		if restored {
			at := time.Duration(m.Sent.GetAt())
			d.module.PredecessorSent(now, m.Sent.GetStream(), m.Sent.GetHost())
			d.core.PredecessorSent(m.Sent.GetStream(), m.Sent.GetHost(), at)
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
		s.useAllCounterConns()
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
func (s *successorRole) prepare() {
	d := s.d
	if err := d.assemble(); err != nil {
		s.handle(phase.Unfit{Why: err.Error()})
		return
	}
	setMemoryLimit(d.cfg.Limits, 2)
	if d.isReplacement { // its admin endpoint is its own, and tells that it is not ready yet
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
		s.listenerFDs[f.addr] = fd
	}
	s.phaseTimer.Stop()
	s.phaseTimer = d.loop.After(d.cfg.Limits.PrepareTimeout+d.cfg.Limits.CopyTimeout, func() { s.handle(phase.TimeUp{}) })
	s.awaitCluster()
}

// clusterPollInterval is how often it is looked whether discovery has spoken.
const clusterPollInterval = 2 * time.Millisecond

// awaitCluster: ready with discovery's list; or without, after the time in which a start is, too.
func (s *successorRole) awaitCluster() {
	if s.machine.State != phase.Building {
		return
	}
	if s.d.watcher.IsReady() {
		s.handle(phase.Ready{})
		return
	}
	s.d.loop.After(clusterPollInterval, s.awaitCluster)
}

// restore puts the old process's state in place.
func (s *successorRole) restore() error {
	d := s.d
	names := s.snapshot.GetListeners()
	if len(names) != len(s.snapshotFDs) {
		return fmt.Errorf("%d listeners were told of and %d have come", len(names), len(s.snapshotFDs))
	}
	d.loop.SetClockOffset(time.Duration(s.snapshot.GetClockOffset()))
	if err := d.module.Restore(handover.FromGateway(s.snapshot.GetGateway())); err != nil {
		return err
	}
	s.customerCount = uint64(d.module.CustomerCount())
	now := d.loop.Now()
	open := handover.FromOpen(s.snapshot)
	d.core.Restore(now, open, d.module.Adopt(now))
	d.watcher.Adopt(handover.FromHosts(s.snapshot))
	for i, fd := range s.snapshotFDs {
		at := slices.IndexFunc(d.fronts, func(f listeningFront) bool { return f.addr == names[i] })
		if at < 0 { // the configuration has dropped it
			loop.CloseFD(fd)
			continue
		}
		s.listenerFDs[names[i]] = fd
	}
	for _, f := range d.fronts {
		if err := d.server.AdoptListener(s.listenerFDs[f.addr], f.addr, f.handler); err != nil {
			return err
		}
	}
	return nil
}

func (s *successorRole) serve() {
	d := s.d
	d.server.SetPredecessorConnections(int(s.commit.GetClients()))
	d.upstreams.SetPredecessorConnections(int(s.commit.GetUpstreams()))
	d.server.Resume()
	for _, f := range d.fronts {
		f.onServing()
	}
	if err := errors.Join(d.openControl(), d.openAdmin()); err != nil {
		d.log.Warn("control socket not opened", "error", err)
	}
	d.rejoinMembership()
	d.openControlGroup()
	d.listenForSuccessor()
	d.log.Info("taken over", "version", d.options.Version, "from", s.welcome.GetVersion(), "listen", d.cfg.Listen,
		"customers", s.customerCount, "streams", d.core.PredecessorStreams(), "clock", d.loop.ClockOffset())
	d.options.Notify("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

func (s *successorRole) useAllCounterConns() {
	if d := s.d; d.counter != nil {
		d.counter.Resize(d.cfg.Limits.CounterConns)
	}
}

// finishAlone goes on alone: the old process is gone, and with it all that it still had.
func (s *successorRole) finishAlone() {
	d := s.d
	if n := d.core.PredecessorStreams(); n > 0 {
		d.log.Warn("the old process has ended with open streams", "streams", n)
	}
	d.core.Execute(d.module.PredecessorGone(d.loop.Now()))
	d.core.PredecessorExited()
	d.server.SetPredecessorConnections(0)
	d.upstreams.SetPredecessorConnections(0)
	s.useAllCounterConns()
	setMemoryLimit(d.cfg.Limits, 1)
	s.conn.Close()
}
