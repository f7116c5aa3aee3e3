package catalogshare

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
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
	// observeInterval is the pause before another reader is dialed again, and the
	// time between two checks for new readers.
	observeInterval = 400 * time.Millisecond
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
// store otherwise. Read and Watch are called from one goroutine; SendCrashReport,
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
	return s.opts.Store.Read(known)
}

// Watch implements catalogsync.Source. It returns the link's next message, or
// calls the store if there is no link or the link fails.
func (s *Source) Watch(after catalog.Position, wait time.Duration) (catalogsync.Batch, error) {
	s.adoptLink()
	if s.link != nil {
		batch, err := s.nextBatch(after)
		if err == nil {
			return batch, nil
		}
		s.opts.Log.WithError(err).WithField("peer", s.link.addr).Info("catalog link lost; calling the store")
		s.dropLink()
		s.delayDial()
	}
	s.dialInBackground()
	return s.opts.Store.Watch(after, wait)
}

// SendCrashReport sends a crash report of this host to the followers of its hub
// and to the reader that it follows.
func (s *Source) SendCrashReport(report crashguard.CrashReport) {
	s.opts.Hub.AddCrashReport(report)
	if l := s.currentLink(); l != nil {
		l.send(&message{CrashReports: []crashguard.CrashReport{report}})
	}
}

// SendLeaving tells the fleet that a target has reported that it is leaving.
func (s *Source) SendLeaving(t LeavingTarget) {
	s.opts.Hub.AddLeaving(t)
	if l := s.currentLink(); l != nil {
		l.send(&message{Leaving: []LeavingTarget{t}})
	}
}

// Report sends this host's health samples, its demand and the ends of targets' pauses to
// the reader that it follows or, if it follows none, adds them to its own hub.
func (s *Source) Report(samples []targethealth.Sample, demand []overload.Entry, ends []stall.SharedEnd) {
	if l := s.currentLink(); l != nil {
		l.send(&message{Samples: samples, Demand: demand, PauseEnds: ends, Reports: true})
		return
	}
	s.opts.Hub.addSamples(samples)
	s.opts.Hub.addDemand(demand)
	s.opts.Hub.addOwnPauseEnds(ends)
}

