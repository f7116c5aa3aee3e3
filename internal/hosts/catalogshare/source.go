package catalogshare

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

const (
	// linkRetryPause is the mean pause before the next dial after a link was lost or
	// no reader could be dialed; a random part keeps followers from dialing
	// together.
	linkRetryPause = 2 * time.Second
	// unlinkedRetryPause replaces linkRetryPause until the host has got a message on a link:
	// after a restart of all hosts readers accept links only once they have entries, and a
	// host without a link doesn't know the fleet's size.
	unlinkedRetryPause = 500 * time.Millisecond
	// minFirstWait is the least time that a host without entries tries to link to
	// a reader: a running reader answers sooner than the store returns its pages.
	minFirstWait = 60 * time.Millisecond
	// firstLinkRetryPause is the pause between two attempts to get the first link.
	firstLinkRetryPause = 100 * time.Millisecond
	// catchUpTimeout is how long a host links anew to readers that are behind it, and
	// catchUpPause the pause between two attempts. Readers read the store each 0.6 s.
	catchUpTimeout = 1500 * time.Millisecond
	catchUpPause   = 150 * time.Millisecond
)

// Decoder decodes an entry of the store into a change.
type Decoder func(key string, value []byte, revision int64, deleted bool) catalogsync.Change

// Options configures a Source.
type Options struct {
	Store  catalogsync.Source
	Decode Decoder
	// Hub is the host's own hub.
	Hub *Hub
	// Self is the host's own address in the list of readers.
	Self string
	// Readers returns the addresses of the hosts that read the store. Some may be
	// down or unused.
	Readers func() []string
	// FirstWait is how long a host without entries tries to link to a reader before
	// it reads all entries from the store.
	FirstWait time.Duration
	Log       logrus.FieldLogger
}

// Source reads entries from a reader while it has a link to one, and from the
// store otherwise. Read and Watch are called from one goroutine; SendCrashReports,
// SendLeaving, Report and Observe are safe for concurrent use.
type Source struct {
	opts Options
	link *link
	// dialResult gets the result of a background dial, nil if it failed.
	dialResult chan *link
	dialing    bool
	// retryAt is the earliest time of the next dial.
	retryAt time.Time
	// linked is set once a message has arrived on a link.
	linked bool

	// mu guards sharedLink, the copy of link for goroutines other than the owner.
	mu         sync.Mutex
	sharedLink *link
	// leaseMu is held while the hub's lease is replaced, and guards asked.
	leaseMu sync.Mutex
	asked   askedQuestions
}

var _ catalogsync.Source = (*Source)(nil)

// NewSource returns a source without a link.
func NewSource(opts Options) *Source { return &Source{opts: opts, dialResult: make(chan *link, 1)} }

// Read implements catalogsync.Source. It drops the current link and tries for a
// limited time to get all entries from a reader before it reads the store.
func (s *Source) Read(known catalog.Position) (catalogsync.Batch, error) {
	s.dropLink()
	until := time.Now().Add(max(s.opts.FirstWait, minFirstWait))
	for !s.IsReader() && time.Now().Before(until) {
		s.retryAt = time.Time{}
		s.dialInBackground()
		s.awaitDial(time.Until(until))
		if s.link == nil {
			time.Sleep(min(firstLinkRetryPause, max(time.Until(until), 0)))
			continue
		}
		if batch, err := s.nextBatch(known); err == nil {
			return batch, nil
		}
		s.dropLink()
	}
	return s.readStore(known)
}

// Watch implements catalogsync.Source. It returns the link's next message, or
// calls the store if there is no link or the link fails.
func (s *Source) Watch(after catalog.Position, wait time.Duration) (catalogsync.Batch, error) {
	s.adoptLink()
	if s.link != nil {
		batch, err := s.catchUp(after)
		if err == nil {
			return batch, nil
		}
		s.opts.Log.WithError(err).WithField("peer", s.linkAddr()).Info("catalog link lost; calling the store")
		s.dropLink()
		s.delayDial()
	}
	s.dialInBackground()
	return s.watchStore(after, wait)
}

// SendLeaving tells the fleet that a target has reported that it is leaving.
func (s *Source) SendLeaving(t TargetStart) {
	s.opts.Hub.AddLeaving(t)
	if l := s.currentLink(); l != nil {
		l.send(&message{Leaving: []TargetStart{t}})
	}
}

