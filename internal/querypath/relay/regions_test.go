package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestRequestStaysInItsHomeRegions guards against a first attempt, hedge or retry that
// leaves the home regions, also to a failure domain whose region is unknown, and against
// a request without a target that is held until its deadline.
func TestRequestStaysInItsHomeRegions(t *testing.T) {
	known := catalog.Regions{Own: "north", ByDomain: map[string]string{"here": "north", "there": "south"}}
	unknown := catalog.Regions{Own: "north", ByDomain: map[string]string{"here": "north"}}
	for _, c := range []struct {
		home    []string
		regions catalog.Regions
		breaks  bool
		others  int32
		status  int
	}{
		{regions: known, others: 1, status: 200},
		{regions: known, home: []string{"south", "north"}, others: 1, status: 200},
		{regions: known, home: []string{"south"}, others: 1, status: 200},
		{regions: known, home: []string{"north"}, status: 504},
		{regions: known, home: []string{"north"}, breaks: true, status: 502},
		{regions: unknown, home: []string{"north", "south"}, status: 504},
		{regions: known, home: []string{"east"}, status: 503},
		{regions: catalog.Regions{}, home: []string{""}, status: 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			route := &catalog.Route{
				Name: "r", Prefix: "/", Host: "h", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Idempotent: true, MaxAttempts: 2,
				Split: []catalog.WeightedService{{Service: "s", Weight: 1}}, AllowedRegions: c.home,
			}
			dialer := &evacuatedDialer{breaks: c.breaks}
			directory := targetpool.NewDirectory(targetpool.Options{
				Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "host", Extra: extrabudget.Limit{Window: 10 * time.Second, Slack: 100},
			})
			directory.SetFleet(targetpool.Fleet{Hosts: 1})
			directory.Update(evacuationView(route, 1))
			time.Sleep(time.Second)
			executor := NewExecutor(Options{Snapshots: directory, FailureDomain: "here", Regions: c.regions, Guard: crashguard.New()})
			began := time.Now()
			answer := executor.Serve(&exchange.Request{ID: "r", Method: "GET", Host: "h", URI: "/", Arrived: began, CallerTimeout: route.Timeout}, nil)
			require.Equal(t, c.status, answer.Status, "home regions %v", c.home)
			require.Equal(t, c.others, dialer.others.Load(), "home regions %v", c.home)
			if c.status == 503 {
				require.Zero(t, time.Since(began))
				require.Equal(t, retryNoRoom, answer.RetryAfter)
			}
			directory.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
			time.Sleep(time.Minute)
		})
	}
}
