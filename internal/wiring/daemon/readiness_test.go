package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

type fixedView struct{ v *view.View }

func (f fixedView) Current() *view.View { return f.v }

func threeHosts() fixedView {
	hosts := []model.Host{{ID: "a", State: model.Live}, {ID: "b", State: model.Live}, {ID: "c", State: model.Leaving}}
	return fixedView{v: &view.View{Self: hosts[0], Hosts: &model.HostList{Hosts: hosts}}}
}

func TestHostIsNotReadyUntilItReachedAllLiveHosts(t *testing.T) {
	reached := false
	r := &readiness{
		fleetReady: func() bool { return true },
		view:       threeHosts(),
		ensureLink: func(id model.HostID) bool { require.Equal(t, model.HostID("b"), id); return reached },
	}
	refusal := r.refusal()
	require.NotNil(t, refusal)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, verdict.HostNotReady, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)

	reached = true
	require.Nil(t, r.refusal())
	reached = false
	require.Nil(t, r.refusal(), "a link that is lost later does not make the host unready")
}

func TestHostBecomesReadyAfterLinkWaitWithUnreachableHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &readiness{
			fleetReady: func() bool { return true },
			view:       threeHosts(),
			ensureLink: func(model.HostID) bool { return false },
		}
		require.NotNil(t, r.refusal())
		time.Sleep(linkWait + time.Millisecond)
		require.Nil(t, r.refusal())
	})
}
