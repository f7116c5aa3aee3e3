package fleet

import (
	"context"
	"sync/atomic"
	"time"
)

// pauseChecks is how many ticks fall within Options.PauseGap.
const pauseChecks = 4

// pauseDetector notices that the process did not run for a while.
type pauseDetector struct {
	fleet *Fleet
	gap   time.Duration
	begin time.Time
	// lastTick is the last tick, in nanoseconds after begin on the monotonic
	// clock, lastWall in Unix nanoseconds: a suspended machine stops the former.
	lastTick atomic.Int64
	lastWall atomic.Int64
	behind   atomic.Bool
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

// silence returns the time since the last tick on the clock that says more.
func (p *pauseDetector) silence(now time.Time) time.Duration {
	monotonic := int64(now.Sub(p.begin)) - p.lastTick.Load()
	wall := now.UnixNano() - p.lastWall.Load()
	return time.Duration(max(monotonic, wall))
}

func (p *pauseDetector) paused() bool {
	return p.behind.Load() || p.silence(time.Now()) > p.gap
}

// run ticks until ctx ends.
func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(p.gap / pauseChecks)
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
	gap := p.silence(now)
	if gap > p.gap {
		p.behind.Store(true)
		p.fleet.notePause(gap)
	}
	p.tick(now)
}

// notePause tells the hooks and the control goroutine of a pause.
func (f *Fleet) notePause(gap time.Duration) {
	f.counters.pauses.Inc(1)
	f.opts.Log.WithField("gap_ms", gap.Milliseconds()).Warn("the process was paused")
	f.hooksMu.Lock()
	hooks := f.pauseHooks
	f.hooksMu.Unlock()
	for _, hook := range hooks {
		hook(gap)
	}
	f.post(pauseSeen{})
}
