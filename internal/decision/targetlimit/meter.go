package targetlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// meterTime is the time over which demand is averaged.
	meterTime = 2 * time.Second
	// keptReports is the number of reports of which the least counts as a host's own demand.
	// Its rise is thus used only once the totals of all hosts include it.
	keptReports = 4
	// totalKept is how long the greatest total counts, since hosts that move to another reader
	// are missing from a total for a while. An older one is unknown.
	totalKept = 2500 * time.Millisecond
)

// Meter measures the demand for one service on one host. It is not safe for concurrent use.
type Meter struct {
	perSecond float64
	measured  time.Time
	reports   [keptReports]float64
	next      int
	totals    []total
}

// total is a total of all hosts as of the time of receipt.
type total struct {
	perSecond float64
	at        time.Time
}

// Measure adds the number of requests since the last call and returns the demand to report, in
// requests a second.
func (m *Meter) Measure(requests int64, now time.Time) float64 {
	elapsed := now.Sub(m.measured)
	if m.measured.IsZero() || elapsed <= 0 {
		m.measured = now
		return m.perSecond
	}
	m.measured = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(meterTime))
	m.perSecond += weight * (float64(requests)/elapsed.Seconds() - m.perSecond)
	m.reports[m.next] = m.perSecond
	m.next = (m.next + 1) % keptReports
	return m.perSecond
}

// SetTotal records the total of all hosts.
func (m *Meter) SetTotal(perSecond float64, now time.Time) {
	m.dropOld(now)
	m.totals = append(m.totals, total{perSecond: perSecond, at: now})
}

// Demand returns what is known of the demand at now.
func (m *Meter) Demand(now time.Time, sharers int) Demand {
	m.dropOld(now)
	d := Demand{Own: slices.Min(m.reports[:]), Known: len(m.totals) > 0, Sharers: sharers}
	for _, t := range m.totals {
		d.Total = max(d.Total, t.perSecond)
	}
	return d
}

func (m *Meter) dropOld(now time.Time) {
	m.totals = slices.DeleteFunc(m.totals, func(t total) bool { return now.Sub(t.at) > totalKept })
}
