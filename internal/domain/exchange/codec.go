package exchange

import (
	"bufio"
	"time"
)

// TargetCodec puts requests and replies into bytes as targets speak them.
type TargetCodec interface {
	// AppendRequest appends the request for one target. left is the time that
	// the caller still waits.
	AppendRequest(dst []byte, r *Request, target string, left time.Duration) []byte
	// ReadReply reads one whole reply. An error leaves the connection unusable.
	ReadReply(from *bufio.Reader, bodyless bool) (*Reply, error)
}
