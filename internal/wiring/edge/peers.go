package edge

import (
	"net"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// peerReadTimeout bounds the reading of a link's upgrade request.
const peerReadTimeout = 1200 * time.Millisecond

// self returns this host as a candidate for gatherers.
func (e *Edge) self() gathering.Member {
	return gathering.Member{Addr: e.opts.PeerAddr, FailureDomain: e.opts.FailureDomain, Capacity: e.opts.Capacity}
}

// servePeers accepts the links of other hosts until the listener is closed.
func (e *Edge) servePeers(peers net.Listener) {
	server := &fasthttp.Server{NoDefaultServerHeader: true, ReadTimeout: peerReadTimeout, Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case catalogshare.Path:
			e.hub.Handle(ctx)
		case gatherlink.Path:
			e.gather.Handle(ctx)
		default:
			ctx.Error("not found", fasthttp.StatusNotFound)
		}
	}}
	if err := server.Serve(peers); err != nil {
		e.opts.Log.WithError(err).Info("other hosts' listener closed")
	}
}

// appendFields appends the header lines of an answer for another host's caller.
func (e *Edge) appendFields(dst []byte, a *exchange.Answer) []byte {
	return e.opts.CallerCodec.AppendFields(dst, a)
}

const (
	// storePausePerHost and maxStorePause bound the pause between failed calls to the
	// store of a host that isn't a reader, so that the calls of a large fleet don't grow
	// with it while the store is down. Readers notice its return and tell the others.
	storePausePerHost = 15 * time.Millisecond
	maxStorePause     = 3 * time.Second
)

// longestStorePause returns the longest pause between failed calls to the store.
func (e *Edge) longestStorePause() time.Duration {
	if e.source.IsReader() {
		return 0
	}
	return min(time.Duration(e.fleetHosts.Load())*storePausePerHost, maxStorePause)
}

// updateFleet divides connections, extra load and sweeps among the hosts of the fleet, whose
// gatherers it sets. age is the time since this host's start.
func (e *Edge) updateFleet(fleet targetpool.Fleet, age time.Duration) {
	hosts := fleet.Hosts
	e.fleetHosts.Store(int64(hosts))
	if e.source.IsReader() {
		e.hub.SelectGatherers(hosts)
	}
	gatherers := e.gatherersOf(hosts)
	config := e.follower.View().Config
	e.gatherers.RequireOwnRegion(config != nil && config.HasHomeRegions())
	e.gatherers.SetGatherers(gatherers)
	e.metrics.scope.Gauge("gatherers").Update(float64(len(gatherers)))
	e.gatherers.SetExtra(targetpool.PassLimit(e.opts.ownExtra(), e.opts.Host, fleet.Sharers(), age))
	gathers := slices.ContainsFunc(gatherers, func(m gathering.Member) bool { return m.Addr == e.opts.PeerAddr })
	e.executor.SetAdmissionControl(len(gatherers) > 0 || e.opts.LimitSmallFleets)
	fleet.Gatherers, fleet.Gathers = len(gatherers), gathers
	e.directory.SetFleet(fleet)
}

// needsGatherers reports whether a fleet of this many hosts has gatherers. While the size
// or the configuration is unknown it has.
func (e *Edge) needsGatherers(hosts int) bool {
	config := e.follower.View().Config
	return hosts == 0 || config == nil || gathering.Needed(hosts, config.LeastShardConns())
}

// gatherersOf returns the hosts that gather sweeps. Until the fleet's size and the
// selection are known, these are the readers: after the loss of all hosts, connections of
// few hosts fit beside the dead ones that the targets still count.
func (e *Edge) gatherersOf(hosts int) []gathering.Member {
	if e.opts.PeerAddr == "" || !e.needsGatherers(hosts) {
		return nil
	}
	if selected := e.hub.Gatherers(); len(selected) > 0 {
		return selected
	}
	readers := e.opts.Readers()
	members := make([]gathering.Member, 0, len(readers))
	for _, addr := range readers {
		members = append(members, gathering.Member{Addr: addr})
	}
	return members
}
