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

// eventQueue is how many events may wait for the control goroutine.
const eventQueue = 4096

// Fleet is this host's picture of the fleet. It implements view.Source. Its
// methods are safe for concurrent use.
type Fleet struct {
	opts     Options
	counters *counters
	events   chan event
	current  atomic.Pointer[published]
	ready    chan struct{}
	pause    *pauseDetector
	// listConfirmed is ListConfirmedAt in Unix nanoseconds.
	listConfirmed atomic.Int64
	// pulls bounds the documents being encoded for peers at one time.
	pulls chan struct{}
	// roleChanged wakes the readers.
	roleChanged [2]chan struct{}

	hooksMu    sync.Mutex
	viewHooks  []func(*view.View)
	pauseHooks []func(gap time.Duration)
}

// published is what the control goroutine lets others read. It is immutable.
type published struct {
	view *view.View
	// documents and deltas answer peers' pulls.
	documents map[documentKind]publishedDocument
	marks     []mark
	marksHash uint64
	history   *History
	// watching says whether this host holds watches at the platform.
	watching bool
	ready    bool
}

// publishedDocument is a replicated document as peers may pull it.
type publishedDocument struct {
	doc     *config.Document
	version version
	deltas  []*config.Delta
}

// New returns a Fleet and registers its message handlers. It does nothing until
// Run.
func New(opts Options) (*Fleet, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.setDefaults()
	f := &Fleet{
		opts: opts, counters: newCounters(opts.Scope),
		events: make(chan event, eventQueue),
		ready:  make(chan struct{}),
		pulls:  make(chan struct{}, maxConcurrentPulls),
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

// Run keeps the picture up to date until ctx ends. It returns once all its
// goroutines have.
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

// Ready reports whether a configuration and a host list are in force and peers
// were asked for newer ones.
func (f *Fleet) Ready() bool { return f.current.Load().ready }

// WhenReady is closed once Ready.
func (f *Fleet) WhenReady() <-chan struct{} { return f.ready }

// HostListHistory returns the host lists of the retention window.
func (f *Fleet) HostListHistory() *History { return f.current.Load().history }

// Paused reports whether this process was paused and has not caught up with its
// peers since. It is cheap, and true at once after a pause, so that traffic can
// ask before it acts.
func (f *Fleet) Paused() bool { return f.pause.paused() }

// OnView registers a function that gets each new view, from the control
// goroutine. It must not block. Call it before Run.
func (f *Fleet) OnView(hook func(*view.View)) {
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	f.viewHooks = append(f.viewHooks, hook)
}

// OnPause registers a function that is told of each pause and its length. It
// must not block. Call it before Run.
func (f *Fleet) OnPause(hook func(gap time.Duration)) {
	f.hooksMu.Lock()
	defer f.hooksMu.Unlock()
	f.pauseHooks = append(f.pauseHooks, hook)
}

// MarkTargetLeaving notes a target's own word that it takes no new work, and
// spreads it.
func (f *Fleet) MarkTargetLeaving(id model.TargetID) {
	if _, known := f.Current().LeavingTargets[id]; !known {
		f.post(markSet{kind: targetMark, id: string(id), leaving: true})
	}
}

// MarkTargetServing notes that a leaving target answered a probe and does not
// say that it leaves, and spreads it.
func (f *Fleet) MarkTargetServing(id model.TargetID) {
	if _, leaving := f.Current().LeavingTargets[id]; leaving {
		f.post(markSet{kind: targetMark, id: string(id)})
	}
}

// Leave tells peers that this host takes no new work. It returns once a peer
// has heard it, or with ctx's error.
func (f *Fleet) Leave(ctx context.Context) error {
	heard := make(chan struct{}, 1)
	f.post(leaveAsked{heard: heard})
	select {
	case <-heard:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post hands an event to the control goroutine without waiting. An event that
// finds the queue full is dropped and counted; what it told comes again with a
// later digest swap.
func (f *Fleet) post(e event) {
	select {
	case f.events <- e:
	default:
		f.counters.eventsDropped.Inc(1)
	}
}
