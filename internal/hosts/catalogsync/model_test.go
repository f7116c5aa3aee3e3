package catalogsync

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	modelHosts   = 4
	modelTargets = 3
	// modelStep is the virtual time between two operations.
	modelStep = 300 * time.Millisecond
	// modelSettling is longer than all delays of removals.
	modelSettling = copyDoubt + removalDelay
	// modelReadAge is the age of a reader's data from which on its followers call the
	// store themselves.
	modelReadAge = 2 * time.Second
)

var errModelDown = errors.New("the store is down")

// modelHost is one host: it reads the store or another host's entries.
type modelHost struct {
	progress progress
	state    *state
	// entries are what the host passes on to others, as of the position published.
	entries   map[string]Change
	published catalog.Position
	// reader is the index of the host that it follows, or -1.
	reader int
	cut    bool
	// asOf is the time up to which the host's entries are complete.
	asOf time.Time
	// lastVersion is the version in force after the last step.
	lastVersion int64
}

func newModelHost() *modelHost {
	return &modelHost{progress: progress{log: nullLogger()}, state: newState(nullLogger()), entries: map[string]Change{}, reader: -1}
}

// fleet is a store with its hosts and the words of operator and targets.
type fleet struct {
	store   modelStore
	hosts   []*modelHost
	now     time.Time
	version int64
	// starts counts the starts of targets.
	starts int64
	// written is what operator and targets say now, by key.
	written map[string]Change
}

func newFleet() *fleet {
	f := &fleet{now: time.Now(), starts: 1, store: modelStore{position: inEra(1, 1), entries: map[string]Change{}}, written: map[string]Change{}}
	for range modelHosts {
		f.hosts = append(f.hosts, newModelHost())
	}
	f.publish()
	for i := range modelTargets {
		f.say(writtenAt(fmt.Sprint("t", i), 0, 1))
	}
	return f
}

func (f *fleet) say(c Change) {
	if c.Kind == ConfigChange {
		c.Key = "config"
	}
	f.written[c.Key] = c
	f.store.write(c)
}

func (f *fleet) publish() {
	f.version += 2
	f.say(config(f.version))
}

// leave lets the last start of a target report that it is leaving.
func (f *fleet) leave(id string) {
	last := f.written["t/"+id]
	if last.Deleted {
		return
	}
	leaving := writtenAt(id, 0, last.Target.Born)
	leaving.Target.Leaving = true
	f.say(leaving)
}

// rewrite writes again what the store has lost.
func (f *fleet) rewrite() {
	for key, c := range f.written {
		have, ok := f.store.entries[key]
		switch {
		case c.Deleted && ok, !c.Deleted && !ok:
			f.store.write(c)
		case ok && !c.Deleted && !sameEntry(have, c):
			f.store.write(c)
		}
	}
}

func sameEntry(a, b Change) bool {
	if a.Kind == ConfigChange {
		return a.Config.Version == b.Config.Version
	}
	return a.Target.SameStart(b.Target) && a.Target.Leaving == b.Target.Leaving
}

// source returns what a host reads next.
func (f *fleet) source(h *modelHost) (Batch, error) {
	position := h.progress.position
	if h.reader >= 0 && f.hosts[h.reader] != h && !f.hosts[h.reader].published.IsZero() {
		reader := f.hosts[h.reader]
		if !reader.published.Before(position) && (position.IsZero() || f.now.Sub(reader.asOf) < modelReadAge) {
			b := Batch{Full: true, Position: reader.published, AsOf: reader.asOf}
			for _, c := range reader.entries {
				b.Changes = append(b.Changes, c)
			}
			return b, nil
		}
	}
	if h.cut {
		return Batch{}, errModelDown
	}
	if position.IsZero() {
		b := f.store.read()
		b.AsOf = f.now
		return b, nil
	}
	b, err := f.store.watch(position)
	b.AsOf = f.now
	return b, err
}

// poll lets a host read once.
func (f *fleet) poll(h *modelHost) {
	batch, err := f.source(h)
	if err == nil {
		batch, err = h.progress.accept(batch)
	}
	switch {
	case errors.Is(err, ErrCompacted):
		h.progress.forget(err)
		return
	case err != nil:
		h.progress.failed(err)
		return
	}
	h.asOf, h.published = batch.AsOf, h.published.Later(batch.Position)
	if batch.Full {
		h.entries = map[string]Change{}
	}
	for _, c := range batch.Changes {
		if c.Deleted {
			delete(h.entries, c.Key)
		} else {
			h.entries[c.Key] = c
		}
	}
	h.state.apply(batch, f.now)
}

