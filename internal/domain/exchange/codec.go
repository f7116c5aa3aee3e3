package exchange

import (
	"bufio"
	"time"
)

// TargetCodec encodes requests and decodes replies in the targets' protocol.
type TargetCodec interface {
	// AppendRequest appends the encoded request for one target. left is the
	// remaining time that the caller waits.
	AppendRequest(dst []byte, r *Request, target string, left time.Duration) []byte
	// ReadReply reads one complete reply. The connection is unusable after an
	// error.
	ReadReply(from *bufio.Reader, bodyless bool) (*Reply, error)
}
