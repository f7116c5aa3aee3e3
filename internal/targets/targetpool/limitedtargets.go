package targetpool

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// maxStated bounds the number of targets whose statements are remembered.
	maxStated = 8192
	// assumedSharers is the assumed number of hosts while it is unknown.
	assumedSharers = 16
)

// limitedTargets has the targets of a directory that limit their request rate. Its lock is
// taken while a pool's lock is held, never the other way round.
type limitedTargets struct {
	scope metrics.Scope
	// named and invalid count the replies with a limit and with an unreadable one, calls those
	// that were sent to limited targets, and held those that were not for lack of a permit.
	named, invalid, calls, held tally.Counter
	// phase is the number of permits, below 1, that this host starts with. It is the same for
	// all targets, so that the shards of a sweep have permits at the same time.
	phase float64

	mu    sync.Mutex
	pools map[*Pool]bool
	// stated has the last statements of targets, also of those without a pool, and told what
	// other hosts were told of them.
	stated map[targetStart]targetlimit.Statement
	told   map[targetStart]targetlimit.Statement
	demand map[catalog.ServiceName]*serviceDemand
	// reported is set if the gauge may differ from zero.
	reported bool
}

// serviceDemand is the demand for a service on this host and this host's share of the limits
// of the service's targets.
type serviceDemand struct {
	requests atomic.Int64
	current  atomic.Pointer[targetlimit.Part]
	// The following fields are guarded by the lock of limitedTargets.
	meter   targetlimit.Meter
	counted int64
	sharers int
}

func newLimitedTargets(opts *Options) *limitedTargets {
	scope := scopeOf(opts)
	return &limitedTargets{
		scope: scope, named: scope.Counter("target_limits"), invalid: scope.Counter("target_limits_invalid"),
		calls: scope.Counter("calls_to_limited"), held: scope.Counter("calls_held_for_limit"),
		phase: rand.Float64(), pools: map[*Pool]bool{}, demand: map[catalog.ServiceName]*serviceDemand{},
		stated: map[targetStart]targetlimit.Statement{}, told: map[targetStart]targetlimit.Statement{},
	}
}

// part returns this host's part of limits.
func (s *serviceDemand) part() targetlimit.Part { return *s.current.Load() }

// setPart computes the part. The lock of limitedTargets is held.
func (s *serviceDemand) setPart(now time.Time) {
	part := s.meter.Demand(now, s.sharers).Part()
	s.current.Store(&part)
}

// demandOf returns the demand for a service, whose targets the given number of hosts use.
func (l *limitedTargets) demandOf(name catalog.ServiceName, sharers int, now time.Time) *serviceDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.demand[name]
	if !ok {
		s = &serviceDemand{}
		l.demand[name] = s
	}
	if s.sharers != sharers {
		s.sharers = sharers
		s.setPart(now)
	}
	return s
}

// forgetServices drops the demand for services that are not in use.
func (l *limitedTargets) forgetServices(inUse map[catalog.ServiceName]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.demand, func(name catalog.ServiceName, _ *serviceDemand) bool { return !inUse[name] })
}

// note records the statement of a pool's target. The pool's lock is held.
func (l *limitedTargets) note(p *Pool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.rateLimit.stated.Limited {
		l.pools[p] = true
	}
	l.remember(startOf(p.target), p.rateLimit.stated, now)
}

// remember records a statement. Beyond maxStated it forgets expired or arbitrary ones. The
// lock is held.
func (l *limitedTargets) remember(start targetStart, s targetlimit.Statement, now time.Time) {
	if _, known := l.stated[start]; !known && len(l.stated) >= maxStated {
		l.dropExpired(now)
		for other := range l.stated {
			if len(l.stated) < maxStated {
				break
			}
			delete(l.stated, other)
		}
	}
	l.stated[start] = s
}

// dropExpired forgets what is too old to count. The lock is held.
func (l *limitedTargets) dropExpired(now time.Time) {
	for start, s := range l.stated {
		if s.Expired(now) {
			delete(l.stated, start)
			delete(l.told, start)
		}
	}
	for start := range l.told {
		if _, known := l.stated[start]; !known {
			delete(l.told, start)
		}
	}
}

// restore gives a new pool what its target stated before.
func (l *limitedTargets) restore(p *Pool, now time.Time) {
	l.mu.Lock()
	s := l.stated[startOf(p.target)]
	l.mu.Unlock()
	if s.Limited && !s.Expired(now) {
		p.adoptLimit(s, now)
	}
}
