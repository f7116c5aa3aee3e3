package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

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
// from other hosts, and closes its links. It returns an error if requests were
// still in flight when the drain limit passed or ctx ended.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.scheduleStop()
	d.announce(ctx)
	schedule := d.scheduleStop()
	d.telemetry.log.Info("leaving: no longer ready")
	wait.For(ctx, time.Until(schedule.RefuseAt))

	ctx, cancel := context.WithDeadline(ctx, schedule.EndAt)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	d.local.Stop(ctx)
	if inflight := d.entry.Inflight(); inflight > 0 {
		err = eris.Errorf("%d queries were aborted: the drain limit passed or a second signal arrived", inflight)
	}
	d.close()
	d.telemetry.log.Info("stopped")
	return err
}

// scheduleStop makes the host refuse queries that it can't finish if its lame-duck time
// begins now, and returns the schedule. Since the time that the announcement takes is not
// known, it is called before and after it.
func (d *Daemon) scheduleStop() *drain.Schedule {
	limits := &d.settings.Limits
	schedule := drain.NewSchedule(time.Now(),
		time.Duration(limits.LameDuckMS)*time.Millisecond, time.Duration(limits.DrainMS)*time.Millisecond)
	d.entry.Drain(schedule)
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
