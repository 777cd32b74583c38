package daemon

import (
	"sync"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// Embedded is one daemon among several of a process, as a test of a large fleet runs them. The runtime's process-wide
// bounds are left alone for it, and it can be ended as a crash or the loss of its machine would end it.
type Embedded struct {
	// Reach tells whether messages to and from another member get through; nil: all do. It is called on the loop.
	Reach func(member string) bool

	mu       sync.Mutex
	daemon   *Daemon       // nil before the start and after the end
	stopped  bool          // it is to end, also where it has not begun
	released chan struct{} // closed when a machine that was lost gives up its descriptors
}

// NewEmbedded returns one for Options.
func NewEmbedded(reach func(member string) bool) *Embedded {
	return &Embedded{Reach: reach, released: make(chan struct{})}
}

// Kill ends the daemon at once and closes its descriptors, as the system does for a process that is killed. What
// differs from SIGKILL: it ends at the end of a turn of its loop and not in the middle of one.
func (e *Embedded) Kill() {
	e.stop()
	e.Release()
}

// Lose ends the daemon at once and leaves its descriptors open until Release, as the loss of a machine or of its
// network does: peers see no end of any connection, only silence.
func (e *Embedded) Lose() { e.stop() }

// Release closes the descriptors that Lose has left open. It may be called more than once.
func (e *Embedded) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.released:
	default:
		close(e.released)
	}
}

// Traffic tells how many bytes of messages between ingresses it has sent and received since its start. ok is false
// when it does not run or answer.
func (e *Embedded) Traffic() (sent, received uint64, ok bool) {
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

func (e *Embedded) running() *Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.daemon
}

func (e *Embedded) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped = true; e.daemon != nil {
		e.daemon.loop.Post(e.daemon.loop.Stop)
	}
}

// attach is called when the daemon begins to run. It is safe on nil.
func (e *Embedded) attach(d *Daemon) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.daemon = d; e.stopped {
		d.loop.Stop()
	}
}

// detach is called when the loop has ended, and waits until the descriptors may be closed. It is safe on nil.
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
