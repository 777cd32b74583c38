// Package downstream holds the client side: listeners and client connections.
package downstream

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/http1"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Front is given the requests of its listener. It answers each with one [Conn.Reply], at once or later.
type Front interface {
	Request(c *Conn, r *http1.Request)
	Left(c *Conn)  // the client of an unanswered request has gone
	Whole(c *Conn) // the body of a request that was open has come to its end
	Malformed(c *Conn, status int, what string)
}

// Server holds all client connections, of every front, and their common bound.
type Server struct {
	loop      *loop.Loop
	lim       limits.Limits
	log       *slog.Logger
	listeners []*listener
	conns     map[*Conn]struct{}
	fresh     list // connections that have shown nothing yet, the oldest first
	begun     list // those of which part of a request has come, longest without more of it first
	idle      list // connections between requests, longest idle first
	leaving   list // those whose answer is all that is left, the oldest first
	paused    bool // listeners are not watched: no descriptors
	shut      bool // a connection could not be accepted since this was last set to false
	draining  bool
	closed    bool          // no new connections
	toldAt    time.Duration // when the operator was last told of a pause
	held      bool          // nobody is read: another process is about to take over
	hand      func(State, int)
	debugs    bool   // the log takes debug lines
	accepted  uint64 // connections, from the start
	uploads   int    // requests whose bodies are passed on while they come
	elsewhere int    // connections that another process holds
}

type listener struct {
	s     *Server
	src   *loop.Source
	addr  string
	front Front
	// waiting is since when connections may wait to be accepted, 0: none does that is known of. At watched that was last
	// to be learnt from the system, which tells it at once.
	waiting, watched time.Duration
}

// late is how long a connection that is accepted now may have waited.
func (ln *listener) late() time.Duration {
	if ln.waiting == 0 {
		return ln.s.loop.Late()
	}
	return ln.s.loop.Now() - ln.waiting
}

// leave notes that connections may be left waiting.
func (ln *listener) leave() {
	ln.watched = ln.s.loop.Now()
	if ln.waiting == 0 {
		ln.waiting = ln.watched - ln.s.loop.Late()
	}
}

// toldAtOnce is the time after which the system has surely told of connections that were left waiting.
const toldAtOnce = 10 * time.Millisecond

// expire forgets that connections may wait where none was told of at once: those that come now have just come.
func (ln *listener) expire() {
	if !ln.s.paused && ln.s.loop.Now()-ln.watched > ln.s.loop.Late()+toldAtOnce {
		ln.waiting = 0
	}
}

// New returns a server without listeners.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger) *Server {
	s := &Server{loop: l, lim: lim, log: log, conns: map[*Conn]struct{}{}, debugs: core.Debugs(log)}
	l.After(sweepEvery, s.sweep)
	return s
}

// sweepEvery is how often connections are checked for having been silent too long.
const sweepEvery = 250 * time.Millisecond

// Listen opens a listener for a front.
func (s *Server) Listen(addr string, f Front) error {
	fd, err := loop.ListenBeside(addr)
	if err != nil {
		return err
	}
	return s.watch(fd, addr, f)
}

func (s *Server) watch(fd int, addr string, f Front) (err error) {
	ln := &listener{s: s, addr: addr, front: f}
	events := uint32(loop.In)
	if s.held {
		events = 0
	}
	if ln.src, err = s.loop.Watch(fd, events, ln); err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.listeners = append(s.listeners, ln)
	return nil
}

// Ready accepts what waits, up to a bound: those who connect by the hundred must not keep the others' answers.
// After a time in which the process stood still all are taken: what they have sent meanwhile is as old as that.
func (ln *listener) Ready(uint32) {
	most := ln.s.lim.Accepts
	if ln.s.loop.Late() > 0 {
		most = ln.s.lim.Downstream
	}
	ln.accept(most)
}

