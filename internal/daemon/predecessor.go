package daemon

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/net/downstream"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Progress is a message of the control socket about a command that takes time. An upgrade sends one for each phase and
// one with the result; other commands, and commands that are refused, send only the result.
type Progress struct {
	Text string `json:"text,omitempty"` // name of the phase, or why the command failed

	// The fields below are set in the result only, and those below Pid by an upgrade that succeeded.

	IsDone              bool   `json:"done,omitempty"` // this is the result
	Succeeded           bool   `json:"ok,omitempty"`
	Pid                 int    `json:"pid,omitempty"`       // of the process that serves now
	FreezeMicroseconds  int64  `json:"freeze_us,omitempty"` // for which neither process read from clients
	Customers           uint64 `json:"customers,omitempty"` // customers whose state was handed over
	ClientConnections   int    `json:"clients,omitempty"`   // client connections handed over so far
	UpstreamConnections int    `json:"upstreams,omitempty"` // idle upstream connections handed over so far
}

// predecessorRole is a process's side of the handovers to its successors. It carries out the actions of the state
// machine phase.Old and belongs to the loop's goroutine.
type predecessorRole struct {
	daemon     *Daemon
	machine    phase.OldProcess
	phaseTimer *loop.Timer    // ends the present phase
	onProgress func(Progress) // nil: nobody waits for the result

	successor         *successorProcess // nil: there is none
	customersToCopy   []uint64          // ids of customers still to be copied before the snapshot
	copyStartedAt     time.Duration     // customers with requests since then are sent again with the snapshot
	activeAtCopyStart []uint64          // ids of customers with an open request or counter call then: they are sent again, too
	isSnapshotDue     bool              // the snapshot is taken once this turn's events are handled
	frozenAt          time.Duration     // when this process last stopped reading from clients
	result            Progress          // of the present handover

	// successorConfiguration is what the successor last told that it acts on; nil: nothing else than this process.
	successorConfiguration *pb.Configuration
	// hasUnansweredReload is set while the successor has not told what it acts on since a reload was passed on to it.
	hasUnansweredReload bool
}

// upgrade begins an upgrade: it starts the binary that is now at the path of UpgradeCommand and hands over to it. If it
// can't begin, it returns the reason, else an empty string. report is called on the loop with each phase and with the
// result.
func (d *Daemon) upgrade(report func(Progress)) string {
	switch {
	case d.isTakingOver():
		return "the upgrade that started this process is not over"
	case d.isDraining:
		return "the ingress is ending"
	case d.asPredecessor.machine.IsInProgress():
		return "an upgrade is under way"
	case d.controlGroup == nil && d.members != nil && !d.members.Node().IsSettled(d.loop.Now()):
		return "the membership has not settled"
	case len(d.options.UpgradeCommand) == 0:
		return "the path of the binary is not known"
	}
	p := d.asPredecessor
	p.onProgress, p.result = report, Progress{}
	p.machine.HasExternalSuccessor = false
	d.log.Info("upgrade begun", "binary", d.options.UpgradeCommand[0])
	p.handle(phase.UpgradeRequested{})
	return ""
}

// handle passes an event to the state machine, reports a new phase and carries out the actions.
func (p *predecessorRole) handle(ev phase.Event) {
	previous := p.machine.State
	actions := p.machine.Handle(ev)
	if current := p.machine.State; current != previous && current != phase.Idle && current != phase.Finished {
		p.reportProgress(Progress{Text: current.String()})
	}
	for _, action := range actions {
		p.execute(action)
	}
}

// reportProgress passes a message to the caller of upgrade, if there is one.
func (p *predecessorRole) reportProgress(progress Progress) {
	if p.onProgress != nil {
		p.onProgress(progress)
	}
}

// send sends a message and descriptors to the successor. Without a successor the descriptors are closed.
func (p *predecessorRole) send(e *pb.Envelope, fds ...int) {
	if p.successor != nil {
		p.successor.conn.Send(e, fds...)
		return
	}
	for _, fd := range fds { // the successor was told to end and has ended first: no process is left to take them
		loop.CloseFD(fd)
	}
}

