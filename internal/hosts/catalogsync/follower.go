// Package catalogsync keeps a host's view of the store up to date.
//
// A Follower runs two goroutines: one calls the store, the other owns the state
// and publishes immutable views. Requests read the published view without waiting
// for either.
package catalogsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/wait"
)

const (
	// watchWait is the longest that a watch waits for a first change. A silent
	// connection is detected shortly after it.
	watchWait = 1300 * time.Millisecond
	// minWatchInterval is the least time between two watches of the store, so that
	// a burst of changes costs few calls.
	minWatchInterval = 600 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call, before
	// jitter.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
	// removalDelay is how long an entry that disappeared during a store outage is
	// kept after the store's return: running targets rewrite theirs within it.
	removalDelay = 2300 * time.Millisecond
)

// Follower reads the store and publishes views of it.
type Follower struct {
	source  Source
	log     logrus.FieldLogger
	view    atomic.Pointer[catalog.View]
	updates chan Batch
	hooks   Hooks
}

// Hooks are called by a follower, each from one goroutine.
type Hooks struct {
	// OnView gets each view, before View returns it.
	OnView func(*catalog.View)
	// OnBatch gets each batch as it was read, before the view that includes it. It
	// may be nil.
	OnBatch func(Batch)
	// OnDoubt gets what the host does not believe of an older copy of the store, before
	// the view without it. It may be nil.
	OnDoubt func(Doubt)
	// LongestPause returns the longest pause between failed calls of a host that has
	// entries, before jitter. It may be nil and applies only above maxBackoff.
	LongestPause func() time.Duration
	// DoubtClock tells until when evacuations are kept that an older copy of the store
	// disputes; nil means time.Now.
	DoubtClock func() time.Time
}

// New returns a follower with an empty view; it does nothing until Run is called.
func New(source Source, log logrus.FieldLogger, hooks Hooks) *Follower {
	if hooks.DoubtClock == nil {
		hooks.DoubtClock = time.Now
	}
	f := &Follower{source: source, log: log, updates: make(chan Batch), hooks: hooks}
	f.view.Store(catalog.NewView(nil, catalog.Position{}, nil))
	return f
}

// View returns the newest view. It is never nil. It is safe for concurrent use.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.poll(ctx)
	f.publishViews(ctx)
}

// poll reads all entries once and then watches for changes.
func (f *Follower) poll(ctx context.Context) {
	p := progress{log: f.log, longestPause: f.hooks.LongestPause}
	evacuated := newEvacuations(f.log)
	for ctx.Err() == nil {
		began := time.Now()
		batch, err := f.fetch(p.position)
		if err == nil {
			batch, err = p.accept(batch)
		}
		switch {
		case errors.Is(err, ErrCompacted):
			p.forget(err)
			continue
		case err != nil:
			wait.For(ctx, p.failed(err))
			continue
		}
		f.deliver(ctx, evacuated.settle(batch, f.hooks.DoubtClock()))
		if batch.Direct && !batch.Full {
			wait.For(ctx, minWatchInterval-time.Since(began))
		}
	}
}

// fetch reads all entries while there is no position to continue from, and the
// changes after it otherwise.
func (f *Follower) fetch(position catalog.Position) (Batch, error) {
	if position.IsZero() {
		return f.source.Read(position)
	}
	return f.source.Watch(position, watchWait)
}

// deliver passes a batch to the hook and to the goroutine that owns the state.
func (f *Follower) deliver(ctx context.Context, batch Batch) {
	if f.hooks.OnBatch != nil {
		f.hooks.OnBatch(batch)
	}
	select {
	case f.updates <- batch:
	case <-ctx.Done():
	}
}

// publishViews applies batches and publishes a view after each change.
func (f *Follower) publishViews(ctx context.Context) {
	s := newState(f.log)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var changed bool
		select {
		case <-ctx.Done():
			return
		case batch := <-f.updates:
			changed = s.apply(batch, time.Now())
		case <-timer.C:
			changed = s.expire(time.Now())
		}
		if doubt := s.takeDoubt(); !doubt.isZero() && f.hooks.OnDoubt != nil {
			f.hooks.OnDoubt(doubt)
		}
		if changed {
			v := s.view()
			// The hook installs the view for requests, so it runs before View
			// reports the new state.
			f.hooks.OnView(v)
			f.view.Store(v)
		}
		timer.Reset(s.nextExpiry(time.Now()))
	}
}

// backoff returns the pause after the given number of failures in a row, at most longest.
// The jitter keeps hosts from retrying together.
func backoff(failures int, longest time.Duration) time.Duration {
	d := initialBackoff << min(failures-1, 8)
	d = min(d, longest)
	return d/2 + rand.N(d/2)
}
