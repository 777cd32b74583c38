// Package handover carries a hand-over's messages between two processes of one ingress, descriptors with them,
// over a pair of Unix sockets. When they are sent and what follows is decided in package phase.
package handover

import (
	"errors"
	"fmt"
	"io"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/limits"
	"ferryfront.example/ferryfront/internal/net/loop"
)

// Sink is told what comes. Descriptors that come with a message are the sink's.
type Sink interface {
	Message(e *pb.Envelope, fds []int)
	// Lost: nothing more comes. The error is io.EOF where the other side has ended.
	Lost(err error)
}

// Env names the descriptor of its end to the process that is started.
const Env = "FERRYFRONT_HANDOVER"

const (
	packetBytes = 32 << 10 // of a message in one packet; well under what a socket may hold
	fdsMost     = 64       // descriptors with one message; the kernel takes 253
	last, more  = 0, 1     // a packet's first byte
)

// Conn is one end. It belongs to the loop's goroutine.
type Conn struct {
	loop  *loop.Loop
	lim   limits.Limits
	src   *loop.Source
	sink  Sink
	queue []packet
	bytes int // in the queue
	dry   func()
	part  []byte // of a message that is not whole yet
	fds   []int  // that came with it
	gone  bool   // told as lost
	room  []byte
	oob   []byte

	// sendMessage is the system call; tests put one in its place that fails.
	sendMessage func(fd int, b, oob []byte, to unix.Sockaddr, flags int) (int, error)
}

type packet struct {
	b   []byte
	fds []int
}

// Pair opens a connected pair of sockets, closed in programs that are started unless handed to them.
func Pair() (ours, theirs int, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, -1, fmt.Errorf("handover: %w", err)
	}
	return fds[0], fds[1], nil
}

// New watches one end.
func New(l *loop.Loop, lim limits.Limits, fd int, s Sink) (*Conn, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("handover: descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	c := &Conn{loop: l, lim: lim, sink: s, sendMessage: unix.SendmsgN, room: make([]byte, packetBytes+1), oob: make([]byte, unix.CmsgSpace(4*fdsMost))}
	var err error
	if c.src, err = l.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return c, nil
}

// Send queues a message. The descriptors become the connection's: they are closed once they have been sent,
// or with it.
func (c *Conn) Send(e *pb.Envelope, fds ...int) {
	b, err := proto.Marshal(e)
	if err != nil || c.src.FD() < 0 || len(fds) > fdsMost {
		closeAll(fds)
		return
	}
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), packetBytes)
		p := packet{b: append(make([]byte, 0, n+1), more)}
		p.b = append(p.b, b[:n]...)
		if b = b[n:]; len(b) == 0 {
			p.b[0] = last
		}
		if first {
			p.fds = fds
		}
		c.queue = append(c.queue, p)
		c.bytes += len(p.b)
	}
	c.flush()
}

// Waiting tells how many bytes are queued.
func (c *Conn) Waiting() int { return c.bytes }

// WhenDry has a function called, once, as soon as nothing is queued; later in this turn at the earliest.
func (c *Conn) WhenDry(fn func()) {
	c.dry = fn
	c.loop.After(0, c.dried)
}

func (c *Conn) dried() {
	if fn := c.dry; fn != nil && len(c.queue) == 0 {
		c.dry = nil
		fn()
	}
}

// Close ends the connection. What is queued is not sent any more.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	for _, p := range c.queue {
		closeAll(p.fds)
	}
	closeAll(c.fds)
	c.queue, c.bytes, c.fds, c.part, c.dry = nil, 0, nil, nil, nil
	c.src.Close()
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// Ready goes on with what the connection was about.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 {
		c.flush()
	}
	if events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
}

func (c *Conn) flush() {
	for len(c.queue) > 0 {
		p := &c.queue[0]
		var oob []byte
		if len(p.fds) > 0 {
			oob = unix.UnixRights(p.fds...)
		}
		_, err := c.sendMessage(c.src.FD(), p.b, oob, nil, unix.MSG_NOSIGNAL)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, unix.ETOOMANYREFS) || loop.IsOutOfResources(err) { // the other side, or the machine, has yet to make room
			break
		}
		if err != nil { // the other side has ended; reading tells so, after what it has still said
			for _, p := range c.queue {
				closeAll(p.fds)
			}
			c.queue, c.bytes = nil, 0
			break
		}
		closeAll(p.fds)
		c.bytes -= len(p.b)
		c.queue = c.queue[1:]
	}
	if len(c.queue) > 0 {
		c.src.SetEvents(loop.In | loop.Out | loop.Hangup)
		return
	}
	c.queue = nil
	c.src.SetEvents(loop.In | loop.Hangup)
	if c.dry != nil {
		c.loop.After(0, c.dried)
	}
}

// Drain reads all that has come, up to the loss.
func (c *Conn) Drain() {
	for c.read() {
	}
}

// reads bounds the packets of one turn: requests have their turns meanwhile.
const reads = 64

// read takes what has come and tells whether there may be more.
func (c *Conn) read() bool {
	for range reads {
		if c.src.FD() < 0 || c.gone {
			return false
		}
		n, oobn, flags, _, err := unix.Recvmsg(c.src.FD(), c.room, c.oob, unix.MSG_CMSG_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case loop.IsOutOfResources(err): // nothing is there, or no memory for it yet
			return false
		case errors.Is(err, unix.ECONNRESET): // it has died with something unread: no less an end
			c.lose(io.EOF)
			return false
		case err != nil:
			c.lose(err)
			return false
		}
		if !c.rights(c.oob[:oobn]) || flags&(unix.MSG_CTRUNC|unix.MSG_TRUNC) != 0 {
			c.lose(errors.New("descriptors or bytes were cut off"))
			return false
		}
		if n == 0 {
			c.lose(io.EOF)
			return false
		}
		if c.part = append(c.part, c.room[1:n]...); len(c.part) > c.lim.MaxHandoverMessageBytes {
			c.lose(fmt.Errorf("a message over %d bytes", c.lim.MaxHandoverMessageBytes))
			return false
		}
		if c.room[0] == more {
			continue
		}
		e := &pb.Envelope{}
		if err := proto.Unmarshal(c.part, e); err != nil || c.room[0] != last {
			c.lose(fmt.Errorf("a message that can't be read: %w", err))
			return false
		}
		fds := c.fds
		c.part, c.fds = c.part[:0], nil
		c.sink.Message(e, fds)
	}
	return true
}

func (c *Conn) rights(oob []byte) bool {
	if len(oob) == 0 {
		return true
	}
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return false
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return false
		}
		c.fds = append(c.fds, fds...)
	}
	return len(c.fds) <= fdsMost
}

// lose tells the loss once. The socket stays open: the other side may take its close for our death.
func (c *Conn) lose(err error) {
	closeAll(c.fds)
	c.fds, c.part, c.gone = nil, nil, true
	c.src.Unwatch()
	c.sink.Lost(err)
}
