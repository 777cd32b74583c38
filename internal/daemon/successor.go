package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/internal/config"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// successorRole is a process's side of the handover from its predecessor. It carries out the actions of the state machine
// phase.New and belongs to the loop's goroutine.
type successorRole struct {
	daemon     *Daemon
	machine    phase.NewProcess
	conn       *handover.Conn
	phaseTimer *loop.Timer // ends the handover if the predecessor takes too long

	welcome        *pb.Welcome    // nil until it has come
	listenerFDs    map[string]int // descriptors of the listeners by address: opened here, or from the predecessor
	snapshot       *pb.Snapshot   // nil until it has come
	snapshotFDs    []int          // descriptors of the listeners that came with the snapshot, in its order
	commit         *pb.Commit     // nil until it has come; its getters then return 0
	customerCount  uint64         // customers whose state was taken over
	isEndRequested bool           // this process was told to end during the handover
}

// welcomeTimeout is the maximum time until Welcome comes. It is no configured limit, since the configuration is read only
// after that.
const welcomeTimeout = 5 * time.Second

// startAsSuccessor starts the handover from the predecessor at the other end of a descriptor.
func (d *Daemon) startAsSuccessor(fd int) error {
	if err := os.Unsetenv(handover.DescriptorEnv); err != nil { // processes that this one starts must not see it
		return fmt.Errorf("%s: %w", handover.DescriptorEnv, err)
	}
	s := &successorRole{daemon: d, listenerFDs: map[string]int{}}
	// The configuration is not read yet. Of the limits the connection needs only its own.
	conn, err := handover.New(d.loop, limits.Limits{MaxHandoverMessageBytes: maxPredecessorMessageBytes}, fd, s)
	if err != nil {
		return err
	}
	s.conn, d.asSuccessor = conn, s
	s.phaseTimer = d.loop.After(welcomeTimeout, func() { s.handle(phase.PhaseTimedOut{}) })
	if d.isReplacement {
		d.loop.After(replacementTimeout, s.stopAwaitingPredecessor)
	}
	s.send(&pb.Envelope{Body: &pb.Envelope_Hello{Hello: &pb.Hello{Protocol: phase.Protocol, Version: d.options.Version,
		Pid: int64(os.Getpid())}}})
	return nil
}

// maxPredecessorMessageBytes is the maximum size of a message from the predecessor.
const maxPredecessorMessageBytes = 64 << 20

// stopAwaitingPredecessor ends a replacement's wait for its predecessor after replacementTimeout. It does so even in the
// state AwaitingCommit, in which only the predecessor knows whether this process is to serve: if the predecessor has committed
// by then, it sees the connection end and serves again.
func (s *successorRole) stopAwaitingPredecessor() {
	if s.machine.IsServing() || s.machine.State == phase.Ended {
		return
	}
	s.handle(phase.PhaseTimedOut{})
	if s.machine.State == phase.AwaitingCommit {
		s.daemon.restartStandalone("the old process sent no commit in time")
	}
}

// send sends a message to the predecessor.
func (s *successorRole) send(e *pb.Envelope) { s.conn.Send(e) }

// handle passes an event to the state machine and carries out the actions.
func (s *successorRole) handle(ev phase.Event) {
	for _, action := range s.machine.Handle(ev) {
		s.execute(action)
	}
}

// execute carries out one action of the state machine.
func (s *successorRole) execute(action phase.Action) {
	d := s.daemon
	switch action {
	case phase.Prepare:
		s.prepare()
	case phase.SendPrepared:
		s.send(&pb.Envelope{Body: &pb.Envelope_Prepared{Prepared: &pb.Prepared{}}})
	case phase.Restore:
		if err := s.restore(); err != nil {
			s.handle(phase.TakeoverFailed{Reason: err.Error()})
			return
		}
		s.handle(phase.SnapshotRestored{})
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
	case phase.ForgetPredecessor:
		s.handlePredecessorExit()
	case phase.ReloadConfig:
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
	case phase.StopTimer:
		s.phaseTimer.Stop()
	}
}

