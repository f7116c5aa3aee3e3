package targetpool

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// checkInterval is the least time between two checks of the links to targets.
	checkInterval = 40 * time.Millisecond
	// steadyInterval is the longest time between two checks after which silence counts: a
	// longer one means that this process did not run.
	steadyInterval = time.Second
)

// Links is whether this host reaches the targets. It is safe for concurrent use.
type Links struct {
	log   logrus.FieldLogger
	scope metrics.Scope
	// base is the zero of heard, which is when a target was last heard from.
	base  time.Time
	heard atomic.Int64
	now   atomic.Pointer[LinkState]
	// onChange is called with each change of the share of lost targets.
	onChange func(LinkState)

	// mu is held during a check, and guards checked, the time of the last one.
	mu      sync.Mutex
	checked time.Time
}

// LinkState is how many targets a host reaches.
type LinkState struct {
	reach.Counts
	// Cut is set while the host is cut off from the targets.
	Cut bool
	// Changed is closed when Cut changes.
	Changed chan struct{}
}

func newLinks(opts *Options) *Links {
	l := &Links{log: opts.Log, scope: scopeOf(opts), base: time.Now(), onChange: opts.OnLinks}
	l.now.Store(&LinkState{Changed: make(chan struct{})})
	return l
}

// State returns the state as of the last check.
func (l *Links) State() *LinkState { return l.now.Load() }

// noteHeard records that a target was heard from.
func (l *Links) noteHeard(now time.Time) {
	if l != nil {
		l.heard.Store(int64(now.Sub(l.base)))
	}
}

// quiet returns for how long no target was heard from.
func (l *Links) quiet(now time.Time) time.Duration {
	return now.Sub(l.base) - time.Duration(l.heard.Load())
}

// Quiet reports whether no target has been heard from for so long that links may be lost.
func (l *Links) Quiet(now time.Time) bool { return reach.Quiet(l.quiet(now)) }

// CheckLinks checks which targets this host reaches. It is called periodically and when
// replies are late; calls within checkInterval of the last check do nothing.
func (d *Directory) CheckLinks(now time.Time) {
	l := d.links
	if !l.mu.TryLock() {
		return
	}
	defer l.mu.Unlock()
	since := now.Sub(l.checked)
	if since < checkInterval {
		return
	}
	l.checked = now
	if since > steadyInterval {
		return
	}
	l.settle(l.count(d.all(), now))
}

// CheckSilence is CheckLinks for a caller that waits for a late reply, unless a target was
// heard from a moment ago. It costs nothing then.
func (d *Directory) CheckSilence(now time.Time) {
	if d.links.Quiet(now) {
		d.CheckLinks(now)
	}
}

// count marks the pools as lost that are silent and counts all. Calls must not overlap.
func (l *Links) count(pools []*Pool, now time.Time) reach.Counts {
	var overdue []*Pool
	for _, p := range pools {
		if p.noteSilence(now) {
			overdue = append(overdue, p)
		}
	}
	if reach.QuietTogether(len(overdue), l.quiet(now)) {
		for _, p := range overdue {
			p.markLost()
		}
	}
	var counts reach.Counts
	for _, p := range pools {
		reached, lost := p.reach(now)
		if reached {
			counts.Reached++
		}
		if lost {
			counts.Lost++
		}
	}
	return counts
}

// settle publishes new counts. Calls must not overlap.
func (l *Links) settle(counts reach.Counts) {
	old := l.State()
	next := &LinkState{Counts: counts, Cut: counts.Cut(old.Cut), Changed: old.Changed}
	if next.Cut != old.Cut {
		next.Changed = make(chan struct{})
		l.logChange(next)
	}
	l.now.Store(next)
	if next.Cut != old.Cut {
		close(old.Changed)
	}
	l.scope.Gauge("targets_lost").Update(float64(counts.Lost))
	if counts != old.Counts && l.onChange != nil {
		l.onChange(*next)
	}
}

// logChange logs that the host is cut off from the targets, or no longer is.
func (l *Links) logChange(s *LinkState) {
	fields := logrus.Fields{"targets_lost": s.Lost, "targets_reached": s.Reached, "quiet_ms": l.quiet(time.Now()).Milliseconds()}
	if s.Cut {
		l.log.WithFields(fields).Warn("links to targets lost")
		l.scope.Counter("links_to_targets_lost").Inc(1)
		return
	}
	l.log.WithFields(fields).Info("links to targets regained")
}
