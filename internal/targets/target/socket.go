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

// countingConn counts the bytes that were handed to the kernel.
type countingConn struct {
	net.Conn
	written int
	// raw is the socket, nil for a connection that has none.
	raw syscall.RawConn
	// peek is peekSocket, kept so that a check allocates nothing.
	peek  func(fd uintptr) bool
	quiet bool
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
// exchanges anything else means that the target closed it or sent bytes that
// nobody asked for.
func (c *countingConn) idle() bool {
	if c.raw == nil {
		return true
	}
	c.quiet = false
	err := c.raw.Read(c.peek)
	return err == nil && c.quiet
}

// peekSocket looks for readable bytes or the end of input. It always reports
// that it is done, so that the caller does not wait.
func (c *countingConn) peekSocket(fd uintptr) bool {
	var one [1]byte
	_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.quiet = err == unix.EAGAIN || err == unix.EINTR
	return true
}
