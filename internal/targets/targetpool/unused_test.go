package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// TestOnlyGatherersConnectToServicesWithoutRoute guards against a connection from every
// host of a large fleet to every target of the next shards of an index, before and after
// the configuration names them.
func TestOnlyGatherersConnectToServicesWithoutRoute(t *testing.T) {
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", Split: []catalog.WeightedService{{Service: "single", Weight: 1}}}
	services := map[catalog.ServiceName]catalog.Service{"single": {MaxConns: 60}, "next": {MaxConns: 60}}
	config := catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{})
	targets := map[catalog.TargetID]*catalog.Target{
		"t-single": {ID: "t-single", Service: "single", Addr: "t-single"},
		"t-next":   {ID: "t-next", Service: "next", Addr: "t-next"},
	}
	for _, gathers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			dialer := &timedDialer{dials: map[string]time.Time{}}
			d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "h"})
			d.SetFleet(Fleet{Hosts: 75, Gatherers: 9, Gathers: gathers})
			d.Update(catalog.NewView(config, catalog.Position{Revision: 1}, targets))
			time.Sleep(time.Second)
			synctest.Wait()
			require.Contains(t, dialer.dials, "t-single")
			_, connected := dialer.dials["t-next"]
			require.Equal(t, gathers, connected)
			d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
		})
	}
}
