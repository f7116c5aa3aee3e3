package dispatch

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/model"
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
	for id := range v.Fleet.Targets {
		if l.serves(v, id) {
			if p := l.open(id); p != nil {
				p.setRole(v.Owners[id].Owner == v.Self.ID || l.opts.Direct)
			}
		}
	}
	var lost []model.TargetID
	for id, p := range *l.pools.Load() {
		t := v.Fleet.Targets[id]
		if l.serves(v, id) && t.Addr == p.target.Addr && t.Slots == p.target.Slots && t.MaxConnections == p.target.MaxConnections {
			p.resume()
			continue
		}
		p.yield()
		if p.idleFor(l.limits.Grace) {
			lost = append(lost, id)
		}
	}
	l.drop(lost)
}

// drop closes pools that finished what they had.
func (l *Local) drop(ids []model.TargetID) {
	if len(ids) == 0 {
		return
	}
	l.change.Lock()
	defer l.change.Unlock()
	pools := make(map[model.TargetID]*pool)
	for id, p := range *l.pools.Load() {
		pools[id] = p
	}
	for _, id := range ids {
		pools[id].close()
		delete(pools, id)
	}
	l.pools.Store(&pools)
}
