package exchange

import (
	"bufio"
	"errors"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// ErrSmallBuffer is the error of a header that is larger than the buffer from which it is read.
var ErrSmallBuffer = errors.New("the header is larger than the read buffer")

// CallerCodec decodes requests and encodes answers in the callers' protocol.
type CallerCodec interface {
	// ReadRequest reads one request whose first byte is already buffered, and calls onHeader
	// between header and body. limits returns the limits in force, which may change meanwhile.
	// The error is a *Malformed if the request itself is invalid, and ErrSmallBuffer, with
	// nothing consumed, if from has too small a buffer for a header that is within the limit
	// so far.
	ReadRequest(from *bufio.Reader, limits func() catalog.Limits, onHeader func(needsContinue bool) error) (*Request, error)
	// AppendFields appends the header lines, each ended by CRLF, by which the caller gets what
	// the answer passes on of targets' replies.
	AppendFields(dst []byte, a *Answer) []byte
	// AppendAnswer appends the encoded answer to dst. r is nil if the request was
	// malformed.
	AppendAnswer(dst []byte, r *Request, a *Answer) []byte
}
