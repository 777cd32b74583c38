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

// Progress is what who asked for an upgrade is told.
type Progress struct {
	Text string `json:"text,omitempty"`
	// Of the last one.
	Done      bool   `json:"done,omitempty"`
	OK        bool   `json:"ok,omitempty"`
	Pid       int    `json:"pid,omitempty"` // of the process that serves now
	FreezeUS  int64  `json:"freeze_us,omitempty"`
	Customers uint64 `json:"customers,omitempty"`
	Clients   int    `json:"clients,omitempty"`   // connections handed over
	Upstreams int    `json:"upstreams,omitempty"` // idle ones handed over
}

// predecessor carries out what the old process's machine wants.
type predecessor struct {
	d       *Daemon
	machine phase.Old
	timer   *loop.Timer
	tell    func(Progress)

	peer      *peer
	ids       []uint64      // of customers still to be copied ahead
	since     time.Duration // who has asked since then is copied again,
	unsettled []uint64      // as are those of whom something was open then
	freezing  bool          // the snapshot is taken when this turn's events are handled
	frozenAt  time.Duration
	report    Progress
}

// upgrade begins one, and tells why it does not.
func (d *Daemon) upgrade(tell func(Progress)) string {
	switch {
	case d.trial():
		return "the upgrade that started this process is not over"
	case d.draining:
		return "the ingress is ending"
	case d.pred.machine.UnderWay():
		return "an upgrade is under way"
	case d.group == nil && d.members != nil && !d.members.Node().Settled(d.loop.Now()):
		return "the membership has not settled"
	case len(d.o.Command) == 0:
		return "the path of the binary is not known"
	}
	p := d.pred
	p.tell, p.report = tell, Progress{}
	p.machine.Beside = false
	d.log.Info("upgrade begun", "binary", d.o.Command[0])
	p.handle(phase.Asked{})
	return ""
}

func (p *predecessor) handle(ev phase.Event) {
	was := p.machine.State
	actions := p.machine.Handle(ev)
	if is := p.machine.State; is != was && is != phase.Idle && is != phase.Over {
		p.say(Progress{Text: is.String()})
	}
	for _, a := range actions {
		p.do(a)
	}
}

func (p *predecessor) say(progress Progress) {
	if p.tell != nil {
		p.tell(progress)
	}
}

func (p *predecessor) send(e *pb.Envelope, fds ...int) {
	if p.peer != nil {
		p.peer.conn.Send(e, fds...)
		return
	}
	for _, fd := range fds { // a successor that was to end has ended first: there is nobody to go on with it
		loop.CloseFD(fd)
	}
}

