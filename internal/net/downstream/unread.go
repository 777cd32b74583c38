package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// unreadInput tells since when input that has not been read yet may have been waiting: the connection is not always
// polled, and what a client has written by then uses up its request's time all the same.
type unreadInput struct {
	// emptyAt is when the socket was last known to have no unread input.
	emptyAt time.Duration
	// isDrained is set while the socket is polled and had no unread input when it was last looked at. Input that is
	// reported then has just arrived.
	isDrained bool
}

// since returns the earliest time at which unread input may have arrived.
func (u *unreadInput) since(now time.Duration) time.Duration {
	if u.isDrained {
		return now
	}
	return min(now, u.emptyAt)
}

// noteRead records a read. isEmpty tells that it left nothing unread.
func (u *unreadInput) noteRead(now time.Duration, isEmpty bool) {
	u.emptyAt, u.isDrained = u.since(now), isEmpty
	if isEmpty {
		u.emptyAt = now
	}
}

// notePolled records that the socket is polled for input from now on, or is no more.
func (u *unreadInput) notePolled(now time.Duration, isPolled bool, fd int) {
	if !isPolled {
		u.emptyAt, u.isDrained = u.since(now), false
		return
	}
	if u.isDrained {
		return
	}
	if n, ok := loop.UnreadBytes(fd); ok && n == 0 {
		u.emptyAt, u.isDrained = now, true
	}
}

const (
	// openWindowBytes is an amount of unread input at which the system still takes more from the client, so that nothing
	// that it has written stays behind.
	openWindowBytes = 16 << 10
	// maxSendBufferBytes is more than a client's system holds for a connection.
	maxSendBufferBytes = 8 << 20
)

// LastIncomplete returns a time at which the last byte of the current request had not been written yet, as late a one as is
// known: the time of the request runs from then.
func (c *Conn) LastIncomplete() time.Duration {
	now := c.server.loop.Now()
	switch {
	case c.upload == nil:
		return c.arrivedAt
	case c.unread.isDrained && c.parser.Buffered() == 0, c.isCertainlyIncomplete():
		return now
	}
	return c.unread.since(now)
}

// isCertainlyIncomplete reports whether the unread input, and what the client's system may hold beyond it, can't be all of
// the rest of the request body.
func (c *Conn) isCertainlyIncomplete() bool {
	unread, ok := loop.UnreadBytes(c.source.FD())
	if !ok {
		return false
	}
	length := c.upload.pipe.ContentLength
	if length < 0 {
		return unread == 0 && c.parser.Buffered() == 0
	}
	missing := int(length) - c.upload.received - c.parser.Buffered() - unread
	return missing > 0 && (unread < openWindowBytes || missing > maxSendBufferBytes)
}
