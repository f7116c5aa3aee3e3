package catalogshare

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

const (
	// retryLinks is the pause after all readers failed a host.
	retryLinks = 2 * time.Second
	// quickLink is how long a host without entries waits for a reader's answer
	// in any case: one that runs answers sooner than the store's pages come.
	quickLink = 60 * time.Millisecond
	// firstLinkRetry is the pause between two looks for a first reader.
	firstLinkRetry = 100 * time.Millisecond
	// observeEvery is the pause before a reader that can't be observed is
	// dialled again.
	observeEvery = 400 * time.Millisecond
)

// Decoder translates an entry into a change.
type Decoder func(key string, value []byte, revision int64, deleted bool) catalogsync.Change

// Options are what a Source needs.
type Options struct {
	Store  catalogsync.Source
	Decode Decoder
	Hub    *Hub
	// Self is the host's own address in the list of readers.
	Self string
	// Readers returns the addresses of the hosts that read the store; they may
	// be down or belong to nobody.
	Readers func() []string
	// FirstWait is how long a host without entries looks for a reader before it
	// reads all of them itself.
	FirstWait time.Duration
	Log       logrus.FieldLogger
}

// Source follows a reader if there is one and the store otherwise. It is used
// by one goroutine.
type Source struct {
	opts Options
	link *link
	// dialed gets a link that a background dial brought.
	dialed  chan *link
	dialing bool
	retryAt time.Time

	// mu guards current, which is link as others than the owner see it.
	mu      sync.Mutex
	current *link
}

var _ catalogsync.Source = (*Source)(nil)

// NewSource returns a source without a link.
func NewSource(opts Options) *Source { return &Source{opts: opts, dialed: make(chan *link, 1)} }

// Read implements catalogsync.Source.
func (s *Source) Read() (catalogsync.Batch, error) {
	s.drop()
	until := time.Now().Add(max(s.opts.FirstWait, quickLink))
	for !s.reads() && time.Now().Before(until) {
		s.retryAt = time.Time{}
		s.dialLater()
		s.await(time.Until(until))
		if s.link == nil {
			time.Sleep(min(firstLinkRetry, max(time.Until(until), 0)))
			continue
		}
		if batch, err := s.take(0); err == nil {
			return batch, nil
		}
		s.drop()
	}
	return s.opts.Store.Read()
}

// Watch implements catalogsync.Source.
func (s *Source) Watch(revision int64, wait time.Duration) (catalogsync.Batch, error) {
	s.adopt()
	if s.link != nil {
		batch, err := s.take(revision)
		if err == nil {
			return batch, nil
		}
		s.opts.Log.WithError(err).WithField("peer", s.link.addr).Info("catalog link lost; calling the store")
		s.drop()
		s.retryAt = time.Now().Add(retryLinks/2 + rand.N(retryLinks))
	}
	s.dialLater()
	return s.opts.Store.Watch(revision, wait)
}

// Tell takes this host's own note and sends it to the others: to the followers
// of its hub and, over its link, to the reader that it follows.
func (s *Source) Tell(n crashguard.CrashReport) {
	s.opts.Hub.Note(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.send(&message{Notes: []crashguard.CrashReport{n}})
	}
}

// Report gives what this host saw of targets to the one that collects it: the
// reader that it follows, or its own hub.
func (s *Source) Report(samples []targethealth.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.send(&message{Samples: samples})
		return
	}
	s.opts.Hub.collect(samples)
}

// setLink changes the link that notes are sent on.
func (s *Source) setLink(l *link) {
	s.link = l
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = l
}

// reads reports whether this host is one of the readers.
func (s *Source) reads() bool { return slices.Contains(s.opts.Readers(), s.opts.Self) }

// take returns the link's next message as a batch.
func (s *Source) take(revision int64) (catalogsync.Batch, error) {
	m, err := s.link.next()
	if err != nil {
		return catalogsync.Batch{}, err
	}
	if m.Revision < revision {
		return catalogsync.Batch{}, errStale
	}
	s.opts.Hub.tell(m)
	s.opts.Hub.noteAll(m.Notes)
	s.opts.Hub.hear(m.Bad)
	batch := catalogsync.Batch{
		Full: m.Full, Revision: m.Revision, Returned: m.Returned,
		AsOf: time.Now().Add(-time.Duration(m.AgeMS) * time.Millisecond),
	}
	for _, e := range m.Entries {
		batch.Changes = append(batch.Changes, s.opts.Decode(e.Key, e.Value, e.Revision, e.Deleted))
	}
	return batch, nil
}

// adopt takes a link that was dialled in the background, if there is one.
func (s *Source) adopt() { s.await(0) }

// await does the same and waits for the dial, at most for the given time.
func (s *Source) await(within time.Duration) {
	if !s.dialing {
		return
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	var l *link
	select {
	case l = <-s.dialed:
	default:
		select {
		case l = <-s.dialed:
		case <-timer.C:
			return
		}
	}
	s.dialing = false
	s.setLink(l)
	if l == nil {
		s.retryAt = time.Now().Add(retryLinks/2 + rand.N(retryLinks))
	}
}

func (s *Source) drop() {
	if s.link != nil {
		s.link.end()
		s.setLink(nil)
	}
}

// dialLater looks for a reader without holding up the calls to the store.
func (s *Source) dialLater() {
	if s.dialing || s.reads() || time.Now().Before(s.retryAt) {
		return
	}
	s.dialing = true
	go func() { s.dialed <- s.dialAny() }()
}

// dialAny opens a link to any reader, or returns nil.
func (s *Source) dialAny() *link {
	readers := slices.Clone(s.opts.Readers())
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	for _, addr := range readers {
		if addr == s.opts.Self {
			continue
		}
		l, err := dial(addr, s.opts.Hub.domain, false, s.opts.Log)
		if err == nil {
			return l
		}
		s.opts.Log.WithError(err).WithField("peer", addr).Debug("no catalog link")
	}
	return nil
}

// Observe keeps a link to each other reader, so that the readers know of all
// hosts together. It runs until ctx ends.
func (s *Source) Observe(ctx context.Context) {
	running := map[string]bool{}
	ended := make(chan string)
	for {
		if s.reads() {
			for _, addr := range s.opts.Readers() {
				if addr != s.opts.Self && !running[addr] {
					running[addr] = true
					go s.observe(ctx, addr, ended)
				}
			}
		}
		timer := time.NewTimer(observeEvery)
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

func (s *Source) observe(ctx context.Context, addr string, ended chan<- string) {
	if l, err := dial(addr, s.opts.Hub.domain, true, s.opts.Log); err == nil {
		for m := range l.messages {
			s.opts.Hub.observed(addr, m)
			s.opts.Hub.noteAll(m.Notes)
		}
	}
	timer := time.NewTimer(observeEvery)
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
