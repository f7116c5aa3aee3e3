package httpreply

import "bytes"

// IsFinal reports whether a status is that of a final reply.
func IsFinal(status int) bool { return status >= firstFinal && status <= lastStatus }

// ValidText reports whether s can be the value of a field.
func ValidText(s string) bool { return isText([]byte(s)) }

// CheckForwarded checks lines of fields, each ended by CRLF, that were taken from a reply to be
// passed on. It fails if one is invalid or states the length of a body.
func CheckForwarded(lines []byte) error {
	for len(lines) > 0 {
		line, rest, ended := bytes.Cut(lines, crlf)
		if !ended {
			return invalid("line without its end", line)
		}
		f, err := parseField(line)
		if err != nil {
			return err
		}
		if f.Is(contentLength) || f.Is(transferEncoding) {
			return invalid("length in", line)
		}
		lines = rest
	}
	return nil
}
