package relay

import (
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

const (
	// singleReplyShare is the part of the host's limit that the reply to a single request
	// may take, as a divisor.
	singleReplyShare = 4
	// partReplyShare is the same for the part of one shard: a sweep has many at once.
	partReplyShare = 64
)

// maxReplyBytes returns the limit of a reply's body on the route, 0 without a memory
// limit.
func maxReplyBytes(memory *bytebudget.Budget, route *catalog.Route) int {
	if route.Sweep() {
		return int(memory.Limit() / partReplyShare)
	}
	return int(memory.Limit() / singleReplyShare)
}

// hold counts a reply that the run keeps until it ends.
func (r *run) hold(reply *exchange.Reply) {
	r.heldBytes += len(reply.Body)
	r.executor.opts.Memory.Hold(len(reply.Body))
}

// release ends what hold counted.
func (r *run) release() { r.executor.opts.Memory.Release(r.heldBytes) }
