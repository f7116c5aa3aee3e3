package scatter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// TestEvacuatedTargetsReceiveNoSubrequests guards against first attempts, hedges and
// retries at targets of an evacuated failure domain.
func TestEvacuatedTargetsReceiveNoSubrequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d, _ := newTestScatterer(func(req *subquery.Request) (*subquery.Answer, time.Duration) {
			return okAnswer(req), time.Millisecond
		})
		p := testPlan(3, 2, testPolicy())
		evacuated := map[model.TargetID]struct{}{replica(0, 1): {}, replica(2, 0): {}}
		p.View = &view.View{Fleet: &config.Fleet{EvacuatedTargets: evacuated}}
		for range 20 {
			require.True(t, runQuery(s, p, true, time.Minute).CoverageMet)
		}
		require.Zero(t, d.sentTo(replica(0, 1)))
		require.Zero(t, d.sentTo(replica(2, 0)))
		evacuated[replica(0, 0)] = struct{}{}
		require.Equal(t, CoverageUnreachable, runQuery(s, p, true, time.Minute).End)
	})
}
