package edge

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/support/listener"
)

// Stop stops the host in steps: it becomes not ready, then connections close after their next
// answer and requests that could outlast the host are refused, then idle connections close,
// and at last requests in progress are answered without a result. It reports whether all
// requests and the sweeps of other hosts ended by themselves.
func (e *Edge) Stop() bool {
	began := time.Now()
	at := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(e.opts.StopWithin)))
	}
	e.ready.stop()
	e.gather.Stop()
	time.Sleep(time.Until(at(drainAfter)))
	e.executor.StopBy(at(interruptAfter))
	e.server.Drain()
	e.logStopStep("connections close after their next answer", began)
	time.Sleep(time.Until(at(closeIdleAfter)))
	if err := listener.Close(e.callers); err != nil {
		e.opts.Log.WithError(err).Warn("callers' listener did not close")
	}
	<-e.accepted
	e.logStopStep("idle connections are closed", began)
	clean := e.awaitIdle(at(interruptAfter))
	if !clean {
		e.interrupt(began, at(exitAfter))
	}
	e.cancel()
	e.directory.Close()
	e.metrics.close()
	return clean
}

// awaitIdle closes idle connections until all have ended, and waits for the sweeps of other
// hosts. It reports whether both ended before the deadline.
func (e *Edge) awaitIdle(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		e.server.CloseIdle()
		next := time.Now().Add(closeIdleInterval)
		ended := e.server.Wait(next)
		if ended && e.gather.Idle() {
			return true
		}
		time.Sleep(time.Until(next))
	}
	return false
}

// interrupt answers the requests in progress and waits until the connections have ended, until
// the deadline or, if that is too close, for answerWait. Links to other hosts end with the
// process; those hosts then learn that their sweeps are lost.
func (e *Edge) interrupt(began, deadline time.Time) {
	e.server.Wait(time.Now().Add(arrivedWait))
	e.logInterrupted(e.server.Load().Requests, began)
	e.server.Interrupt()
	if least := time.Now().Add(answerWait); deadline.Before(least) {
		deadline = least
	}
	if !e.server.Wait(deadline) {
		e.logCutRequests(e.server.Load().Requests, began)
	}
}
