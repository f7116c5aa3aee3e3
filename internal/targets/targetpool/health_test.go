package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

func TestSamplesAreTakenOnceAndDistrustExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: echoDialer{ended: make(chan time.Time, 8)}, Log: discardLogger(), Host: "h"})
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
			"a": {ID: "a", Service: "s", Addr: "a"}, "b": {ID: "b", Service: "s", Addr: "b"},
		}))
		require.Empty(t, d.TakeSamples())
		submitAndWait(t, d.pools["a"], "r-1")
		require.Equal(t, []targethealth.Sample{{Target: "a", Good: 1}}, d.TakeSamples())
		require.Empty(t, d.TakeSamples())
		d.Distrust([]string{"b", "gone"}, time.Now())
		require.False(t, d.pools["a"].Load(time.Now()).Distrusted)
		require.True(t, d.pools["b"].Load(time.Now()).Distrusted)
		time.Sleep(2 * distrustFor)
		require.False(t, d.pools["b"].Load(time.Now()).Distrusted, "the distrust has expired")
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	})
}
