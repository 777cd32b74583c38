// Package loop is the daemon's event loop: epoll, timers, and a way in for other
// goroutines. One goroutine runs it and owns everything that it calls.
package loop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/timerq"
)

// What a descriptor is watched for, and what it is told.
const (
	In     = unix.EPOLLIN
	Out    = unix.EPOLLOUT
	Hangup = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
	Broken = unix.EPOLLHUP | unix.EPOLLERR // told whatever is watched for
)

// Handler is told what a descriptor is ready for.
type Handler interface{ Ready(events uint32) }

// Source is one watched descriptor.
type Source struct {
	l       *Loop
	fd      int
	gen     int32
	handler Handler
	events  uint32
	first   bool
}

// Timer is a function called once, unless stopped.
type Timer struct{ fn func() }

// Stop keeps a timer from firing. It is safe on nil.
func (t *Timer) Stop() {
	if t != nil {
		t.fn = nil
	}
}

// Loop gathers what is ready and calls the owners.
type Loop struct {
	epoll, wake int
	sources     []*Source // by descriptor
	gen         int32
	ready       []unix.EpollEvent
	timers      timerq.Queue[*Timer]
	firsts      bool // some source is to be served first
	turnStart   func(now time.Duration)
	posted      chan func()
	buf         []byte
	start       time.Time
	base, now   time.Duration
	stopped     bool

	waking sync.Mutex // held while wake is used by other goroutines, or closed
	closed bool
}

// New opens a loop.
func New() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", errors.Join(err, unix.Close(epoll)))
	}
	l := &Loop{epoll: epoll, wake: wake, ready: make([]unix.EpollEvent, 256), posted: make(chan func(), 64),
		buf: make([]byte, 64<<10), start: time.Now()}
	// All machines cut the counter's windows from the same time: the wall clock at the start, from
	// then on the monotonic one, so that no step of the wall clock is ever seen.
	l.base = time.Duration(l.start.UnixNano())
	l.now = l.base.Truncate(time.Microsecond)
	if _, err := l.Watch(wake, In, wakeUp{l}); err != nil {
		return nil, err
	}
	return l, nil
}

type wakeUp struct{ l *Loop }

// Ready empties the eventfd; what was posted is run by the turn itself.
func (w wakeUp) Ready(uint32) {
	var b [8]byte
	_, _ = Read(w.l.wake, b[:])
}

// Now is the time of this turn: whole microseconds since the Unix epoch.
func (l *Loop) Now() time.Duration { return l.now }

func (l *Loop) tick() {
	l.now = max(l.now, (l.base + time.Since(l.start)).Truncate(time.Microsecond))
}

// Offset is how far the loop's clock is from the wall clock, which may have been set since the start.
func (l *Loop) Offset() time.Duration {
	return l.base + time.Since(l.start) - time.Duration(time.Now().UnixNano())
}

// SetOffset goes on with the clock of another process, told by its offset. Time never goes back.
func (l *Loop) SetOffset(d time.Duration) {
	l.base = time.Duration(time.Now().UnixNano()) + d - time.Since(l.start)
	l.tick()
}

// Buf is room to read into, good until the handler returns.
func (l *Loop) Buf() []byte { return l.buf }

// Watch has a handler told of a descriptor.
func (l *Loop) Watch(fd int, events uint32, h Handler) (*Source, error) {
	l.gen++
	s := &Source{l: l, fd: fd, gen: l.gen, handler: h, events: events}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: s.gen}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return nil, fmt.Errorf("watch descriptor %d: %w", fd, err)
	}
	for len(l.sources) <= fd {
		l.sources = append(l.sources, nil)
	}
	l.sources[fd] = s
	return s, nil
}

// First has a descriptor served before all others of its turn.
func (s *Source) First() { s.first, s.l.firsts = true, true }

// Want changes what a descriptor is watched for.
func (s *Source) Want(events uint32) {
	if s.fd < 0 || s.events == events {
		return
	}
	s.events = events
	ev := unix.EpollEvent{Events: events, Fd: int32(s.fd), Pad: s.gen}
	// It can fail only for a descriptor that is not watched, and this one is.
	_ = unix.EpollCtl(s.l.epoll, unix.EPOLL_CTL_MOD, s.fd, &ev)
}

// Close closes the descriptor. Events already gathered for it reach nobody: its number may
// serve another connection within the same turn, which the generation tells apart.
func (s *Source) Close() {
	if s == nil || s.fd < 0 {
		return
	}
	s.l.sources[s.fd] = nil
	_ = unix.Close(s.fd)
	s.fd = -1
}