// execute carries out one action of the state machine.
func (p *predecessorRole) execute(action phase.Action) {
	d := p.daemon
	bounds := d.cfg.Limits
	switch action {
	case phase.Spawn:
		if !p.machine.HasExternalSuccessor { // otherwise the platform has started the successor
			p.spawn()
		}
	case phase.StartTimer:
		timeout := map[phase.OldState]time.Duration{phase.Starting: bounds.HelloTimeout, phase.Preparing: bounds.PrepareTimeout,
			phase.Copying: bounds.CopyTimeout, phase.Frozen: bounds.FreezeTimeout, phase.Probation: bounds.ProbationPeriod}[p.machine.State]
		p.phaseTimer = d.loop.After(timeout, func() { p.handle(phase.PhaseTimedOut{}) })
	case phase.StopTimer:
		p.phaseTimer.Stop()
	case phase.SendWelcome:
		p.send(&pb.Envelope{Body: &pb.Envelope_Welcome{Welcome: &pb.Welcome{Protocol: phase.Protocol, Version: d.options.Version,
			Name: d.cfg.Name, Listeners: d.server.ListenerAddresses(), Configuration: d.configurationInForce()}}})
	case phase.CopyCustomers:
		p.copyStartedAt, p.customersToCopy, p.activeAtCopyStart = d.loop.Now(), d.module.Customers(0), d.module.ActiveCustomers()
		p.copyCustomers()
	case phase.Freeze:
		p.frozenAt = d.loop.Now()
		d.server.Suspend()
	case phase.SendSnapshot:
		p.isSnapshotDue = true
	case phase.SendCommit:
		p.commit()
	case phase.Unfreeze:
		p.isSnapshotDue = false
		d.core.CancelHandover()
		d.server.Resume()
	case phase.SendAbort:
		p.send(&pb.Envelope{Body: &pb.Envelope_Abort{Abort: &pb.Abort{Reason: p.machine.Failure}}})
	case phase.Kill:
		if p.successor != nil && p.successor.cmd != nil {
			_ = p.successor.cmd.Process.Kill() // it may have ended already
		}
		// A replacement restarts without a predecessor once it has read the abort. It takes the end of the connection
		// without an abort for the death of this process, and would serve beside it.
		if successor := p.successor; successor != nil && p.machine.HasExternalSuccessor {
			p.successor = nil
			successor.conn.WhenFlushed(successor.conn.Close)
		}
	case phase.ReclaimListeners:
		p.reclaim()
	case phase.SendSettled:
		p.send(&pb.Envelope{Body: &pb.Envelope_Settled{Settled: &pb.Settled{}}})
	case phase.SendTerminate:
		p.send(&pb.Envelope{Body: &pb.Envelope_Terminate{Terminate: &pb.Terminate{}}})
	case phase.SendReload:
		p.hasUnansweredReload = true
		d.log.Info("reload passed on")
		p.send(&pb.Envelope{Body: &pb.Envelope_Reload{Reload: &pb.Reload{}}})
	case phase.Drain:
		d.drain()
	case phase.DrainRemaining:
		d.log.Info("ending what is left", "streams", d.core.OpenStreams(), "connections", d.server.OpenConnections())
		d.scheduleForcedEnd()
	case phase.SendFarewell:
		p.sendFarewell()
	case phase.ReportDone:
		p.result.IsDone, p.result.Succeeded = true, true
		d.log.Info("upgrade done", "pid", p.result.Pid, "freeze", time.Duration(p.result.FreezeMicroseconds)*time.Microsecond,
			"customers", p.result.Customers, "clients", p.result.ClientConnections, "upstreams", p.result.UpstreamConnections)
		p.reportProgress(p.result)
		p.onProgress = nil
	case phase.ReportFailed:
		d.log.Warn("upgrade failed; this process carries on", "cause", p.machine.Failure)
		p.reportProgress(Progress{Text: p.machine.Failure, IsDone: true, Pid: os.Getpid()})
		p.onProgress = nil
		d.setMemoryShare(aloneShare)
		p.customersToCopy = nil
	}
}

// inheritedConnection returns the descriptor of the connection to the predecessor that started this process in an
// upgrade, as the environment names it, or -1 if none did. It fails if the environment names no valid descriptor.
func inheritedConnection(getenv func(string) string) (int, error) {
	text := getenv(handover.DescriptorEnv)
	if text == "" {
		return -1, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return -1, fmt.Errorf("%s: %q is not an inherited file descriptor", handover.DescriptorEnv, text)
	}
	return fd, nil
}

