// Package listener opens TCP listeners and closes them without resetting connections that the
// kernel has accepted and the process has not. It has no goroutines.
package listener

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// handshakeWait is how long handshakes may take that began before the listener was
	// told to take no more.
	handshakeWait = 20 * time.Millisecond
	// backlogWait bounds the wait for the goroutine that accepts, which may be short of
	// processor time; backlogInterval is the time between two looks at the backlog.
	backlogWait     = 400 * time.Millisecond
	backlogInterval = 5 * time.Millisecond
	// flagsOffset is the offset of the flags in a TCP header, in bytes.
	flagsOffset = 13
	synFlag     = 0x02
	// keepAll keeps a packet of any length.
	keepAll = 0x40000
)

// dropSYN is a socket filter that drops packets which begin a handshake.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 1, K: synFlag},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepAll},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
}

var errNoDescriptor = errors.New("the listener has no file descriptor")

// Listen listens on a TCP address. The listener's Accept fails only once it is closed; it logs
// other errors and tries again. Multipath TCP is off, since its listeners take no socket filter.
func Listen(addr string, log logrus.FieldLogger) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newRetrying(l.(*net.TCPListener), log), nil
}

// Close drains and closes the listener. The error is that of closing.
func Close(l net.Listener) error {
	Drain(l)
	return l.Close()
}

// Drain lets the listener take no further handshakes and waits until the goroutine that
// accepts has taken those that are complete. Closing at once would reset them, although
// their callers may have sent requests. Where the filter is not available it returns at
// once.
func Drain(l net.Listener) {
	if refuseHandshakes(l) != nil {
		return
	}
	time.Sleep(handshakeWait)
	for end := time.Now().Add(backlogWait); backlog(l) > 0 && time.Now().Before(end); {
		time.Sleep(backlogInterval)
	}
}

// backlog returns the number of connections that wait to be accepted, 0 if unknown.
func backlog(l net.Listener) int {
	waiting := 0
	_ = control(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			// For a listener the kernel states its backlog in this field.
			waiting = int(info.Unacked)
		}
		return err
	})
	return waiting
}

// refuseHandshakes drops the packets that begin a handshake with the listener.
func refuseHandshakes(l net.Listener) error {
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// control calls f with the listener's file descriptor.
func control(l net.Listener, f func(fd int) error) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}
