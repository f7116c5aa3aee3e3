// Package catalogsync keeps a host's view of the store up to date.
//
// Two goroutines: one calls the store, the other owns the state and publishes
// immutable views. Neither waits for traffic and traffic waits for neither.
package catalogsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// watchWait is the longest a watch waits for a first change. A connection
	// that went silent is noticed after this time and a little.
	watchWait = 1300 * time.Millisecond
	// watchPause is the least time between two watches of the store, so that a
	// run of changes costs few calls.
	watchPause = 600 * time.Millisecond
	// retryFirst and retryLast bound the pause after a failed call.
	retryFirst = 150 * time.Millisecond
	retryLast  = 900 * time.Millisecond
	// returnHold is how long an entry that vanished while the store was away
	// is kept after its return: living targets write theirs again by then.
	returnHold = 2300 * time.Millisecond
)

// Follower follows the store.
type Follower struct {
	source  Source
	log     logrus.FieldLogger
	view    atomic.Pointer[catalog.View]
	updates chan Batch
	hooks   Hooks
}

// Hooks are called by a follower, each from one goroutine.
type Hooks struct {
	// OnView gets each view.
	OnView func(*catalog.View)
	// OnBatch gets each batch as it was read, before the view that reflects it.
	OnBatch func(Batch)
}

// New returns a follower whose Run must be called.
func New(source Source, log logrus.FieldLogger, hooks Hooks) *Follower {
	f := &Follower{source: source, log: log, updates: make(chan Batch), hooks: hooks}
	f.view.Store(catalog.NewView(nil, 0, nil))
	return f
}

// View returns the newest view. It is never nil.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.read(ctx)
	f.own(ctx)
}

// read calls the store: all entries once, then what changes.
func (f *Follower) read(ctx context.Context) {
	revision, failures := int64(0), 0
	for ctx.Err() == nil {
		began := time.Now()
		batch, err := f.call(revision)
		switch {
		case errors.Is(err, ErrCompacted):
			f.log.WithField("revision", revision).Warn("store dropped its history; reading all entries again")
			revision = 0
			continue
		case err != nil:
			failures++
			if failures == 1 {
				f.log.WithError(err).WithField("revision", revision).Warn("store lost; the last view stays in force")
			}
			pause(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			f.log.WithField("failed_calls", failures).Info("store regained")
		}
		batch.Returned = batch.Returned || failures > 0
		f.hand(ctx, batch)
		failures = 0
		revision = max(revision, batch.Revision)
		if batch.Direct && !batch.Full {
			pause(ctx, watchPause-time.Since(began))
		}
	}
}

func (f *Follower) call(revision int64) (Batch, error) {
	if revision == 0 {
		return f.source.Read()
	}
	return f.source.Watch(revision, watchWait)
}

func (f *Follower) hand(ctx context.Context, batch Batch) {
	if f.hooks.OnBatch != nil {
		f.hooks.OnBatch(batch)
	}
	select {
	case f.updates <- batch:
	case <-ctx.Done():
	}
}

// own applies updates and publishes a view after each that changed something.
func (f *Follower) own(ctx context.Context) {
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
		if changed {
			v := s.view()
			// Whoever serves by the view has it before anybody is told of it.
			f.hooks.OnView(v)
			f.view.Store(v)
		}
		timer.Reset(s.nextExpiry(time.Now()))
	}
}

// backoff is the pause after that many failures in a row, with jitter so that
// hosts do not return together.
func backoff(failures int) time.Duration {
	d := retryFirst << min(failures-1, 8)
	d = min(d, retryLast)
	return d/2 + rand.N(d/2)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