// ConnectionLost handles the end of the connection: the predecessor has ended, or what it sends can't be parsed.
func (s *successorRole) ConnectionLost(err error) {
	if errors.Is(err, io.EOF) {
		s.handle(phase.PeerExited{})
		return
	}
	s.handle(phase.InvalidData{Reason: err.Error()})
}

// HandleMessage handles a message of the predecessor, and takes over or closes the descriptors that came with it.
func (s *successorRole) HandleMessage(e *pb.Envelope, fds []int) {
	d := s.daemon
	isRestored := s.snapshot != nil && s.machine.State != phase.Ended
	now := d.loop.Now()
	switch m := e.GetBody().(type) {
	case *pb.Envelope_Welcome:
		s.welcome = m.Welcome
		s.handle(phase.MessageReceived{Message: phase.Welcome, Protocol: int(m.Welcome.GetProtocol())})
	case *pb.Envelope_Customers:
		if s.machine.State != phase.AwaitingSnapshot || isRestored {
			break
		}
		for _, c := range m.Customers.GetCustomers() {
			d.module.PutCustomer(handover.DecodeCustomer(c))
		}
	case *pb.Envelope_Mark:
		if s.machine.State == phase.AwaitingSnapshot {
			s.send(&pb.Envelope{Body: &pb.Envelope_CaughtUp{CaughtUp: &pb.CaughtUp{}}})
		}
	case *pb.Envelope_Snapshot:
		s.snapshot, s.snapshotFDs = m.Snapshot, fds
		fds = nil
		s.handle(phase.MessageReceived{Message: phase.Snapshot})
	case *pb.Envelope_Commit:
		s.commit = m.Commit
		s.handle(phase.MessageReceived{Message: phase.Commit})
	case *pb.Envelope_Abort:
		s.handle(phase.MessageReceived{Message: phase.Abort, Text: m.Abort.GetReason()})
	case *pb.Envelope_Client:
		if len(fds) == 1 && s.machine.IsServing() {
			if err := d.server.AdoptConnection(handover.DecodeClientConn(m.Client), fds[0]); err != nil {
				d.log.Warn("client connection not taken over", "error", err)
			}
			fds = nil
		}
	case *pb.Envelope_Upstream:
		if len(fds) == 1 && s.machine.IsServing() {
			if err := d.upstreams.AdoptConnection(m.Upstream.GetHost(), time.Duration(m.Upstream.GetSince()), fds[0]); err != nil {
				d.log.Warn("upstream connection not taken over", "error", err)
			}
			fds = nil
		}
	case *pb.Envelope_Sent:
		if isRestored {
			at := time.Duration(m.Sent.GetAt())
			d.module.PredecessorSent(now, m.Sent.GetStream(), m.Sent.GetHost())
			d.core.PredecessorAttemptStarted(m.Sent.GetStream(), m.Sent.GetHost(), at)
		}
	case *pb.Envelope_Attempt:
		if isRestored {
			ev, at := handover.DecodeAttemptEnded(m.Attempt)
			d.module.PredecessorAttemptEnded(now, ev)
			d.core.PredecessorAttemptEnded(ev.ID, ev.Server, at-ev.Took, ev.Outcome)
		}
	case *pb.Envelope_Done:
		if isRestored {
			d.core.Execute(d.module.PredecessorDone(now, m.Done.GetStream()))
			d.core.PredecessorStreamDone(m.Done.GetStream())
		}
	case *pb.Envelope_CounterReleased:
		s.useAllCounterConns()
	case *pb.Envelope_Settled:
		s.handle(phase.MessageReceived{Message: phase.Settled})
	case *pb.Envelope_Reload:
		s.handle(phase.ReloadRequested{})
	case *pb.Envelope_Terminate:
		s.handle(phase.TerminateRequested{})
	case *pb.Envelope_Farewell:
		s.handle(phase.MessageReceived{Message: phase.Farewell})
	default: // a message of a later version of the program, which this one may ignore
	}
	for _, fd := range fds { // the message should have carried none, or this process does not serve
		loop.CloseFD(fd)
	}
}

