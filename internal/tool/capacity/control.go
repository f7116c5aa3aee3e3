package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/support/cputime"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const (
	// idleTime is how long an idle fleet is watched.
	idleTime = 5 * time.Second
	// changesMeasured is how many changes are published, one after the other.
	changesMeasured = 20
	// memberTargets is the number of targets in a measured fleet's configuration.
	memberTargets = 200
)

// changeCost is what one changed key costs each host.
type changeCost struct{ cpuUS, bytes float64 }

// measureFleet measures a fleet of n members while idle and during changes.
func measureFleet(ctx context.Context, n int, log logrus.FieldLogger) (FleetSlope, changeCost, error) {
	before := usedMemory()
	m, err := startMembers(ctx, n, memberTargets, log)
	if err != nil {
		return FleetSlope{}, changeCost{}, err
	}
	defer m.stop()
	sleep(ctx, idleTime/2) // links open and initial swaps end
	slope := FleetSlope{Members: n, HeapBytes: (usedMemory() - before) / float64(n)}
	m.watchIdle(ctx, &slope)
	cost, err := m.change(ctx, &slope)
	return slope, cost, err
}

// watchIdle fills in the idle cost of each member and second.
func (m *members) watchIdle(ctx context.Context, slope *FleetSlope) {
	cpu, carried, began := cputime.Used(), m.traffic(), time.Now()
	sleep(ctx, idleTime)
	seconds := time.Since(began).Seconds()
	each := seconds * float64(len(m.all))
	now := m.traffic()
	slope.CPUUS = microseconds(cputime.Used()-cpu) / each
	slope.Bytes = float64(now.bytes-carried.bytes) / each
	slope.Messages = float64(now.messages-carried.messages) / each
	slope.Watchers = m.watchers(ctx)
}

// watchers counts the members that hold watches at the platform.
func (m *members) watchers(ctx context.Context) int {
	n := 0
	for _, one := range m.all {
		if s, err := one.fleet.Status(ctx); err == nil && s.Watching {
			n++
		}
	}
	return n
}

// change publishes changes and returns what one costs each host beyond idling.
func (m *members) change(ctx context.Context, slope *FleetSlope) (changeCost, error) {
	cpu, carried, began := cputime.Used(), m.traffic(), time.Now()
	var took []time.Duration
	for range changesMeasured {
		next, err := nextDocument(m.platform.doc)
		if err != nil {
			return changeCost{}, err
		}
		published := time.Now()
		m.platform.publish(next)
		if err := m.await(ctx, func(one *member) bool { return one.revision() >= next.Revision }); err != nil {
			return changeCost{}, err
		}
		took = append(took, time.Since(published))
	}
	slices.Sort(took)
	slope.InForceMS = took[len(took)-1].Seconds() * 1000
	idle := time.Since(began).Seconds() * float64(len(m.all))
	each := float64(changesMeasured * len(m.all))
	return changeCost{
		cpuUS: max(0, microseconds(cputime.Used()-cpu)-idle*slope.CPUUS) / each,
		bytes: max(0, float64(m.traffic().bytes-carried.bytes)-idle*slope.Bytes) / each,
	}, nil
}

func (m *member) revision() model.Revision {
	if f := m.fleet.Current().Fleet; f != nil {
		return f.Revision
	}
	return 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
