package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// historyTimeout bounds one request for the history of another host.
	historyTimeout = time.Second
	// historyInterval is the minimum time between two periodic history requests.
	// Requests caused by a stale host list are not limited.
	historyInterval = time.Second
)

// control is the state of the control goroutine, which alone uses it.
type control struct {
	s       *Service
	witness *rules.Witness
	history *rules.History
	pauses  uint64
	// lastRun is when the goroutine last ran, on the monotonic clock.
	lastRun time.Time
	// newest is the latest clock reading, so that the time passed to the rules never
	// goes backwards.
	newest rules.Time
	// lastHistoryRequest is the time of the last periodic history request.
	lastHistoryRequest time.Time
	// next is the index of the host selected last for a periodic history request.
	next int
}

func newControl(s *Service) *control {
	started := rules.Time(s.opts.Incarnation)
	return &control{
		s:       s,
		witness: rules.NewWitness(s.limits, rules.DisabledRules{}, started),
		history: rules.NewHistory(s.limits, started),
		lastRun: s.opts.Clock(),
	}
}

// now returns the time of this host's clock and never goes backwards.
func (c *control) now() rules.Time {
	c.newest = max(c.newest, rules.At(c.s.opts.Clock()))
	return c.newest
}

// detectPause marks the history as incomplete if this process did not run for
// pauseThreshold: host lists may have been published and superseded in between.
func (c *control) detectPause() {
	now := c.s.opts.Clock()
	gap := now.Sub(c.lastRun)
	c.lastRun = now
	if gap < pauseThreshold {
		return
	}
	c.pauses++
	c.s.counter.pauses.Inc(1)
	c.s.opts.Log.WithField("gap_ms", gap.Milliseconds()).Warn("process was paused; fetching host lists again")
	c.history.MarkIncomplete(c.now())
	c.readLists()
	c.publish()
}

func (c *control) tick() {
	c.detectPause()
	now := c.now()
	c.readLists()
	c.history.Prune(now)
	c.witness.RemoveExpired(now)
	c.publish()
	c.s.counter.entries.Update(float64(c.witness.Len()))
	if !c.history.Complete(now) {
		c.requestHistory()
	}
}

// readLists copies the host lists of this host, and the time of their last
// confirmation, to the history.
func (c *control) readLists() {
	now := c.now()
	if c.s.opts.HostLists != nil {
		for _, list := range c.s.opts.HostLists() {
			c.addList(&list, now)
		}
	}
	if hosts := c.s.opts.Views.Current().Hosts; hosts != nil {
		c.addList(hosts, now)
	}
	confirmed := now
	if c.s.opts.ListConfirmedAt != nil {
		confirmed = rules.At(c.s.opts.ListConfirmedAt())
	}
	c.history.Confirm(confirmed, now)
}

func (c *control) addList(list *model.HostList, now rules.Time) {
	if c.history.Has(list.Revision) {
		return
	}
	ids := make([]model.HostID, len(list.Hosts))
	for i := range list.Hosts {
		ids[i] = list.Hosts[i].ID
	}
	c.history.AddList(list.Revision, ids, now)
}

func (c *control) publish() {
	c.s.lists.Store(&listSnapshot{
		status:  c.history.Status(c.now()),
		hosts:   c.history.Hosts(),
		pauses:  c.pauses,
		builtAt: c.s.opts.Clock(),
	})
}

// requestHistory requests the history of the next host of the newest list, in
// round-robin order.
func (c *control) requestHistory() {
	hosts := c.s.opts.Views.Current().Hosts
	if hosts == nil || len(hosts.Hosts) == 0 || c.s.opts.Clock().Sub(c.lastHistoryRequest) < historyInterval {
		return
	}
	c.next = (c.next + 1) % len(hosts.Hosts)
	if host := hosts.Hosts[c.next].ID; host != c.s.opts.Self.ID {
		c.lastHistoryRequest = c.s.opts.Clock()
		c.s.fetchHistory(host, func() {})
	}
}

// fetchHistory requests the history of a host and merges it on the control
// goroutine. done runs once afterwards, on success and on failure.
func (s *Service) fetchHistory(from model.HostID, done func()) {
	request := &claimMessage{Operation: operationHistory}
	deadline := time.Now().Add(historyTimeout)
	s.opts.Transport.Go(from, peer.KindClaim, request, deadline, func(reply cbor.RawMessage, err error) {
		var shared rules.SharedHistory
		if err != nil || cbor.Unmarshal(reply, &shared) != nil {
			done()
			return
		}
		merge := func(c *control) {
			c.history.Merge(&shared, c.now())
			c.publish()
			done()
		}
		if !s.submit(merge) {
			done()
		}
	})
}
