package searcher

import (
	"bytes"
	"fmt"
	"net"

	"github.com/swiftvane/swiftvane/platform"
)

// blockBytes is the size of a block of an endless answer.
const blockBytes = 16 << 10

// endless returns how an endless answer begins and what follows over and over.
func endless(id, signature string, fault Fault) (begin string, block []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, platform.HeaderSignature, signature)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", blockBytes, make([]byte, blockBytes))
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	switch fault {
	case EndlessBody:
		return head + chunked, []byte(chunk)
	case EndlessHead:
		return head, repeat("A: b\r\n")
	case EndlessInterims:
		return "", repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")
	case EndlessUnframed:
		return head + "\r\n", make([]byte, blockBytes)
	case EndlessTrailer:
		return head + chunked + chunk + "0\r\n", repeat("A: b\r\n")
	default:
		return "", repeat("noise ")
	}
}

// repeat returns a block of repeated parts.
func repeat(part string) []byte { return bytes.Repeat([]byte(part), blockBytes/len(part)) }

// sendEndlessly writes what the fault asks for until the connection fails.
func (s *Searcher) sendEndlessly(to net.Conn, id, signature string, fault Fault) {
	begin, block := endless(id, signature, fault)
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
