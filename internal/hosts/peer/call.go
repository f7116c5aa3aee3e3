package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// call is a sent message that awaits its reply. The mutex of its session guards
// it.
type call struct {
	id      uint64
	done    func(cbor.RawMessage, error)
	timer   *time.Timer
	written bool
}

// finish stops the deadline timer and runs done.
func (c *call) finish(reply cbor.RawMessage, err error) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.done(reply, err)
}
