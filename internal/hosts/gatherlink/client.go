package gatherlink

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// linksPerHost is the number of gatherers that a host is linked to.
	linksPerHost = 3
	// cutFor is how long a gatherer isn't preferred that is cut off from its targets.
	cutFor = 5 * time.Second
	// linesPerSecond bounds the log lines of each reason.
	linesPerSecond = 5
	// maintainInterval is the time between two checks of the links, before jitter.
	maintainInterval = 300 * time.Millisecond
)

// Client passes sweeps on to gatherers. It is safe for concurrent use.
type Client struct {
	opts Options

	mu sync.Mutex
	// ordered are all gatherers in the order of preference, preferred the first of them that
	// are not cut off, at most Options.Links.
	ordered   []gathering.Member
	preferred []gathering.Member
	// cutUntil is until when gatherers that are cut off are not preferred, by address.
	cutUntil map[string]time.Time
	links    map[string]*link
	dialing  map[string]bool
	budget   *budget
	// lines bounds the log lines of each reason that a gatherer did not serve a sweep.
	lines *logging.Budget
	wake  chan struct{}
	// neededSince is since when there are preferred gatherers.
	neededSince time.Time
	// turn counts the requests that were handed over, so that hosts take turns.
	turn int
	// ownRegion is set if one of the preferred gatherers has to be in this host's region.
	ownRegion bool
	// stopped is set once Run has ended.
	stopped bool
}

// Options configure a Client.
type Options struct {
	// Self is this host; it is never linked to itself.
	Self gathering.Member
	Log  logrus.FieldLogger
	// AcceptTimeout is how long a gatherer may take to accept or refuse a sweep; zero
	// means defaultAcceptTimeout.
	AcceptTimeout time.Duration
	// RetireAfter is how long a link stays open at least that is no longer preferred;
	// zero means defaultRetireAfter.
	RetireAfter time.Duration
	// Links is the number of hosts to link to; zero means linksPerHost.
	Links int
	// HandsOver is set if the client is used for HandOver and not for Sweep: other counters
	// count its requests, and their extra load is counted by their Handover.
	HandsOver bool
	// Scope gets the counters; nil for none.
	Scope metrics.Scope
	// Regions has the regions of the failure domains, for routes with home regions.
	Regions catalog.Regions
	// Now returns the time by which gatherers are avoided and preferred again; nil means
	// time.Now.
	Now func() time.Time
}