func (ln *listener) accept(most int) {
	s := ln.s
	ln.expire()
	for range most {
		if s.held {
			break
		}
		if len(s.conns)+s.elsewhere >= s.lim.Downstream && !s.makeRoom() {
			s.pause("all connections busy")
			break
		}
		fd, err := loop.Accept(ln.src.FD())
		if errors.Is(err, loop.ErrAgain) {
			ln.waiting = 0
			return
		}
		if loop.OutOfDescriptors(err) && s.makeRoom() { // they are this process's: one less helps
			continue
		}
		if err == nil {
			err = ln.open(fd)
		}
		if err != nil { // the machine is short of something: the connections that there are stay
			s.pause(err.Error())
			break
		}
	}
	ln.leave()
}

// open begins a connection. One that may have waited is read at once: in the next turn nothing would tell how old is what
// it has sent.
func (ln *listener) open(fd int) error {
	s, now := ln.s, ln.s.loop.Now()
	c := &Conn{s: s, ln: ln, parser: http1.NewRequestParser(s.lim.HeadBytes, s.lim.BodyBytes, s.lim.KeepBytes), since: now,
		opened: now, moved: now}
	if err := s.enter(c, fd); err != nil {
		return err
	}
	if late := ln.late(); late > 0 {
		c.readLate(late)
	}
	return nil
}

// enter watches a connection's descriptor, or closes it.
func (s *Server) enter(c *Conn, fd int) (err error) {
	if c.src, err = s.loop.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		loop.CloseFD(fd)
		return err
	}
	s.accepted++
	c.number = s.accepted
	s.conns[c] = struct{}{}
	c.traceOpened()
	c.list()
	return nil
}

func (s *Server) sweep() {
	s.loop.After(sweepEvery, s.sweep)
	now := s.loop.Now()
	for c := range s.conns {
		switch {
		case c.lingering && now-c.since > c.lingerTime():
			c.drop(closedLingered)
		case c.down != nil:
			if now-c.down.moved > s.lim.FlowSilence {
				c.gone(closedNoProgress)
			}
		case c.up != nil && c.slow(now):
			c.cut()
			c.malformed(408, "request not whole in time")
		case s.held: // not read, so what it has not shown is not its fault
		case c.busy || c.lingering:
		case c.parser.Begun():
			if now-c.since > s.lim.RequestTime(c.parser.Body()) {
				c.malformed(408, "request not whole in time")
			}
		case !c.served && now-c.opened > s.lim.FirstTime, now-c.since > s.lim.DownstreamIdle:
			c.finishUnlessAsked(closedIdle)
		}
	}
}

// Drain begins the end: every answer from now on closes its connection.
func (s *Server) Drain() { s.draining = true }

// Serving tells whether new connections are taken and read.
func (s *Server) Serving() bool { return len(s.listeners) > 0 && !s.held && !s.closed && !s.draining }

// Connections tells how many are open.
func (s *Server) Connections() int { return len(s.conns) }

// Conn is one client connection. It carries one request at a time; what a client sends ahead waits.
type Conn struct {
	Stream uint64 // the front's mark of the request that is being answered
	Trace  string // traceparent that its answer gives back, empty for none

	s          *Server
	number     uint64 // in the log
	src        *loop.Source
	ln         *listener
	parser     *http1.RequestParser
	out        []byte        // not written yet
	since      time.Duration // idle, or ending; of a request that has begun, its first byte
	opened     time.Duration
	moved      time.Duration // bytes last came
	arrivals   arrivals      // of what is not parsed yet
	came       time.Duration // when the last byte of the present request did
	served     bool          // it has had an answer that is no complaint
	dropped    int           // bytes read after the end
	dumped     int           // of what was sent too far ahead
	unread     bool          // of a request that was answered before it had come
	busy       bool          // a request awaits its answer
	head       bool          // its method is HEAD
	old        bool          // it is of HTTP/1.0
	up         *upload       // of the present request's body, nil if it is whole
	down       *download     // of the present answer's, nil if it was given whole
	last       bool          // close after the present answer
	lingering  bool          // our side has ended; what still comes is read and dropped
	parsing    bool
	prev, next *Conn // in the list that it is in
	in         *list
}

// Now is the time of this turn.
func (c *Conn) Now() time.Duration { return c.s.loop.Now() }

