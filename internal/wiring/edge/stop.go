package edge

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/support/listener"
)

// Stop stops the host in steps: it becomes not ready, then connections close after
// their next answer, then idle ones close. It reports whether all connections and the
// sweeps of other hosts ended in time, so that no request was cut off.
func (e *Edge) Stop() bool {
	began := time.Now()
	at := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(e.opts.StopWithin)))
	}
	e.ready.stop()
	e.gather.Stop()
	time.Sleep(time.Until(at(drainAfter)))
	e.server.Drain()
	e.logStopStep("connections close after their next answer", began)
	time.Sleep(time.Until(at(closeIdleAfter)))
	if err := listener.Close(e.callers); err != nil {
		e.opts.Log.WithError(err).Warn("callers' listener did not close")
	}
	<-e.accepted
	e.logStopStep("idle connections are closed", began)
	end := began.Add(e.opts.StopWithin - stopReserve)
	clean := false
	for !clean && time.Now().Before(end) {
		e.server.CloseIdle()
		clean = e.server.Wait(time.Now().Add(closeIdleInterval)) && e.gather.Idle()
	}
	if !clean {
		e.logCutRequests(e.server.Load().Requests, began)
	}
	e.cancel()
	e.metrics.close()
	return clean
}
