package fleet

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// control is the state of the fleet. Only the goroutine in run touches it.
type control struct {
	fleet *Fleet

	config          replica
	hosts           replica
	inForce         *config.Fleet
	list            *model.HostList
	marks           *marks
	history         *History
	owners          map[model.TargetID]view.Owners
	ownersBuiltFrom ownersInput
	platformAt      map[documentKind]time.Time

	peers    map[model.HostID]peerState
	partners []model.HostID
	rotateAt time.Time
	// pullStartedAt holds the start times of the pulls in progress.
	pullStartedAt map[documentKind]time.Time

	join               joinState
	catchUp            catchUpState
	historyKnown       bool
	historyRequestedAt time.Time
	leaving            bool
}

// peerState holds the versions that a peer last reported and when.
type peerState struct {
	config version
	hosts  version
	at     time.Time
}

func newControl(f *Fleet) *control {
	c := &control{
		fleet:         f,
		marks:         newMarks(f.opts.LeavingHold, f.opts.Retention),
		history:       f.current.Load().history,
		platformAt:    make(map[documentKind]time.Time),
		peers:         make(map[model.HostID]peerState),
		pullStartedAt: make(map[documentKind]time.Time),
	}
	c.config = replica{kind: configDocument, check: c.checkConfig}
	c.hosts = replica{kind: hostListDocument, check: c.checkHostList}
	return c
}

func (c *control) now() time.Time { return c.fleet.opts.Clock() }

// run applies events and ticks until ctx ends.
func (c *control) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.fleet.events:
			e.apply(c)
		case <-timer.C:
			c.tick()
			timer.Reset(jitter(c.fleet.opts.GossipInterval))
		}
	}
}

// tick does the periodic work of one gossip interval.
func (c *control) tick() {
	c.marks.expire(c.listRevision(), c.now())
	c.refreshLeaving()
	c.refreshPartners()
	c.joinStep()
	c.retryCatchUp()
	c.requestHistory()
	if peer, ok := c.randomPartner(); ok {
		c.swap(peer)
	}
}

func (c *control) replica(kind documentKind) *replica {
	if kind == hostListDocument {
		return &c.hosts
	}
	return &c.config
}

// checkConfig validates a configuration.
func (c *control) checkConfig(doc *config.Document, digest uint64) (func(), error) {
	parsed, err := config.ParseIncremental(doc, c.inForce, digest)
	if err != nil {
		return nil, err
	}
	return func() { c.inForce = parsed }, nil
}

// checkHostList validates a host list.
func (c *control) checkHostList(doc *config.Document, _ uint64) (func(), error) {
	list, err := hostListOf(doc)
	if err != nil {
		return nil, err
	}
	return func() {
		c.list = list
		c.history = c.history.withList(list, c.now(), c.fleet.opts.Retention)
		c.fleet.opts.Directory.replace(list)
	}, nil
}

// offer puts doc in force if it is newer and valid, and announces it to peers.
func (c *control) offer(kind documentKind, doc *config.Document, source string) {
	r := c.replica(kind)
	before := r.version
	result, err := r.offer(doc, source, c.now())
	c.finishOffer(kind, before, result, doc.Revision, source, err)
}

// finishOffer counts and logs the outcome of an offer. If the document changed,
// it publishes a view and announces the change to peers.
func (c *control) finishOffer(kind documentKind, before version, result outcome, revision model.Revision, source string, err error) {
	c.fleet.counters.offered(kind, result)
	log := c.fleet.opts.Log.WithField("document", kind.String()).WithField("revision", uint64(revision)).WithField("source", source)
	if err != nil {
		log.WithError(err).Error("document rejected; the last accepted one stays in force")
	}
	if result == conflict {
		log.Error("two documents have the same revision; the one with the lower digest is used")
	}
	r := c.replica(kind)
	if r.version == before {
		return
	}
	log.Info("document in force")
	c.publishChange()
	c.announce(kind)
}

// publishChange publishes a new view after a document changed, and updates the
// partners and the join, which depend on it.
func (c *control) publishChange() {
	c.publish()
	c.refreshPartners()
	c.joinStep()
}

func (c *control) listRevision() model.Revision {
	if c.list == nil {
		return 0
	}
	return c.list.Revision
}
