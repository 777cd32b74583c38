// Package loop is the daemon's event loop: epoll, timers and functions posted by other goroutines. One goroutine calls
// [Loop.Run]; it owns the loop, its sources and timers, and every handler and callback runs on it. A turn is one
// iteration of the loop. Only [Loop.Post] may be called from other goroutines. Nothing blocks except the wait for events,
// a Post while too many functions wait, and the retries of [Listen], [ListenReusePort] and [ListenUDP].
package loop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ferryfront.example/ferryfront/internal/timerq"
)

// Events that a descriptor is watched for and that its handler receives: bits of epoll's event mask.
const (
	// In: there is data to read, or a connection to accept.
	In = unix.EPOLLIN
	// Out: there is space to write, or a connection attempt has ended.
	Out = unix.EPOLLOUT
	// ReadHangup: the peer has closed its sending direction. Data that it sent before may still be unread.
	ReadHangup = unix.EPOLLRDHUP
	// Hangup: the peer has closed its sending direction or the whole connection, or the connection has failed.
	Hangup = ReadHangup | unix.EPOLLHUP | unix.EPOLLERR
	// FullHangup is Hangup without ReadHangup: the connection is closed in both directions or has failed. It is reported
	// whether watched for or not.
	FullHangup = unix.EPOLLHUP | unix.EPOLLERR
)

// Handler handles the events of a descriptor. Ready is called on the loop's goroutine with those that have occurred.
type Handler interface{ Ready(events uint32) }

// Source is one watched descriptor. It belongs to the loop's goroutine.
type Source struct {
	loop       *Loop
	fd         int   // -1 once closed or detached
	generation int32 // distinguishes this source from earlier ones of the same descriptor number
	handler    Handler
	events     uint32
	serveOrder serveOrder
}

// serveOrder is the position of a descriptor's handler among those that are called in a turn.
type serveOrder int

const (
	orderNormal serveOrder = iota
	orderFirst
	orderLast
)

// Timer calls a function once, unless it is stopped before.
type Timer struct{ fn func() }

// Stop keeps a timer from firing. It is safe on nil and on a timer that has fired.
func (t *Timer) Stop() {
	if t != nil {
		t.fn = nil
	}
}

// Loop waits for descriptors to become ready and calls their handlers, posted functions and due timers.
type Loop struct {
	// wakeFD is an eventfd that ends the wait for events when a function is posted.
	epollFD, wakeFD int
	sources         []*Source // by descriptor
	lastGeneration  int32
	ready           []unix.EpollEvent // the events of this turn
	timers          timerq.Queue[*Timer]
	hasFirst        bool          // ServeFirst was called for some source, now or earlier
	hasLast         bool          // some ready source of this turn is to be served last
	polledAt        time.Duration // when the last wait for events returned
	pollCount       uint64        // number of waits that reported all ready descriptors
	stalledSince    time.Duration // when the process began to stall; 0 once all that arrived meanwhile has been read
	turnStart       func(now time.Duration)
	posted          chan func()
	readBuffer      []byte
	startedAt       time.Time
	// clockBase is what the loop's clock shows at startedAt, now the time of this turn, both since the Unix epoch.
	clockBase, now time.Duration
	isStopped      bool

	wakeMutex sync.Mutex // held by Post while it uses wakeFD and by Close
	isClosed  bool       // guarded by wakeMutex
}

// maxEventsPerTurn is about the number of descriptors that a process may have open. After a stall each of them may be
// ready, and those to be served first must not be left for the next turn.
const maxEventsPerTurn = 1024

// maxWait bounds the wait for events, so that one that takes notably longer reveals a stall of the process.
const maxWait = 100 * time.Millisecond

// stallThreshold is the time between the ends of two waits for events above which the process counts as having stalled.
// An unnoticed stall is thus shorter than the slack that deadlines allow, 0.15 s.
const stallThreshold = maxWait + 25*time.Millisecond

