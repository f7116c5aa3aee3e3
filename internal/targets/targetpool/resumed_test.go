package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestTargetsThatReturnFromEvacuationAreCold guards against targets that are overrun once
// their failure domain gets traffic again: they may have turned cold meanwhile, and their
// entries say so only later. It covers a target with a pool and one that gets it later.
func TestTargetsThatReturnFromEvacuationAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := bornLongAgo()
		target.FailureDomain = "x"
		late := &catalog.Target{ID: "late", Service: "s", Addr: "late", FailureDomain: "x", Born: 1, Revision: 1}
		d := newColdDirectory(t, coldPerS, target)
		d.setList(nil)
		config := d.view.Config
		update := func(revision int64, targets []*catalog.Target, evacuated ...catalog.Evacuation) {
			byID := map[catalog.TargetID]*catalog.Target{}
			for _, listed := range targets {
				byID[listed.ID] = listed
			}
			d.Update(catalog.NewView(config, catalog.Position{Revision: revision}, byID, evacuated...))
		}
		held := func(id catalog.TargetID) bool { return d.pools[id].Load(time.Now()).Held > 0 }
		require.False(t, held("t"))
		update(10, []*catalog.Target{target}, catalog.Evacuation{Domain: "x", Since: time.Now()})
		update(11, []*catalog.Target{target})
		require.True(t, held("t"))
		time.Sleep(coldWarmup / 2)
		update(12, []*catalog.Target{target, late})
		require.True(t, held("late"))
		time.Sleep(coldWarmup / 2)
		require.False(t, held("t"))
		require.False(t, held("late"))
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 13}, nil))
		time.Sleep(time.Minute)
	})
}
