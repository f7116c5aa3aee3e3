package exchange

import (
	"bufio"
	"time"
)

// TargetCodec encodes requests and decodes replies in the targets' protocol.
type TargetCodec interface {
	// AppendRequest appends the encoded request for one target. left is the time
	// until the caller's deadline.
	AppendRequest(dst []byte, r *Request, targetID string, left time.Duration) []byte
	// ReadReply reads one complete reply. bodyless is set if the reply has no body,
	// as for a HEAD request. The connection is unusable after an error.
	ReadReply(from *bufio.Reader, bodyless bool) (*Reply, error)
}