// New opens a loop. It fails if the kernel provides no epoll instance or no eventfd, as when descriptors have run out.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", errors.Join(err, unix.Close(epollFD)))
	}
	l := &Loop{epollFD: epollFD, wakeFD: wakeFD, ready: make([]unix.EpollEvent, maxEventsPerTurn), posted: make(chan func(), 64),
		readBuffer: make([]byte, 64<<10), startedAt: time.Now()}
	// The windows of the shared counter begin at the same time on all machines, so the clock starts from the wall
	// clock. From then on it is monotonic, and a step of the wall clock does not change it.
	l.clockBase = time.Duration(system.wallClock().UnixNano())
	l.now = l.clockBase.Truncate(time.Microsecond)
	l.polledAt = l.now
	if _, err := l.Watch(wakeFD, In, wakeHandler{l}); err != nil {
		return nil, err
	}
	return l, nil
}

// wakeHandler handles the eventfd that Post writes to.
type wakeHandler struct{ loop *Loop }

// Ready empties the eventfd. Run calls the posted functions later in the same turn.
func (w wakeHandler) Ready(uint32) {
	var b [8]byte
	_, _ = Read(w.loop.wakeFD, b[:])
}

// Now returns the time of this turn: whole microseconds since the Unix epoch. It does not change within a turn.
func (l *Loop) Now() time.Duration { return l.now }

// updateNow sets the time of the turn.
func (l *Loop) updateNow() { l.now = l.readClock() }

// readClock returns the current time of the loop's clock, never earlier than that of the turn.
func (l *Loop) readClock() time.Duration {
	return max(l.now, (l.clockBase + time.Since(l.startedAt)).Truncate(time.Microsecond))
}

// MaxReadDelay returns how long data read in this turn may have waited to be read. It is 0 unless the process stalled,
// as when it was stopped and continued, and has not read all that arrived meanwhile. A time limit that a peer sets counts
// from when it sent its request, so this delay uses up part of it.
func (l *Loop) MaxReadDelay() time.Duration {
	if l.stalledSince == 0 {
		return 0
	}
	return l.now - l.stalledSince
}

// PollCount returns how many waits for events have reported all descriptors that were ready. A descriptor that was ready
// when the count was n has been reported once it is n+1, and one that was not reported was not ready then.
func (l *Loop) PollCount() uint64 { return l.pollCount }

// HasStalled reports whether the process has stalled within this turn, that is, whether the turn has already lasted longer
// than half of stallThreshold. What was found at the start of the turn may then be out of date, and nothing that depends
// on it should be started.
func (l *Loop) HasStalled() bool { return l.readClock()-l.now > stallThreshold/2 }

// ClockOffset returns how far the loop's clock is ahead of the wall clock, which may have been set since the start.
func (l *Loop) ClockOffset() time.Duration {
	return l.clockBase + time.Since(l.startedAt) - time.Duration(system.wallClock().UnixNano())
}

// SetClockOffset continues the clock of another process, given its ClockOffset. Now never goes back.
func (l *Loop) SetClockOffset(d time.Duration) {
	l.clockBase = time.Duration(system.wallClock().UnixNano()) + d - time.Since(l.startedAt)
	l.updateNow()
	l.polledAt = l.now // the change of the clock must not count as a stall
}

// ReadBuffer returns a buffer to read into that all handlers share. Its content is valid until the handler returns.
func (l *Loop) ReadBuffer() []byte { return l.readBuffer }

// Watch registers a handler for events of a descriptor. The descriptor belongs to the source until Close or Detach; if
// Watch fails, it stays open and the caller's.
func (l *Loop) Watch(fd int, events uint32, h Handler) (*Source, error) {
	l.lastGeneration++
	s := &Source{loop: l, fd: fd, generation: l.lastGeneration, handler: h, events: events}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: s.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		return nil, fmt.Errorf("watch descriptor %d: %w", fd, err)
	}
	for len(l.sources) <= fd {
		l.sources = append(l.sources, nil)
	}
	l.sources[fd] = s
	return s, nil
}

// ServeFirst has the handler called before all others of a turn.
func (s *Source) ServeFirst() { s.serveOrder, s.loop.hasFirst = orderFirst, true }

