package edge

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minReportingHosts is the fleet size from which hosts report their samples:
	// in a large fleet each host has too few exchanges with a target to detect a
	// fault.
	minReportingHosts = 16
	// reportInterval is the time between two health reports.
	reportInterval = 400 * time.Millisecond
	// warningLinesPerSecond bounds the log lines about unhealthy targets.
	warningLinesPerSecond = 1
	// unhealthyTargetsMessage is the message of these lines.
	unhealthyTargetsMessage = "targets that many hosts found slow or failing"
)

// reportHealth takes this host's health samples of targets and, in a fleet of at
// least minReportingHosts, sends them to the host that aggregates them, together with its
// demand of overloaded targets if it serves sweeps: only such hosts get the fleet's shares.
// It is called by the goroutine that tracks the fleet's size.
func (e *Edge) reportHealth(hosts int, now time.Time) {
	if now.Sub(e.lastReport) < reportInterval {
		return
	}
	e.lastReport = now
	e.learnStalls(now)
	e.reportLimits(now)
	e.executor.ExpireLimits(now)
	samples := e.directory.TakeSamples()
	if hosts >= minReportingHosts {
		e.source.Report(samples, e.directory.TakeStallEnds(now))
	}
}

// reportLimits tells the other hosts of targets that limit their request rate and of this
// host's demand for them, and renews this host's shares of the limits.
func (e *Edge) reportLimits(now time.Time) {
	if r := e.directory.TakeLimitReport(now); !r.Empty() {
		e.source.ReportLimits(r.Notices, r.Demand)
	}
}

// handleUnhealthyTargets lowers for a while the preference for targets that many
// hosts found slow or failing. It logs at most one line per second, since each
// heartbeat of a link repeats the list while the targets are unhealthy.
func (e *Edge) handleUnhealthyTargets(targets []string) {
	now := time.Now()
	e.directory.Distrust(targets, now)
	if ok, omitted := e.warningBudget.Take(unhealthyTargetsMessage, now); ok {
		e.opts.Log.WithFields(logrus.Fields{"targets": targets, "lines_left_out": omitted}).Info(unhealthyTargetsMessage)
	}
}
