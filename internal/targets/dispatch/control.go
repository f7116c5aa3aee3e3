package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// control reconciles the pools with the view at every tick until Stop.
func (l *Local) control() {
	tick := time.NewTicker(l.limits.ReconcileInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Round(0).Sub(last.Round(0)) > pausedTicks*l.limits.ReconcileInterval {
			l.dropExpiredAfterPause()
		}
		last = now
		l.reconcile()
	}
}

// dropExpiredAfterPause drops the sub-requests that expired while the process was
// paused.
func (l *Local) dropExpiredAfterPause() {
	l.opts.Log.Warn("the process was paused: dropping expired sub-requests")
	for _, p := range *l.pools.Load() {
		p.dropExpired()
	}
}

// reconcile opens pools for the targets that this host may dispatch to and
// replaces those whose target's record changed. It suspends the pools of targets
// that moved to other hosts, were removed or are evacuated, and closes them after the grace period.
func (l *Local) reconcile() {
	v := l.opts.Views.Current()
	if v.Fleet == nil {
		return
	}
	if v != l.reconciled {
		l.openPools(v)
		l.reconciled = v
	}
	var lost []model.TargetID
	for id, p := range *l.pools.Load() {
		switch {
		case !l.mayDispatchTo(v, id):
			p.suspend()
			if v.IsEvacuated(id) {
				p.refuseQueue(verdict.TargetEvacuated, 0)
			}
			if p.idleFor(l.limits.Grace) {
				lost = append(lost, id)
			}
		case !sameTarget(v.Fleet.Targets[id], p.target):
			l.replacePool(v, id)
		default:
			p.resume()
		}
	}
	l.closePools(lost)
	l.closeRetired()
}

// openPools opens the pools of all targets that this host may dispatch to. It
// iterates over all published targets, so it runs only once for each view.
func (l *Local) openPools(v *view.View) {
	for id := range v.Fleet.Targets {
		if !l.mayDispatchTo(v, id) {
			continue
		}
		if p := l.openPool(id); p != nil {
			p.setOwner(v.Owners[id].Owner == v.Self.ID || l.opts.Direct)
		}
	}
}

// sameTarget reports whether a pool for one record can serve the other as well.
func sameTarget(a, b *model.Target) bool {
	return a.Addr == b.Addr && a.Slots == b.Slots && a.MaxConnections == b.MaxConnections
}

// replacePool opens a new pool for a target whose record changed. The old one
// finishes its sub-requests. While both exist, this host opens at most twice its
// quota of connections.
func (l *Local) replacePool(v *view.View, id model.TargetID) {
	l.poolsMu.Lock()
	defer l.poolsMu.Unlock()
	if l.stopping.Load() {
		return
	}
	pools := maps.Clone(*l.pools.Load())
	pools[id].suspend()
	l.retiring = append(l.retiring, pools[id])
	pools[id] = l.newPool(v, id)
	l.pools.Store(&pools)
	pools[id].start()
}

// closeRetired closes the replaced pools that have finished their sub-requests.
func (l *Local) closeRetired() {
	l.poolsMu.Lock()
	defer l.poolsMu.Unlock()
	l.retiring = slices.DeleteFunc(l.retiring, func(p *pool) bool {
		if !p.empty() {
			return false
		}
		p.close()
		return true
	})
}

// closePools closes and removes the pools of these targets, which must be idle.
func (l *Local) closePools(ids []model.TargetID) {
	if len(ids) == 0 {
		return
	}
	l.poolsMu.Lock()
	defer l.poolsMu.Unlock()
	pools := maps.Clone(*l.pools.Load())
	for _, id := range ids {
		pools[id].close()
		delete(pools, id)
	}
	l.pools.Store(&pools)
}