// Waited is how long ago the present request came: its client's patience began then.
func (c *Conn) Waited() time.Duration { return max(0, c.Now()-c.came) }

func (c *Conn) setIdle() {
	c.since = c.s.loop.Now()
	c.moved = c.since
	c.parser.Rest()
	c.list()
}

// list enters a connection on which nothing is owed among those that may have to make room.
func (c *Conn) list() {
	switch {
	case c.parser.Begun():
		c.s.begun.push(c)
	case c.served:
		c.s.idle.push(c)
	default:
		c.s.fresh.push(c)
	}
}

// Ready reads, writes, or learns that the client has gone.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 && !c.flush() {
		return
	}
	if c.lingering {
		c.discard()
		return
	}
	switch {
	case events&loop.Broken != 0: // whatever of it is not read yet
		c.gone(closedReset)
	case events&loop.Ended != 0 && c.stuck():
		c.left()
	case c.s.held && !c.busy: // what has come is read by whoever goes on with the connection
	case events&(loop.In|loop.Hangup) != 0:
		c.read()
	}
}

// read takes what one read brings, and no more than there is room for: the others have their turns, and hundreds that
// begin long bodies at one instant must not hold the first piece of each at its largest.
func (c *Conn) read() { c.readLate(c.s.loop.Late()) }

// lateReads is how much more is read, in reads, of what had to wait: its client's end may be right behind, and it had its
// time to go.
const lateReads = 8

// readLate reads what may have come so much earlier. Of that nothing is begun before it is known whether its client is still
// there.
func (c *Conn) readLate(late time.Duration) {
	got, stands := c.take(late)
	for n := 0; stands && got && late > 0 && c.up == nil && n < lateReads; n++ {
		got, stands = c.take(late)
	}
	if !stands {
		return
	}
	c.upload()
	c.parse()
}

// take reads once. It tells whether anything came, and whether the connection still stands.
func (c *Conn) take(late time.Duration) (got, stands bool) {
	most := c.s.lim.HeadBytes
	if c.up != nil {
		most = max(1, c.up.pipe.Room())
	}
	buf := c.s.loop.Buf()
	n, err := loop.Read(c.src.FD(), buf[:min(len(buf), most)])
	if err != nil && !errors.Is(err, loop.ErrAgain) { // gone, whether with EOF or a reset
		c.gone(closeReason(err.Error()))
		return false, false
	}
	if n == 0 {
		return false, true
	}
	c.moved = c.s.loop.Now()
	if !c.busy && !c.parser.Begun() {
		c.since = c.moved
	}
	d := 0
	if c.up != nil {
		d = c.parser.Direct(buf[:n])
		c.up.got += d
		c.up.pipe.Put(buf[:d])
	}
	if d < n && !c.tooMuch(n-d) {
		c.parser.Feed(buf[d:n])
		c.arrivals.came(n-d, c.moved-late)
	}
	return true, true
}

