package rawserver

import (
	"fmt"
	"maps"
)

// reply is the parts of a sound reply with status 200, of which one is replaced at a time.
type reply struct {
	headers, body string
}

// whole returns a reply with the status line, and further header lines before those that state
// the body's length.
func (r reply) whole(statusLine, further string) []byte {
	return r.framed(statusLine, further+fmt.Sprintf("Content-Length: %d\r\n", len(r.body)))
}

// framed returns a reply with the status line, and further header lines before the body.
func (r reply) framed(statusLine, further string) []byte {
	return fmt.Appendf(nil, "%s\r\n%s%s\r\n%s", statusLine, r.headers, further, r.body)
}

// chunked returns a reply whose body is sent as given, in chunks.
func (r reply) chunked(chunks string) []byte {
	return fmt.Appendf(nil, "%s\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", okLine, r.headers, chunks)
}

// okLine is the status line of a sound reply.
const okLine = "HTTP/1.1 200 OK"

// Broken returns replies that the protocol does not allow, by what is wrong with them. Each has
// the header lines and the body, and would be a success if its error were overlooked.
func Broken(headers, body string) map[string][]byte {
	r := reply{headers: headers, body: body}
	all := map[string][]byte{}
	for _, broken := range []map[string][]byte{r.brokenStatuses(), r.brokenFields(), r.brokenLengths(), r.brokenChunks()} {
		maps.Copy(all, broken)
	}
	return all
}

func (r reply) brokenStatuses() map[string][]byte {
	all := map[string][]byte{}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.0 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x2 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "HTTP/1.1200 OK", "HTTP/1.x 200 OK", "HTTP/1. 200 OK", "HTTP/11 200 OK",
		"HTTP/2.0 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\x7f",
	} {
		all[fmt.Sprintf("status line %q", line)] = r.whole(line, "")
	}
	interim := "HTTP/1.1 000 Continue\r\n\r\n"
	all["interim of status 000"] = append([]byte(interim), r.whole(okLine, "")...)
	return all
}

// oneChunk returns the body as a chunk, with text behind its size.
func (r reply) oneChunk(extension string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(r.body), extension, r.body)
}

func (r reply) brokenFields() map[string][]byte {
	all := map[string][]byte{}
	for _, line := range []string{
		"A b: c", "A : c", "A\t: c", "A\tb: c", "A\x00: c", "A\x01b: c", "\x01: c", "A\x7f: c", "A\x80: c", "A\r: c", "A\rb: c",
		"A(b): c", "\"A\": c", "A,b: c", "A/b: c", "A=b: c", "A@b: c", ": c", "noise", "A",
		"A: b\x00c", "A: b\x01c", "A: b\x1fc", "A: b\x7fc", "A: b\rc", "A: \x00", "A: b\r\n c\x00d",
		"\nA: b", "\n: b", "\n", "A\nb: c", "A: b\nB: c", "A: b\n", " A: b", "\tA: b", "A: b\r\n c d: e",
	} {
		all[fmt.Sprintf("field %q", line)] = r.whole(okLine, line+"\r\n")
	}
	interim := "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n"
	all["field of an interim reply"] = append([]byte(interim), r.whole(okLine, "")...)
	for _, line := range []string{"Content-Length : %d\r\n", "Content Length: %d\r\n"} {
		all[fmt.Sprintf("field %q", line)] = r.framed(okLine, fmt.Sprintf(line, len(r.body)))
	}
	for _, line := range []string{" A: b", "\tA: b", " "} {
		raw := reply{headers: line + "\r\n" + r.headers, body: r.body}
		all[fmt.Sprintf("first field %q", line)] = raw.whole(okLine, "")
	}
	return all
}

func (r reply) brokenLengths() map[string][]byte {
	n := len(r.body)
	all := map[string][]byte{
		"chunks under HTTP/1.0": r.framed("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"),
		"101 with a body":       r.framed("HTTP/1.1 101 Switching Protocols", "Content-Length: 5\r\n"),
		"204 with a body":       r.framed("HTTP/1.1 204 No Content", "Content-Length: 5\r\n"),
		"204 in chunks":         r.framed("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked\r\n"),
	}
	for _, lines := range []string{
		fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n", n, n),
		fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n", n, n-1),
		fmt.Sprintf("Content-Length: %d, %d\r\n", n, n),
		fmt.Sprintf("Content-Length: +%d\r\n", n),
		fmt.Sprintf("Content-Length: -%d\r\n", n),
		fmt.Sprintf("Content-Length: 0x%x\r\n", n),
		fmt.Sprintf("Content-Length: %d.0\r\n", n),
		fmt.Sprintf("Content-Length: %d\r\n 0\r\n", n),
		"Content-Length: \r\n",
		"Content-Length: five\r\n",
		"Transfer-Encoding: gzip\r\n",
		"Transfer-Encoding: xchunked\r\n",
		"Transfer-Encoding: identity\r\n",
		"Transfer Encoding: chunked\r\n",
	} {
		all[fmt.Sprintf("length %q", lines)] = r.framed(okLine, lines)
	}
	for _, lines := range []string{
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked, chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding : chunked\r\n",
	} {
		in := reply{headers: r.headers, body: r.oneChunk("") + "0\r\n\r\n"}
		all[fmt.Sprintf("length %q", lines)] = in.framed(okLine, lines)
	}
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n\r\n",
	} {
		all[fmt.Sprintf("interim %q", interim)] = append([]byte(interim), r.whole(okLine, "")...)
	}
	return all
}

func (r reply) brokenChunks() map[string][]byte {
	n := len(r.body)
	all := map[string][]byte{
		"chunk without its end":      r.chunked(fmt.Sprintf("%x\r\n%s0\r\n\r\n", n, r.body)),
		"chunk longer than its size": r.chunked(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n-1, r.body)),
		"chunk that ends with LF":    r.chunked(fmt.Sprintf("%x\r\n%s\n0\r\n\r\n", n, r.body)),
		"no last chunk":              r.chunked(r.oneChunk("") + "\r\n"),
	}
	for _, size := range []string{"", "x", "-5", "+5", "0x5", "5 5", fmt.Sprintf("%x ", n), fmt.Sprintf(" %x", n), fmt.Sprintf("%x\t", n), ";a", "5\x00", "5,"} {
		all[fmt.Sprintf("size of a chunk %q", size)] = r.chunked(size + "\r\n" + r.body + "\r\n0\r\n\r\n")
	}
	for _, extension := range []string{";a\x00b", ";a=\x01", ";\rb", "\n;a"} {
		all[fmt.Sprintf("extension %q", extension)] = r.chunked(r.oneChunk(extension) + "0\r\n\r\n")
	}
	for _, line := range []string{"noise", "A b: c", "A : c", "A\x01: b", ": b", "A: b\x00", " A: b"} {
		all[fmt.Sprintf("trailer %q", line)] = r.chunked(r.oneChunk("") + "0\r\n" + line + "\r\n\r\n")
	}
	return all
}
