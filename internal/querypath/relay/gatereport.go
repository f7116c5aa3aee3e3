package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// SetAdmissionControl switches the limits on admission on or off; they are on at first. In
// a small fleet each host sees the queues of all targets itself and refuses by them, and a
// limit learnt from late answers would refuse callers who can be served.
func (e *Executor) SetAdmissionControl(on bool) { e.unlimited.Store(!on) }

// OverloadReport returns this host's counts of all groups that are limited or that the
// reader asks for, at most overload.MaxEntries. It is to be called periodically, as it
// also lets limits end that no request touches any more.
func (e *Executor) OverloadReport(now time.Time) []overload.Entry {
	var entries []overload.Entry
	for _, group := range e.gate.all() {
		entries = append(entries, e.gate.report(group, now)...)
	}
	if len(entries) > overload.MaxEntries {
		slices.SortFunc(entries, func(a, b overload.Entry) int { return cmp.Compare(b.Offered, a.Offered) })
		entries = entries[:overload.MaxEntries]
	}
	return entries
}

// report returns the counts of a group, none if they are not needed.
func (g *gate) report(group *gated, now time.Time) []overload.Entry {
	group.mu.Lock()
	group.group.Advance(now)
	limited := group.group.Limited(now)
	due := group.logDue(limited, now)
	var entries []overload.Entry
	if limited || group.group.Asked(now) {
		entries = group.group.Take(now, string(group.name))
	}
	group.mu.Unlock()
	if due {
		g.note(group, now)
	}
	return entries
}

// SetFleetShares sets the fleet's totals and shares, which were received at now.
func (e *Executor) SetFleetShares(now time.Time, list []overload.Share) {
	byGroup := map[string][]overload.Share{}
	for _, s := range list {
		byGroup[s.Group] = append(byGroup[s.Group], s)
	}
	for name, shares := range byGroup {
		group := e.gate.of(catalog.ServiceName(name), now)
		if group == nil {
			continue
		}
		group.mu.Lock()
		group.group.SetShares(now, shares)
		group.mu.Unlock()
	}
}
