package daemon

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/phase"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// A replacement that somebody else has begun: the platform starts the next process beside this one, with the same
// addresses but another admin endpoint. They meet at a socket in $TMPDIR and hand over as in an upgrade. Whatever comes
// between, the new process starts anew, by itself, and both listen at the clients' address until the old one is told to
// end.

// alone tells a process that it has tried to take over and is to begin by itself.
const alone = "FERRYFRONT_ALONE"

// besideMost is the time for a predecessor to hand over, the platform's for a new process to be ready (6 s) with room
// to begin by itself.
const besideMost = 3 * time.Second

// predecessor connects to the process whose place this one is to take. It returns -1 where there is none, or none
// to meet. A configuration that can't be read ends the start here as anywhere.
func (d *Daemon) predecessor() (int, error) {
	dir := d.o.Getenv("TMPDIR")
	if dir == "" || d.o.Getenv(alone) != "" {
		return -1, nil
	}
	name := d.o.Getenv("GW_NAME") // it goes before what the file says, which need not be read twice then
	if name == "" {
		cfg, err := d.o.Load()
		if err != nil {
			return -1, err
		}
		name = cfg.Name
	}
	fd, err := handover.Meet(dir, name)
	if err != nil {
		if !errors.Is(err, handover.ErrNobody) {
			d.log.Info("no predecessor to take over from", "cause", err)
		}
		return -1, nil
	}
	return fd, nil
}

// await lets the next process meet this one. Without a folder, or sockets of that kind, it will listen beside us.
func (d *Daemon) await() {
	dir := d.o.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	d.dismiss()
	fd, err := handover.Await(dir, d.cfg.Name)
	if err != nil {
		d.log.Info("no successor can take over from this process", "cause", err)
		return
	}
	if d.awaits, err = d.loop.Watch(fd, loop.In, met{d}); err != nil {
		loop.CloseFD(fd)
	}
}

// dismiss meets nobody any more.
func (d *Daemon) dismiss() {
	d.awaits.Close()
	d.awaits = nil
}

// met is told of who has come.
type met struct{ d *Daemon }

// Ready begins to hand over, unless that can't be now. Who is turned away sees the end of the connection.
func (m met) Ready(uint32) {
	d := m.d
	fd, err := handover.Accept(d.awaits.FD())
	if err != nil {
		return
	}
	p := d.pred
	if d.trial() || d.draining || p.machine.UnderWay() {
		loop.CloseFD(fd)
		return
	}
	r := &peer{p: p}
	if r.conn, err = handover.New(d.loop, d.cfg.Limits, fd, r); err != nil {
		loop.CloseFD(fd)
		return
	}
	p.peer, p.tell, p.report = r, nil, Progress{}
	p.machine.Beside = true
	shareMemory(d.cfg.Limits, 2)
	d.log.Info("replacement begun")
	p.handle(phase.Asked{})
}

// startOver begins this process anew, by itself: nothing was taken over, and what was built for it goes with the
// old image. Both processes may listen at the clients' address.
func (d *Daemon) startOver(why string) {
	d.log.Warn("not taken over; beginning beside the old process", "cause", why)
	signal.Ignore(syscall.SIGHUP) // until the new image hears it, it would end the process
	err := syscall.Exec("/proc/self/exe", os.Args, append(os.Environ(), alone+"=1"))
	d.fault = fmt.Errorf("begin anew: %w", err)
	d.loop.Stop()
}

// endInTime ends what is still open when the time of a planned end is up, and then the process.
func (d *Daemon) endInTime() {
	d.loop.After(d.cfg.Limits.DrainTimeout, func() {
		if open := d.core.OpenStreams(); open > 0 {
			d.log.Warn("drain cut short", "streams", open)
			d.core.ExpireStreams(d.loop.Now())
		}
		d.server.AbortCloseDelimitedRelays()
		d.loop.After(d.cfg.Limits.DrainFlushPeriod, d.loop.Stop)
	})
}
