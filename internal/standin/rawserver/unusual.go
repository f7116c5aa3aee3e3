package rawserver

import (
	"fmt"
	"strings"
)

// Unusual returns replies that are valid though few servers send them, by what is unusual. Each
// is a success with the header lines and the body.
func Unusual(headers, body string) map[string][]byte {
	r := reply{headers: headers, body: body}
	n := len(body)
	all := map[string][]byte{
		"HTTP/1.0":                  r.whole("HTTP/1.0 200 OK", ""),
		"HTTP/1.0, kept alive":      r.whole("HTTP/1.0 200 OK", "Connection: keep-alive\r\n"),
		"later minor version":       r.whole("HTTP/1.9 200 OK", ""),
		"empty reason":              r.whole("HTTP/1.1 200 ", ""),
		"no reason":                 r.whole("HTTP/1.1 200", ""),
		"reason of many words":      r.whole("HTTP/1.1 200 All \t is w\xc3\xa9ll: \"yes\"", ""),
		"lines that end with LF":    []byte(strings.ReplaceAll(string(r.whole(okLine, "A: b\r\n"))[:len(r.whole(okLine, "A: b\r\n"))-n], "\r\n", "\n") + body),
		"all marks in a name":       r.whole(okLine, "!#$%&'*+-.^_`|~0Az: b\r\n"),
		"empty value":               r.whole(okLine, "A:\r\n"),
		"blanks around a value":     r.whole(okLine, "A: \t b \t \r\nB:b\r\n"),
		"value of other characters": r.whole(okLine, "A: \"b\", (c); d=\xff\x80\tf\r\n"),
		"folded value":              r.whole(okLine, "A: b\r\n \r\n\tc\r\n"),
		"long value":                r.whole(okLine, "A: "+strings.Repeat("b", 2000)+"\r\n"),
		"many fields":               r.whole(okLine, strings.Repeat("A: b\r\n", 200)),
		"length in lower case":      r.framed(okLine, fmt.Sprintf("content-length:%d\r\n", n)),
		"length with zeros":         r.framed(okLine, fmt.Sprintf("Content-Length: %030d\r\n", n)),
		"option of the connection":  r.whole(okLine, "Connection: X-Hop, close\r\nX-Hop: 1\r\n"),
		"second Connection field":   r.whole(okLine, "Connection: keep-alive\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"),
		"no length":                 r.framed(okLine, ""),
		"two interim replies":       append([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"), r.whole(okLine, "")...),
		"other interim reply":       append([]byte("HTTP/1.1 199\r\nA: b\r\n\r\n"), r.whole(okLine, "")...),
		"one chunk a byte":          r.chunked(r.oneByteChunks()),
		"zeros of a chunk's size":   r.chunked(fmt.Sprintf("%030X\r\n%s\r\n000\r\n\r\n", n, body)),
		"extensions":                r.chunked(r.oneChunk(" ;a=b;c=\"d e\"") + "0;x\r\n\r\n"),
		"trailer":                   r.chunked(r.oneChunk("") + "0\r\nA: b\r\n c\r\nB:\r\n\r\n"),
		"chunks in capitals":        r.framed(okLine, "TRANSFER-ENCODING: Chunked\r\n"),
	}
	all["chunks in capitals"] = []byte(strings.TrimSuffix(string(all["chunks in capitals"]), body) + r.oneChunk("") + "0\r\n\r\n")
	return all
}

// oneByteChunks returns the body in chunks of one byte.
func (r reply) oneByteChunks() string {
	var chunks strings.Builder
	for i := range len(r.body) {
		_, _ = fmt.Fprintf(&chunks, "1\r\n%s\r\n", r.body[i:i+1])
	}
	return chunks.String() + "0\r\n\r\n"
}
