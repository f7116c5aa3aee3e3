package metrics

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// monotonicReporter reports to another reporter what never lowers a counter. The library that serves
// metrics panics on such a report, on a goroutine of its own, which would end the process.
type monotonicReporter struct {
	tally.CachedStatsReporter
	log logrus.FieldLogger
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *monotonicReporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return &monotonicCount{CachedCount: r.CachedStatsReporter.AllocateCounter(name, tags), name: name, log: r.log}
}

// monotonicCount is a counter of a monotonicReporter.
type monotonicCount struct {
	tally.CachedCount
	name string
	log  logrus.FieldLogger
}

// ReportCount implements tally.CachedCount. A decrease is logged and dropped.
func (c *monotonicCount) ReportCount(change int64) {
	if change < 0 {
		c.log.WithFields(logrus.Fields{"counter": c.name, "change": change}).Error("counter would decrease; the change is dropped")
		return
	}
	c.CachedCount.ReportCount(change)
}
