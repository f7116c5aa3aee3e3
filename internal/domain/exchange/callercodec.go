package exchange

import (
	"bufio"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// CallerCodec reads requests and writes answers as callers speak them.
type CallerCodec interface {
	// ReadRequest reads one request whose first byte is buffered. onHeader is
	// called between header and body. The error is a *Malformed where the
	// request itself is at fault.
	ReadRequest(from *bufio.Reader, limits catalog.Limits, onHeader func(needsContinue bool) error) (*Request, error)
	// AppendAnswer appends the answer to r, which is nil if it was malformed.
	AppendAnswer(dst []byte, r *Request, a *Answer) []byte
}
