package dispatch

import (
	"github.com/swiftvane/swiftvane/internal/subquery"
)

// wireRequest is a sub-request between hosts. Its deadline travels with the
// transport's message.
type wireRequest struct {
	Request *subquery.Request `cbor:"1,keyasint"`
}

// wireAnswer is a sub-answer between hosts.
type wireAnswer struct {
	Answer *subquery.Answer `cbor:"1,keyasint"`
}
