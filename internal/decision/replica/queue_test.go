package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load that playOverload plays against one target.
const (
	overloadSlots   = 2
	overloadConns   = 6
	overloadWork    = 200 * time.Millisecond
	overloadCallers = 100
	overloadWithin  = 5 * time.Second
)

// overloadResult is what the callers of playOverload got.
type overloadResult struct {
	refused int
	// waits are the times from arrival to reply of the admitted callers.
	waits []time.Duration
}

// playOverload sends callers to one target, the first at time 0 and the last after
// spread, in virtual time. The host has more connections to the target than the target
// has slots. A caller is admitted unless QueueExceeds refuses it.
func playOverload(spread time.Duration) overloadResult {
	const tick = time.Millisecond
	type call struct{ arrived, sent, ends time.Time }
	start := time.Now()
	var (
		stats                    = Stats{Slots: overloadSlots}
		result                   overloadResult
		waiting, queued, running []*call
		replyTimes               []time.Duration
		arrived                  int
	)
	usualTime := func() time.Duration {
		if len(replyTimes) == 0 {
			return overloadWithin / 8
		}
		sorted := slices.Sorted(slices.Values(replyTimes))
		return sorted[len(sorted)/2]
	}
	for now := start; arrived < overloadCallers || len(waiting)+len(queued)+len(running) > 0; now = now.Add(tick) {
		running = slices.DeleteFunc(running, func(c *call) bool {
			if c.ends.After(now) {
				return false
			}
			stats.Ended(now, Exchange{Sent: c.sent, Expected: usualTime(), Result: Served, Queued: len(waiting) > 0})
			replyTimes = append(replyTimes, now.Sub(c.sent))
			result.waits = append(result.waits, now.Sub(c.arrived))
			return true
		})
		for arrived < overloadCallers && now.Sub(start) >= spread*time.Duration(arrived)/overloadCallers {
			arrived++
			load := stats.Load(now)
			load.Limit = overloadConns
			load.Room = overloadConns - len(queued) - len(running) - len(waiting)
			if QueueExceeds(load, usualTime(), overloadWithin) {
				result.refused++
				continue
			}
			waiting = append(waiting, &call{arrived: now})
		}
		for len(waiting) > 0 && len(queued)+len(running) < overloadConns {
			waiting[0].sent = now
			stats.Sent(now)
			queued, waiting = append(queued, waiting[0]), waiting[1:]
		}
		for len(queued) > 0 && len(running) < overloadSlots {
			queued[0].ends = now.Add(overloadWork)
			running, queued = append(running, queued[0]), queued[1:]
		}
	}
	return result
}

// TestCallersBeyondTheTargetsRateAreRefused plays callers that arrive together or over
// a few seconds, twice as many as the target serves within the objective. The target's
// replies, and not the number of connections, must determine how many are admitted.
func TestCallersBeyondTheTargetsRateAreRefused(t *testing.T) {
	for _, spread := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		result := playOverload(spread)
		slices.Sort(result.waits)
		require.Positive(t, result.refused, "callers over %s", spread)
		require.LessOrEqual(t, result.waits[len(result.waits)-1], overloadWithin, "callers over %s", spread)
		rate := float64(overloadSlots) / overloadWork.Seconds()
		possible := rate * (overloadWithin + spread).Seconds()
		require.GreaterOrEqual(t, float64(len(result.waits)), 0.75*min(possible, overloadCallers), "callers over %s", spread)
	}
}