func (p *predecessor) do(a phase.Action) {
	d := p.d
	lim := d.cfg.Limits
	switch a {
	case phase.Spawn:
		if !p.machine.Beside { // else it has come by itself
			p.spawn()
		}
	case phase.StartClock:
		most := map[phase.OldState]time.Duration{phase.Starting: lim.HelloTimeout, phase.Preparing: lim.PrepareTimeout,
			phase.Copying: lim.CopyTimeout, phase.Frozen: lim.FreezeTimeout, phase.Probation: lim.ProbationPeriod}[p.machine.State]
		p.timer = d.loop.After(most, func() { p.handle(phase.TimeUp{}) })
	case phase.StopClock:
		p.timer.Stop()
	case phase.SendWelcome:
		p.send(&pb.Envelope{Body: &pb.Envelope_Welcome{Welcome: &pb.Welcome{Protocol: phase.Protocol, Version: d.o.Version,
			Name: d.cfg.Name, Listeners: d.server.ListenerAddresses()}}})
	case phase.CopyAhead:
		p.since, p.ids, p.unsettled = d.loop.Now(), d.module.Customers(0), d.module.ActiveCustomers()
		p.copyAhead()
	case phase.Freeze:
		p.frozenAt = d.loop.Now()
		d.server.Suspend()
	case phase.SendSnapshot:
		p.freezing = true
	case phase.SendCommit:
		p.commit()
	case phase.Unfreeze:
		p.freezing = false
		d.core.CancelHandover()
		d.server.Resume()
	case phase.SendAbort:
		p.send(&pb.Envelope{Body: &pb.Envelope_Abort{Abort: &pb.Abort{Reason: p.machine.Failure}}})
	case phase.Kill:
		if p.peer != nil && p.peer.cmd != nil {
			_ = p.peer.cmd.Process.Kill() // it may have ended already
		}
		if r := p.peer; r != nil && p.machine.Beside { // it begins by itself once it has heard, or sees the end
			p.peer = nil
			r.conn.WhenDry(r.conn.Close)
			d.loop.After(lim.DrainFlushPeriod, r.conn.Close)
		}
	case phase.Reclaim:
		p.reclaim()
	case phase.SendSettled:
		p.send(&pb.Envelope{Body: &pb.Envelope_Settled{Settled: &pb.Settled{}}})
	case phase.SendTerminate:
		p.send(&pb.Envelope{Body: &pb.Envelope_Terminate{Terminate: &pb.Terminate{}}})
	case phase.SendReload:
		p.send(&pb.Envelope{Body: &pb.Envelope_Reload{Reload: &pb.Reload{}}})
	case phase.Drain:
		d.drain()
	case phase.EndOwn:
		d.log.Info("ending what is left", "streams", d.core.OpenStreams(), "connections", d.server.OpenConnections())
		d.endInTime()
	case phase.SayFarewell:
		p.farewell()
	case phase.ReportDone:
		p.report.Done, p.report.OK = true, true
		d.log.Info("upgrade done", "pid", p.report.Pid, "freeze", time.Duration(p.report.FreezeUS)*time.Microsecond,
			"customers", p.report.Customers, "clients", p.report.Clients, "upstreams", p.report.Upstreams)
		p.say(p.report)
		p.tell = nil
	case phase.ReportFailed:
		d.log.Warn("upgrade failed; this process carries on", "cause", p.machine.Failure)
		p.say(Progress{Text: p.machine.Failure, Done: true, Pid: os.Getpid()})
		p.tell = nil
		shareMemory(lim, 1)
		p.ids = nil
	}
}

// inherited reads it: -1 where no other process has started this one.
func inherited(getenv func(string) string) (int, error) {
	text := getenv(handover.Env)
	if text == "" {
		return -1, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return -1, fmt.Errorf("%s: %q is no descriptor", handover.Env, text)
	}
	return fd, nil
}

// copyAhead sends customers as long as not too much waits, and goes on when all of it is on its way.
func (p *predecessor) copyAhead() {
	if p.machine.State != phase.Copying {
		return
	}
	for len(p.ids) > 0 && p.peer.conn.Waiting() < p.d.cfg.Limits.MaxHandoverQueueBytes {
		n := min(len(p.ids), customersOnce)
		p.customers(p.ids[:n])
		p.ids = p.ids[n:]
	}
	if len(p.ids) == 0 {
		p.ids = nil
		p.send(&pb.Envelope{Body: &pb.Envelope_Mark{Mark: &pb.Mark{}}})
		return
	}
	p.peer.conn.WhenDry(p.copyAhead)
}

// customersOnce are put into one message.
const customersOnce = 128

func (p *predecessor) customers(ids []uint64) {
	m := &pb.Customers{}
	for _, id := range ids {
		if c, ok := p.d.module.Customer(id); ok {
			m.Customers = append(m.Customers, handover.Customer(c))
		}
	}
	p.send(&pb.Envelope{Body: &pb.Envelope_Customers{Customers: m}})
}

// turn ends a turn of the loop: only then has the module seen all that the core has.
func (p *predecessor) turn(now time.Duration) {
	if p.freezing {
		for p.d.core.HasPendingEvents() {
			p.d.core.Turn(now)
		}
		p.freezing = false
		if p.peer != nil {
			p.snapshot()
		}
	}
	if p.machine.Committed() && p.d.core.TrackedStreams() == 0 && p.d.server.OpenConnections() == 0 {
		p.handle(phase.Emptied{})
	}
}

