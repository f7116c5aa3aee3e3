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
	end := bytes.IndexByte(r.rest, '\n')
	if end < 0 {
		return nil, false, nil
	}
	line, r.rest = r.rest[:end], r.rest[end+1:]
	crlf := end > 0 && line[end-1] == '\r'
	if r.crlf && !crlf {
		return nil, false, invalid("line that ends with LF", line)
	}
	if crlf {
		line = line[:end-1]
	}
	r.crlf = crlf
	return line, true, nil
}
