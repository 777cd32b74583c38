// Package handover carries the messages of a handover, and file descriptors with them, between two processes of one
// ingress over a Unix socket. It also connects a new process to the running one if somebody else started it, and
// converts state between Go types and messages. All of it runs on the goroutine of the event loop. It doesn't decide
// which message is sent when; package phase does.
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

// Sink receives what a Conn reads, on the loop's goroutine.
type Sink interface {
	// HandleMessage handles a message. It owns the descriptors that came with the message and closes them.
	HandleMessage(e *pb.Envelope, fds []int)
	// ConnectionLost is called once, when nothing more can be read. The error is io.EOF if the other process has closed
	// its end or died, and another one if the data is invalid or a read failed.
	ConnectionLost(err error)
}

// DescriptorEnv is the environment variable that gives a started process the number of its socket's descriptor.
const DescriptorEnv = "FERRYFRONT_HANDOVER"

const (
	// maxPacketBytes bounds the part of a message in one packet. It is well under the size of a socket's buffer.
	maxPacketBytes = 32 << 10
	// maxMessageFDs bounds the descriptors sent with one message. The kernel's own limit is 253.
	maxMessageFDs = 64
	// The first byte of a packet tells whether it ends its message or more packets follow.
	lastPacket, morePackets = 0, 1
)

// Conn is one end of the connection between the two processes. Only the loop's goroutine may use it. A message longer than
// maxPacketBytes goes out in several packets.
type Conn struct {
	loop          *loop.Loop
	limits        limits.Limits
	source        *loop.Source
	sink          Sink
	queue         []packet // not sent yet
	queuedBytes   int      // total length of the packets in the queue
	onFlushed     func()   // set by WhenFlushed; nil: none
	partial       []byte   // what has been read of an incomplete message
	partialFDs    []int    // descriptors that came with partial
	isLost        bool     // ConnectionLost has been called
	readBuffer    []byte   // for one packet
	controlBuffer []byte   // for the descriptors of one packet

	// sendMessage is the system call sendmsg. Tests replace it by a function that fails.
	sendMessage func(fd int, b, oob []byte, to unix.Sockaddr, flags int) (int, error)
}

// packet is a part of a message that is sent in one call, with the descriptors that go with it.
type packet struct {
	bytes []byte
	fds   []int
}

// Pair opens a connected pair of nonblocking sockets and returns their descriptors. Both are close-on-exec: the started
// process gets only the one that it is passed explicitly.
func Pair() (ours, theirs int, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, -1, fmt.Errorf("handover: %w", err)
	}
	return fds[0], fds[1], nil
}

// New makes a connection of fd and reads from it until ConnectionLost or Close. It sets fd nonblocking and
// close-on-exec. After an error fd remains the caller's.
func New(l *loop.Loop, limits limits.Limits, fd int, s Sink) (*Conn, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("handover: descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	c := &Conn{loop: l, limits: limits, sink: s, sendMessage: unix.SendmsgN, readBuffer: make([]byte, maxPacketBytes+1),
		controlBuffer: make([]byte, unix.CmsgSpace(4*maxMessageFDs))}
	var err error
	if c.source, err = l.Watch(fd, loop.In|loop.Hangup, c); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return c, nil
}

// Send queues a message and sends as much as the socket takes. The connection owns the descriptors: it closes them when
// they have been sent or can't be sent any more. The message is dropped without an error if the connection is closed,
// if it can't be encoded or if it has more than maxMessageFDs descriptors.
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

// QueuedBytes returns how many bytes are queued and not yet given to the socket.
func (c *Conn) QueuedBytes() int { return c.queuedBytes }

// WhenFlushed calls fn once, as soon as nothing is queued, but never before it has returned: at the earliest later in the
// loop's present turn. It replaces a function that still waits.
func (c *Conn) WhenFlushed(fn func()) {
	c.onFlushed = fn
	c.loop.After(0, c.callOnFlushed)
}

// callOnFlushed calls the function given to WhenFlushed if the queue is still empty.
func (c *Conn) callOnFlushed() {
	if fn := c.onFlushed; fn != nil && len(c.queue) == 0 {
		c.onFlushed = nil
		fn()
	}
}

// Close closes the socket and every descriptor that the connection still owns. Queued messages are not sent. A nil
// connection may be closed.
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

// closeAll closes descriptors and ignores errors.
func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// Ready reads and writes. The event loop calls it when the socket has events.
func (c *Conn) Ready(events uint32) {
	if events&loop.Out != 0 {
		c.flush()
	}
	if events&(loop.In|loop.Hangup) != 0 {
		c.read()
	}
}

// flush sends queued packets until the socket takes no more. After any other error it drops the queue.
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
		// The other process has to read first, or the system is short of memory: retry when the socket is writable.
		if errors.Is(err, unix.ETOOMANYREFS) || loop.IsOutOfResources(err) {
			break
		}
		if err != nil { // the other process has ended; read reports that after the last messages
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

// ReadAll reads messages until there are no more or the connection is lost.
func (c *Conn) ReadAll() {
	for c.read() {
	}
}

// maxPacketsPerTurn bounds the packets read in one turn of the loop, so that requests aren't delayed.
const maxPacketsPerTurn = 64

// read reads up to maxPacketsPerTurn packets, passes whole messages to the sink and reports whether there may be more.
func (c *Conn) read() bool {
	for range maxPacketsPerTurn {
		if c.source.FD() < 0 || c.isLost {
			return false
		}
		n, oobn, flags, _, err := unix.Recvmsg(c.source.FD(), c.readBuffer, c.controlBuffer, unix.MSG_CMSG_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case loop.IsOutOfResources(err): // nothing to read, or no memory for it yet
			return false
		case errors.Is(err, unix.ECONNRESET): // the other process ended with unread messages, which counts as an ordinary end
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

// takeDescriptors adds the descriptors in a control message to those of the incomplete message. It reports false if the
// control message is invalid or there are too many.
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

// reportLoss stops reading and calls ConnectionLost. The socket stays open until Close, because the other process may take
// its closing for the death of this process.
func (c *Conn) reportLoss(err error) {
	closeAll(c.partialFDs)
	c.partialFDs, c.partial, c.isLost = nil, nil, true
	c.source.Unwatch()
	c.sink.ConnectionLost(err)
}
