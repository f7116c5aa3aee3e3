package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// closeTimeout bounds closing what no request depends on any more.
const closeTimeout = 2 * time.Second

// announceTimeout bounds the wait for one other host to confirm.
const announceTimeout = 2 * time.Second

// Stop is the planned stop. The host announces that it leaves, so that others
// take over its targets, and stays in service for the lame-duck time, in which
// the balancer notices. Then it refuses new queries, lets those in flight finish,
// its own first and then other hosts' sub-requests, and closes its links. It
// returns an error if requests were still in flight when the drain limit passed
// or ctx ended.
func (d *Daemon) Stop(ctx context.Context) error {
	d.draining.Store(true)
	d.entry.Drain()
	d.announce(ctx)
	d.tools.log.Info("leaving: not ready any more")
	sleep(ctx, time.Duration(d.settings.Limits.LameDuckMS)*time.Millisecond)

	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Limits.DrainMS)*time.Millisecond)
	defer cancel()
	err := d.entry.Shutdown(ctx)
	d.local.Stop(ctx)
	if inflight := d.entry.Inflight(); inflight > 0 {
		err = eris.Errorf("%d queries were cut: the drain limit passed or a second signal came", inflight)
	}
	d.close()
	d.tools.log.Info("stopped")
	return err
}

// close ends the control loops and listeners. No request may be in flight.
func (d *Daemon) close() {
	d.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if d.adminListen != nil {
		d.logEnd("administration listener", d.admin.Shutdown(ctx))
	}
	d.logEnd("peer links", d.mesh.Close())
	d.background.Wait()
	d.logEnd("metrics", d.tools.closer.Close())
}

// announce tells other hosts that this one leaves. Hosts that cannot be told
// learn it from the host list, or from refused sub-requests.
func (d *Daemon) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.fleet.Leave(ctx); err != nil {
		d.tools.log.WithError(err).Warn("no other host confirmed that it heard of the leaving")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
