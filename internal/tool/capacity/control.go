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
	// idleTime is how long an idle fleet is measured.
	idleTime = 5 * time.Second
	// changesMeasured is the number of changes measured, one after the other.
	changesMeasured = 20
	// memberTargets is the number of targets in a measured fleet's configuration.
	memberTargets = 200
)

// changeCost is the processor time and the link traffic that one changed key
// costs each host.
type changeCost struct{ cpuUS, bytes float64 }

// measureFleet measures a fleet of n members while idle and during changes.
func measureFleet(ctx context.Context, n int, log logrus.FieldLogger) (FleetSlope, changeCost, error) {
	before := usedMemory()
	m, err := startMembers(ctx, n, memberTargets, log)
	if err != nil {
		return FleetSlope{}, changeCost{}, err
	}
	defer m.stop()
	sleep(ctx, idleTime/2) // lets links open and initial swaps finish
	slope := FleetSlope{Members: n, HeapBytes: (usedMemory() - before) / float64(n)}
	m.measureIdle(ctx, &slope)
	cost, err := m.measureChanges(ctx, &slope)
	return slope, cost, err
}

// measureIdle sets the idle cost per member and second in slope.
func (m *members) measureIdle(ctx context.Context, slope *FleetSlope) {
	cpu, trafficBefore, began := cputime.Used(), m.traffic(), time.Now()
	sleep(ctx, idleTime)
	seconds := time.Since(began).Seconds()
	each := seconds * float64(len(m.all))
	now := m.traffic()
	slope.CPUUS = microseconds(cputime.Used()-cpu) / each
	slope.Bytes = float64(now.bytes-trafficBefore.bytes) / each
	slope.Messages = float64(now.messages-trafficBefore.messages) / each
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

// measureChanges publishes changes and returns what one costs each host beyond the
// idle cost. It sets the time of the slowest change in slope.
func (m *members) measureChanges(ctx context.Context, slope *FleetSlope) (changeCost, error) {
	cpu, trafficBefore, began := cputime.Used(), m.traffic(), time.Now()
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
		bytes: max(0, float64(m.traffic().bytes-trafficBefore.bytes)-idle*slope.Bytes) / each,
	}, nil
}

// revision returns the revision of the configuration in force, or 0 if there is
// none.
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
