package fleet

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const (
	// pollIntervalPerHost is the poll interval per host of the fleet. It keeps
	// the total poll rate constant as the fleet grows.
	pollIntervalPerHost = 250 * time.Millisecond
	// startPollInterval is the time between reads until a first document is in
	// force.
	startPollInterval = 500 * time.Millisecond
	// minWatchSpacing is the minimum time between two watches, even if the
	// platform returns immediately.
	minWatchSpacing = 100 * time.Millisecond
	// maxReadBackoff limits the backoff after reads that failed or returned
	// early without a newer revision.
	maxReadBackoff = 5 * time.Second
)

// fetch reads one document from the platform. It waits up to wait for a revision
// other than after.
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

// wakeReaders makes the readers check whether this host still watches the
// platform.
func (f *Fleet) wakeReaders() {
	for _, wake := range f.roleChanged {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// run reads until ctx ends, by watches if this host is a watcher and otherwise
// by infrequent polls.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		state := r.fleet.current.Load()
		known := state.documents[r.kind].doc != nil
		watching := state.watching && known
		resetBackoff := r.read(ctx, watching)
		r.waitForNextRead(ctx, known, watching, resetBackoff)
	}
}

// read does one read. It returns false if the next read must back off: if the
// read failed, or returned early without a newer revision.
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
		opts.Log.WithError(err).WithField("document", r.kind.String()).Warn("platform read failed")
		return false
	}
	advanced := doc.Revision > r.after
	waited := time.Since(began) >= wait/2
	r.after = doc.Revision
	select {
	case r.fleet.events <- documentRead{kind: r.kind, doc: doc}:
	case <-ctx.Done():
	}
	return advanced || waited
}

// waitForNextRead waits until the next read is due, the role of this host
// changes or ctx ends.
func (r *reader) waitForNextRead(ctx context.Context, known, watching, resetBackoff bool) {
	if resetBackoff {
		r.backoff = 0
	} else {
		r.backoff = min(max(2*r.backoff, minWatchSpacing), maxReadBackoff)
	}
	wait := jitter(minWatchSpacing + r.backoff)
	switch {
	case !known:
		wait = jitter(startPollInterval + r.backoff)
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
		interval = max(interval, time.Duration(len(list.Hosts))*pollIntervalPerHost)
	}
	return interval
}