// copyCustomers sends customers until MaxHandoverQueueBytes are queued, and continues when the queue is empty. The last
// message is Mark, which the successor answers with CaughtUp.
func (p *predecessorRole) copyCustomers() {
	if p.machine.State != phase.Copying {
		return
	}
	for len(p.customersToCopy) > 0 && p.successor.conn.QueuedBytes() < p.daemon.cfg.Limits.MaxHandoverQueueBytes {
		n := min(len(p.customersToCopy), customersPerMessage)
		p.sendCustomers(p.customersToCopy[:n])
		p.customersToCopy = p.customersToCopy[n:]
	}
	if len(p.customersToCopy) == 0 {
		p.customersToCopy = nil
		p.send(&pb.Envelope{Body: &pb.Envelope_Mark{Mark: &pb.Mark{}}})
		return
	}
	p.successor.conn.WhenFlushed(p.copyCustomers)
}

// customersPerMessage is the maximum number of customers in one message.
const customersPerMessage = 128

// sendCustomers sends the state of customers in one message. Customers that the module has forgotten are left out.
func (p *predecessorRole) sendCustomers(ids []uint64) {
	message := &pb.Customers{}
	for _, id := range ids {
		if c, ok := p.daemon.module.Customer(id); ok {
			message.Customers = append(message.Customers, handover.EncodeCustomer(c))
		}
	}
	p.send(&pb.Envelope{Body: &pb.Envelope_Customers{Customers: message}})
}

// endTurn runs at the end of each turn of the loop. It sends a snapshot that is due, once the module has handled all
// events of the core. After the commit it tells the state machine when this process has no client connection left and no
// stream that is open or has upstream requests.
func (p *predecessorRole) endTurn(now time.Duration) {
	if p.isSnapshotDue {
		for p.daemon.core.HasPendingEvents() {
			p.daemon.core.Turn(now)
		}
		p.isSnapshotDue = false
		if p.successor != nil {
			p.sendSnapshot()
		}
	}
	if p.machine.IsCommitted() && p.daemon.core.TrackedStreams() == 0 && p.daemon.server.OpenConnections() == 0 {
		p.handle(phase.Drained{})
	}
}

// sendSnapshot sends the state that the successor continues from: once more all customers that may have changed since
// they were copied, then the module's other state, the open streams, the hosts and the listeners. If the state can't be
// collected, the handover fails.
func (p *predecessorRole) sendSnapshot() {
	d := p.daemon
	ids := append(d.module.Customers(p.copyStartedAt), p.activeAtCopyStart...)
	p.activeAtCopyStart = nil
	for len(ids) > 0 {
		n := min(len(ids), customersPerMessage)
		p.sendCustomers(ids[:n])
		ids = ids[n:]
	}
	state, err := d.module.State()
	listeners, listenersErr := d.server.DuplicateListeners()
	if err = errors.Join(err, listenersErr); err != nil {
		for _, fd := range listeners {
			loop.CloseFD(fd)
		}
		d.loop.After(0, func() { p.handle(phase.PeerExited{Detail: "no snapshot: " + err.Error()}) })
		return
	}
	open := d.core.StartHandover(p)
	hosts := d.watcher.Current()
	snapshot := &pb.Snapshot{Gateway: handover.EncodeGateway(state), ClockOffset: int64(d.loop.ClockOffset()), LastStream: open.LastID,
		ListVersion: hosts.Version, Hosts: handover.EncodeHosts(hosts), Listeners: d.server.ListenerAddresses(),
		Configuration: d.configurationInForce()}
	snapshot.Streams, snapshot.Keys = handover.EncodeStreams(open)
	p.send(&pb.Envelope{Body: &pb.Envelope_Snapshot{Snapshot: snapshot}}, listeners...)
}

