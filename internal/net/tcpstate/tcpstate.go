// Package tcpstate tells in which state the kernel holds a TCP connection, where reading and writing do not. It is owned by
// whoever calls it, and neither reads nor writes the connection.
package tcpstate

import (
	"net"

	"golang.org/x/sys/unix"
)

// closed is the kernel's TCP_CLOSE. An orderly end of the other side leaves a connection half open.
const closed = 7

// WasReset tells whether a connection that this side has not closed was reset by the other, and also where that can't be
// found out. A reset is reported once only: where a write has got the report, reading ends as if in order.
func WasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(closed)
	_ = raw.Control(func(fd uintptr) { // on an error the state stays the closed one
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == closed
}
