package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// eventQueueSize is the maximum number of events that wait for the control
// goroutine.
const eventQueueSize = 4096

// Fleet maintains this host's view of the fleet. It implements view.Source. Its
// methods are safe for concurrent use.
type Fleet struct {
	opts     Options
	counters *counters
	events   chan event
	current  atomic.Pointer[published]
	ready    chan struct{}
	pause    *pauseDetector
	// listConfirmed is ListConfirmedAt in Unix nanoseconds, or zero.
	listConfirmed atomic.Int64
	// pullSlots limits the documents that are encoded for peers concurrently.
	pullSlots chan struct{}
	// roleChanged wakes the readers when this host starts or stops watching the
	// platform.
	roleChanged [2]chan struct{}

	hooksMu    sync.Mutex
	viewHooks  []func(*view.View)
	pauseHooks []func(gap time.Duration)
}

// published is the immutable state that the control goroutine shares with other
// goroutines.
type published struct {
	view *view.View
	// documents are served to peers that pull.
	documents map[documentKind]publishedDocument
	marks     []mark
	marksHash uint64
	history   *History
	// watching reports whether this host watches the platform.
	watching bool
	ready    bool
}

// publishedDocument is a replicated document that peers may pull.
type publishedDocument struct {
	doc     *config.Document
	version version
	deltas  []*config.Delta
}

// New returns a Fleet and registers its message handlers. The Fleet does not
// contact the platform or peers until Run.
func New(opts Options) (*Fleet, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.setDefaults()
	f := &Fleet{
		opts: opts, counters: newCounters(opts.Scope),
		events:    make(chan event, eventQueueSize),
		ready:     make(chan struct{}),
		pullSlots: make(chan struct{}, maxConcurrentPulls),
	}
	for i := range f.roleChanged {
		f.roleChanged[i] = make(chan struct{}, 1)
	}
	f.pause = newPauseDetector(f)
	now := opts.Clock()
	f.current.Store(&published{
		view:    &view.View{Self: opts.Self, BuiltAt: now},
		history: &History{CompleteSince: now},
	})
	f.registerHandlers()
	return f, nil
}

// Run keeps the view up to date until ctx ends. It returns after all its
// goroutines have returned.
func (f *Fleet) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	f.pause.start()
	wg.Go(func() { f.pause.run(ctx) })
	wg.Go(func() { f.readDocuments(ctx) })
	wg.Go(func() { f.readHostLists(ctx) })
	newControl(f).run(ctx)
	wg.Wait()
	return nil
}

// Current implements view.Source.
func (f *Fleet) Current() *view.View { return f.current.Load().view }

// Ready reports whether a configuration and a host list are in force and this
// host has finished asking peers for newer ones.
func (f *Fleet) Ready() bool { return f.current.Load().ready }

// WhenReady returns a channel that is closed when the Fleet becomes ready.
func (f *Fleet) WhenReady() <-chan struct{} { return f.ready }

// HostListHistory returns the host lists of the retention window.
func (f *Fleet) HostListHistory() *History { return f.current.Load().history }

// Paused reports whether this process was paused and has not caught up with its
// peers since. It is cheap and returns true immediately after a pause, so that
// the query path can check it before acting.
func (f *Fleet) Paused() bool { return f.pause.paused() }

// OnView registers a hook that the control goroutine calls with each new view.
// The hook must not block. Call OnView before Run.
func (f *Fleet) OnView(hook func(*view.View)) {
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	f.viewHooks = append(f.viewHooks, hook)
}

// OnPause registers a hook that is called with the length of each pause. The
// hook must not block. Call OnPause before Run.
func (f *Fleet) OnPause(hook func(gap time.Duration)) {
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	f.pauseHooks = append(f.pauseHooks, hook)
}

// MarkTargetLeaving records that a target reported that it accepts no new work,
// and propagates this to peers.
func (f *Fleet) MarkTargetLeaving(id model.TargetID) {
	if _, known := f.Current().LeavingTargets[id]; !known {
		f.post(localMark{kind: targetMark, id: string(id), leaving: true})
	}
}

// MarkTargetServing records that a leaving target answered a probe without
// reporting that it is leaving, and propagates this to peers.
func (f *Fleet) MarkTargetServing(id model.TargetID) {
	if _, leaving := f.Current().LeavingTargets[id]; leaving {
		f.post(localMark{kind: targetMark, id: string(id)})
	}
}

// Leave announces to peers that this host accepts no new work. It returns nil
// once a peer has acknowledged, or ctx's error.
func (f *Fleet) Leave(ctx context.Context) error {
	acked := make(chan struct{}, 1)
	f.post(leaveRequested{acked: acked})
	select {
	case <-acked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues an event for the control goroutine without blocking. If the queue
// is full, the event is dropped and counted; a later digest swap delivers the
// same information.
func (f *Fleet) post(e event) {
	select {
	case f.events <- e:
	default:
		f.counters.eventsDropped.Inc(1)
	}
}
