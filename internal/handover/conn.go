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
	HandleMessage(e *pb.Envelope, fds []int)
	// ConnectionLost: nothing more comes. The error is io.EOF where the other side has ended.
	ConnectionLost(err error)
}

// DescriptorEnv names the descriptor of its end to the process that is started.
const DescriptorEnv = "FERRYFRONT_HANDOVER"

const (
	maxPacketBytes          = 32 << 10 // of a message in one packet; well under what a socket may hold
	maxMessageFDs           = 64       // descriptors with one message; the kernel takes 253
	lastPacket, morePackets = 0, 1     // a packet's first byte
)

// Conn is one end. It belongs to the loop's goroutine.
type Conn struct {
	loop          *loop.Loop
	limits        limits.Limits
	source        *loop.Source
	sink          Sink
	queue         []packet
	queuedBytes   int // in the queue
	onFlushed     func()
	partial       []byte // of a message that is not whole yet
	partialFDs    []int  // that came with it
	isLost        bool   // told as lost
	readBuffer    []byte
	controlBuffer []byte

	// sendMessage is the system call; tests put one in its place that fails.
	sendMessage func(fd int, b, oob []byte, to unix.Sockaddr, flags int) (int, error)
}

type packet struct {
	bytes []byte
	fds   []int
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
	c := &Conn{loop: l, limits: lim, sink: s, sendMessage: unix.SendmsgN, readBuffer: make([]byte, maxPacketBytes+1), controlBuffer: make([]byte, unix.CmsgSpace(4*maxMessageFDs))}
	var err error
	if c.source, err = l.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return c, nil
}

// Send queues a message. The descriptors become the connection's: they are closed once they have been sent,
// or with it.
func (c *Conn) Send(e *pb.Envelope, fds ...int) {
	b, err := proto.Marshal(e)
	if err != nil || c.source.FD() < 0 || len(fds) > maxMessageFDs {
		closeAll(fds)
		return
	}
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), maxPacketBytes)
		p := packet{bytes: append(make([]byte, 0, n+1), morePackets)}
		p.bytes = append(p.bytes, b[:n]...)
		if b = b[n:]; len(b) == 0 {
			p.bytes[0] = lastPacket
		}
		if first {
			p.fds = fds
		}
		c.queue = append(c.queue, p)
		c.queuedBytes += len(p.bytes)
	}
	c.flush()
}

// QueuedBytes tells how many bytes are queued.
func (c *Conn) QueuedBytes() int { return c.queuedBytes }

// WhenFlushed has a function called, once, as soon as nothing is queued; later in this turn at the earliest.
func (c *Conn) WhenFlushed(fn func()) {
	c.onFlushed = fn
	c.loop.After(0, c.callOnFlushed)
}

func (c *Conn) callOnFlushed() {
	if fn := c.onFlushed; fn != nil && len(c.queue) == 0 {
		c.onFlushed = nil
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
	closeAll(c.partialFDs)
	c.queue, c.queuedBytes, c.partialFDs, c.partial, c.onFlushed = nil, 0, nil, nil, nil
	c.source.Close()
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
		_, err := c.sendMessage(c.source.FD(), p.bytes, oob, nil, unix.MSG_NOSIGNAL)
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
			c.queue, c.queuedBytes = nil, 0
			break
		}
		closeAll(p.fds)
		c.queuedBytes -= len(p.bytes)
		c.queue = c.queue[1:]
	}
	if len(c.queue) > 0 {
		c.source.SetEvents(loop.In | loop.Out | loop.Hangup)
		return
	}
	c.queue = nil
	c.source.SetEvents(loop.In | loop.Hangup)
	if c.onFlushed != nil {
		c.loop.After(0, c.callOnFlushed)
	}
}

// ReadAll reads all that has come, up to the loss.
func (c *Conn) ReadAll() {
	for c.read() {
	}
}

// maxPacketsPerTurn bounds the packets of one turn: requests have their turns meanwhile.
const maxPacketsPerTurn = 64

// read takes what has come and tells whether there may be more.
func (c *Conn) read() bool {
	for range maxPacketsPerTurn {
		if c.source.FD() < 0 || c.isLost {
			return false
		}
		n, oobn, flags, _, err := unix.Recvmsg(c.source.FD(), c.readBuffer, c.controlBuffer, unix.MSG_CMSG_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case loop.IsOutOfResources(err): // nothing is there, or no memory for it yet
			return false
		case errors.Is(err, unix.ECONNRESET): // it has died with something unread: no less an end
			c.reportLoss(io.EOF)
			return false
		case err != nil:
			c.reportLoss(err)
			return false
		}
		if !c.takeDescriptors(c.controlBuffer[:oobn]) || flags&(unix.MSG_CTRUNC|unix.MSG_TRUNC) != 0 {
			c.reportLoss(errors.New("descriptors or bytes were cut off"))
			return false
		}
		if n == 0 {
			c.reportLoss(io.EOF)
			return false
		}
		if c.partial = append(c.partial, c.readBuffer[1:n]...); len(c.partial) > c.limits.MaxHandoverMessageBytes {
			c.reportLoss(fmt.Errorf("a message over %d bytes", c.limits.MaxHandoverMessageBytes))
			return false
		}
		if c.readBuffer[0] == morePackets {
			continue
		}
		e := &pb.Envelope{}
		if err := proto.Unmarshal(c.partial, e); err != nil || c.readBuffer[0] != lastPacket {
			c.reportLoss(fmt.Errorf("a message that can't be read: %w", err))
			return false
		}
		fds := c.partialFDs
		c.partial, c.partialFDs = c.partial[:0], nil
		c.sink.HandleMessage(e, fds)
	}
	return true
}

func (c *Conn) takeDescriptors(oob []byte) bool {
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
		c.partialFDs = append(c.partialFDs, fds...)
	}
	return len(c.partialFDs) <= maxMessageFDs
}

// reportLoss tells the loss once. The socket stays open: the other side may take its close for our death.
func (c *Conn) reportLoss(err error) {
	closeAll(c.partialFDs)
	c.partialFDs, c.partial, c.isLost = nil, nil, true
	c.source.Unwatch()
	c.sink.ConnectionLost(err)
}
