package httpreply

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxTrailerLines bounds the lines after the last chunk.
	maxTrailerLines = 64
	// maxChunkDigits is the largest number of significant digits of a chunk's size that is not taken
	// for MaxLength.
	maxChunkDigits = 7
)

var errBrokenChunk = &InvalidError{Detail: "malformed chunk"}

// readLine reads a line of a body in chunks and returns it without its CRLF, valid until the
// next read. A line that exceeds the reader's buffer is an error.
func readLine(from *bufio.Reader) ([]byte, error) {
	line, err := from.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errBrokenChunk
	case err != nil:
		return nil, unexpected(err)
	case !bytes.HasSuffix(line, crlf):
		return nil, errBrokenChunk
	}
	return line[:len(line)-len(crlf)], nil
}

// readChunkSize reads the line before a chunk. It ignores extensions.
func readChunkSize(from *bufio.Reader) (int, error) {
	line, err := readLine(from)
	if err != nil {
		return 0, err
	}
	digits, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	if !isHex(digits) || !isText(extension) {
		return 0, invalid("size of a chunk", line)
	}
	digits = bytes.TrimLeft(digits, "0")
	if len(digits) > maxChunkDigits {
		return MaxLength, nil
	}
	if len(digits) == 0 {
		return 0, nil
	}
	size, err := strconv.ParseUint(string(digits), 16, 31)
	return int(size), err
}

// isHex reports whether b is one or more hexadecimal digits.
func isHex(b []byte) bool {
	for _, c := range b {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'f') {
			return false
		}
	}
	return len(b) > 0
}

// endChunk reads the end of a chunk.
func endChunk(from *bufio.Reader) error {
	line, err := readLine(from)
	if err == nil && len(line) > 0 {
		return errBrokenChunk
	}
	return err
}

// skipTrailer reads the fields after the last chunk, and the empty line that ends them.
func skipTrailer(from *bufio.Reader) error {
	for n := range maxTrailerLines {
		line, err := readLine(from)
		if err != nil || len(line) == 0 {
			return err
		}
		if err := checkTrailerLine(line, n == 0); err != nil {
			return err
		}
	}
	return errBrokenChunk
}

// checkTrailerLine checks a field, or a further line of the value of the last one.
func checkTrailerLine(line []byte, first bool) error {
	if !isBlank(line[0]) {
		_, err := parseField(line)
		return err
	}
	if first || !isFolded(line) {
		return invalid("folded line", line)
	}
	return nil
}

// unexpected returns the error of a reply that ends early.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