// Reset has a following Close reset the connection: its peer must not take the end for an orderly one.
func (s *Source) Reset() {
	if s.fd >= 0 { // without it the end is an ordinary one
		_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// Detach stops watching a descriptor and leaves it open; it is the caller's from then on. Closing alone takes
// it out of epoll only when no other process holds it.
func (s *Source) Detach() int {
	if s == nil || s.fd < 0 {
		return -1
	}
	fd := s.fd
	s.Mute()
	s.l.sources[fd] = nil
	s.fd = -1
	return fd
}

// Mute has a descriptor told of no more, not even of its end, and leaves it open.
func (s *Source) Mute() {
	if s.fd >= 0 {
		// It can fail only for a descriptor that is not watched any more.
		_ = unix.EpollCtl(s.l.epoll, unix.EPOLL_CTL_DEL, s.fd, nil)
	}
}

// FD is the descriptor, -1 once closed.
func (s *Source) FD() int { return s.fd }

// At calls fn in the first turn at or after a time.
func (l *Loop) At(at time.Duration, fn func()) *Timer {
	t := &Timer{fn: fn}
	l.timers.Push(at, t)
	return t
}

// After calls fn in the first turn so much later than this one.
func (l *Loop) After(d time.Duration, fn func()) *Timer { return l.At(l.now+d, fn) }

// Post has fn called within a turn; it is the one method for other goroutines.
func (l *Loop) Post(fn func()) {
	l.posted <- fn
	l.waking.Lock()
	defer l.waking.Unlock()
	if l.closed {
		return
	}
	one := [8]byte{1}
	_, _ = Write(l.wake, one[:])
}

// Close closes every descriptor that is watched, and the loop's own. It is for a loop that has ended in a process that
// goes on; what is posted from then on is not called.
func (l *Loop) Close() {
	l.waking.Lock()
	defer l.waking.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for _, s := range l.sources {
		s.Close() // the eventfd, too
	}
	_ = unix.Close(l.epoll)
}

// Stop ends Run after this turn.
func (l *Loop) Stop() { l.stopped = true }

// Restart lets Run be called again after Stop.
func (l *Loop) Restart() { l.stopped = false }

// OnTurnStart has fn called at the start of each turn, right after the clock was read and before any handler, posted
// function or timer: what holds only until some time, such as a lease, can be given up before the turn's events use it,
// also after the process was stopped and continued. There is one such function; nil: none.
func (l *Loop) OnTurnStart(fn func(now time.Duration)) { l.turnStart = fn }

// Turner is called at the end of each turn. It tells when it next needs one: 0 for never.
type Turner interface {
	Turn(now time.Duration) (next time.Duration)
}

// Run takes turns until Stop: gather what is ready, tell the handlers, fire timers, then one call
// of the Turner.
func (l *Loop) Run(t Turner) error {
	var next time.Duration
	for !l.stopped {
		n, err := unix.EpollWait(l.epoll, l.ready, l.wait(next))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll: %w", err)
		}
		l.tick()
		if l.turnStart != nil {
			l.turnStart(l.now)
		}
		if l.firsts {
			l.serve(l.ready[:max(n, 0)], true)
		}
		l.serve(l.ready[:max(n, 0)], false)
		for more := true; more; {
			select {
			case fn := <-l.posted:
				fn()
			default:
				more = false
			}
		}
		for {
			t, ok := l.timers.Pop(l.now)
			if !ok {
				break
			}
			if t.fn != nil {
				t.fn()
			}
		}
		next = t.Turn(l.now)
	}
	return nil
}

// serve tells the handlers of what is ready, of those that go first or of the others.
func (l *Loop) serve(ready []unix.EpollEvent, first bool) {
	for _, ev := range ready {
		if s := l.sources[ev.Fd]; s != nil && s.gen == ev.Pad && s.first == first {
			s.handler.Ready(ev.Events)
		}
	}
}

// wait is how long to wait for descriptors, in milliseconds.
func (l *Loop) wait(next time.Duration) int {
	l.timers.Skip(func(t *Timer) bool { return t.fn != nil }) // a stopped one is not worth a turn
	if at, ok := l.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	if next == 0 {
		return -1
	}
	left := next - max(l.now, (l.base+time.Since(l.start)).Truncate(time.Microsecond))
	return int(max(0, min(left+time.Millisecond-1, time.Minute)) / time.Millisecond)
}
