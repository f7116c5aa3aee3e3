package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// fakeTargets is a target.Dialer to targets in memory. Fields are set before use,
// except for those guarded by mu.
type fakeTargets struct {
	// serve answers one sub-request; nil echoes the shard.
	serve func(ctx context.Context, req *subquery.Request) *subquery.Answer

	// probeFails is the error of every probe. reportsIdle leaves the running
	// sub-requests out of load reports.
	probeFails error
	// dialFails is the error of dials to targets that are down; nil means that nothing
	// listens there.
	dialFails   error
	reportsIdle bool

	mu        sync.Mutex
	down      map[model.TargetID]bool
	open      map[model.TargetID]int
	peak      map[model.TargetID]int
	cancelled map[uint64]bool
	load      subquery.Load
	running   map[model.TargetID]int
	// frozen targets accept connections and answer nothing.
	frozen  map[model.TargetID]bool
	conns   []*fakeConn
	batches []int
}

func newFakeTargets() *fakeTargets {
	return &fakeTargets{
		down: map[model.TargetID]bool{}, open: map[model.TargetID]int{}, peak: map[model.TargetID]int{},
		cancelled: map[uint64]bool{}, running: map[model.TargetID]int{}, frozen: map[model.TargetID]bool{},
	}
}

func (f *fakeTargets) Dial(_ context.Context, t *model.Target, _ time.Duration) (target.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialFails != nil && f.down[t.ID] {
		return nil, fmt.Errorf("dial %s: %w", t.ID, f.dialFails)
	}
	if f.down[t.ID] {
		return nil, fmt.Errorf("dial %s: %w", t.ID, syscall.ECONNREFUSED)
	}
	f.open[t.ID]++
	f.peak[t.ID] = max(f.peak[t.ID], f.open[t.ID])
	c := &fakeConn{f: f, t: t.ID, brokenCh: make(chan struct{})}
	f.conns = append(f.conns, c)
	return c, nil
}

// kill simulates the end of the target's process: its connections break and new
// ones are refused.
func (f *fakeTargets) kill(t model.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[t] = true
	for _, c := range f.conns {
		if c.t == t {
			c.cut()
		}
	}
}

func (f *fakeTargets) setLoad(l subquery.Load) {
	f.mu.Lock()
	f.load = l
	f.mu.Unlock()
}

// connections returns the open connections to a target and their peak.
func (f *fakeTargets) connections(t model.TargetID) (open, peak int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open[t], f.peak[t]
}

// addRunning adds n to the number of sub-requests that the target runs.
func (f *fakeTargets) addRunning(t model.TargetID, n int) {
	f.mu.Lock()
	f.running[t] += n
	f.mu.Unlock()
}

func (f *fakeTargets) freeze(t model.TargetID, frozen bool) {
	f.mu.Lock()
	f.frozen[t] = frozen
	f.mu.Unlock()
}

func (f *fakeTargets) isFrozen(t model.TargetID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[t]
}

// fakeConn is one connection to a fake target.
type fakeConn struct {
	f        *fakeTargets
	t        model.TargetID
	brokenCh chan struct{}
	isCut    atomic.Bool
	broken   atomic.Bool
	// busy is set while an exchange runs.
	busy atomic.Bool
	// silent connections drop everything that is sent on them.
	silent atomic.Bool
	// stale connections were closed by the target while they were idle.
	stale  atomic.Bool
	closed atomic.Bool
}

// cut breaks the connection.
func (c *fakeConn) cut() {
	if c.isCut.CompareAndSwap(false, true) {
		close(c.brokenCh)
	}
}

func (c *fakeConn) Search(ctx context.Context, batch []target.Exchange) []*subquery.Answer {
	c.f.mu.Lock()
	c.f.batches = append(c.f.batches, len(batch))
	c.f.mu.Unlock()
	c.busy.Store(true)
	defer c.busy.Store(false)
	answers := make([]*subquery.Answer, len(batch))
	for i := range batch {
		answers[i] = c.answerOne(ctx, batch[i].Request)
	}
	return answers
}

func (c *fakeConn) answerOne(ctx context.Context, req *subquery.Request) *subquery.Answer {
	if c.stale.Load() || c.isCut.Load() {
		c.broken.Store(true)
		return notRunAnswer(verdict.TargetUnreachable, 0)
	}
	if c.f.serve == nil {
		return echo(req)
	}
	answered := make(chan *subquery.Answer, 1)
	if !c.f.isFrozen(c.t) && !c.silent.Load() {
		c.f.addRunning(c.t, 1)
		defer c.f.addRunning(c.t, -1)
		go func() { answered <- c.f.serve(ctx, req) }()
	}
	select {
	case a := <-answered:
		return a
	case <-ctx.Done():
	case <-c.brokenCh:
	}
	c.broken.Store(true)
	return unknownAnswer(verdict.TargetUnreachable)
}

func echo(req *subquery.Request) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Ran, Snapshot: req.Snapshot, Body: []byte(req.Shard)}
}

func (c *fakeConn) Cancel(_ context.Context, ids []uint64) error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	for _, id := range ids {
		c.f.cancelled[id] = true
	}
	return nil
}

func (c *fakeConn) Probe(ctx context.Context) (subquery.Load, error) {
	if c.isCut.Load() {
		return subquery.Load{}, syscall.ECONNRESET
	}
	if c.silent.Load() || c.f.isFrozen(c.t) {
		<-ctx.Done()
		return subquery.Load{}, ctx.Err()
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	load := c.f.load
	if !c.f.reportsIdle {
		load.Inflight += c.f.running[c.t]
	}
	return load, c.f.probeFails
}

func (c *fakeConn) Broken() bool { return c.broken.Load() || c.isCut.Load() }

func (c *fakeConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.f.mu.Lock()
		c.f.open[c.t]--
		c.f.mu.Unlock()
	}
	return nil
}

// fixedView is a view.Source whose view is set by a test.
type fixedView struct{ v atomic.Pointer[view.View] }

func (f *fixedView) Current() *view.View { return f.v.Load() }

// ownView returns the view of host self, which owns the targets t0 to tN-1.
func ownView(self model.HostID, targets, slots, maxConnections int) *view.View {
	v := &view.View{
		Self:   model.Host{ID: self},
		Fleet:  &config.Fleet{Targets: map[model.TargetID]*model.Target{}},
		Owners: map[model.TargetID]view.Owners{},
	}
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		v.Fleet.Targets[id] = &model.Target{ID: id, Addr: string(id), Slots: slots, MaxConnections: maxConnections}
		v.Owners[id] = view.Owners{Owner: self}
	}
	return v
}

func newViews(v *view.View) *fixedView {
	f := &fixedView{}
	f.v.Store(v)
	return f
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	return log
}

func newTestLocal(v view.Source, d target.Dialer) *Local {
	return NewLocal(Options{Views: v, Dialer: d, Scope: tally.NoopScope, Log: quietLog()})
}

func subrequest(t model.TargetID, shard string, timeout time.Duration) *subquery.Request {
	return &subquery.Request{
		RequestID: "r", Target: t, Shard: model.ShardID(shard), Snapshot: 1, Idempotent: true,
		Deadline: time.Now().Add(timeout),
	}
}
