//go:build !linux

package peer

import (
	"time"

	"github.com/fasthttp/websocket"
)

// setUserTimeout does nothing where the kernel has no such option.
func setUserTimeout(*websocket.Conn, time.Duration) {}
