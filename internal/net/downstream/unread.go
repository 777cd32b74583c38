package downstream

import (
	"time"

	"ferryfront.example/ferryfront/internal/net/loop"
)

// unreadInput tells since when input that has not been read yet may have been waiting: the connection is not always
// polled, and what a client has written by then uses up its request's time all the same.
//
// A socket without unread input does not show by itself that the client has written nothing more. If the system has taken no
// more from the client, because too much was unread, the client's system sends the rest only after that has been read. So
// then the socket must have been empty for settleTime.
type unreadInput struct {
	// emptyAt is when the client was last known to have nothing written that was unread.
	emptyAt time.Duration
	// isDrained is set while the socket is polled and had no unread input when it was last looked at, at drainedAt.
	isDrained bool
	drainedAt time.Duration
	// mayLag is set if so much may have been unread that the client's system holds more.
	mayLag bool
}

// settleTime is longer than a round trip to a client.
const settleTime = 20 * time.Millisecond

// isSettled reports whether input that is reported now has just been written.
func (u *unreadInput) isSettled(now time.Duration) bool {
	return u.isDrained && (!u.mayLag || now-u.drainedAt >= settleTime)
}

// since returns the earliest time at which unread input may have been written.
func (u *unreadInput) since(now time.Duration) time.Duration {
	if u.isSettled(now) {
		return now
	}
	return min(now, u.emptyAt)
}

// noteRead records a read. isEmpty tells that it left nothing unread.
func (u *unreadInput) noteRead(now time.Duration, isEmpty bool) {
	u.emptyAt, u.mayLag = u.since(now), !u.isSettled(now) && u.mayLag || !isEmpty
	u.isDrained, u.drainedAt = isEmpty, now
	if u.isSettled(now) {
		u.emptyAt = now
	}
}

// notePolled records that the socket is polled for input from now on, or is no more.
func (u *unreadInput) notePolled(now time.Duration, isPolled bool, fd int) {
	if !isPolled {
		u.emptyAt, u.isDrained, u.mayLag = u.since(now), false, true
		return
	}
	if u.isDrained {
		return
	}
	if n, ok := loop.UnreadBytes(fd); ok && n == 0 {
		u.isDrained, u.drainedAt = true, now
	}
}

// maxSendBufferBytes is the most that a client's system holds for a connection, by the default of Linux.
const maxSendBufferBytes = 4 << 20

// LastIncomplete returns a time at which the last byte of the current request had not been written yet, as late a one as is
// known: the time of the request runs from then.
func (c *Conn) LastIncomplete() time.Duration {
	now := c.server.loop.Now()
	switch {
	case c.upload == nil:
		return c.arrivedAt
	case c.unread.isSettled(now) && c.parser.Buffered() == 0, c.isCertainlyIncomplete(now):
		return now
	}
	return c.unread.since(now)
}

// isCertainlyIncomplete reports whether the unread input, and what the client's system may hold beyond it, can't be all of
// the rest of the request body.
func (c *Conn) isCertainlyIncomplete(now time.Duration) bool {
	unread, ok := loop.UnreadBytes(c.source.FD())
	if !ok {
		return false
	}
	isClientBehind := unread == 0 && now-c.lastReadAt >= settleTime
	length := c.upload.pipe.ContentLength
	if length < 0 {
		return isClientBehind && c.parser.Buffered() == 0
	}
	missing := int(length) - c.upload.received - c.parser.Buffered() - unread
	return missing > 0 && (isClientBehind || missing > maxSendBufferBytes)
}
