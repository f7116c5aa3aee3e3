package searcher

import (
	"bytes"
	"fmt"
	"net"

	"github.com/swiftvane/swiftvane/platform"
)

// blockBytes is the size of a block of an endless answer.
const blockBytes = 16 << 10

// sendEndlessly writes what the fault asks for until the connection fails.
func (s *Searcher) sendEndlessly(to net.Conn, id, signature string, fault Fault) {
	begin := ""
	block := bytes.Repeat([]byte("noise "), blockBytes/6)
	if fault == EndlessBody {
		begin = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			platform.HeaderRequestID, id, platform.HeaderSignature, signature)
		block = fmt.Appendf(nil, "%x\r\n%s\r\n", blockBytes, make([]byte, blockBytes))
	}
	if _, err := to.Write([]byte(begin)); err != nil {
		return
	}
	for {
		n, err := to.Write(block)
		s.mu.Lock()
		s.sent += int64(n)
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Sent returns the number of bytes of endless answers.
func (s *Searcher) Sent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}
