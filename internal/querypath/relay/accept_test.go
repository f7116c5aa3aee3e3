package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// acceptingVersion is the version of the accepting host's configuration.
const acceptingVersion = 5

func singleRoute(service catalog.ServiceName, idempotent bool) catalog.Route {
	return catalog.Route{
		Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Objective: 100 * time.Millisecond, Idempotent: idempotent,
		MaxAttempts: 2, Split: []catalog.WeightedService{{Service: service, Weight: 1}},
	}
}

// passedOf is what a host with the route and a configuration of the given version says.
func passedOf(route catalog.Route, version int64, terms bool) exchange.PassedRoute {
	r := catalog.NewRoute(route)
	p := exchange.PassedRoute{Fingerprint: r.Fingerprint, Version: version}
	if terms {
		p.Terms = r
	}
	return p
}

// TestRequestOfAnotherHostIsServedByAnAgreedRoute guards against a request that runs by the
// configuration of the host that gets it while the one that its caller reached has another one.
func TestRequestOfAnotherHostIsServedByAnAgreedRoute(t *testing.T) {
	own := singleRoute("own", true)
	config := catalog.NewConfig(acceptingVersion, []*catalog.Route{&own}, nil, catalog.Limits{})
	request := &exchange.Request{Host: "h", URI: "/x"}
	same, moved, unsafe := own, singleRoute("other", true), singleRoute("own", false)
	require.Equal(t, &own, agreedRoute(config, request, passedOf(same, 1, false)))
	for name, other := range map[string]catalog.Route{"moved": moved, "unsafe": unsafe} {
		require.Nil(t, agreedRoute(config, request, passedOf(other, acceptingVersion+1, false)), name)
		require.Nil(t, agreedRoute(config, request, passedOf(other, acceptingVersion-1, true)), "%s: superseded", name)
		newer := passedOf(other, acceptingVersion+1, true)
		require.Equal(t, newer.Terms, agreedRoute(config, request, newer), name)
	}
	once := agreedRoute(config, request, exchange.PassedRoute{})
	require.False(t, once.Idempotent, "a host of an earlier build may have an unsafe route")
	require.True(t, own.Idempotent)
	require.Nil(t, agreedRoute(config, &exchange.Request{Host: "other", URI: "/x"}, exchange.PassedRoute{}))
}

// TestRequestIsServedByTheConfigurationThatAcceptedIt guards against a change of the configuration
// between the acceptance of a request and its start.
func TestRequestIsServedByTheConfigurationThatAcceptedIt(t *testing.T) {
	d := targetpool.NewDirectory(targetpool.Options{Codec: echo.Codec{}, Log: discardLogger(), Host: "host"})
	route := singleRoute("own", true)
	config := catalog.NewConfig(acceptingVersion, []*catalog.Route{&route}, nil, catalog.Limits{})
	d.Update(catalog.NewView(config, catalog.Position{Revision: 1}, nil))
	e := NewExecutor(Options{Snapshots: d, Guard: crashguard.New()})
	r := &exchange.Request{Host: "h", URI: "/x", Arrived: time.Now(), CallerTimeout: time.Second}
	accepted := e.Accept(r, passedOf(route, 1, false))
	require.NotNil(t, accepted.Serve)
	d.Update(catalog.NewView(catalog.NewConfig(acceptingVersion+1, nil, nil, catalog.Limits{}), catalog.Position{Revision: 2}, nil))
	require.Equal(t, exchange.NoTarget, accepted.Serve(nil).Reason, "and not that there is no route")
	terms := passedOf(singleRoute("other", true), acceptingVersion+2, true)
	require.Equal(t, exchange.Acceptance{OtherRoute: true}, e.Accept(r, terms), "the service has no targets here")
	without := passedOf(catalog.Route{Name: "r", Host: "h", Prefix: "/"}, acceptingVersion+2, true)
	require.Equal(t, exchange.Acceptance{OtherRoute: true}, e.Accept(r, without), "a route without services can't be served")
}

// TestFingerprintTellsRoutesApart guards against a part of a route that hosts don't compare.
func TestFingerprintTellsRoutesApart(t *testing.T) {
	seen := map[uint64]string{}
	for name, change := range map[string]func(r *catalog.Route){
		"none":       func(*catalog.Route) {},
		"service":    func(r *catalog.Route) { r.Split = []catalog.WeightedService{{Service: "other", Weight: 1}} },
		"weight":     func(r *catalog.Route) { r.Split = []catalog.WeightedService{{Service: "own", Weight: 2}} },
		"idempotent": func(r *catalog.Route) { r.Idempotent = false },
		"timeout":    func(r *catalog.Route) { r.Timeout *= 2 },
		"objective":  func(r *catalog.Route) { r.Objective *= 2 },
		"attempts":   func(r *catalog.Route) { r.MaxAttempts++ },
		"priority":   func(r *catalog.Route) { r.Priority++ },
		"prefix":     func(r *catalog.Route) { r.Prefix = "/x/" },
		"regions":    func(r *catalog.Route) { r.AllowedRegions = []string{"north"} },
	} {
		r := singleRoute("own", true)
		change(&r)
		fingerprint := catalog.NewRoute(r).Fingerprint
		require.Empty(t, seen[fingerprint], name)
		seen[fingerprint] = name
	}
}