// prepare builds all parts. The predecessor's listeners come with the snapshot. Other listeners are opened here, where a
// failure costs no request: the predecessor still serves and carries on.
func (s *successorRole) prepare() {
	d := s.daemon
	cfg, err := s.loadConfig()
	if err == nil {
		err = d.assemble(d.startAgreement(cfg, s.welcome.GetConfiguration()))
	}
	if err != nil {
		s.handle(phase.TakeoverFailed{Reason: err.Error()})
		return
	}
	d.drainByVersions()
	d.setMemoryShare(successorShare)
	if d.isReplacement { // it has an admin endpoint of its own, which reports that the process is not ready yet
		if err := d.openAdmin(); err != nil {
			s.handle(phase.TakeoverFailed{Reason: err.Error()})
			return
		}
	}
	if name := s.welcome.GetName(); name != d.cfg.Name {
		s.handle(phase.TakeoverFailed{Reason: fmt.Sprintf("the configuration is %s's, the running process is %s", d.cfg.Name, name)})
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
			s.handle(phase.TakeoverFailed{Reason: err.Error()})
			return
		}
		s.listenerFDs[f.addr] = fd
	}
	s.phaseTimer.Stop()
	s.phaseTimer = d.loop.After(d.cfg.Limits.PrepareTimeout+d.cfg.Limits.CopyTimeout, func() { s.handle(phase.PhaseTimedOut{}) })
	s.awaitCluster()
}

// loadConfig returns the configuration of this process: that of the predecessor, with what has changed in the file since
// the predecessor read it. Like a reload, it takes the file whole or not at all. A file that can't be used fails an
// upgrade, so that the predecessor carries on; a replacement goes on without it. A predecessor of an earlier version of
// the program does not tell its configuration.
func (s *successorRole) loadConfig() (config.Config, error) {
	d := s.daemon
	if s.welcome.GetConfiguration() == nil {
		return d.options.LoadConfig()
	}
	inForce := inForceOf(s.welcome.GetConfiguration())
	previous, err := inForce.Config(d.options.Getenv)
	if err != nil { // the text is of another version of the program
		d.log.Warn("configuration of the old process not used", "error", err)
		return d.options.LoadConfig()
	}
	if loaded, err := d.options.LoadConfig(); err == nil && inForce.IsTextOf(loaded) {
		return inForce.KeepDiscovery(loaded, d.options.Getenv), nil
	}
	read, err := d.options.ReloadConfig(previous)
	switch {
	case err == nil:
		return inForce.KeepDiscovery(read, d.options.Getenv), nil
	case d.isReplacement:
		d.log.Error("configuration not reloaded", "error", err)
		return inForce.KeepDiscovery(previous, d.options.Getenv), nil
	}
	return config.Config{}, err
}

// clusterPollInterval is the time between two checks whether the cluster's hosts are known.
const clusterPollInterval = 2 * time.Millisecond

// awaitCluster waits until the cluster's hosts are known or DiscoveryReadyTimeout has passed, as canServe does at a start
// without a predecessor, and then tells the state machine that this process is ready.
func (s *successorRole) awaitCluster() {
	if s.machine.State != phase.Building {
		return
	}
	if s.daemon.watcher.IsReady() {
		s.handle(phase.PrepareDone{})
		return
	}
	s.daemon.loop.After(clusterPollInterval, s.awaitCluster)
}

