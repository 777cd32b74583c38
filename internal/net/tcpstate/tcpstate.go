// Package tcpstate queries the kernel for the state of a TCP connection, where reading and writing do not show it. It
// holds no state of its own and neither reads nor writes the connection.
package tcpstate

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpClose is the kernel's state TCP_CLOSE, that of a reset connection. One that the peer has closed in an orderly way is
// in another state: it is half-closed.
const tcpClose = 7

// WasReset reports whether the peer has reset a connection that this side has not closed. If the state can't be
// queried, it returns true. Reading alone does not show it, because the kernel reports a reset only once: after a write
// has returned the error, a read returns an ordinary end of file.
func WasReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(tcpClose)
	_ = raw.Control(func(fd uintptr) { // on an error the state stays tcpClose
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == tcpClose
}