// NewClient returns a client without links.
func NewClient(opts Options) *Client {
	if opts.AcceptTimeout == 0 {
		opts.AcceptTimeout = defaultAcceptTimeout
	}
	if opts.RetireAfter == 0 {
		opts.RetireAfter = defaultRetireAfter
	}
	if opts.Links == 0 {
		opts.Links = linksPerHost
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Client{
		opts: opts, links: map[string]*link{}, dialing: map[string]bool{}, budget: newBudget(), cutUntil: map[string]time.Time{},
		lines: logging.NewBudget(linesPerSecond), wake: make(chan struct{}, 1),
	}
}

// SetGatherers sets the hosts that gather, none if this host serves all sweeps itself.
func (c *Client) SetGatherers(gatherers []gathering.Member) {
	others := slices.DeleteFunc(slices.Clone(gatherers), func(m gathering.Member) bool { return m.Addr == c.opts.Self.Addr })
	ordered := gathering.Order(c.opts.Self.Addr, c.opts.Self.FailureDomain, others)
	if len(others) < len(gatherers) {
		// This host gathers itself.
		ordered = nil
	}
	c.setOrdered(ordered)
}

// setOrdered sets the hosts to link to in the order of preference.
func (c *Client) setOrdered(ordered []gathering.Member) {
	c.mu.Lock()
	c.ordered = ordered
	changed := c.prefer(c.opts.Now())
	c.mu.Unlock()
	if changed {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// prefer selects the gatherers to link to and reports whether they have changed. The caller
// holds the lock.
func (c *Client) prefer(now time.Time) bool {
	able := slices.DeleteFunc(slices.Clone(c.ordered), func(m gathering.Member) bool { return now.Before(c.cutUntil[m.Addr]) })
	preferred := c.firstOf(able)
	changed := !slices.Equal(preferred, c.preferred)
	if len(c.preferred) == 0 {
		c.neededSince = now
	}
	c.preferred = preferred
	return changed
}

// avoidCut stops preferring gatherers that say that they are cut off from their targets. The
// caller holds the lock.
func (c *Client) avoidCut(now time.Time) {
	for addr, l := range c.links {
		if reach.Unable(l.lost()) {
			c.cutUntil[addr] = now.Add(cutFor)
		}
	}
	if len(c.cutUntil) == 0 {
		return
	}
	maps.DeleteFunc(c.cutUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	c.prefer(now)
}

// RequireOwnRegion sets whether one of the preferred gatherers has to be in this host's
// region, if there is one: sweeps of routes with home regions may always be passed on to
// it. It takes effect with the next SetGatherers.
func (c *Client) RequireOwnRegion(required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownRegion = required
}

// firstOf returns the gatherers to link to. The caller holds the lock.
func (c *Client) firstOf(ordered []gathering.Member) []gathering.Member {
	own := func(m gathering.Member) bool { return c.opts.Regions.IsOwn(m.FailureDomain) }
	first := ordered[:min(c.opts.Links, len(ordered))]
	if at := slices.IndexFunc(ordered, own); c.ownRegion && at >= c.opts.Links {
		first[c.opts.Links-1] = ordered[at]
	}
	return first
}

// Run maintains the links until ctx ends, and then closes them.
func (c *Client) Run(ctx context.Context) {
	defer c.stop()
	for {
		c.maintain()
		timer := time.NewTimer(maintainInterval + rand.N(maintainInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// stop closes all links, and those that are being dialed once they open.
func (c *Client) stop() {
	c.mu.Lock()
	c.stopped = true
	links := c.links
	c.links = map[string]*link{}
	c.mu.Unlock()
	for _, l := range links {
		l.end()
	}
}

// maintain dials the preferred gatherers without a link and closes links to others.
func (c *Client) maintain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidCut(c.opts.Now())
	for addr, l := range c.links {
		if l.isEnded() {
			c.opts.Log.WithField("gatherer", addr).Info("gather link lost")
			delete(c.links, addr)
			continue
		}
		if !slices.ContainsFunc(c.preferred, func(m gathering.Member) bool { return m.Addr == addr }) {
			delete(c.links, addr)
			// Sweeps on their way may still be answered.
			time.AfterFunc(c.opts.RetireAfter, func() { l.retire(c.opts.RetireAfter) })
		}
	}
	for _, m := range c.preferred {
		if c.links[m.Addr] == nil && !c.dialing[m.Addr] {
			c.dialing[m.Addr] = true
			go c.dial(m.Addr)
		}
	}
}

// defaultRetireAfter is how long a link that is no longer preferred stays open, and the
// time between two checks whether its last sweeps have ended.
const defaultRetireAfter = 3 * time.Second

func (c *Client) dial(addr string) {
	l, err := dialLink(addr, c.opts.Log)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dialing, addr)
	if err != nil {
		c.opts.Log.WithError(err).WithField("gatherer", addr).Debug("dialing a gatherer failed")
		return
	}
	if c.stopped {
		l.end()
		return
	}
	c.links[addr] = l
}

// pick returns the most preferred usable link to a gatherer that the route allows and that
// is not in tried, or nil. Gatherers
// whose last answer was late come last: they may be slow, but if the targets are, all
// gatherers are late and must still be asked.
func (c *Client) pick(route *catalog.Route, tried []*link, now time.Time) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last *link
	for _, m := range c.preferred {
		l := c.links[m.Addr]
		if l == nil || !c.opts.Regions.AllowsHost(route, m.FailureDomain) || slices.Contains(tried, l) || !l.usable(now) {
			continue
		}
		if !l.isLate(now) {
			return l
		}
		if last == nil {
			last = l
		}
	}
	return last
}
