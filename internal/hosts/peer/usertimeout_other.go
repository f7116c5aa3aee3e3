//go:build !linux

package peer

import (
	"time"

	"github.com/fasthttp/websocket"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists only on Linux.
func setUserTimeout(*websocket.Conn, time.Duration) {}
