package edge

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// sparseHosts is the size of a fleet from which on a host has too few
	// exchanges with each target to judge it alone.
	sparseHosts = 16
	// reportEvery is the time between two reports of what a host saw of targets.
	reportEvery = 400 * time.Millisecond
	// warningLines is the number of lines a second about warnings of other hosts.
	warningLines = 1
	// distrusted is the message of these lines.
	distrusted = "targets that many hosts found slow or failing"
)

// reportHealth gives what this host saw of targets to the one that collects it.
// It is called by the goroutine that follows the fleet's size.
func (e *Edge) reportHealth(hosts int, now time.Time) {
	if now.Sub(e.reported) < reportEvery {
		return
	}
	e.reported = now
	samples := e.directory.TakeSamples()
	if hosts >= sparseHosts && len(samples) > 0 {
		e.source.Report(samples)
	}
}

// distrust takes a warning of other hosts. Its line is written once a second at
// most, since warnings come with each beat of a link while they hold.
func (e *Edge) distrust(targets []string) {
	now := time.Now()
	e.directory.Distrust(targets, now)
	if ok, left := e.warnings.Take(distrusted, now); ok {
		e.opts.Log.WithFields(logrus.Fields{"targets": targets, "lines_left_out": left}).Info(distrusted)
	}
}
