package harness

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// defaultLameDuckMS gives Balancer enough time to detect that a host is not ready.
const defaultLameDuckMS = 1000

// Options configure a fleet.
type Options struct {
	Shape fixture.Shape
	Hosts int
	// TargetProxies and PeerProxies put a fault proxy before each target and
	// before each host's peer listener.
	TargetProxies bool
	PeerProxies   bool
	// LameDuckMS is each host's lame-duck time in milliseconds; 0 selects
	// defaultLameDuckMS.
	LameDuckMS int
	// DrainMS is each host's drain limit in milliseconds; 0 leaves the default.
	DrainMS int
	// ReplyBytes is each host's bound of replies that are read, in bytes; 0 leaves the default.
	ReplyBytes int
	// Measured runs hosts whose memory is measured: they never have the race detector.
	Measured bool
	// Policy modifies the fleet's default policy; nil leaves it unchanged.
	Policy func(*config.Policy)
}

// Fleet is a running platform with targets and hosts.
type Fleet struct {
	Platform *Platform
	Targets  []*Target
	Hosts    []*Host
	Shape    fixture.Shape
	HTTP     *httpjson.Client
}

// Start starts a fleet that runs until the test ends, and waits until each host is
// ready. Hosts first start with firstStartSettings; a restarted host runs without
// them, as the operating instructions require.
func Start(tb testing.TB, o Options) *Fleet {
	tb.Helper()
	f := &Fleet{Shape: o.Shape, HTTP: httpjson.New()}
	tb.Cleanup(f.HTTP.Close)
	for i := range o.Shape.TargetIDs() {
		target := startTarget(tb, f.HTTP, string(o.Shape.Workload), i)
		if o.TargetProxies {
			target.Proxy = startProxy(tb, target.addr)
		}
		f.Targets = append(f.Targets, target)
	}
	f.makeHosts(tb, &o)
	f.Platform = startPlatform(tb, f.HTTP, f.document(tb, o.Policy), f.hostList())
	limits := o.limits()
	for _, host := range f.Hosts {
		host.writeSettings(tb, f, limits, firstStartSettings)
		host.Restart(tb)
	}
	f.AwaitReady(tb)
	for _, host := range f.Hosts {
		host.writeSettings(tb, f, limits, "")
	}
	return f
}

// limits returns the lines of the [limits] section that the options set.
func (o *Options) limits() string {
	lines := fmt.Sprintf("lame_duck_ms = %d\n", lo.CoalesceOrEmpty(o.LameDuckMS, defaultLameDuckMS))
	if o.DrainMS > 0 {
		lines += fmt.Sprintf("drain_ms = %d\n", o.DrainMS)
	}
	if o.ReplyBytes > 0 {
		lines += fmt.Sprintf("reply_bytes = %d\n", o.ReplyBytes)
	}
	return lines
}

func startProxy(tb testing.TB, server string) *faultproxy.Proxy {
	tb.Helper()
	proxy, err := faultproxy.Start(server)
	require.NoError(tb, err)
	tb.Cleanup(proxy.Close)
	return proxy
}

// makeHosts assigns the hosts' ids and addresses without starting processes.
func (f *Fleet) makeHosts(tb testing.TB, o *Options) {
	tb.Helper()
	addrs := loopback.Addrs(3 * o.Hosts)
	peers := addrs[:o.Hosts]
	for i, published := range fixture.Hosts(peers...).Hosts {
		host := &Host{
			Host: published, caller: addrs[o.Hosts+i], admin: addrs[2*o.Hosts+i], peer: peers[i], http: f.HTTP, program: daemon,
		}
		if o.Measured {
			host.program = measuredDaemon
		}
		if o.PeerProxies {
			host.Proxy = startProxy(tb, host.peer)
			host.PeerAddr = host.Proxy.Addr()
		}
		f.Hosts = append(f.Hosts, host)
	}
}

func (f *Fleet) document(tb testing.TB, change func(*config.Policy)) *config.Document {
	tb.Helper()
	addrs := lo.Map(f.Targets, func(t *Target, _ int) string { return t.Addr() })
	document, err := fixture.Document(addrs, f.Shape)
	require.NoError(tb, err)
	if change != nil {
		policy := fixture.Defaults()
		change(&policy)
		document.Keys[config.KeyDefaults] = marshal(tb, policy)
	}
	return document
}

func (f *Fleet) hostList() *model.HostList {
	return &model.HostList{Revision: 1, Hosts: f.published()}
}

// published returns the hosts as the platform lists them.
func (f *Fleet) published() []model.Host {
	return lo.Map(f.Hosts, func(h *Host, _ int) model.Host { return h.Host })
}

// SetLeaving publishes a host list that marks exactly these targets as leaving.
func (f *Fleet) SetLeaving(tb testing.TB, targets ...model.TargetID) {
	tb.Helper()
	f.Platform.SetHosts(tb, f.published(), targets...)
}

// AwaitReady waits until each host is ready.
func (f *Fleet) AwaitReady(tb testing.TB) {
	tb.Helper()
	for _, host := range f.Hosts {
		Eventually(tb, string(host.ID)+" is ready", func() bool {
			if host.Exited() {
				tb.Fatalf("%s exited before it was ready", host.ID)
			}
			return host.Ready()
		})
	}
}

// Target returns the target with the given id, and fails the test if there is none.
func (f *Fleet) Target(tb testing.TB, id model.TargetID) *Target {
	tb.Helper()
	target, found := lo.Find(f.Targets, func(t *Target) bool { return t.ID == id })
	require.True(tb, found, "no target %s", id)
	return target
}