// ReportDemand is Report for a host that doesn't report periodically.
func (s *Source) ReportDemand(demand []overload.Entry) {
	if l := s.currentLink(); l != nil {
		l.send(&message{Demand: demand})
		return
	}
	s.opts.Hub.addDemand(demand)
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

// IsReader reports whether this host is one of the readers.
func (s *Source) IsReader() bool { return slices.Contains(s.opts.Readers(), s.opts.Self) }

// nextBatch returns the link's next message as a batch. It fails with errStale if
// the message is older than known, since the caller already has newer entries;
// otherwise it also passes the message's counts, crash reports and unhealthy targets
// to the hub.
func (s *Source) nextBatch(known catalog.Position) (catalogsync.Batch, error) {
	m, err := s.link.next()
	if err != nil {
		return catalogsync.Batch{}, err
	}
	if m.position().Before(known) {
		return catalogsync.Batch{}, errStale
	}
	s.linked = true
	if m.Stewards == nil {
		s.opts.Hub.recordUpstream(m)
	}
	s.opts.Hub.addCrashReports(m.CrashReports)
	s.opts.Hub.addLeaving(m)
	s.opts.Hub.notifyUnhealthy(m.Unhealthy)
	s.confirmStewards(s.link, m.Stewards)
	s.opts.Hub.handlePauses(m.Pauses)
	s.opts.Hub.addLimitNotices(m.Limits)
	s.opts.Hub.notifyLimitTotals(m.LimitDemand)
	s.opts.Hub.notifyShares(m.FleetDemand)
	batch := catalogsync.Batch{
		Full: m.Full, Position: m.position(), AfterOutage: m.AfterOutage,
		AsOf: time.Now().Add(-time.Duration(m.AgeMS) * time.Millisecond),
	}
	for _, e := range m.Entries {
		batch.Changes = append(batch.Changes, s.opts.Decode(e.Key, e.Value, e.Revision, e.Deleted))
	}
	for _, e := range m.Disputed {
		batch.Disputed = append(batch.Disputed, s.opts.Decode(e.Key, e.Value, e.Revision, e.Deleted))
	}
	batch.DisputedFor = time.Duration(m.DisputedMS) * time.Millisecond
	return batch, nil
}

// adoptLink takes the link of a background dial if that dial has finished.
func (s *Source) adoptLink() { s.awaitDial(0) }

// awaitDial waits for a running background dial, at most for the given time, and
// takes its link.
func (s *Source) awaitDial(within time.Duration) {
	if !s.dialing {
		return
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	var l *link
	select {
	case l = <-s.dialResult:
	default:
		select {
		case l = <-s.dialResult:
		case <-timer.C:
			return
		}
	}
	s.dialing = false
	s.setLink(l)
	if l == nil {
		s.delayDial()
		return
	}
	// A reader that has restarted knows none of these.
	if m := s.opts.Hub.knownTargetReports(); m != nil {
		l.send(m)
	}
}

// delayDial sets the time of the next dial after a link was lost or could not be opened.
func (s *Source) delayDial() {
	pause := linkRetryPause
	if !s.linked {
		pause = unlinkedRetryPause
	}
	s.retryAt = time.Now().Add(pause/2 + rand.N(pause))
}

// dropLink closes the link, if there is one.
func (s *Source) dropLink() {
	if s.link != nil {
		s.link.end()
		s.setLink(nil)
	}
}

// dialInBackground dials a reader without delaying calls to the store. It does
// nothing on a reader, during another dial and before retryAt.
func (s *Source) dialInBackground() {
	if s.dialing || s.IsReader() || time.Now().Before(s.retryAt) {
		return
	}
	s.dialing = true
	go func() { s.dialResult <- s.dialAny() }()
}

// dialAny opens a link to one of the readers, in random order. It returns nil if
// none accepts.
func (s *Source) dialAny() *link {
	readers := slices.Clone(s.opts.Readers())
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	for _, addr := range readers {
		if addr == s.opts.Self {
			continue
		}
		l, err := dial(addr, s.opts.Hub.self, false, s.opts.Log)
		if err == nil {
			return l
		}
		s.opts.Log.WithError(err).WithField("peer", addr).Debug("dialing a catalog link failed")
	}
	return nil
}

// Observe keeps a link to each other reader while this host is a reader, so that
// all readers exchange host counts and crash reports. It runs until ctx ends.
func (s *Source) Observe(ctx context.Context) {
	running := map[string]bool{}
	ended := make(chan string)
	for {
		if s.IsReader() {
			for _, addr := range s.opts.Readers() {
				if addr != s.opts.Self && !running[addr] {
					running[addr] = true
					go s.observe(ctx, addr, ended)
				}
			}
		}
		timer := time.NewTimer(observeInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case addr := <-ended:
			delete(running, addr)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// observe handles one link to another reader until it ends, then sends the
// reader's address on ended after a pause.
func (s *Source) observe(ctx context.Context, addr string, ended chan<- string) {
	if l, err := dial(addr, s.opts.Hub.self, true, s.opts.Log); err == nil {
		for m := range l.messages {
			s.opts.Hub.recordReaderCounts(addr, m)
			s.opts.Hub.addCrashReports(m.CrashReports)
			s.opts.Hub.addLeaving(m)
			s.opts.Hub.addReaderPauses(m.Pauses)
			s.opts.Hub.addReaderDemand(m.Demand)
			s.opts.Hub.addLimitNotices(m.Limits)
			s.opts.Hub.setReaderLimitDemand(addr, m.LimitDemand)
		}
	}
	timer := time.NewTimer(observeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	select {
	case ended <- addr:
	case <-ctx.Done():
	}
}
