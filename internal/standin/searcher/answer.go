package searcher

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

func (s *Searcher) answer(w http.ResponseWriter, id string, body []byte, fault Fault) {
	reply := s.Reply(id, body)
	signature := Signature(s.opts.Service, s.opts.ID, id)
	switch fault {
	case NoAnswer:
		s.hijack(w, func(net.Conn, *bufio.ReadWriter) { time.Sleep(time.Hour) })
		return
	case Noise, EndlessBody, EndlessHead, EndlessInterims, EndlessUnframed, EndlessTrailer:
		s.hijack(w, func(c net.Conn, _ *bufio.ReadWriter) { s.sendEndlessly(c, id, signature, fault) })
		return
	case LoseAnswer:
		s.hijack(w, func(c net.Conn, _ *bufio.ReadWriter) { _ = c.(*net.TCPConn).SetLinger(0) })
		return
	case CutAnswer:
		s.sendRaw(w, id, signature, len(reply), reply[:len(reply)/2])
		return
	case CutHead:
		s.hijack(w, func(c net.Conn, _ *bufio.ReadWriter) { _, _ = c.Write(cutHead(id, signature, len(reply))) })
		return
	case NoLength:
		s.sendRaw(w, id, signature, -1, reply)
		return
	case ResetNoLength:
		s.hijack(w, func(c net.Conn, rw *bufio.ReadWriter) {
			writeRaw(rw, id, signature, -1, reply[:len(reply)/2])
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		return
	case TwoAnswers:
		s.hijack(w, func(_ net.Conn, rw *bufio.ReadWriter) {
			writeRaw(rw, id, signature, len(reply), reply)
			writeRaw(rw, id, signature, len(reply), reply)
		})
		return
	case FailRun:
		w.Header().Set(platform.HeaderSignature, signature)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSignature, signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	_, _ = w.Write(reply)
}

// hijack takes over the connection, calls act and closes the connection.
func (s *Searcher) hijack(w http.ResponseWriter, act func(net.Conn, *bufio.ReadWriter)) {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	act(conn, rw)
	_ = conn.Close()
}

func (s *Searcher) sendRaw(w http.ResponseWriter, id, signature string, length int, body []byte) {
	s.hijack(w, func(_ net.Conn, rw *bufio.ReadWriter) { writeRaw(rw, id, signature, length, body) })
}

// cutHead returns the beginning of the head of an answer, without its end.
func cutHead(id, signature string, length int) []byte {
	var head bytes.Buffer
	to := bufio.NewReadWriter(nil, bufio.NewWriter(&head))
	writeRaw(to, id, signature, length, nil)
	return head.Bytes()[:crc32.ChecksumIEEE([]byte(id))%uint32(head.Len())]
}

func writeRaw(rw *bufio.ReadWriter, id, signature string, length int, body []byte) {
	_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", platform.HeaderRequestID, id, platform.HeaderSignature, signature)
	if length >= 0 {
		_, _ = fmt.Fprintf(rw, "Content-Length: %d\r\n", length)
	}
	_, _ = rw.WriteString("\r\n")
	_, _ = rw.Write(body)
	_ = rw.Flush()
}
