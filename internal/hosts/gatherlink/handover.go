package gatherlink

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// linkWait is how long a request waits for a first link, which takes a round trip or two.
	linkWait = 150 * time.Millisecond
	// linksOpenWithin is the time within which the first links usually open.
	linksOpenWithin = time.Second
	// linkWaitStep is the time between two checks for one.
	linkWaitStep = 5 * time.Millisecond
)

// SetHelpers sets the hosts to which requests may be handed over, this host not among them.
func (c *Client) SetHelpers(helpers []gathering.Member) {
	c.setOrdered(gathering.Order(c.opts.Self.Addr, c.opts.Self.FailureDomain, helpers))
}

// HandOver passes a request on to a host that reaches more targets than this one, and returns
// its answer, which is a target's reply unless the route is a sweep. It returns nil if no host
// took the request. gone is closed when the caller has disconnected.
func (c *Client) HandOver(r *exchange.Request, route *catalog.Route, h exchange.Handover, gone <-chan struct{}) *exchange.Answer {
	p := newPassage(c, r, route, h.Again, gone)
	p.mayHaveRun, p.version = h.MayHaveRun, h.ConfigVersion
	p.pick = func() *link { return c.pickAble(route, h.LostShare, p.mayAsk, c.opts.Now()) }
	c.awaitLink(gone)
	return p.run()
}

// pickAble returns a usable link to a host that the route and mayAsk allow and that has lost far
// fewer targets than this one, or nil. The hosts take turns.
func (c *Client) pickAble(route *catalog.Route, lostShare float64, mayAsk func(*link) bool, now time.Time) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	var able []*link
	for _, m := range c.preferred {
		l := c.links[m.Addr]
		if l == nil || !c.opts.Regions.AllowsHost(route, m.FailureDomain) {
			continue
		}
		if l.usable(now) && reach.Better(l.lost(), lostShare) && mayAsk(l) {
			able = append(able, l)
		}
	}
	if len(able) == 0 {
		return nil
	}
	c.turn++
	return able[c.turn%len(able)]
}

// Ready reports whether a host takes requests of one with the given share of lost targets. It
// waits for a first link if none is open yet.
func (c *Client) Ready(lostShare float64, gone <-chan struct{}) bool {
	c.awaitLink(gone)
	return c.anyBetter(lostShare)
}

// anyBetter reports whether one of the linked hosts has lost far fewer targets than the given
// share.
func (c *Client) anyBetter(lostShare float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	for _, l := range c.links {
		if l.usable(now) && reach.Better(l.lost(), lostShare) {
			return true
		}
	}
	return false
}

// awaitLink waits for a first usable link if none is open yet.
func (c *Client) awaitLink(gone <-chan struct{}) {
	ticker := time.NewTicker(linkWaitStep)
	defer ticker.Stop()
	for end := time.Now().Add(linkWait); c.linkExpected() && time.Now().Before(end); {
		select {
		case <-ticker.C:
		case <-gone:
			return
		}
	}
}

// linkExpected reports whether no link is usable yet and one may soon be.
func (c *Client) linkExpected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if now.Sub(c.neededSince) > linksOpenWithin {
		return false
	}
	for _, l := range c.links {
		if l.usable(now) {
			return false
		}
	}
	return len(c.preferred) > 0
}
