package target

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// countingConn counts the bytes that were written to the kernel and detects input
// on an idle connection.
type countingConn struct {
	net.Conn
	written int
	// raw is the socket, or nil if the connection has none.
	raw syscall.RawConn
	// peek is the method value peekSocket, stored so that idle does not allocate.
	peek          func(fd uintptr) bool
	nothingToRead bool
}

func newCountingConn(conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn}
	c.peek = c.peekSocket
	if socket, ok := conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // fails on a closed connection only
	}
	return c
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// idle reports whether the connection is open with nothing to read. Between
// exchanges, anything else means that the target closed it or sent unexpected
// bytes.
func (c *countingConn) idle() bool {
	if c.raw == nil {
		return true
	}
	c.nothingToRead = false
	err := c.raw.Read(c.peek)
	return err == nil && c.nothingToRead
}

// peekSocket checks for readable bytes or the end of input without consuming them.
// It always returns true, so that RawConn.Read does not wait for input.
func (c *countingConn) peekSocket(fd uintptr) bool {
	var one [1]byte
	_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.nothingToRead = err == unix.EAGAIN || err == unix.EINTR
	return true
}
