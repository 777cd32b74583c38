package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
	"ferryfront.example/ferryfront/internal/net/membudget"
)

// The input, bodies and output of all connections share one budget. A request whose body is read whole needs room for it
// before more than its head is read. While there is none its connection is not read, and after a while the request is
// refused.

// memoryRetryInterval is the time between two attempts to find room for the connections that wait for it.
const memoryRetryInterval = 5 * time.Millisecond

// SetMemory sets the budget that the connections share with others. It is to be called before the first connection.
func (s *Server) SetMemory(budget *membudget.Budget) { s.memory = budget }

// Memory returns the budget that the connection's request counts towards.
func (c *Conn) Memory() *membudget.Budget { return c.server.memory }

// updateMemory accounts for what the connection holds, or is to hold for the body that is being received.
func (c *Conn) updateMemory() {
	held := c.parser.HeldBytes() + c.unsentHeld
	if expected := c.parser.ExpectedBodyBytes(); c.hasBodyRoom {
		held += max(0, expected-c.parser.BodyBytesRead())
	}
	if c.bodyPipe != nil {
		held += c.bodyPipe.HeldBytes()
	}
	if c.relay != nil {
		held += c.relay.pipe.HeldBytes()
	}
	c.memory.Set(held)
}

// lacksMemory reports whether there is no room for what the connection would read next.
func (c *Conn) lacksMemory() bool {
	if c.awaitingResponse || c.upload != nil || c.lingering || c.hasBodyRoom {
		return false
	}
	more := max(0, c.parser.ExpectedBodyBytes()-c.parser.BodyBytesRead())
	if more > c.server.bounds.MaxHeaderBytes {
		return c.server.memory.Level(more) != membudget.Ample
	}
	return c.server.memory.Level(more) == membudget.Exhausted
}

// reserveMemory takes the room for the rest of a body whose head has been read, or has the connection wait for it.
func (c *Conn) reserveMemory() {
	switch {
	case c.lacksMemory():
		c.awaitMemory()
	case c.parser.ExpectedBodyBytes() > 0:
		c.hasBodyRoom = true
	}
}

// awaitMemory stops reading the connection until there is room.
func (c *Conn) awaitMemory() {
	if c.memoryWaitSince != 0 {
		return
	}
	s := c.server
	c.removeFromList() // its request may have been written whole, so it gets an answer
	c.memoryWaitSince = s.loop.Now()
	s.memoryWaiters = append(s.memoryWaiters, c)
	s.scheduleMemoryRetry()
	s.logMemoryShortage()
}

// scheduleMemoryRetry has admitMemoryWaiters called once, however often it is called itself until then.
func (s *Server) scheduleMemoryRetry() {
	if s.memoryTimer == nil {
		s.memoryTimer = s.loop.After(memoryRetryInterval, s.admitMemoryWaiters)
	}
}

// admitMemoryWaiters goes on with the connections that have room now, those that have waited longest first, and refuses
// the requests of those that have waited too long.
func (s *Server) admitMemoryWaiters() {
	waiters := s.memoryWaiters
	s.memoryWaiters, s.memoryTimer = nil, nil
	var rest []*Conn
	for _, c := range waiters {
		since := c.memoryWaitSince
		switch {
		case c.source.FD() < 0 || c.awaitingResponse || c.lingering || since == 0:
			c.memoryWaitSince = 0
		case len(rest) == 0 && !c.lacksMemory():
			c.memoryWaitSince = 0
			c.addToEvictionList()
			c.reserveMemory()
			c.read()
		case s.loop.Now()-since > s.bounds.MemoryWaitTimeout:
			c.memoryWaitSince = 0
			s.refusedForMemory++
			c.rejectRequest(statusNoMemory, "no memory for the request")
		default:
			rest = append(rest, c)
		}
	}
	s.memoryWaiters = append(rest, s.memoryWaiters...)
	if len(s.memoryWaiters) > 0 {
		s.scheduleMemoryRetry()
	}
}

// statusNoMemory is the status of the response to a request for which there is no memory: it may be sent again.
const statusNoMemory = 503

// logMemoryShortage logs that a request waits for memory, at most once in pauseLogInterval.
func (s *Server) logMemoryShortage() {
	if now := s.loop.Now(); s.memoryLoggedAt == 0 || now-s.memoryLoggedAt > pauseLogInterval {
		s.memoryLoggedAt = now
		s.log.Warn("requests wait for memory", "held", s.memory.Held(), "limit", s.memory.Limit(), "connections", len(s.conns))
	}
}

// maxHeadRead returns how many bytes to read of a connection, so that no more than the longest head and what follows it at
// once is held before it is decided on.
func (c *Conn) maxHeadRead() int {
	limit := c.server.bounds.MaxHeaderBytes
	if !c.awaitingResponse && c.parser.BodyBytesRead() == 0 && c.parser.ExpectedBodyBytes() == 0 {
		return max(1, limit+len(headEnd)-c.parser.Buffered())
	}
	return limit
}

// headEnd separates a head from what follows.
const headEnd = "\r\n\r\n"

// inputEvents returns the events for which a connection is polled as far as its input is concerned.
func (c *Conn) inputEvents() uint32 {
	switch {
	case c.memoryWaitSince != 0, c.overflowBytes > c.server.bounds.MaxLingerBytes:
		return loop.Hangup
	case c.awaitingResponse && c.parser.Buffered() > c.server.bounds.MaxHeaderBytes && c.server.memory.Level(0) != membudget.Ample:
		return loop.Hangup
	case c.awaitingResponse && !c.isPipelineFull(), c.parser.Buffered() <= c.maxBufferedBytes():
		return loop.Hangup | loop.In
	}
	return loop.Hangup
}
