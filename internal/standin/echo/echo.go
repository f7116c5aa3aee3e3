// Package echo is an in-process stand-in for a target. It answers each line with
// the same line, over an in-memory pipe that also works under a fake clock.
package echo

import (
	"bufio"
	"net"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// Codec exchanges single lines that hold a request's id.
type Codec struct{}

var _ exchange.TargetCodec = Codec{}

// AppendRequest implements exchange.TargetCodec.
func (Codec) AppendRequest(dst []byte, r *exchange.Request, _ string, _ time.Duration) []byte {
	return append(append(dst, r.ID...), '\n')
}

// ReadReply implements exchange.TargetCodec.
func (Codec) ReadReply(in *bufio.Reader, _ bool) (*exchange.Reply, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	return &exchange.Reply{Status: 200, ID: line[:len(line)-1], Signature: "echo"}, nil
}

// Connect returns a connection to a target that answers each line after the time
// work. ended, if not nil, is called after the returned connection is closed.
func Connect(work time.Duration, ended func()) net.Conn {
	client, server := net.Pipe()
	go func() {
		if ended != nil {
			defer ended()
		}
		lines := bufio.NewReader(server)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			time.Sleep(work)
			if _, err := server.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return client
}
