package fleet

import (
	"maps"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// watchersPerDomain is the number of hosts per failure domain that watch the
// platform.
const watchersPerDomain = 2

// ownersInput holds the inputs from which the owners were computed.
type ownersInput struct {
	config  *config.Fleet
	list    *model.HostList
	leaving map[model.HostID]struct{}
}

// publish builds and publishes a view of the current state, calls the view hooks
// and wakes the readers if the watcher role changed.
func (c *control) publish() {
	now := c.now()
	leavingHosts := c.marks.hosts(c.list, now)
	c.buildOwners(leavingHosts)
	v := &view.View{
		Self: c.fleet.opts.Self, Fleet: c.inForce, Hosts: c.list, Owners: c.owners,
		LeavingTargets: c.marks.targets(c.list, now), LeavingHosts: leavingHosts, BuiltAt: now,
	}
	old := c.fleet.current.Load()
	next := &published{
		view: v,
		documents: map[documentKind]publishedDocument{
			configDocument:   c.config.published(),
			hostListDocument: c.hosts.published(),
		},
		marks: c.marks.all(), marksHash: c.marks.hash(), history: c.history,
		watching: c.isWatcher(leavingHosts),
		ready:    c.join.done && c.inForce != nil && c.list != nil,
	}
	c.fleet.current.Store(next)
	if next.ready && !old.ready {
		close(c.fleet.ready)
	}
	if next.watching != old.watching {
		c.fleet.wakeReaders()
	}
	c.fleet.notifyViewHooks(v)
}

func (r *replica) published() publishedDocument {
	return publishedDocument{doc: r.doc, version: r.version, deltas: r.deltas}
}

func (f *Fleet) notifyViewHooks(v *view.View) {
	f.hooksMu.Lock()
	hooks := f.viewHooks
	f.hooksMu.Unlock()
	for _, hook := range hooks {
		hook(v)
	}
}

// buildOwners recomputes the owners of targets if an input of the ranking has
// changed.
func (c *control) buildOwners(leaving map[model.HostID]struct{}) {
	if c.inForce == nil || c.list == nil {
		return
	}
	was := c.ownersBuiltFrom
	now := ownersInput{config: c.inForce, list: c.list, leaving: leaving}
	c.ownersBuiltFrom = now
	if was.list == now.list && maps.Equal(was.leaving, leaving) && sameTargets(was.config, now.config) {
		return
	}
	c.owners = ownership.Build(effectiveHosts(c.list, leaving), c.inForce.Targets)
}

// effectiveHosts returns the hosts of list, with the state of those in leaving
// set to model.Leaving.
func effectiveHosts(list *model.HostList, leaving map[model.HostID]struct{}) []model.Host {
	hosts := make([]model.Host, len(list.Hosts))
	for i, h := range list.Hosts {
		if _, ok := leaving[h.ID]; ok {
			h.State = model.Leaving
		}
		hosts[i] = h
	}
	return hosts
}

// sameTargets reports whether a and b have the same targets in the same regions.
func sameTargets(a, b *config.Fleet) bool {
	if a == b {
		return true
	}
	if a == nil || b == nil || len(a.Targets) != len(b.Targets) {
		return false
	}
	for id, target := range a.Targets {
		other, ok := b.Targets[id]
		if !ok || other.Region != target.Region {
			return false
		}
	}
	return true
}

// isWatcher reports whether this host ranks among the first watchersPerDomain
// live hosts of its failure domain. Without a host list every host is a watcher.
func (c *control) isWatcher(leaving map[model.HostID]struct{}) bool {
	if c.list == nil {
		return true
	}
	self := c.fleet.opts.Self
	var domain []model.Host
	for _, h := range effectiveHosts(c.list, leaving) {
		if h.FailureDomain == self.FailureDomain && h.State == model.Live {
			domain = append(domain, h)
		}
	}
	for _, h := range ownership.Rank("platform-watch", domain, watchersPerDomain) {
		if h.ID == self.ID {
			return true
		}
	}
	return false
}

// refreshLeaving publishes a view if the passage of time changed the set of
// leaving targets or hosts.
func (c *control) refreshLeaving() {
	v := c.fleet.current.Load().view
	now := c.now()
	if !maps.Equal(v.LeavingTargets, c.marks.targets(c.list, now)) || !maps.Equal(v.LeavingHosts, c.marks.hosts(c.list, now)) {
		c.publish()
	}
}
