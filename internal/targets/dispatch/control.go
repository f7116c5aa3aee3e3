package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// control follows the view until Stop.
func (l *Local) control() {
	tick := time.NewTicker(l.limits.Reconcile)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Round(0).Sub(last.Round(0)) > pausedAfter*l.limits.Reconcile {
			l.wakeUp()
		}
		last = now
		l.reconcile()
	}
}

// wakeUp drops the work that expired while the process was paused.
func (l *Local) wakeUp() {
	l.opts.Log.Warn("the process was paused: dropping expired sub-requests")
	for _, p := range *l.pools.Load() {
		p.dropExpired()
	}
}

// reconcile opens the pools that the view gives to this host and closes those
// that it took away.
func (l *Local) reconcile() {
	v := l.opts.Views.Current()
	if v.Fleet == nil {
		return
	}
	if v != l.reconciled {
		l.openAll(v)
		l.reconciled = v
	}
	var lost []model.TargetID
	for id, p := range *l.pools.Load() {
		switch {
		case !l.serves(v, id):
			p.yield()
			if p.idleFor(l.limits.Grace) {
				lost = append(lost, id)
			}
		case !sameTarget(v.Fleet.Targets[id], p.target):
			l.replace(v, id)
		default:
			p.resume()
		}
	}
	l.drop(lost)
	l.retire()
}

// openAll opens the pools of every target that the view gives to this host. It
// looks at each published target, so it runs once for each view.
func (l *Local) openAll(v *view.View) {
	for id := range v.Fleet.Targets {
		if !l.serves(v, id) {
			continue
		}
		if p := l.open(id); p != nil {
			p.setRole(v.Owners[id].Owner == v.Self.ID || l.opts.Direct)
		}
	}
}

// sameTarget reports whether a pool for one record serves the other as well.
func sameTarget(a, b *model.Target) bool {
	return a.Addr == b.Addr && a.Slots == b.Slots && a.MaxConnections == b.MaxConnections
}

// replace opens a pool for a target whose record changed. The old one finishes
// what it has; with both, this host stays within twice its share.
func (l *Local) replace(v *view.View, id model.TargetID) {
	l.change.Lock()
	defer l.change.Unlock()
	if l.stopping.Load() {
		return
	}
	pools := maps.Clone(*l.pools.Load())
	pools[id].yield()
	l.retiring = append(l.retiring, pools[id])
	pools[id] = l.newPool(v, id)
	l.pools.Store(&pools)
	pools[id].start()
}

// retire closes replaced pools that finished what they had.
func (l *Local) retire() {
	l.change.Lock()
	defer l.change.Unlock()
	l.retiring = slices.DeleteFunc(l.retiring, func(p *pool) bool {
		if !p.empty() {
			return false
		}
		p.close()
		return true
	})
}

// drop closes pools that finished what they had.
func (l *Local) drop(ids []model.TargetID) {
	if len(ids) == 0 {
		return
	}
	l.change.Lock()
	defer l.change.Unlock()
	pools := maps.Clone(*l.pools.Load())
	for _, id := range ids {
		pools[id].close()
		delete(pools, id)
	}
	l.pools.Store(&pools)
}
