package fleet

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const (
	// pollPerHost lengthens the poll interval with the fleet, so that the rate
	// of all polls together stays the same.
	pollPerHost = 250 * time.Millisecond
	// startPoll is the time between reads until a first document is in force.
	startPoll = 500 * time.Millisecond
	// minWatchSpacing is the shortest time between two watches, whatever the
	// platform returns.
	minWatchSpacing = 100 * time.Millisecond
	// maxReadBackoff bounds the pause after failed or useless reads.
	maxReadBackoff = 5 * time.Second
)

// fetch reads one document from the platform.
type fetch func(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error)

// reader reads one kind of document from the platform.
type reader struct {
	fleet *Fleet
	kind  documentKind
	fetch fetch
	wake  <-chan struct{}
	// after is the revision that the platform last returned.
	after   model.Revision
	backoff time.Duration
}

func (f *Fleet) readDocuments(ctx context.Context) {
	r := &reader{fleet: f, kind: configDocument, wake: f.roleChanged[0], fetch: f.opts.Platform.Document}
	r.run(ctx)
}

func (f *Fleet) readHostLists(ctx context.Context) {
	read := func(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error) {
		list, err := f.opts.Platform.HostList(ctx, after, wait)
		if err != nil {
			return nil, err
		}
		return documentOf(list)
	}
	r := &reader{fleet: f, kind: hostListDocument, wake: f.roleChanged[1], fetch: read}
	r.run(ctx)
}

// wakeReaders makes the readers look at their role.
func (f *Fleet) wakeReaders() {
	for _, wake := range f.roleChanged {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// run reads until ctx ends: by watches if this host is to hold them, otherwise
// by rare polls.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		state := r.fleet.current.Load()
		known := state.documents[r.kind].doc != nil
		watching := state.watching && known
		useful := r.read(ctx, watching)
		r.pause(ctx, known, watching, useful)
	}
}

// read does one read and reports whether it was worth repeating at once.
func (r *reader) read(ctx context.Context, watching bool) bool {
	opts := &r.fleet.opts
	wait := time.Duration(0)
	if watching {
		wait = opts.WatchWait
	}
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+opts.CallTimeout)
	defer cancel()
	doc, err := r.fetch(callCtx, r.after, wait)
	if ctx.Err() != nil {
		return false
	}
	r.fleet.counters.platformCall(r.kind, err)
	if err != nil {
		opts.Log.WithError(err).WithField("document", r.kind.String()).Warn("the platform could not be read")
		return false
	}
	news := doc.Revision > r.after
	waited := time.Since(began) >= wait/2
	r.after = doc.Revision
	select {
	case r.fleet.events <- documentRead{kind: r.kind, doc: doc}:
	case <-ctx.Done():
	}
	return news || waited
}

// pause waits until the next read is due.
func (r *reader) pause(ctx context.Context, known, watching, useful bool) {
	if useful {
		r.backoff = 0
	} else {
		r.backoff = min(max(2*r.backoff, minWatchSpacing), maxReadBackoff)
	}
	wait := jitter(minWatchSpacing + r.backoff)
	switch {
	case !known:
		wait = jitter(startPoll + r.backoff)
	case !watching:
		wait = jitter(r.pollInterval())
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

func (r *reader) pollInterval() time.Duration {
	interval := r.fleet.opts.PollInterval
	if list := r.fleet.Current().Hosts; list != nil {
		interval = max(interval, time.Duration(len(list.Hosts))*pollPerHost)
	}
	return interval
}
