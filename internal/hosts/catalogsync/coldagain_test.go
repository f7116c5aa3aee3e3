package catalogsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestEntryOfTargetThatIsColdAgainChangesViewOnlyWithBound guards against a rewrite that goes
// unseen, since nothing else in the entry changed, and against a new view for each rewrite on
// deployments that don't bound the requests to cold targets.
func TestEntryOfTargetThatIsColdAgainChangesViewOnlyWithBound(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := func(revision int64, until time.Time) Change {
		c := target("a")
		c.Revision, c.Target.Revision, c.Target.WarmUntil = revision, revision, until
		return c
	}
	for _, bound := range []float64{0, 10} {
		s := newState(nullLogger())
		services := map[catalog.ServiceName]catalog.Service{"s": {Name: "s", WarmupPerSecond: bound}}
		first := Change{Kind: ConfigChange, Config: catalog.NewConfig(1, nil, services, catalog.Limits{})}
		s.apply(Batch{Full: true, Position: at(1), Changes: []Change{first, cold(1, time.Time{})}}, now)
		again := cold(2, now.Add(5*time.Second))
		require.Equal(t, bound > 0, s.apply(Batch{Position: at(2), Changes: []Change{again}}, now))
		require.False(t, s.apply(Batch{Position: at(3), Changes: []Change{cold(3, now.Add(5100*time.Millisecond))}}, now), "the same warm-up")
		require.False(t, s.apply(Batch{Position: at(4), Changes: []Change{cold(3, now.Add(time.Minute))}}, now), "the same entry, read later")
	}
}
