package exchange

import (
	"errors"
	"fmt"
)

// OversizedReply is the error for a reply whose body exceeds its limit. Its connection
// can't be used any more.
type OversizedReply struct {
	// Bytes is the length that the reply has at least.
	Bytes int
}

// Error implements error.
func (e *OversizedReply) Error() string {
	return fmt.Sprintf("the reply's body has %d bytes or more, over the limit", e.Bytes)
}

// AsOversizedReply returns the OversizedReply in err's chain, if there is one.
func AsOversizedReply(err error) (*OversizedReply, bool) { return errors.AsType[*OversizedReply](err) }