// parse hands on the next request, and the next again if it was answered at once.
func (c *Conn) parse() {
	if c.parsing {
		return
	}
	c.parsing = true
	defer func() { c.parsing = false }()
	for n := 0; !c.busy && !c.lingering && !c.s.held && c.src.FD() >= 0; n++ {
		if n == c.s.lim.Ahead { // the others have their turn
			c.s.loop.After(time.Microsecond, c.parse)
			break
		}
		req, err := c.parser.Next()
		if err != nil {
			c.complain(err)
			return
		}
		if req == nil {
			if c.parser.WantsContinue() {
				c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			break
		}
		c.came = c.arrivals.of(c.parser.Buffered(), c.Now())
		c.busy, c.head, c.old = true, req.Method == "HEAD", req.Old
		c.last = c.last || req.Close
		c.traceRead(req)
		c.unlist()
		if req.Open {
			c.begin(req)
			continue
		}
		c.ln.front.Request(c, req)
	}
	if !c.busy && !c.lingering && c.src.FD() >= 0 && c.parser.Begun() {
		c.s.begun.push(c)
	}
	c.want()
}

// complain answers what could not be read.
func (c *Conn) complain(err error) {
	status := 400
	var pe *http1.ParseError
	if errors.As(err, &pe) {
		status = pe.Status
	}
	c.malformed(status, err.Error())
}

// want watches for what can be used: no more input than is bounded, output only while some waits.
func (c *Conn) want() {
	if c.src.FD() < 0 {
		return
	}
	events := uint32(loop.Hangup)
	switch {
	case c.s.held && !c.busy && !c.lingering:
		events = 0
	case c.lingering:
		events |= loop.In
	case c.up != nil:
		if events = loop.Hangup; c.up.pipe.Room() > 0 { // else only its end is of use now
			events |= loop.In
		}
	case c.dumped > c.s.lim.LingerBytes:
	case c.busy, c.parser.Buffered() <= c.most():
		events |= loop.In
	}
	if len(c.out) > 0 || c.down != nil && len(c.down.pipe.Next()) > 0 {
		events |= loop.Out
	}
	c.src.Want(events)
}

func (c *Conn) malformed(status int, what string) {
	c.busy, c.last = true, true
	c.unread = c.unread || status == 413 // its client may write all of it before it reads
	c.unlist()
	c.ln.front.Malformed(c, status, what)
}

// Reply answers the present request.
func (c *Conn) Reply(status int, h http1.Headers, body []byte) {
	if c.src.FD() < 0 || !c.busy {
		return
	}
	c.busy, c.Stream = false, 0
	h = c.traced(h)
	if c.up != nil { // what still comes of the request is read and dropped
		c.last = true
		c.dropUpload()
	}
	c.served = c.served || status < 400 || status == 429 || status >= 500
	c.last = c.last || c.s.draining
	if !c.write(http1.AppendResponse(nil, status, h, body, c.last, c.head)) {
		return
	}
	c.answered()
}

// traced adds the trace that the answer gives back.
func (c *Conn) traced(h http1.Headers) http1.Headers {
	if c.Trace != "" {
		h = append(h[:len(h):len(h)], http1.Header{Name: "traceparent", Value: c.Trace})
		c.Trace = ""
	}
	return h
}

// answered goes on after an answer, as far as it is ours to write.
func (c *Conn) answered() {
	if c.last {
		c.finish(closedAnswered)
		return
	}
	c.setIdle()
	switch {
	case c.s.hand != nil && !c.parsing:
		c.give()
	case c.s.held:
		c.want()
	case c.parser.Buffered() > 0:
		c.parse()
	}
}

// write sends what there is room for and keeps the rest. It tells whether the connection still stands.
func (c *Conn) write(b []byte) bool {
	if len(c.out) > 0 {
		c.out = append(c.out, b...)
		return true
	}
	n, err := loop.Write(c.src.FD(), b)
	if err != nil {
		c.gone(closeReason(err.Error()))
		return false
	}
	if n < len(b) {
		c.out = append(c.out, b[n:]...)
		c.want()
	}
	return true
}

func (c *Conn) flush() bool {
	n, err := loop.Write(c.src.FD(), c.out)
	if err != nil {
		c.gone(closeReason(err.Error()))
		return false
	}
	if c.out = c.out[n:]; len(c.out) == 0 {
		c.out = nil
		if c.lingering {
			c.endSending()
		}
		c.pump()
		if c.src.FD() < 0 {
			return false
		}
	} else if n > 0 && c.down != nil {
		c.down.moved = c.s.loop.Now()
	}
	c.want()
	return true
}

// gone: the client has closed, or the connection is of no more use to it.
func (c *Conn) gone(why closeReason) {
	busy := c.busy
	if c.up != nil {
		c.up.pipe.End(false)
		c.noUpload()
	}
	c.drop(why)
	if busy {
		c.busy = false
		c.ln.front.Left(c)
	}
}

func (c *Conn) drop(why closeReason) {
	if c.src.FD() < 0 {
		return
	}
	c.traceClosed(why)
	c.src.Close()
	c.dropUpload()
	if c.down != nil {
		c.down.pipe.Drop()
		c.down = nil
	}
	c.unlist()
	delete(c.s.conns, c)
	c.s.resume()
}