// step performs one operation, given by a number, and then lets each host read.
func (f *fleet) step(op int) {
	h := f.hosts[op%modelHosts]
	id := fmt.Sprint("t", op%modelTargets)
	switch op / 100 {
	case 0:
		f.publish()
	case 1:
		f.store.restore(op)
	case 2:
		h.cut = !h.cut
	case 3:
		h.reader = (op/7)%(modelHosts+1) - 1
	case 4:
		f.hosts[op%modelHosts] = newModelHost()
	case 5:
		f.say(Change{Kind: TargetChange, Key: "t/" + id, Deleted: true})
	case 6:
		f.leave(id)
	case 7:
		f.starts++
		f.say(writtenAt(id, 0, f.starts))
	default:
		f.rewrite()
	}
	f.pollAll()
}

func (f *fleet) pollAll() {
	f.now = f.now.Add(modelStep)
	for _, h := range f.hosts {
		h.state.expire(f.now)
		f.poll(h)
	}
}

// settle lets operator and targets write again and publish something new, heals all
// cuts from the store and lets the delays pass.
func (f *fleet) settle() {
	f.rewrite()
	f.pollAll()
	f.publish()
	for _, h := range f.hosts {
		h.cut = false
	}
	for range int((modelSettling+modelHosts*modelReadAge)/modelStep) + modelHosts {
		f.pollAll()
	}
}

// TestNoHostGoesBackAndAllReachTheLastWrites plays sequences of changes, restores, cuts
// from the store, swaps of the reader and restarts. No process may return to an older
// configuration, and all must come to what operator and targets wrote last.
func TestNoHostGoesBackAndAllReachTheLastWrites(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 600
	properties := gopter.NewProperties(parameters)
	properties.Property("no host goes back, all reach the last writes", prop.ForAll(func(ops []int) (string, error) {
		f := newFleet()
		f.pollAll()
		for _, op := range ops {
			f.step(op)
			for i, h := range f.hosts {
				if v := h.state.config; v != nil {
					if v.Version < h.lastVersion {
						return fmt.Sprintf("host %d went from version %d back to %d", i, h.lastVersion, v.Version), nil
					}
					h.lastVersion = v.Version
				}
			}
		}
		f.settle()
		return f.difference(), nil
	}, gen.SliceOf(gen.IntRange(0, 999))))
	properties.TestingRun(t)
}

// difference describes the first difference between the last writes and what a host
// knows, empty if there is none.
func (f *fleet) difference() string {
	for i, h := range f.hosts {
		if h.state.config == nil || h.state.config.Version != f.version {
			return fmt.Sprintf("host %d does not have version %d", i, f.version)
		}
		for key, c := range f.written {
			if c.Kind != TargetChange {
				continue
			}
			have, ok := h.state.targets[targetIDOf(key)]
			if ok == c.Deleted {
				return fmt.Sprintf("host %d: %s is known: %t, gone: %t", i, key, ok, c.Deleted)
			}
			if ok && (have.Born != c.Target.Born || have.Leaving != c.Target.Leaving) {
				return fmt.Sprintf("host %d has an older entry of %s", i, key)
			}
		}
	}
	return ""
}

func TestModelStoreRefusesPositionsItDoesNotHave(t *testing.T) {
	f := newFleet()
	last := f.store.position
	f.store.restore(2)
	_, err := f.store.watch(last)
	require.ErrorIs(t, err, ErrCompacted)
}

// TestHostsThatFollowEachOtherNoticeRestore covers two hosts that take each other for
// readers: each must call the store once the data is too old, and must not take the
// other's data of the earlier era afterwards (seed 5036 of test/soak).
func TestHostsThatFollowEachOtherNoticeRestore(t *testing.T) {
	f := newFleet()
	f.pollAll()
	f.hosts[0].reader, f.hosts[1].reader = 1, 0
	f.pollAll()
	f.store.restore(1)
	f.settle()
	require.Empty(t, f.difference())
}