// snapshot sends the state: whoever may have changed since they were copied once more, what is open, the listeners.
func (p *predecessor) snapshot() {
	d := p.d
	ids := append(d.module.Customers(p.since), p.unsettled...)
	p.unsettled = nil
	for len(ids) > 0 {
		n := min(len(ids), customersOnce)
		p.customers(ids[:n])
		ids = ids[n:]
	}
	state, err := d.module.State()
	listeners, lerr := d.server.DuplicateListeners()
	if err = errors.Join(err, lerr); err != nil {
		for _, fd := range listeners {
			loop.CloseFD(fd)
		}
		d.loop.After(0, func() { p.handle(phase.PeerGone{How: "no snapshot: " + err.Error()}) })
		return
	}
	open := d.core.StartHandover(p)
	list := d.watcher.Current()
	m := &pb.Snapshot{Gateway: handover.Gateway(state), ClockOffset: int64(d.loop.ClockOffset()), LastStream: open.LastID,
		ListVersion: list.Version, Hosts: handover.Hosts(list), Listeners: d.server.ListenerAddresses()}
	m.Streams, m.Keys = handover.Open(open)
	p.send(&pb.Envelope{Body: &pb.Envelope_Snapshot{Snapshot: m}}, listeners...)
}

// commit: the new process serves. Our connections follow, each when nothing is owed on it.
func (p *predecessor) commit() {
	d := p.d
	d.dismiss()
	d.closeMembers()       // the new process goes on under our name
	if !p.machine.Beside { // else it has an admin endpoint of its own, and ours still tells of this process
		d.admin.Close()
		d.admin = nil
	}
	d.module.Retire()
	d.core.CommitHandover()
	d.suspendControlGroup()
	p.send(&pb.Envelope{Body: &pb.Envelope_Commit{Commit: &pb.Commit{Clients: uint32(d.server.OpenConnections()),
		Upstreams: uint32(d.hosts.OpenConnections())}}})
	d.server.HandOver(func(st downstream.ConnState, fd int) {
		p.report.Clients++
		p.send(&pb.Envelope{Body: &pb.Envelope_Client{Client: handover.Client(st)}}, fd)
	})
	d.hosts.HandOver(func(host string, since time.Duration, fd int) {
		p.report.Upstreams++
		p.send(&pb.Envelope{Body: &pb.Envelope_Upstream{Upstream: &pb.UpstreamConnection{Host: host,
			Since: int64(since)}}}, fd)
	})
	released := func() {
		p.send(&pb.Envelope{Body: &pb.Envelope_CounterReleased{CounterReleased: &pb.CounterReleased{}}})
	}
	if d.counter != nil {
		d.counter.Drain(released)
	}
	d.o.Notify("MAINPID=" + strconv.Itoa(p.report.Pid))
}

// reclaim takes the listeners back from a successor that has died.
func (p *predecessor) reclaim() {
	d := p.d
	d.module.Reclaim(d.loop.Now())
	d.core.CancelHandover()
	d.hosts.StopHandOver()
	if d.counter != nil {
		d.counter.Resume()
	}
	d.server.Resume()
	shareMemory(d.cfg.Limits, 1)
	d.await()
	if err := errors.Join(d.openControl(), d.openAdmin()); err != nil {
		d.log.Warn("control socket not opened", "error", err)
	}
	d.openMembersAgain()
	d.openControlGroup()
	d.o.Notify("MAINPID=" + strconv.Itoa(os.Getpid()))
	d.log.Error("listeners taken back", "cause", p.machine.Failure)
}

func (p *predecessor) farewell() {
	p.send(&pb.Envelope{Body: &pb.Envelope_Farewell{Farewell: &pb.Farewell{}}})
	p.d.log.Info("handed over")
	if p.peer == nil {
		p.d.loop.Stop()
		return
	}
	p.peer.conn.WhenDry(p.d.loop.Stop)
	p.d.loop.After(p.d.cfg.Limits.DrainFlushPeriod, p.d.loop.Stop)
}

// AttemptStarted and the two after it make the predecessor the core's witness.
func (p *predecessor) AttemptStarted(stream uint64, host string, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Sent{Sent: &pb.Sent{Stream: stream, Host: host, At: int64(at)}}})
}

// AttemptEnded passes on how an upstream request ended.
func (p *predecessor) AttemptEnded(ev admission.AttemptEnded, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Attempt{Attempt: handover.Attempt(ev, at)}})
}

// StreamDone passes on that a stream is over.
func (p *predecessor) StreamDone(stream uint64, at time.Duration) {
	p.send(&pb.Envelope{Body: &pb.Envelope_Done{Done: &pb.StreamDone{Stream: stream, At: int64(at)}}})
}
