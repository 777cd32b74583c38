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

// Replacement by the platform: the platform, not this daemon, starts the next process next to the running one, with the
// same addresses but another admin endpoint. The two processes connect through a socket in $TMPDIR and hand over as in
// an upgrade. If anything goes wrong, the new process restarts itself without a predecessor. Then both listen on the
// clients' address until the platform tells the old one to end.

// standaloneEnv is the environment variable that tells a process to start without a predecessor, since it has already
// tried to take over.
const standaloneEnv = "FERRYFRONT_ALONE"

// replacementTimeout bounds the handover to a replacement. It is less than the 6 s in which the platform expects a new
// process to be ready, so that there is time left to start without a predecessor.
const replacementTimeout = 3 * time.Second

// connectToPredecessor connects to the running process of this ingress and returns the descriptor, or -1 if there is
// none that can be reached. It fails only if the configuration can't be read.
func (d *Daemon) connectToPredecessor() (int, error) {
	dir := d.options.Getenv("TMPDIR")
	if dir == "" || d.options.Getenv(standaloneEnv) != "" {
		return -1, nil
	}
	name := d.options.Getenv("GW_NAME") // it overrides the file's name, so the file need not be read twice
	if name == "" {
		cfg, err := d.options.LoadConfig()
		if err != nil {
			return -1, err
		}
		name = cfg.Name
	}
	fd, err := handover.ConnectPredecessor(dir, name)
	if err != nil {
		if !errors.Is(err, handover.ErrNoPredecessor) {
			d.log.Info("no predecessor to take over from", "cause", err)
		}
		return -1, nil
	}
	return fd, nil
}

// listenForSuccessor opens the socket in $TMPDIR through which a replacement connects. Where it can't be opened, the
// replacement starts without a predecessor and listens next to this process.
func (d *Daemon) listenForSuccessor() {
	dir := d.options.Getenv("TMPDIR")
	if dir == "" {
		return
	}
	d.stopListeningForSuccessor()
	fd, err := handover.ListenForSuccessor(dir, d.cfg.Name)
	if err != nil {
		d.log.Info("no successor can take over from this process", "cause", err)
		return
	}
	if d.successorListener, err = d.loop.Watch(fd, loop.In, successorAcceptor{d}); err != nil {
		loop.CloseFD(fd)
	}
}

// stopListeningForSuccessor closes the socket for replacements. It does nothing if the socket is closed.
func (d *Daemon) stopListeningForSuccessor() {
	d.successorListener.Close()
	d.successorListener = nil
}

// successorAcceptor accepts connections of replacements. It is the loop's handler of the socket.
type successorAcceptor struct{ daemon *Daemon }

// Ready accepts a replacement and begins the handover. It closes the connection if no handover can begin now: during
// another one, or while the process drains.
func (a successorAcceptor) Ready(uint32) {
	d := a.daemon
	fd, err := handover.AcceptSuccessor(d.successorListener.FD())
	if err != nil {
		return
	}
	p := d.asPredecessor
	if d.isTakingOver() || d.isDraining || p.machine.IsInProgress() {
		loop.CloseFD(fd)
		return
	}
	successor := &successorProcess{role: p}
	if successor.conn, err = handover.New(d.loop, d.cfg.Limits, fd, successor); err != nil {
		loop.CloseFD(fd)
		return
	}
	p.successor, p.onProgress, p.result = successor, nil, Progress{}
	p.machine.HasExternalSuccessor = true
	d.setMemoryShare(predecessorShare)
	d.log.Info("replacement begun")
	p.handle(phase.UpgradeRequested{})
}

// restartStandalone executes the program again in this process, to start without a predecessor. Nothing was taken over,
// and the parts that were built vanish with the old image. Both processes may listen on the clients' address.
func (d *Daemon) restartStandalone(reason string) {
	d.log.Warn("not taken over; beginning beside the old process", "cause", reason)
	signal.Ignore(syscall.SIGHUP) // by default it would end the process until the new image handles it
	err := syscall.Exec("/proc/self/exe", os.Args, append(os.Environ(), standaloneEnv+"=1"))
	d.runError = fmt.Errorf("restart without a predecessor: %w", err)
	d.loop.Stop()
}

// scheduleForcedEnd schedules the end of what is still open DrainTimeout from now: streams expire, and a request that is
// read later is answered at once, since an upstream host's answer would come too late. The process ends DrainFlushPeriod
// later, when the answers have had time to be sent, or once the responses that are being relayed have ended: their hosts
// may still be writing, and whoever wants an earlier end kills the process.
func (d *Daemon) scheduleForcedEnd() {
	d.loop.After(d.cfg.Limits.DrainTimeout, func() {
		if open := d.core.OpenStreams(); open > 0 {
			d.log.Warn("drain cut short", "streams", open)
		}
		d.core.Close(d.loop.Now())
		endAt := d.loop.Now() + d.cfg.Limits.DrainRelayTimeout
		d.loop.After(d.cfg.Limits.DrainFlushPeriod, func() { d.endAfterRelays(endAt) })
	})
}

// relayPollInterval is the time between two checks whether relayed responses have ended.
const relayPollInterval = 10 * time.Millisecond

// endAfterRelays ends the process once no response is being relayed, at the latest at the given time.
func (d *Daemon) endAfterRelays(endAt time.Duration) {
	if d.server.ActiveRelays() == 0 || d.loop.Now() >= endAt {
		d.loop.Stop()
		return
	}
	d.loop.After(relayPollInterval, func() { d.endAfterRelays(endAt) })
}
