package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pending reports whether the kernel has input of a connection that was not read yet. Unlike a
// read, it does not depend on the connection's deadline.
func pending(raw net.Conn) bool {
	conn, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	controlErr := control.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return controlErr == nil && err == nil && n > 0
}
