package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// historyTimeout bounds one request for another host's history.
	historyTimeout = time.Second
	// historyInterval is the least time between two of them without need.
	historyInterval = time.Second
)

// control is the state of the control goroutine. Only that one uses it.
type control struct {
	s       *Service
	witness *rules.Witness
	history *rules.History
	pauses  uint64
	// lastRun is when the goroutine last ran, on the monotonic clock.
	lastRun time.Time
	// newest is the last clock reading: time never goes back for the rules.
	newest rules.Time
	// askedAt is when another host was last asked for its history.
	askedAt time.Time
	// next is the position in the host list of the host to ask next.
	next int
}

func newControl(s *Service) *control {
	started := rules.Time(s.opts.Incarnation)
	return &control{
		s:       s,
		witness: rules.NewWitness(s.limits, rules.Switches{}, started),
		history: rules.NewHistory(s.limits, started),
		lastRun: s.opts.Clock(),
	}
}

// now returns this host's clock, which never goes back here.
func (c *control) now() rules.Time {
	c.newest = max(c.newest, rules.At(c.s.opts.Clock()))
	return c.newest
}

// noticePause makes the history incomplete if this process did not run for a
// while: host lists may have come and gone.
func (c *control) noticePause() {
	now := c.s.opts.Clock()
	gap := now.Sub(c.lastRun)
	c.lastRun = now
	if gap < pauseLimit {
		return
	}
	c.pauses++
	c.s.counter.pauses.Inc(1)
	c.s.opts.Log.WithField("gap_ms", gap.Milliseconds()).Warn("this process was paused; host lists are fetched again")
	c.history.Paused(c.now())
	c.readLists()
	c.publish()
}

func (c *control) tick() {
	c.noticePause()
	now := c.now()
	c.readLists()
	c.history.Prune(now)
	c.witness.Forget(now)
	c.publish()
	c.s.counter.entries.Update(float64(c.witness.Len()))
	if !c.history.Complete(now) {
		c.askSomeone()
	}
}

// readLists takes over what the fleet role knows.
func (c *control) readLists() {
	now := c.now()
	if c.s.opts.HostLists != nil {
		for _, list := range c.s.opts.HostLists() {
			c.learn(&list, now)
		}
	}
	if hosts := c.s.opts.Views.Current().Hosts; hosts != nil {
		c.learn(hosts, now)
	}
	confirmed := now
	if c.s.opts.ListConfirmedAt != nil {
		confirmed = rules.At(c.s.opts.ListConfirmedAt())
	}
	c.history.Confirm(confirmed, now)
}

func (c *control) learn(list *model.HostList, now rules.Time) {
	if c.history.Has(list.Revision) {
		return
	}
	ids := make([]model.HostID, len(list.Hosts))
	for i := range list.Hosts {
		ids[i] = list.Hosts[i].ID
	}
	c.history.Learn(list.Revision, ids, now)
}

func (c *control) publish() {
	c.s.lists.Store(&lists{
		known:   c.history.Known(c.now()),
		hosts:   c.history.Hosts(),
		pauses:  c.pauses,
		builtAt: c.s.opts.Clock(),
	})
}

// askSomeone asks the hosts of the newest list in turn for their history.
func (c *control) askSomeone() {
	hosts := c.s.opts.Views.Current().Hosts
	if hosts == nil || len(hosts.Hosts) == 0 || c.s.opts.Clock().Sub(c.askedAt) < historyInterval {
		return
	}
	c.next = (c.next + 1) % len(hosts.Hosts)
	if host := hosts.Hosts[c.next].ID; host != c.s.opts.Self.ID {
		c.askedAt = c.s.opts.Clock()
		c.s.fetchHistory(host, func() {})
	}
}

// fetchHistory asks a host for its history and has it merged. done runs once
// afterwards, whether or not that worked.
func (s *Service) fetchHistory(from model.HostID, done func()) {
	request := &claimMessage{Operation: operationHistory}
	deadline := time.Now().Add(historyTimeout)
	s.opts.Transport.Go(from, peer.KindClaim, request, deadline, func(reply cbor.RawMessage, err error) {
		var shared rules.Shared
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
