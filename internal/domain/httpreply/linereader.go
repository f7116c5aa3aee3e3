package httpreply

import "bytes"

// lineReader cuts a head into lines. They end with LF alone only until one ends with CRLF: after
// that, an LF is a control byte within a line.
type lineReader struct {
	rest []byte
	crlf bool
}

// next returns the next line without its end, and reports whether it has ended.
func (r *lineReader) next() (line []byte, ended bool, err error) {
	line, rest, ended := bytes.Cut(r.rest, []byte("\n"))
	if !ended {
		return nil, false, nil
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r"))
	if r.crlf && !crlf {
		return nil, false, invalid("line that ends with LF", line)
	}
	r.rest, r.crlf = rest, crlf
	return line, true, nil
}
