package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// noteLoad records the load that a reply states. The reply of another process at the
// target's address says nothing about the target. The caller holds the lock.
func (p *Pool) noteLoad(reply *exchange.Reply, e replica.Exchange, now time.Time) {
	switch {
	case reply.OtherTarget:
	case reply.InvalidLoad:
		p.loadsInvalid.Inc(1)
	case reply.Load.Reported():
		p.loads.Inc(1)
		p.stats.Reported(now, reply.Load, e)
	}
}
