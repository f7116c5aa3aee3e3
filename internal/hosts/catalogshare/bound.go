package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/bounds"
)

// bound keeps the numbers of another host's message in ranges in which sums of them and times that follow
// from them don't overflow. What is checked where it is used is left: ends and patterns of pauses, and the
// limits of targets.
func (m *message) bound() {
	for _, ms := range []*int64{&m.AgeMS, &m.DisputedMS, &m.CrashMemoryMS} {
		*ms = boundedMS(*ms)
	}
	for i := range m.LeavingAgesMS {
		m.LeavingAgesMS[i] = boundedMS(m.LeavingAgesMS[i])
	}
	boundReports(m.CrashReports)
	boundReports(m.PendingCrashes)
	for i := range m.Cleared {
		m.Cleared[i].AgeMS = boundedMS(m.Cleared[i].AgeMS)
	}
	m.boundCounts()
}

// boundCounts is bound for numbers of hosts, of exchanges and of requests.
func (m *message) boundCounts() {
	m.OwnHosts, m.Hosts = bounds.Count(m.OwnHosts), bounds.Count(m.Hosts)
	for _, domains := range []map[string]int{m.OwnDomains, m.Domains} {
		for domain, hosts := range domains {
			domains[domain] = bounds.Count(hosts)
		}
	}
	for _, members := range [][]gathering.Member{m.Members, m.Gatherers, m.Helpers} {
		for i := range members {
			members[i].Capacity = bounds.Count(members[i].Capacity)
		}
	}
	for i := range m.Samples {
		s := &m.Samples[i]
		s.Good, s.Bad = bounds.Count(s.Good), bounds.Count(s.Bad)
	}
	for i := range m.LimitDemand {
		m.LimitDemand[i].PerSecond = bounds.Amount(m.LimitDemand[i].PerSecond)
	}
	if m.Stewards != nil && m.Stewards.List != nil {
		m.Stewards.List.Hosts = bounds.Count(m.Stewards.List.Hosts)
	}
}

func boundReports(reports []crashguard.CrashReport) {
	for i := range reports {
		reports[i].AgeMS = boundedMS(reports[i].AgeMS)
	}
}

// boundedMS returns a number of milliseconds that a duration can hold.
func boundedMS(ms int64) int64 { return bounds.Period(ms, time.Millisecond).Milliseconds() }
