package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// call is a message that waits for its reply. Its session's mutex guards it.
type call struct {
	id      uint64
	done    func(cbor.RawMessage, error)
	timer   *time.Timer
	written bool
}

func (c *call) finish(reply cbor.RawMessage, err error) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.done(reply, err)
}
