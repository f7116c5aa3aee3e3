package fleet

import (
	"context"
	"sync/atomic"
	"time"
)

// ticksPerPauseGap is the number of ticks per Options.PauseGap.
const ticksPerPauseGap = 4

// pauseDetector detects that the process did not run for longer than gap.
type pauseDetector struct {
	fleet *Fleet
	gap   time.Duration
	begin time.Time
	// lastTick is the time of the last tick in nanoseconds after begin on the
	// monotonic clock, and lastWall the same in Unix nanoseconds. Both are needed
	// because the monotonic clock stops while the machine is suspended.
	lastTick atomic.Int64
	lastWall atomic.Int64
	// catchingUp is set by a pause until this host has caught up with its peers.
	catchingUp atomic.Bool
}

func newPauseDetector(f *Fleet) *pauseDetector {
	p := &pauseDetector{fleet: f, gap: f.opts.PauseGap}
	p.start()
	return p
}

func (p *pauseDetector) start() {
	p.begin = time.Now()
	p.tick(p.begin)
}

func (p *pauseDetector) tick(now time.Time) {
	p.lastTick.Store(int64(now.Sub(p.begin)))
	p.lastWall.Store(now.UnixNano())
}

// sinceLastTick returns the time since the last tick on the monotonic or the wall
// clock, whichever is longer.
func (p *pauseDetector) sinceLastTick(now time.Time) time.Duration {
	monotonic := int64(now.Sub(p.begin)) - p.lastTick.Load()
	wall := now.UnixNano() - p.lastWall.Load()
	return time.Duration(max(monotonic, wall))
}

func (p *pauseDetector) paused() bool {
	return p.catchingUp.Load() || p.sinceLastTick(time.Now()) > p.gap
}

// run ticks until ctx ends.
func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(p.gap / ticksPerPauseGap)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.check(time.Now())
	}
}

func (p *pauseDetector) check(now time.Time) {
	gap := p.sinceLastTick(now)
	if gap > p.gap {
		p.catchingUp.Store(true)
		p.fleet.recordPause(gap)
	}
	p.tick(now)
}

// recordPause counts and logs a pause, calls the pause hooks and notifies the
// control goroutine.
func (f *Fleet) recordPause(gap time.Duration) {
	f.counters.pauses.Inc(1)
	f.opts.Log.WithField("gap_ms", gap.Milliseconds()).Warn("the process was paused")
	f.hooksMu.Lock()
	hooks := f.pauseHooks
	f.hooksMu.Unlock()
	for _, hook := range hooks {
		hook(gap)
	}
	f.post(pauseDetected{})
}
