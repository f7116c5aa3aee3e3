package httpreply

import "bytes"

// Field is a field of a head.
type Field struct {
	Name  []byte
	Value []byte
}

// Is reports whether the field has the name, which is compared without case.
func (f *Field) Is(name string) bool { return equalFold(f.Name, name) }

// tokenMarks are the characters of a token beside letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// tokenBytes has the bytes of a token set.
var tokenBytes = tokenTable()

func tokenTable() (table [256]bool) {
	for _, b := range []byte(tokenMarks) {
		table[b] = true
	}
	for b := byte('0'); b <= '9'; b++ {
		table[b] = true
	}
	for b := byte('a'); b <= 'z'; b++ {
		table[b], table[b-'a'+'A'] = true, true
	}
	return table
}

// isToken reports whether b is a token, as the names of fields are.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b has no control bytes other than tabs, as field values and reason
// phrases.
func isText(b []byte) bool {
	const del = 0x7f
	for _, c := range b {
		if c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// isFolded reports whether a line that begins with a blank goes on with the value of a field. With
// a colon it could as well be a field whose name begins with a blank, which is invalid.
func isFolded(line []byte) bool { return isText(line) && bytes.IndexByte(line, ':') < 0 }

// isBlank reports whether b is a space or a tab.
func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// trim returns b without blanks at its ends.
func trim(b []byte) []byte {
	for len(b) > 0 && isBlank(b[0]) {
		b = b[1:]
	}
	for len(b) > 0 && isBlank(b[len(b)-1]) {
		b = b[:len(b)-1]
	}
	return b
}

// equalFold reports whether b equals want, an ASCII text, ignoring case.
func equalFold(b []byte, want string) bool {
	return len(b) == len(want) && bytes.EqualFold(b, []byte(want))
}

// parseField returns the field of a line that begins one.
func parseField(line []byte) (Field, error) {
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isToken(line[:colon]) {
		return Field{}, invalid("field name in", line)
	}
	name, value := line[:colon], line[colon+1:]
	if !isText(value) {
		return Field{}, invalid("field value in", line)
	}
	return Field{Name: name, Value: trim(value)}, nil
}
