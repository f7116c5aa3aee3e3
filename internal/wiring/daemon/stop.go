package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/drain"
	"github.com/swiftvane/swiftvane/internal/support/wait"
)

// closeTimeout bounds the shutdown of the administration API.
const closeTimeout = 2 * time.Second

// announceTimeout bounds the wait for another host to acknowledge that this host
// is leaving.
const announceTimeout = 2 * time.Second

// Stop stops the host gracefully. The host announces that it is leaving, so
// that other hosts take over its targets, and keeps serving for the lame-duck
// time, during which load balancers detect that it is not ready. Then it refuses
// new queries, waits for those in flight, its own first and then sub-requests
// from other hosts, and closes its links. Shortly before the drain limit passes, it
// answers the queries and sub-requests that are still in flight. It returns an error if
// there were any, or if ctx ended before.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.scheduleStop()
	d.announce(ctx)
	schedule := d.scheduleStop()
	d.logStep("leaving: no longer ready")
	wait.For(ctx, time.Until(schedule.RefuseAt))
	d.logStep("refusing new queries")

	ctx, cancel := context.WithDeadline(ctx, schedule.ReleaseAt)
	defer cancel()
	err := d.stopEntry(ctx, schedule)
	d.logStep("finishing sub-requests of other hosts")
	d.local.Stop(ctx)
	if unfinished := d.unfinished(); unfinished != nil {
		err = unfinished
	}
	d.close()
	d.logStep("stopped")
	return err
}

// unfinished returns an error if queries or sub-requests of other hosts were not finished.
func (d *Daemon) unfinished() error {
	queries := d.entry.Unfinished() + d.entry.Inflight()
	subrequests := d.local.Unfinished()
	if queries == 0 && subrequests == 0 {
		return nil
	}
	return eris.Errorf("%d queries and %d sub-requests of other hosts were not finished when the drain limit passed or a second signal arrived",
		queries, subrequests)
}

// stopEntry waits for the queries in flight, and answers those that are left when the
// schedule says so or ctx ends. It returns once their connections are closed or ctx has ended.
func (d *Daemon) stopEntry(ctx context.Context, schedule *drain.Schedule) error {
	answering, done := context.WithDeadline(ctx, schedule.AnswerAt)
	defer done()
	idle := context.AfterFunc(answering, func() {
		d.logStep("answering queries before their end")
		d.entry.AnswerUnfinished()
	})
	defer idle()
	return d.entry.Shutdown(ctx)
}

// logStep logs one step of the stop. The sub-requests are those of this host's queries and
// of other hosts.
func (d *Daemon) logStep(step string) {
	d.telemetry.log.WithFields(logrus.Fields{
		"queries_in_flight":     d.entry.Inflight(),
		"subrequests_in_flight": d.local.Inflight(),
	}).Info(step)
}

// scheduleStop makes the host refuse queries that it can't finish if its lame-duck time
// begins now, and returns the schedule. Since the time that the announcement takes is not
// known, it is called before and after it.
func (d *Daemon) scheduleStop() *drain.Schedule {
	limits := &d.settings.Limits
	schedule := drain.NewSchedule(time.Now(),
		time.Duration(limits.LameDuckMS)*time.Millisecond, time.Duration(limits.DrainMS)*time.Millisecond)
	d.entry.Drain(schedule)
	d.receiver.Drain(schedule)
	return schedule
}

// close stops the control loops and closes the administration listener and the
// links. No request may be in flight.
func (d *Daemon) close() {
	d.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.adminListen != nil {
		d.logEnd("administration listener", d.admin.Shutdown(ctx))
	}
	d.logEnd("peer links", d.mesh.Close())
	d.background.Wait()
	d.logEnd("metrics", d.telemetry.closer.Close())
}

// announce notifies other hosts that this one is leaving. Hosts that cannot be
// reached find out from the host list or from refused sub-requests.
func (d *Daemon) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.fleet.Leave(ctx); err != nil {
		d.telemetry.log.WithError(err).Warn("no other host acknowledged that this host is leaving")
	}
}
