package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
)

// foreseenWait returns how long to wait for the leg's last target instead of a hedge to
// another one, 0 if its delay isn't due to a predicted pause or the hedge is expected to
// answer sooner.
func (r *run) foreseenWait(l *leg, other replica.Load, now time.Time) time.Duration {
	last := &l.attempts[len(l.attempts)-1]
	if l.pending == 0 || last.pool.SentAt(last.call).IsZero() {
		return 0
	}
	load := last.pool.Load(now)
	if !load.ForeseenStall.Pausing() {
		return 0
	}
	wait := load.ForeseenStall.EndsIn + time.Duration(load.Slowness*float64(r.expectedTimes.usual))
	if wait > replica.Estimate(other, r.expectedTimes.usual) {
		return 0
	}
	return wait
}