// commit lets the successor serve. This process's connections follow, each once it owes no answer.
func (p *predecessorRole) commit() {
	d := p.daemon
	d.stopListeningForSuccessor()
	d.savedAgreement = d.saveAgreement()
	p.successorConfiguration, p.hasUnansweredReload = nil, false
	d.closeMembership() // the successor continues under this member's name
	// A replacement has another admin endpoint, so this process keeps its own and still reports on itself there.
	if !p.machine.HasExternalSuccessor {
		d.admin.Close()
		d.admin = nil
	}
	d.module.Retire()
	d.core.CommitHandover()
	d.suspendControlGroup()
	p.send(&pb.Envelope{Body: &pb.Envelope_Commit{Commit: &pb.Commit{Clients: uint32(d.server.OpenConnections()),
		Upstreams: uint32(d.upstreams.OpenConnections())}}})
	d.server.HandOver(p)
	d.upstreams.HandOver(func(host string, since time.Duration, fd int) {
		p.result.UpstreamConnections++
		p.send(&pb.Envelope{Body: &pb.Envelope_Upstream{Upstream: &pb.UpstreamConnection{Host: host,
			Since: int64(since)}}}, fd)
	})
	released := func() {
		p.send(&pb.Envelope{Body: &pb.Envelope_CounterReleased{CounterReleased: &pb.CounterReleased{}}})
	}
	if d.counter != nil {
		d.counter.Drain(released)
	}
	d.options.Notify("MAINPID=" + strconv.Itoa(p.result.Pid))
}

// Receive passes a client connection to the successor. With HasRoom it implements downstream.Receiver.
func (p *predecessorRole) Receive(st downstream.ConnState, fd int) {
	p.result.ClientConnections++
	p.send(&pb.Envelope{Body: &pb.Envelope_Client{Client: handover.EncodeClientConn(st)}}, fd)
}

// HasRoom reports whether few enough bytes are queued for the successor. Without a successor, what is sent is dropped.
func (p *predecessorRole) HasRoom() bool {
	return p.successor == nil || p.successor.conn.QueuedBytes() < p.daemon.cfg.Limits.MaxHandoverQueueBytes
}

// reclaim serves again after the successor has died: this process takes back its listeners, its connections to the
// counter and its place among the ingresses. It goes on under the configuration that the successor acted on.
func (p *predecessorRole) reclaim() {
	d := p.daemon
	d.module.Reclaim(d.loop.Now())
	d.core.CancelHandover()
	d.upstreams.StopHandOver()
	if d.counter != nil {
		d.counter.Resume()
	}
	if p.successorConfiguration != nil {
		if err := d.adoptConfiguration(p.successorConfiguration); err != nil {
			d.log.Error("configuration not reloaded", "error", err)
		}
	}
	d.server.Resume()
	d.setMemoryShare(aloneShare)
	d.listenForSuccessor()
	if err := errors.Join(d.openControl(), d.openAdmin()); err != nil {
		d.log.Warn("control socket not opened", "error", err)
	}
	d.rejoinMembership()
	d.openControlGroup()
	d.options.Notify("MAINPID=" + strconv.Itoa(os.Getpid()))
	d.log.Error("listeners taken back", "cause", p.machine.Failure)
	if p.hasUnansweredReload {
		d.reloadConfig()
	}
}

// sendFarewell tells the successor that nothing is open here any more, and ends the loop once the message is sent: client
// connections may be queued before it. If the successor ends first, successorProcess ends the loop.
func (p *predecessorRole) sendFarewell() {
	p.send(&pb.Envelope{Body: &pb.Envelope_Farewell{Farewell: &pb.Farewell{}}})
	p.daemon.log.Info("handed over")
	if p.successor == nil {
		p.daemon.loop.Stop()
		return
	}
	p.successor.conn.WhenFlushed(p.daemon.loop.Stop)
}

// AttemptStarted tells the successor that an upstream request of a handed-over stream was sent to a host. With
// AttemptEnded and StreamDone it implements core.HandoverObserver.
func (p *predecessorRole) AttemptStarted(stream uint64, host string, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Sent{Sent: &pb.Sent{Stream: stream, Host: host, At: int64(at)}}})
}

// AttemptEnded tells the successor how an upstream request ended.
func (p *predecessorRole) AttemptEnded(ev admission.AttemptEnded, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Attempt{Attempt: handover.EncodeAttemptEnded(ev, at)}})
}

// StreamDone tells the successor that a stream is over.
func (p *predecessorRole) StreamDone(stream uint64, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Done{Done: &pb.StreamDone{Stream: stream, At: int64(at)}}})
}
