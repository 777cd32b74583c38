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
	In            = unix.EPOLLIN
	Out           = unix.EPOLLOUT
	ReadHangup    = unix.EPOLLRDHUP // the peer has ended its sending; what it sent before may still wait to be read
	Hangup        = ReadHangup | unix.EPOLLHUP | unix.EPOLLERR
	HangupOrError = unix.EPOLLHUP | unix.EPOLLERR // told whatever is watched for
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
	order   order
}

// order is when in a turn a descriptor is served.
type order int

const (
	usual order = iota
	first
	last
)

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
	firsts      bool          // some source is to be served first
	lasts       bool          // some source of this turn is to be served last
	polled      time.Duration // when the last turn's descriptors were gathered
	stalled     time.Duration // when the process began to stand still, until all that came meanwhile is read; 0: it did not
	turnStart   func(now time.Duration)
	posted      chan func()
	buf         []byte
	start       time.Time
	base, now   time.Duration
	stopped     bool

	waking sync.Mutex // held while wake is used by other goroutines, or closed
	closed bool
}

// readyMost is how many descriptors are gathered in a turn: about all that a process may hold. After a time in which it
// stood still each may have something, and what is to be known first must not be left for the turn after.
const readyMost = 1024

// waitMost bounds the wait for descriptors. A wait that lasts visibly longer was one in which the process stood still.
const waitMost = 100 * time.Millisecond

// stalledAfter is the time between two gatherings from which on the process is taken to have stood still. With waitMost,
// what is not noticed is within the slack of deadlines (0.15 s).
const stalledAfter = waitMost + 25*time.Millisecond

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
	l := &Loop{epoll: epoll, wake: wake, ready: make([]unix.EpollEvent, readyMost), posted: make(chan func(), 64),
		buf: make([]byte, 64<<10), start: time.Now()}
	// All machines cut the counter's windows from the same time: the wall clock at the start, from
	// then on the monotonic one, so that no step of the wall clock is ever seen.
	l.base = time.Duration(system.wallClock().UnixNano())
	l.now = l.base.Truncate(time.Microsecond)
	l.polled = l.now
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

func (l *Loop) tick() { l.now = l.clock() }

// clock reads the clock anew.
func (l *Loop) clock() time.Duration {
	return max(l.now, (l.base + time.Since(l.start)).Truncate(time.Microsecond))
}

// MaxReadDelay is how long what is read in this turn may have waited to be read: 0 unless the process stood still, as when it was
// stopped and continued, and has not read all since. The time that a peer gives for an answer began when it sent its
// request.
func (l *Loop) MaxReadDelay() time.Duration {
	if l.stalled == 0 {
		return 0
	}
	return l.now - l.stalled
}

// HasStalled tells whether the process stood still within this turn: what was found at its beginning may not be so any more,
// and nothing should be begun that rests on it.
func (l *Loop) HasStalled() bool { return l.clock()-l.now > stalledAfter/2 }

// ClockOffset is how far the loop's clock is from the wall clock, which may have been set since the start.
func (l *Loop) ClockOffset() time.Duration {
	return l.base + time.Since(l.start) - time.Duration(system.wallClock().UnixNano())
}

// SetClockOffset goes on with the clock of another process, told by its offset. Time never goes back.
func (l *Loop) SetClockOffset(d time.Duration) {
	l.base = time.Duration(system.wallClock().UnixNano()) + d - time.Since(l.start)
	l.tick()
	l.polled = l.now // it is the clock that was moved, the process has not stood still
}

// ReadBuffer is room to read into, good until the handler returns.
func (l *Loop) ReadBuffer() []byte { return l.buf }

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

// ServeFirst has a descriptor served before all others of its turn.
func (s *Source) ServeFirst() { s.order, s.l.firsts = first, true }

// ServeLast has a descriptor served after all others of its turn, until Usual: what it begins must not overlook news that waits
// to be read at one of them.
func (s *Source) ServeLast() { s.order = last }

// ServeNormally ends First or Last.
func (s *Source) ServeNormally() { s.order = usual }

// SetEvents changes what a descriptor is watched for.
func (s *Source) SetEvents(events uint32) {
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

// ResetOnClose has a following Close reset the connection: its peer must not take the end for an orderly one.
func (s *Source) ResetOnClose() {
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
	s.Unwatch()
	s.l.sources[fd] = nil
	s.fd = -1
	return fd
}

// Unwatch has a descriptor told of no more, not even of its end, and leaves it open.
func (s *Source) Unwatch() {
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

// ClearStop lets Run be called again after Stop.
func (l *Loop) ClearStop() { l.stopped = false }

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
		asked := l.clock()
		n, err := l.gather(l.wait(next))
		if err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		l.tick()
		l.gathered(n, l.now-asked)
		if l.turnStart != nil {
			l.turnStart(l.now)
		}
		l.serveAll(l.ready[:n])
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

// gatherTries is how often in a row a wait may be interrupted before the turn goes on without descriptors.
const gatherTries = 100

// gather waits for descriptors, for so many milliseconds at the most. A wait that was interrupted is followed by a look at
// what is ready: it is interrupted when the process goes on after it was stopped, and a turn without the news that has come
// meanwhile would begin what that forbids.
func (l *Loop) gather(milliseconds int) (n int, err error) {
	for range gatherTries {
		if n, err = system.wait(l.epoll, l.ready, milliseconds); !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
		milliseconds = 0
	}
	return 0, nil
}

// blocked is the time that a wait takes at least which found nothing ready at first.
const blocked = time.Millisecond

// gathered notes when a turn's descriptors were gathered, so many after such a wait, and whether the process stood still
// before that. It has read all that came meanwhile once there is nothing ready.
func (l *Loop) gathered(n int, waited time.Duration) {
	switch {
	case l.now-l.polled > stalledAfter:
		l.stalled = l.polled
	case n == 0 || waited >= blocked:
		l.stalled = 0
	}
	l.polled = l.now
}

// serveAll tells the handlers of what is ready: those that go first, the usual ones, those that go last.
func (l *Loop) serveAll(ready []unix.EpollEvent) {
	if l.firsts {
		l.serve(ready, first)
	}
	l.lasts = false
	l.serve(ready, usual)
	if l.lasts {
		l.serve(ready, last)
	}
}

// serve tells the handlers of what is ready, of those of one order.
func (l *Loop) serve(ready []unix.EpollEvent, which order) {
	for _, ev := range ready {
		s := l.sources[ev.Fd]
		if s == nil || s.gen != ev.Pad {
			continue
		}
		if s.order == which {
			s.handler.Ready(ev.Events)
		} else if s.order == last {
			l.lasts = true
		}
	}
}

// wait is how long to wait for descriptors, in milliseconds.
func (l *Loop) wait(next time.Duration) int {
	l.timers.DiscardInactive(func(t *Timer) bool { return t.fn != nil }) // a stopped one is not worth a turn
	if at, ok := l.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	left := waitMost
	if next != 0 {
		left = min(left, next-l.clock())
	}
	return int(max(0, left+time.Millisecond-1) / time.Millisecond)
}
