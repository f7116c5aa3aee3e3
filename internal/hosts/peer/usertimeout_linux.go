package peer

import (
	"net"
	"time"

	"github.com/fasthttp/websocket"
	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long written bytes may stay unacknowledged before
// the kernel closes the connection. If it fails, the kernel's default remains.
func setUserTimeout(conn *websocket.Conn, limit time.Duration) {
	inner := conn.NetConn()
	if checked, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = checked.NetConn()
	}
	if hijacked, ok := inner.(interface{ UnsafeConn() net.Conn }); ok {
		inner = hijacked.UnsafeConn()
	}
	tcp, ok := inner.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}
