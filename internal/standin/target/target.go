package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
)

// bindAttempts and bindPause bound the retries of binding the same address after a
// crash.
const (
	bindAttempts = 100
	bindPause    = 20 * time.Millisecond
)

// faultState holds the faults in force and the time when they were set.
type faultState struct {
	Faults
	since time.Time
	// replaced is closed once other faults are in force.
	replaced chan struct{}
}

// Target is a running stand-in target.
type Target struct {
	settings Settings
	random   *randomSource
	runs     *runs
	slots    chan struct{}
	queued   atomic.Int64
	inflight atomic.Int64
	crashes  atomic.Int64
	faults   atomic.Pointer[faultState]

	mu        sync.Mutex
	snapshots []model.SnapshotID
	cancels   map[uint64]context.CancelFunc
	lastReply []byte
	listener  *listener
	peak      int
	refused   int
	stopped   bool

	addr  string
	admin *httpserve.Tracker
	group sync.WaitGroup
}

// Start starts a target.
func Start(settings Settings) (*Target, error) {
	settings.setDefaults()
	t := &Target{
		settings:  settings,
		random:    newRandomSource(settings.Seed),
		runs:      newRuns(),
		slots:     make(chan struct{}, settings.Slots),
		snapshots: slices.Clone(settings.Snapshots),
		cancels:   make(map[uint64]context.CancelFunc),
	}
	t.faults.Store(&faultState{since: time.Now(), replaced: make(chan struct{})})
	if err := t.SetFaults(settings.Faults); err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", settings.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "standin: listen on %s", settings.Addr)
	}
	t.addr = inner.Addr().String()
	admin, err := net.Listen("tcp", settings.AdminAddr)
	if err != nil {
		_ = inner.Close()
		return nil, eris.Wrapf(err, "standin: listen on %s", settings.AdminAddr)
	}
	t.admin = httpserve.Track(admin)
	t.serve(inner)
	t.serveAdmin()
	return t, nil
}

// serve starts serving the target protocol on inner.
func (t *Target) serve(inner net.Listener) {
	l := newListener(inner, t.settings.MaxConnections, t.settings.SetupCost)
	t.mu.Lock()
	t.listener = l
	t.mu.Unlock()
	t.group.Go(func() { httpserve.Serve(l, t.handle) })
}

// ID returns the target's id.
func (t *Target) ID() model.TargetID { return t.settings.ID }

// Addr returns the address of the target protocol.
func (t *Target) Addr() string { return t.addr }

// AdminAddr returns the address where runs and faults are served.
func (t *Target) AdminAddr() string { return t.admin.Addr().String() }

// Faults returns the faults in force.
func (t *Target) Faults() Faults { return t.faults.Load().Faults }

// SetFaults replaces all faults. It returns an error, and changes nothing, if a value
// is out of range or not a known fault. The target goes on serving f.Snapshots after a
// later call without snapshots.
func (t *Target) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	old := t.faults.Swap(&faultState{Faults: f, since: time.Now(), replaced: make(chan struct{})})
	if old != nil {
		close(old.replaced)
	}
	if len(f.Snapshots) > 0 {
		t.SetSnapshots(f.Snapshots...)
	}
	return nil
}

// SetSnapshots replaces the snapshots that the target serves.
func (t *Target) SetSnapshots(ids ...model.SnapshotID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = slices.Clone(ids)
}

// SilenceConnections discards everything written to the connections that are open
// now. New connections are not affected.
func (t *Target) SilenceConnections() { t.currentListener().silence() }

// Runs returns the totals and the runs of the request with the given id, or all runs
// if request is "*".
func (t *Target) Runs(request string) RunReport {
	report := t.runs.report(t.settings.ID, request)
	open, peak, refused := t.currentListener().counts()
	t.mu.Lock()
	defer t.mu.Unlock()
	report.OpenConnections = open
	report.PeakConnections = max(t.peak, peak)
	report.RefusedConnections = t.refused + refused
	report.Crashes = int(t.crashes.Load())
	return report
}

// Crash closes the listener and all connections, and listens again after the
// restart time. If OnCrash is set, Crash only calls it.
func (t *Target) Crash() {
	if t.settings.OnCrash != nil {
		t.settings.OnCrash()
		return
	}
	t.mu.Lock()
	l := t.listener
	_, peak, refused := l.counts()
	t.peak = max(t.peak, peak)
	t.refused += refused
	t.mu.Unlock()
	t.crashes.Add(1)
	l.closeAll()
	delay := DefaultRestart
	if ms := t.Faults().RestartMS; ms > 0 {
		delay = time.Duration(ms) * time.Millisecond
	}
	t.group.Go(func() { t.restart(delay) })
}

// restart listens on the same address again after delay.
func (t *Target) restart(delay time.Duration) {
	time.Sleep(delay)
	for range bindAttempts {
		if t.isStopped() {
			return
		}
		inner, err := net.Listen("tcp", t.addr)
		if err == nil {
			t.serve(inner)
			if t.isStopped() {
				t.currentListener().closeAll()
			}
			return
		}
		time.Sleep(bindPause)
	}
}

func (t *Target) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// Close closes all listeners and connections, and waits until they have ended.
func (t *Target) Close() {
	t.mu.Lock()
	t.stopped = true
	l := t.listener
	t.mu.Unlock()
	_ = t.SetFaults(Faults{})
	t.admin.CloseAll()
	l.closeAll()
	t.group.Wait()
}

func (t *Target) currentListener() *listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener
}

// load returns the true load report, regardless of the Health fault.
func (t *Target) load() subquery.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return subquery.Load{
		Inflight: int(t.inflight.Load()),
		Queued:   int(t.queued.Load()),
		Leaving:  t.Faults().Leaving,
		Oldest:   slices.Min(t.snapshots),
		Newest:   slices.Max(t.snapshots),
	}
}

func (t *Target) hasSnapshot(id model.SnapshotID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.snapshots, id)
}