// Report sends this host's health samples and the ends of targets' pauses to
// the reader that it follows or, if it follows none, adds them to its own hub.
func (s *Source) Report(samples []targethealth.Sample, ends []stall.SharedEnd) {
	if l := s.currentLink(); l != nil {
		l.send(&message{Samples: samples, PauseEnds: ends, Reports: true})
		return
	}
	s.opts.Hub.addSamples(samples)
	s.opts.Hub.addOwnPauseEnds(ends)
}

// currentLink returns the link for goroutines other than the owner, nil for none.
func (s *Source) currentLink() *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharedLink
}

// setLink replaces the link, nil for none.
func (s *Source) setLink(l *link) {
	s.link = l
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharedLink = l
}

// linkAddr returns the address of the reader that the host follows, "" for none.
func (s *Source) linkAddr() string {
	if s.link == nil {
		return ""
	}
	return s.link.addr
}

// IsReader reports whether this host is one of the readers.
func (s *Source) IsReader() bool { return slices.Contains(s.opts.Readers(), s.opts.Self) }

// catchUp returns the link's next message. A link that was opened while the host called the store
// may begin behind it; the host then links anew, without calling the store, until a link begins
// with all entries of the same position or a later one. It fails with errStale if the readers
// stay behind.
func (s *Source) catchUp(known catalog.Position) (catalogsync.Batch, error) {
	until := time.Now().Add(catchUpTimeout)
	for {
		batch, err := s.nextBatch(known)
		if !errors.Is(err, errBehind) {
			return batch, err
		}
		if time.Now().After(until) {
			return catalogsync.Batch{}, errStale
		}
		s.dropLink()
		time.Sleep(catchUpPause)
		s.retryAt = time.Time{}
		s.dialInBackground()
		s.awaitDial(time.Until(until))
		if s.link == nil {
			return catalogsync.Batch{}, errStale
		}
	}
}

// nextBatch returns the link's next message as a batch and passes what else it carries to the
// hub. It fails with errBehind if its entries are older than known.
func (s *Source) nextBatch(known catalog.Position) (catalogsync.Batch, error) {
	m, err := s.link.next()
	if err != nil {
		return catalogsync.Batch{}, err
	}
	s.linked = true
	s.passOn(m)
	if m.position().Before(known) {
		return catalogsync.Batch{}, errBehind
	}
	return s.batchOf(m), nil
}

// passOn passes all but the entries of a message to the hub.
func (s *Source) passOn(m *message) {
	if m.Stewards == nil {
		s.opts.Hub.recordUpstream(m)
	}
	s.opts.Hub.learnCrashes(m, &s.link.pending)
	s.opts.Hub.addLeaving(m)
	s.opts.Hub.notifyUnhealthy(m.Unhealthy)
	s.confirmStewards(s.link, m.Stewards)
	s.opts.Hub.handlePauses(m.Pauses)
	s.opts.Hub.addLimitNotices(m.Limits)
	s.opts.Hub.notifyLimitTotals(m.LimitDemand)
}

// readStore calls the store's Read. The client decodes the reply.
func (s *Source) readStore(known catalog.Position) (batch catalogsync.Batch, err error) {
	defer panics.Catch(&err)
	return s.opts.Store.Read(known)
}

// watchStore calls the store's Watch. The client decodes the reply.
func (s *Source) watchStore(after catalog.Position, wait time.Duration) (batch catalogsync.Batch, err error) {
	defer panics.Catch(&err)
	return s.opts.Store.Watch(after, wait)
}

// decode decodes an entry. An unreadable entry becomes a change with Err set.
func (s *Source) decode(e *entry) (c catalogsync.Change) {
	c = catalogsync.Change{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
	defer panics.Catch(&c.Err)
	return s.opts.Decode(e.Key, e.Value, e.Revision, e.Deleted)
}

// batchOf returns the entries of a message.
func (s *Source) batchOf(m *message) catalogsync.Batch {
	batch := catalogsync.Batch{
		Full: m.Full, Position: m.position(), AfterOutage: m.AfterOutage,
		AsOf: time.Now().Add(-time.Duration(m.AgeMS) * time.Millisecond),
	}
	for _, e := range m.Entries {
		batch.Changes = append(batch.Changes, s.decode(&e))
	}
	for _, e := range m.Disputed {
		batch.Disputed = append(batch.Disputed, s.decode(&e))
	}
	batch.DisputedFor = time.Duration(m.DisputedMS) * time.Millisecond
	return batch
}
