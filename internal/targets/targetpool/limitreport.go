package targetpool

import (
	"maps"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// LimitReport is what a host tells the others of targets that limit their request rate.
type LimitReport struct {
	// Notices are statements of targets that the others may not know.
	Notices []targetlimit.Notice
	// Demand is this host's demand for the services that have limited targets.
	Demand []targetlimit.ServiceDemand
}

// Empty reports whether there is nothing to tell.
func (r *LimitReport) Empty() bool { return len(r.Notices)+len(r.Demand) == 0 }

// TakeLimitReport measures the demand, renews this host's shares of limits and returns what to
// tell the other hosts. It must be called periodically; its work grows with the number of
// services and of limited targets only.
func (d *Directory) TakeLimitReport(now time.Time) LimitReport {
	l := d.limits
	limited := l.renew(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportCount(len(limited))
	inNeed := map[catalog.ServiceName]bool{}
	for _, p := range limited {
		inNeed[p.target.Service] = true
	}
	var r LimitReport
	for name, s := range l.demand {
		requests := s.requests.Load()
		perSecond := s.meter.Measure(requests-s.counted, now)
		s.counted = requests
		s.setPart(now)
		if inNeed[name] && len(r.Demand) < targetlimit.MaxServices {
			r.Demand = append(r.Demand, targetlimit.ServiceDemand{Service: string(name), PerSecond: perSecond})
		}
	}
	r.Notices = l.takeNotices(now)
	return r
}

// renew renews the limits of all pools and returns those that are limited.
func (l *limitedTargets) renew(now time.Time) []*Pool {
	l.mu.Lock()
	pools := make([]*Pool, 0, len(l.pools))
	for p := range l.pools {
		pools = append(pools, p)
	}
	l.mu.Unlock()
	limited := pools[:0]
	for _, p := range pools {
		if p.renewLimit(now) {
			limited = append(limited, p)
			continue
		}
		l.mu.Lock()
		delete(l.pools, p)
		l.mu.Unlock()
	}
	return limited
}

// takeNotices returns the statements that the other hosts may not know. The lock is held.
func (l *limitedTargets) takeNotices(now time.Time) []targetlimit.Notice {
	var notices []targetlimit.Notice
	for start, s := range l.stated {
		if !s.Expired(now) && s.News(l.told[start]) {
			l.told[start] = s
			notices = append(notices, targetlimit.NewNotice(string(start.id), start.born, s, now))
		}
	}
	l.dropExpired(now)
	return notices
}

// reportCount sets the gauge of limited targets. The lock is held.
func (l *limitedTargets) reportCount(limited int) {
	if limited > 0 || l.reported {
		l.scope.Gauge("limited_targets").Update(float64(limited))
	}
	l.reported = limited > 0
}

// AddLimitNotices records statements that other hosts have heard.
func (d *Directory) AddLimitNotices(notices []targetlimit.Notice) {
	now := time.Now()
	for i := range notices {
		if s, ok := notices[i].Statement(now); ok {
			d.addStatement(targetStart{id: catalog.TargetID(notices[i].Target), born: notices[i].Born}, s, now)
		}
	}
}

// addStatement records a statement that another host has heard.
func (d *Directory) addStatement(start targetStart, s targetlimit.Statement, now time.Time) {
	d.mu.Lock()
	p, ok := d.pools[start.id]
	d.mu.Unlock()
	if ok && p.target.Born == start.born {
		p.adoptLimit(s, now)
	}
	l := d.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Supersedes(l.stated[start]) {
		l.remember(start, s, now)
	}
	if known := l.stated[start]; known.SameLimit(s) && s.At.After(l.told[start].At) {
		l.told[start] = s
	}
}

// SetLimitTotals records the demand of all hosts for services that have limited targets.
func (d *Directory) SetLimitTotals(totals []targetlimit.ServiceDemand) {
	now := time.Now()
	l := d.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range totals {
		if s, ok := l.demand[catalog.ServiceName(t.Service)]; ok && t.PerSecond >= 0 {
			s.meter.SetTotal(t.PerSecond, now)
			s.setPart(now)
		}
	}
}

// servicesWithPools returns the services that a route names or that have a pool. The lock is
// held.
func (d *Directory) servicesWithPools() map[catalog.ServiceName]bool {
	services := maps.Clone(d.used)
	if services == nil {
		services = map[catalog.ServiceName]bool{}
	}
	for _, p := range d.pools {
		services[p.target.Service] = true
	}
	return services
}

// sharersOf returns the number of hosts that send to the targets of a service. The lock is
// held.
func (d *Directory) sharersOf(name catalog.ServiceName) int {
	switch {
	case d.fleet.Gathers && d.shards[name]:
		return d.fleet.Gatherers
	case d.fleet.Hosts > 0:
		return d.fleet.Hosts
	default:
		return assumedSharers
	}
}