// restore takes over the state in the predecessor's snapshot, and its listeners. It fails if the snapshot does not fit
// this process or a listener can't be used.
func (s *successorRole) restore() error {
	d := s.daemon
	names := s.snapshot.GetListeners()
	if len(names) != len(s.snapshotFDs) {
		return fmt.Errorf("%d listeners were told of and %d have come", len(names), len(s.snapshotFDs))
	}
	d.loop.SetClockOffset(time.Duration(s.snapshot.GetClockOffset()))
	if err := d.module.Restore(handover.DecodeGateway(s.snapshot.GetGateway())); err != nil {
		return err
	}
	s.customerCount = uint64(d.module.CustomerCount())
	now := d.loop.Now()
	open := handover.DecodeStreams(s.snapshot)
	d.core.Restore(now, open, d.module.Adopt(now))
	d.watcher.Adopt(handover.DecodeHosts(s.snapshot))
	d.adoptAgreement(s.snapshot.GetConfiguration())
	if told := s.snapshot.GetConfiguration(); told != nil && told.GetDiscovery() != d.cfg.Discovery {
		d.watcher.Refetch() // versions of the lists of two addresses can't be compared
	}
	for i, fd := range s.snapshotFDs {
		front := slices.IndexFunc(d.fronts, func(f listeningFront) bool { return f.addr == names[i] })
		if front < 0 { // the configuration has no front at this address any more
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

// serve makes this process serve in place of its predecessor, after the predecessor's commit or its death.
func (s *successorRole) serve() {
	d := s.daemon
	d.server.SetPredecessorConnections(int(s.commit.GetClients()))
	d.upstreams.SetPredecessorConnections(int(s.commit.GetUpstreams()))
	d.core.ObserveKeys(s)
	d.server.Resume()
	for _, f := range d.fronts {
		f.onServing()
	}
	if err := errors.Join(d.openControl(), d.openAdmin()); err != nil {
		d.log.Warn("control socket not opened", "error", err)
	}
	d.rejoinMembership()
	d.openControlGroup()
	d.reportConfiguration()
	d.listenForSuccessor()
	d.log.Info("taken over", "version", d.options.Version, "from", s.welcome.GetVersion(), "listen", d.cfg.Listen,
		"customers", s.customerCount, "streams", d.core.PredecessorStreams(), "clock", d.loop.ClockOffset())
	d.options.Notify("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

// useAllCounterConns raises the number of connections to the counter from UpgradeCounterConns to CounterConns, once the
// predecessor has closed its own.
func (s *successorRole) useAllCounterConns() {
	if d := s.daemon; d.counter != nil {
		d.counter.Resize(d.cfg.Limits.CounterConns)
	}
}

// handlePredecessorExit ends the handover: the predecessor is gone, and with it the streams and connections that it still
// had.
func (s *successorRole) handlePredecessorExit() {
	d := s.daemon
	if n := d.core.PredecessorStreams(); n > 0 {
		d.log.Warn("the old process has ended with open streams", "streams", n)
	}
	d.core.ObserveKeys(nil)
	d.core.Execute(d.module.PredecessorGone(d.loop.Now()))
	d.core.PredecessorExited()
	d.server.SetPredecessorConnections(0)
	d.upstreams.SetPredecessorConnections(0)
	s.useAllCounterConns()
	d.setMemoryShare(aloneShare)
	s.conn.Close()
}

// KeySent tells the predecessor that an attempt with an idempotency key is about to be sent, before it is. The message is in
// the predecessor's socket then, so that it knows where the order may have run if this process dies. With KeyNotRun it
// implements core.KeyObserver.
func (s *successorRole) KeySent(k core.KeyState) {
	s.send(&pb.Envelope{Body: &pb.Envelope_KeySent{KeySent: handover.EncodeKey(k)}})
}

// KeyNotRun tells the predecessor that such an attempt has certainly not run.
func (s *successorRole) KeyNotRun(k core.KeyState) {
	s.send(&pb.Envelope{Body: &pb.Envelope_KeyNotRun{KeyNotRun: handover.EncodeKey(k)}})
}
