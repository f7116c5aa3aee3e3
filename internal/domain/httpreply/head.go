package httpreply

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
)

// Body lengths of heads that state no number.
const (
	// Chunked is the length of a body in chunks.
	Chunked = -1
	// ToEnd is the length of a body that ends with its connection.
	ToEnd = -2
)

// Statuses that decide what follows a head.
const (
	switchingProtocols = 101
	firstFinal         = 200
	noContent          = 204
	notModified        = 304
	lastStatus         = 599
)

// maxInterim bounds the interim replies before a reply.
const maxInterim = 16

// protocol begins each reply; the digit of the minor version follows.
const protocol = "HTTP/1."

// Positions in a status line.
const (
	minorAt   = len(protocol)
	statusAt  = len("HTTP/1.1 ")
	statusEnd = len("HTTP/1.1 200")
)

var crlf = []byte("\r\n")

var (
	errHeadTooLarge   = &InvalidError{Detail: "the head is longer than the reader's buffer"}
	errTooManyInterim = &InvalidError{Detail: "too many interim replies"}
	errOtherProtocol  = &InvalidError{Detail: "another protocol that was not asked for"}
	errNoStatusLine   = &InvalidError{Detail: "no status line of HTTP/1"}
)

// Head is the head of a reply.
type Head struct {
	// Status is 100 to 599.
	Status int
	// Fields are valid until the next read from the reader of the head.
	Fields []Field
	// Length is the length of the body that follows, at most MaxLength, unless the request was a
	// HEAD.
	Length int
	// Closes is set if the connection can't be used for a further request.
	Closes bool

	// minor is the minor version as a digit, that of HTTP/1.1 for later ones.
	minor byte
}

// Interim reports whether another head follows, of the final reply or of an interim one.
func (h *Head) Interim() bool { return h.Status < firstFinal && h.Status != switchingProtocols }

// HasOption reports whether a Connection field lists the name.
func (h *Head) HasOption(name []byte) bool {
	for i := range h.Fields {
		if h.Fields[i].Is("Connection") && HasToken(h.Fields[i].Value, name) {
			return true
		}
	}
	return false
}

// HasToken reports whether a comma-separated list has a token, ignoring case.
func HasToken(list, token []byte) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte(","))
		if bytes.EqualFold(trim(item), token) {
			return true
		}
	}
	return false
}

// ReadFinal is Read for a request that asks for no upgrade: a reply that goes on with another
// protocol is invalid.
func (h *Head) ReadFinal(from *bufio.Reader) error {
	if err := h.Read(from); err != nil {
		return err
	}
	return h.CheckProtocol()
}

// CheckProtocol returns an error if another protocol follows the head.
func (h *Head) CheckProtocol() error {
	if h.Status == switchingProtocols {
		return errOtherProtocol
	}
	return nil
}

// Read reads the head of the final reply, or of one that goes on with another protocol. It discards
// those of interim replies.
func (h *Head) Read(from *bufio.Reader) error {
	for range maxInterim + 1 {
		if err := h.readOne(from); err != nil {
			return err
		}
		if !h.Interim() {
			return nil
		}
	}
	return errTooManyInterim
}

// readOne reads the next head. The error is io.EOF only if no byte of it arrived.
func (h *Head) readOne(from *bufio.Reader) error {
	known := 0
	for {
		if _, err := from.Peek(known + 1); err != nil {
			return headError(err, known)
		}
		begin, err := from.Peek(from.Buffered())
		if err != nil {
			return err
		}
		size, err := h.Parse(begin)
		if err != nil {
			return err
		}
		if size > 0 {
			_, err := from.Discard(size)
			return err
		}
		known = len(begin)
	}
}

// headError returns the error of a head of which only some bytes could be read.
func headError(err error, known int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errHeadTooLarge
	case errors.Is(err, io.EOF) && known > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// Parse parses the head that begin begins with and returns its size, 0 while its end is
// missing. It fails once nothing that follows can make the head valid.
func (h *Head) Parse(begin []byte) (size int, err error) {
	*h = Head{Fields: h.Fields[:0]}
	known := min(len(begin), len(protocol))
	if string(begin[:known]) != protocol[:known] {
		return 0, errNoStatusLine
	}
	lines := lineReader{rest: begin}
	line, ended, err := lines.next()
	if err != nil || !ended {
		return 0, err
	}
	if err := h.parseStatusLine(line); err != nil {
		return 0, err
	}
	for {
		line, ended, err := lines.next()
		if err != nil || !ended {
			return 0, err
		}
		if len(line) == 0 {
			return len(begin) - len(lines.rest), h.readFraming()
		}
		if err := h.addLine(line); err != nil {
			return 0, err
		}
	}
}

// parseStatusLine sets the version and the status. The space that precedes a missing reason
// phrase may be missing, too.
func (h *Head) parseStatusLine(line []byte) error {
	if len(line) < statusEnd || !isDigit(line[minorAt]) || line[statusAt-1] != ' ' {
		return invalid("status line", line)
	}
	status := line[statusAt:statusEnd]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return invalid("status", line[statusAt:])
	}
	reason := line[statusEnd:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return invalid("reason phrase in", line)
	}
	h.minor = min(line[minorAt], '1')
	h.Status = 100*int(status[0]-'0') + 10*int(status[1]-'0') + int(status[2]-'0')
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// addLine adds a field, or a further line of the value of the last one.
func (h *Head) addLine(line []byte) error {
	if !isBlank(line[0]) {
		f, err := parseField(line)
		h.Fields = append(h.Fields, f)
		return err
	}
	if len(h.Fields) == 0 || !isFolded(line) {
		return invalid("folded line", line)
	}
	last := &h.Fields[len(h.Fields)-1]
	last.Value = trim(slices.Concat(last.Value, []byte(" "), trim(line)))
	return nil
}
