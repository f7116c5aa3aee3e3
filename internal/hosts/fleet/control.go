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

	config     replica
	hosts      replica
	inForce    *config.Fleet
	list       *model.HostList
	marks      *marks
	history    *History
	owners     map[model.TargetID]view.Owners
	ownersOf   ownersInput
	platformAt map[documentKind]time.Time

	peers    map[model.HostID]peerState
	partners []model.HostID
	rotateAt time.Time
	// pulling holds when the pull of a document that is under way began.
	pulling map[documentKind]time.Time

	join         joinState
	catchUp      catchUpState
	historyKnown bool
	historyAsked time.Time
	leaving      bool
}

// peerState is what a peer last said about itself.
type peerState struct {
	config version
	hosts  version
	at     time.Time
}

func newControl(f *Fleet) *control {
	c := &control{
		fleet:      f,
		marks:      newMarks(f.opts.LeavingHold, f.opts.Retention),
		history:    f.current.Load().history,
		platformAt: make(map[documentKind]time.Time),
		peers:      make(map[model.HostID]peerState),
		pulling:    make(map[documentKind]time.Time),
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

// tick does what falls due once a gossip interval.
func (c *control) tick() {
	c.marks.expire(c.listRevision(), c.now())
	c.refreshLeaving()
	c.refreshPartners()
	c.joinStep()
	c.retryCatchUp()
	c.askHistory()
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
	parsed, err := config.ParseAfter(doc, c.inForce, digest)
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

// offer puts doc in force if it is newer and valid, and tells peers.
func (c *control) offer(kind documentKind, doc *config.Document, source string) {
	r := c.replica(kind)
	before := r.version
	result, err := r.offer(doc, source, c.now())
	c.settled(kind, before, result, doc.Revision, source, err)
}

// settled counts and logs the outcome of an offer and publishes a change.
func (c *control) settled(kind documentKind, before version, result outcome, revision model.Revision, source string, err error) {
	c.fleet.counters.offered(kind, result)
	log := c.fleet.opts.Log.WithField("document", kind.String()).WithField("revision", uint64(revision)).WithField("source", source)
	if err != nil {
		log.WithError(err).Error("a document was rejected; the last accepted one stays in force")
	}
	if result == conflict {
		log.Error("two documents carry one revision; the lower digest holds")
	}
	r := c.replica(kind)
	if r.version == before {
		return
	}
	log.Info("a document is in force")
	c.changed()
	c.announce(kind)
}

// changed publishes a new view after a change.
func (c *control) changed() {
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
