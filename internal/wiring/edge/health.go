package edge

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minReportingHosts is the fleet size from which hosts report their samples:
	// in a large fleet each host has too few exchanges with a target to judge it.
	minReportingHosts = 16
	// reportInterval is the time between two health reports.
	reportInterval = 400 * time.Millisecond
	// warningLinesPerSecond bounds the log lines about bad targets.
	warningLinesPerSecond = 1
	// badTargetsMessage is the message of these lines.
	badTargetsMessage = "targets that many hosts found slow or failing"
)

// reportHealth sends this host's health samples of targets to the host that
// aggregates them. It is called by the goroutine that tracks the fleet's size.
func (e *Edge) reportHealth(hosts int, now time.Time) {
	if now.Sub(e.lastReport) < reportInterval {
		return
	}
	e.lastReport = now
	samples := e.directory.TakeSamples()
	if hosts >= minReportingHosts && len(samples) > 0 {
		e.source.Report(samples)
	}
}

// handleBadTargets lowers the preference for targets that many hosts found slow or
// failing for a while. It logs at most one line per second, since each heartbeat
// of a link repeats the list while the targets are bad.
func (e *Edge) handleBadTargets(targets []string) {
	now := time.Now()
	e.directory.Distrust(targets, now)
	if ok, omitted := e.warningBudget.Take(badTargetsMessage, now); ok {
		e.opts.Log.WithFields(logrus.Fields{"targets": targets, "lines_left_out": omitted}).Info(badTargetsMessage)
	}
}
