package fleet

import (
	"maps"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// watchersPerDomain is how many hosts of a failure domain watch the platform.
const watchersPerDomain = 2

// ownersInput is what owners were built from.
type ownersInput struct {
	config  *config.Fleet
	list    *model.HostList
	leaving map[model.HostID]struct{}
}

// publish builds a view of the present state and lets others read it.
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
	c.fleet.tellView(v)
}

func (r *replica) published() publishedDocument {
	return publishedDocument{doc: r.doc, version: r.version, deltas: r.deltas}
}

func (f *Fleet) tellView(v *view.View) {
	f.hooksMu.Lock()
	hooks := f.viewHooks
	f.hooksMu.Unlock()
	for _, hook := range hooks {
		hook(v)
	}
}

// buildOwners ranks hosts anew if anything that decides owners has changed.
func (c *control) buildOwners(leaving map[model.HostID]struct{}) {
	if c.inForce == nil || c.list == nil {
		return
	}
	was := c.ownersOf
	now := ownersInput{config: c.inForce, list: c.list, leaving: leaving}
	c.ownersOf = now
	if was.list == now.list && maps.Equal(was.leaving, leaving) && sameTargets(was.config, now.config) {
		return
	}
	c.owners = ownership.Build(effectiveHosts(c.list, leaving), c.inForce.Targets)
}

// effectiveHosts returns the list's hosts with those that are leaving marked.
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

// isWatcher reports whether this host ranks among the first live hosts of its
// failure domain. Until a host list is known, every host is one.
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

// refreshLeaving publishes if the passing of time changed who is leaving.
func (c *control) refreshLeaving() {
	v := c.fleet.current.Load().view
	now := c.now()
	if !maps.Equal(v.LeavingTargets, c.marks.targets(c.list, now)) || !maps.Equal(v.LeavingHosts, c.marks.hosts(c.list, now)) {
		c.publish()
	}
}
