package daemon

import (
	"sync"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// Embedded controls one of several daemons that share a process, as in a test of a large fleet. Such a daemon leaves the
// Go runtime's process-wide limits alone, and can be ended as a crash or the loss of its machine would end it. All
// methods may be called from any goroutine.
type Embedded struct {
	// IsReachable reports whether messages to and from another member are delivered. Nil: all are. It is called on the
	// loop's goroutine.
	IsReachable func(member string) bool

	mu              sync.Mutex    // guards daemon and isStopRequested
	daemon          *Daemon       // nil before the start and after the end
	isStopRequested bool          // the daemon is to end, even if it has not started yet
	released        chan struct{} // closed when the descriptors may be closed
}

// NewEmbedded returns an Embedded for Options.
func NewEmbedded(isReachable func(member string) bool) *Embedded {
	return &Embedded{IsReachable: isReachable, released: make(chan struct{})}
}

// Kill ends the daemon at once and closes its descriptors, as the system does for a process that is killed. Unlike with
// SIGKILL, the daemon ends between two turns of its loop and not in the middle of one.
func (e *Embedded) Kill() {
	e.stop()
	e.Release()
}

// StopSilently ends the daemon at once and leaves its descriptors open until Release, as when a machine or its network
// is lost: peers see no connection end and receive nothing.
func (e *Embedded) StopSilently() { e.stop() }

// Release lets the descriptors that StopSilently left open be closed. It may be called more than once.
func (e *Embedded) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.released:
	default:
		close(e.released)
	}
}

// MessageBytes returns the bytes of messages between ingresses that the daemon has sent and received since its start. ok
// is false if the daemon does not run or does not answer in time.
func (e *Embedded) MessageBytes() (sent, received uint64, ok bool) {
	d := e.running()
	if d == nil {
		return 0, 0, false
	}
	type answer struct {
		sent, received uint64
		ok             bool
	}
	a := onLoop(d, answer{}, func() answer {
		if d.members == nil {
			return answer{ok: true}
		}
		c := d.members.Counts()
		return answer{c.SentBytes, c.ReceivedBytes, true}
	})
	return a.sent, a.received, a.ok
}

// running returns the daemon, or nil if it does not run.
func (e *Embedded) running() *Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

// stop ends the daemon, or keeps it from running if it has not started yet.
func (e *Embedded) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStopRequested = true; e.daemon != nil {
		e.daemon.loop.Post(e.daemon.loop.Stop)
	}
}

// attach is called when the daemon starts to run. It is safe on nil.
func (e *Embedded) attach(d *Daemon) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.daemon = d; e.isStopRequested {
		d.loop.Stop()
	}
}

// detach is called when the loop has ended. It waits for Release and then closes the loop. It is safe on nil.
func (e *Embedded) detach(l *loop.Loop) {
	if e == nil {
		return
	}
	e.mu.Lock()
	e.daemon = nil
	e.mu.Unlock()
	<-e.released
	l.Close()
}
