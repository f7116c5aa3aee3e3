package httpreply

// Fields that delimit the body.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// MaxLength is the greatest length of a body or a chunk, in bytes. A greater one is taken for it: it
// exceeds all limits of bodies, and sums of lengths that targets state stay within an int64.
const MaxLength = 1 << 30

// framing is what the fields of a head state of the body's length.
type framing struct {
	// stated is set if length is, coded if the body is in chunks.
	stated, coded bool
	length        int
}

// readFraming sets the length of the body and whether the connection closes. What two readers
// could take for different lengths is invalid.
func (h *Head) readFraming() error {
	f, err := h.statedFraming()
	if err != nil {
		return err
	}
	switch {
	case h.Status < firstFinal || h.Status == noContent:
		if f.coded || f.length > 0 {
			return invalid("length of a reply that has no body", nil)
		}
	case h.Status == notModified:
	case f.coded:
		h.Length = Chunked
	case f.stated:
		h.Length = f.length
	default:
		h.Length = ToEnd
	}
	keptAlive := h.minor > '0' || h.HasOption([]byte("keep-alive"))
	h.Closes = !keptAlive || h.HasOption([]byte("close")) || h.Length == ToEnd
	return nil
}

// statedFraming returns what the fields state. Only HTTP/1.1 has chunks.
func (h *Head) statedFraming() (framing, error) {
	var f framing
	for i := range h.Fields {
		field := &h.Fields[i]
		switch {
		case field.Is(contentLength):
			length, ok := parseLength(field.Value)
			if f.stated || f.coded || !ok {
				return f, invalid(contentLength, field.Value)
			}
			f.stated, f.length = true, length
		case field.Is(transferEncoding):
			if f.stated || f.coded || h.minor == '0' || !equalFold(field.Value, "chunked") {
				return f, invalid(transferEncoding, field.Value)
			}
			f.coded = true
		}
	}
	return f, nil
}

// parseLength returns the value of a Content-Length, at most MaxLength, and false if that is no
// decimal number.
func parseLength(digits []byte) (length int, ok bool) {
	if len(digits) == 0 {
		return 0, false
	}
	for _, d := range digits {
		if !isDigit(d) {
			return 0, false
		}
		length = min(10*length+int(d-'0'), MaxLength)
	}
	return length, true
}
