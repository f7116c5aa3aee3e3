package edge

import "time"

const (
	// sparseHosts is the size of a fleet from which on a host has too few
	// exchanges with each target to judge it alone.
	sparseHosts = 16
	// reportEvery is the time between two reports of what a host saw of targets.
	reportEvery = 400 * time.Millisecond
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

// distrust takes a warning of other hosts.
func (e *Edge) distrust(targets []string) {
	e.opts.Log.WithField("targets", targets).Debug("targets that many hosts found slow or failing")
	e.directory.Distrust(targets, time.Now())
}