// ServeLast has the handler called after all others of a turn, until ServeNormally. It is for a handler that starts
// work, such as sending a request, which data that is still unread at another descriptor may forbid.
func (s *Source) ServeLast() { s.serveOrder = orderLast }

// ServeNormally ends the effect of ServeFirst or ServeLast.
func (s *Source) ServeNormally() { s.serveOrder = orderNormal }

// SetEvents changes the events that a descriptor is watched for. On a closed source it does nothing.
func (s *Source) SetEvents(events uint32) {
	if s.fd < 0 || s.events == events {
		return
	}
	s.events = events
	ev := unix.EpollEvent{Events: events, Fd: int32(s.fd), Pad: s.generation}
	// It fails only for a descriptor that is not watched, and this one is.
	_ = unix.EpollCtl(s.loop.epollFD, unix.EPOLL_CTL_MOD, s.fd, &ev)
}

// Close closes the descriptor. Events already collected for it are dropped: another connection may get the same
// descriptor number within the turn, and the generation distinguishes the two. It is safe on nil and on a closed
// source.
func (s *Source) Close() {
	if s == nil || s.fd < 0 {
		return
	}
	s.loop.sources[s.fd] = nil
	_ = unix.Close(s.fd)
	s.fd = -1
}

// ResetOnClose makes a following Close, or the end of the process, reset the TCP connection, so that the peer does not take
// it for an orderly end.
// If the socket option can't be set, the close is an ordinary one.
func (s *Source) ResetOnClose() {
	if s.fd >= 0 {
		_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
}

// EndOnClose undoes ResetOnClose.
func (s *Source) EndOnClose() {
	if s.fd >= 0 {
		_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{})
	}
}

// Detach stops watching a descriptor and returns it, still open, to the caller, who owns it from then on. It returns -1
// for a nil or closed source. The descriptor is removed from epoll explicitly: closing it would remove it only if no
// other process held it.
func (s *Source) Detach() int {
	if s == nil || s.fd < 0 {
		return -1
	}
	fd := s.fd
	s.Unwatch()
	s.loop.sources[fd] = nil
	s.fd = -1
	return fd
}

// Unwatch removes a descriptor from epoll and leaves it open. No further events are collected for it, not even a
// hangup; SetEvents does not undo it.
func (s *Source) Unwatch() {
	if s.fd >= 0 {
		// It fails only for a descriptor that is no longer watched.
		_ = unix.EpollCtl(s.loop.epollFD, unix.EPOLL_CTL_DEL, s.fd, nil)
	}
}

// FD returns the descriptor, -1 once it is closed or detached.
func (s *Source) FD() int { return s.fd }

// At calls fn in the first turn at or after a time, given since the Unix epoch as by Now.
func (l *Loop) At(at time.Duration, fn func()) *Timer {
	t := &Timer{fn: fn}
	l.timers.Push(at, t)
	return t
}

// After calls fn in the first turn at least d after the time of this one.
func (l *Loop) After(d time.Duration, fn func()) *Timer { return l.At(l.now+d, fn) }

// Post has fn called on the loop's goroutine, in the current turn or the next. It may be called from other goroutines,
// and blocks while 64 posted functions wait; on the loop's goroutine it would then block for ever.
func (l *Loop) Post(fn func()) {
	l.posted <- fn
	l.wakeMutex.Lock()
	defer l.wakeMutex.Unlock()
	if l.isClosed {
		return
	}
	one := [8]byte{1}
	_, _ = Write(l.wakeFD, one[:])
}

// Close closes every watched descriptor and the loop's own. It is to be called after Run has returned, in a process that
// goes on. Functions posted afterwards are not called, and Post still blocks once 64 of them wait.
func (l *Loop) Close() {
	l.wakeMutex.Lock()
	defer l.wakeMutex.Unlock()
	if l.isClosed {
		return
	}
	l.isClosed = true
	for _, s := range l.sources {
		s.Close() // among them the eventfd
	}
	_ = unix.Close(l.epollFD)
}

// Stop makes Run return after this turn.
func (l *Loop) Stop() { l.isStopped = true }

// ClearStop allows Run to be called again after Stop.
func (l *Loop) ClearStop() { l.isStopped = false }

