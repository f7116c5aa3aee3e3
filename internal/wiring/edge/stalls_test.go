package edge

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestPausesAreForgottenAfterTheMachineWasFrozen guards against targets that are avoided at
// the wrong times, because the monotonic clock did not run while the machine was frozen.
func TestPausesAreForgottenAfterTheMachineWasFrozen(t *testing.T) {
	log, _ := test.NewNullLogger()
	e := New(Options{Log: log})
	defer e.metrics.close()
	routes := []*catalog.Route{{Name: "sweep", Shards: []catalog.ServiceName{"s"}}}
	e.directory.Update(catalog.NewView(catalog.NewConfig(1, routes, nil, catalog.Limits{}), catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
		"a": {ID: "a", Service: "s", Addr: "127.0.0.1:1"},
	}))
	defer e.directory.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	e.learnStalls(time.Now())
	hooks := e.pauseHooks()
	hooks.AddTable([]stall.SharedPattern{{Target: "a", PeriodUS: 3e6, LengthMS: 100}})
	hooks.AddEnds([]stall.SharedEnd{{Target: "a", AgeMS: 10, LengthMS: 100}, {Target: "gone", AgeMS: 10, LengthMS: 100}})
	e.learnStalls(time.Now())
	require.Len(t, hooks.Table(), 1)
	// A later start of the host with the same wall clock is a monotonic clock that lags.
	e.started = e.started.Add(time.Second)
	e.learnStalls(time.Now())
	require.Empty(t, hooks.Table())
}
