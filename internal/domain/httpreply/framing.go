package httpreply

import "math"

// Fields that delimit the body.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// maxLengthDigits bounds the digits of a length that is not taken for math.MaxInt.
const maxLengthDigits = 18

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

// parseLength returns the value of a Content-Length, and false if that is no decimal number. A
// length beyond all limits is math.MaxInt.
func parseLength(digits []byte) (length int, ok bool) {
	if len(digits) == 0 {
		return 0, false
	}
	significant := 0
	for _, d := range digits {
		if !isDigit(d) {
			return 0, false
		}
		if significant > 0 || d != '0' {
			significant++
		}
		if significant <= maxLengthDigits {
			length = 10*length + int(d-'0')
		}
	}
	if significant > maxLengthDigits {
		return math.MaxInt, true
	}
	return length, true
}