// OnTurnStart sets the function that is called at the start of each turn, after the clock is read and before any
// handler, posted function or timer. It can give up what has expired, such as a lease, before an event of the turn relies
// on it, also after the process was stopped and continued. There is one such function; nil removes it.
func (l *Loop) OnTurnStart(fn func(now time.Duration)) { l.turnStart = fn }

// Turner is called at the end of each turn. Turn returns the time of the next turn it needs, since the Unix epoch, or 0
// if it needs none.
type Turner interface {
	Turn(now time.Duration) (next time.Duration)
}

// Run runs turns until Stop: it waits for events, calls the handlers, the posted functions and the due timers, then the
// Turner. It returns an error only if the wait fails for another reason than an interruption.
func (l *Loop) Run(t Turner) error {
	var next time.Duration
	for !l.isStopped {
		waitStart := l.readClock()
		n, err := l.pollEvents(l.waitMilliseconds(next))
		if err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		l.updateNow()
		l.updateStall(n, l.now-waitStart)
		if l.turnStart != nil {
			l.turnStart(l.now)
		}
		l.serveAll(l.ready[:n])
		for hasPosted := true; hasPosted; {
			select {
			case fn := <-l.posted:
				fn()
			default:
				hasPosted = false
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

// maxWaitAttempts bounds how often in a row a wait may be interrupted before the turn goes on without events.
const maxWaitAttempts = 100

// pollEvents waits for events, at most the given time, and returns how many there are. After an interruption it polls
// again without waiting: continuing a stopped process interrupts the wait, and a turn that had not read what arrived
// meanwhile would start work that the unread data forbids.
func (l *Loop) pollEvents(milliseconds int) (n int, err error) {
	for range maxWaitAttempts {
		if n, err = system.wait(l.epollFD, l.ready, milliseconds); !errors.Is(err, unix.EINTR) {
			if err == nil && n < len(l.ready) {
				l.pollCount++
			}
			return max(n, 0), err
		}
		milliseconds = 0
	}
	return 0, nil
}

// minBlockingWait is the shortest wait that counts as having blocked, that is, with nothing ready when it began.
const minBlockingWait = time.Millisecond

// updateStall is called at the end of each wait for events, with the number of events and the duration of the wait. It
// records a stall if the previous wait ended more than stallThreshold ago. A stall is over once a wait finds nothing ready
// at first: all that arrived during the stall has then been read.
func (l *Loop) updateStall(n int, waited time.Duration) {
	switch {
	case l.now-l.polledAt > stallThreshold:
		l.stalledSince = l.polledAt
	case n == 0 || waited >= minBlockingWait:
		l.stalledSince = 0
	}
	l.polledAt = l.now
}

// serveAll calls the handlers of all ready descriptors in their serveOrder.
func (l *Loop) serveAll(ready []unix.EpollEvent) {
	if l.hasFirst {
		l.serve(ready, orderFirst)
	}
	l.hasLast = false
	l.serve(ready, orderNormal)
	if l.hasLast {
		l.serve(ready, orderLast)
	}
}

// serve calls the handlers of those ready descriptors that have the selected serveOrder, and sets hasLast if others are to
// be served last.
func (l *Loop) serve(ready []unix.EpollEvent, selected serveOrder) {
	for _, ev := range ready {
		s := l.sources[ev.Fd]
		if s == nil || s.generation != ev.Pad {
			continue
		}
		if s.serveOrder == selected {
			s.handler.Ready(ev.Events)
		} else if s.serveOrder == orderLast {
			l.hasLast = true
		}
	}
}

// waitMilliseconds returns how long to wait for events: until the next timer or the time the Turner asked for (0:
// none), at most maxWait, rounded up to whole milliseconds.
func (l *Loop) waitMilliseconds(next time.Duration) int {
	l.timers.DiscardInactive(func(t *Timer) bool { return t.fn != nil }) // a stopped timer needs no turn
	if at, ok := l.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	wait := maxWait
	if next != 0 {
		wait = min(wait, next-l.readClock())
	}
	return int(max(0, wait+time.Millisecond-1) / time.Millisecond)
}
