// Package edge assembles one host of the tier on the users' platform: the follower
// of the store, the pools of targets, the executor and the listeners. It owns
// the order in which they start and stop.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/face/front"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
	"github.com/swiftvane/swiftvane/internal/hosts/gatherlink"
	"github.com/swiftvane/swiftvane/internal/querypath/relay"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// extraRatioShare is the share of the allowed ratio that a host uses. The rest
	// is a margin, since its windows and those of the bound don't begin together.
	extraRatioShare = 0.9
	// drainAfter is the share of StopWithin during which connections stay open, so
	// that the balancer has time to stop sending new ones.
	drainAfter = 0.4
	// closeIdleAfter is the share of StopWithin after which idle connections are
	// closed.
	closeIdleAfter = 0.65
	// closeIdleInterval is how often connections that became idle are closed.
	closeIdleInterval = 50 * time.Millisecond
	// firstStartWait gives the first readers time to start, so that a starting
	// fleet reads the store few times.
	firstStartWait = 900 * time.Millisecond
	// memoryShare is the part of MemoryBytes that may be held for callers and targets, as
	// a divisor.
	memoryShare = 4
	// interruptAfter is the share of StopWithin after which requests in progress are
	// answered without a result, and exitAfter that after which the process ends. The rest
	// is a margin for a host that is short of processor time, or was told late to stop.
	interruptAfter = 0.87
	exitAfter      = 0.95
	// arrivedWait is how long replies that have arrived are still processed before requests
	// are answered without a result: a process that is late has not read them yet.
	arrivedWait = 50 * time.Millisecond
	// answerWait is the least time for writing those answers, however late the process is.
	answerWait = 200 * time.Millisecond
)

// Edge is one host.
type Edge struct {
	opts      Options
	follower  *catalogsync.Follower
	hub       *catalogshare.Hub
	source    *catalogshare.Source
	directory *targetpool.Directory
	gatherers *gatherlink.Client
	// helpers passes requests on while this host reaches too few targets.
	helpers  *gatherlink.Client
	gather   *gatherlink.Server
	executor *relay.Executor
	server   *front.Server
	ready    *readiness
	metrics  *metricsServer
	// memory bounds what is held for callers and targets; nil for no limit.
	memory  *bytebudget.Budget
	callers net.Listener
	// accepted is closed once no more connections of callers are accepted.
	accepted chan struct{}
	cancel   context.CancelFunc
	// fleetHosts is the number of hosts in use, 0 while it is unknown.
	fleetHosts atomic.Int64
	crashes    crashReports
	// guard knows the requests that crash targets.
	guard *crashguard.Guard
	// helpersUntil is until when links to helpers stay open, in nanoseconds of Unix time.
	helpersUntil atomic.Int64
	// lastReport is the time of the last health report. It is used by one goroutine.
	lastReport time.Time
	// stewarding is set while a service bounds the requests to its cold targets. It is used by
	// the same goroutine.
	stewarding bool
	// clock detects that the monotonic clock did not run. It is used by the same goroutine.
	clock   stall.Clock
	started time.Time
	// warningBudget limits the log lines about unhealthy targets.
	warningBudget *logging.Budget
	evacuations   *evacuationMonitor
}

// New builds a host without starting it.
func New(opts Options) *Edge {
	guard := crashguard.New()
	if !opts.FirstStart {
		guard.Restarted(time.Now())
	}
	if opts.Dialer == nil {
		opts.Dialer = targetpool.TCPDialer{}
	}
	e := &Edge{opts: opts, guard: guard, started: time.Now(), accepted: make(chan struct{}), metrics: newMetricsServer(opts.Log), warningBudget: logging.NewBudget(warningLinesPerSecond)}
	e.memory = bytebudget.New(bytebudget.Options{Limit: opts.MemoryBytes / memoryShare, Scope: e.metrics.scope, Log: opts.Log})
	e.hub = catalogshare.NewHub(e.self(), guard, opts.Log)
	e.directory = targetpool.NewDirectory(targetpool.Options{
		Codec:  opts.TargetCodec,
		Dialer: opts.Dialer,
		Log:    opts.Log,
		Extra:  opts.ownExtra(),
		Host:   opts.Host, FailureDomain: opts.FailureDomain,
		OnLinks: func(targetpool.LinkState) { e.updateHelpers() },
		OnCrash: e.holdCrash, OnLeaving: e.reportLeaving, DrainWithin: opts.DrainWithin, Scope: e.metrics.scope,
		Cold: e.coldOptions(), Memory: e.memory,
	})
	e.evacuations = newEvacuationMonitor(opts.Log, e.metrics.scope, opts.EvacuateWithin)
	e.hub.OnUnhealthyTargets(e.handleUnhealthyTargets)
	e.hub.OnLeavingTarget(e.handleLeavingTarget)
	e.hub.SetPauseHooks(e.pauseHooks())
	e.hub.SetLimitHooks(catalogshare.LimitHooks{AddNotices: e.directory.AddLimitNotices, SetTotals: e.directory.SetLimitTotals})
	firstWait := time.Duration(0)
	if opts.FirstStart {
		firstWait = firstStartWait
	}
	e.source = catalogshare.NewSource(catalogshare.Options{
		Store: opts.Store, Decode: opts.Decode, Hub: e.hub, Self: opts.PeerAddr, Readers: opts.Readers, FirstWait: firstWait, Log: opts.Log,
	})
	guard.OnCleared(func(c crashguard.Clearance) { go e.source.SendClearance(c) })
	e.follower = catalogsync.New(e.source, opts.Log, catalogsync.Hooks{
		OnView: e.directory.Update, OnBatch: e.hub.Publish, OnDoubt: e.hub.Doubt, LongestPause: e.longestStorePause,
		DoubtClock: opts.DoubtClock,
	})
	e.gatherers = gatherlink.NewClient(gatherlink.Options{Self: e.self(), Log: opts.Log, Scope: e.metrics.scope, Regions: opts.Regions})
	e.helpers = e.newHelpers()
	e.executor = relay.NewExecutor(relay.Options{
		Helpers: e.helpers, Links: e.directory.Links(), CheckSilence: e.directory.CheckSilence,
		Snapshots: e.directory, FailureDomain: opts.FailureDomain, Regions: opts.Regions, Guard: guard, Policy: opts.Policy, Gatherers: e.gatherers,
		Memory: e.memory,
		Log:    opts.Log, Scope: e.metrics.scope,
	})
	e.gather = gatherlink.NewServer(e.executor, e.lostShare, e.appendFields, opts.Log)
	e.gather.OnAsk(e.opinionOf)
	e.server = front.New(front.Options{
		Codec: opts.CallerCodec, Handler: e.executor, Observer: newObserver(opts.Log, e.metrics.scope), Log: opts.Log,
		Memory: e.memory,
	})
	e.ready = newReadiness(opts.ReadyPath, e.follower)
	return e
}

// Start opens the listeners and starts to follow the store. If a listener can't be opened,
// those before it are closed and nothing is started.
func (e *Edge) Start() error {
	l, err := e.listen()
	if err != nil {
		return err
	}
	e.callers = l.callers
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.ready.serve(l.ready, e.opts.Log)
	e.metrics.serve(l.metrics, map[string]http.HandlerFunc{adminapi.PathEvacuations: e.serveEvacuations})
	e.startPeers(ctx, l.peers)
	go e.follower.Run(ctx)
	go func() {
		defer close(e.accepted)
		e.opts.Log.WithError(e.server.Serve(l.callers)).Info("callers' listener closed")
	}()
	return nil
}

// reportLeaving tells the fleet that a target has reported that it is leaving. It is
// called on the goroutine that reads the target's answers.
func (e *Edge) reportLeaving(t *catalog.Target) {
	go e.source.SendLeaving(catalogshare.TargetStart{Target: string(t.ID), Born: t.Born})
}

// handleLeavingTarget records that another host found a target leaving, first at since.
func (e *Edge) handleLeavingTarget(t catalogshare.TargetStart, since time.Time) {
	e.directory.MarkLeaving(catalog.TargetID(t.Target), t.Born, since)
}

// startPeers starts to track the fleet's size and, with a listener, to accept the links of
// other hosts.
func (e *Edge) startPeers(ctx context.Context, peers net.Listener) {
	go e.trackFleetSize(ctx)
	if peers == nil {
		return
	}
	go e.hub.Run(ctx)
	go e.source.Observe(ctx)
	go e.gatherers.Run(ctx)
	go e.helpers.Run(ctx)
	go e.servePeers(peers)
}

// trackFleetSize updates this host's share of the targets' connections and of the
// extra load as hosts come and go, and sends health reports.
func (e *Edge) trackFleetSize(ctx context.Context) {
	ticker := time.NewTicker(sizeInterval)
	defer ticker.Stop()
	var size fleetSize
	var domains domainSizes
	// byDomain is what was last known of the others: a host that knows none learns nothing.
	var byDomain map[string]int
	now := time.Now()
	started := now
	for {
		known, settled := e.hub.Hosts()
		confirmed := settled || e.standalone()
		size.alone = e.aloneSettleTime()
		hosts := size.update(known, confirmed, now)
		e.hub.SetSettled(hosts > 0)
		if known > 1 || confirmed || byDomain == nil {
			byDomain = domains.update(e.hub.Domains(), now)
		}
		e.updateFleet(targetpool.Fleet{Hosts: hosts, Assumed: size.assumed, Domains: byDomain}, now.Sub(started))
		e.metrics.fleet(hosts, e.follower.View())
		if e.memory != nil {
			e.metrics.scope.Gauge("bytes_held").Update(float64(e.memory.Held()))
		}
		e.metrics.scope.Gauge("crash_suspects").Update(float64(e.guard.Count()))
		e.directory.CheckLinks(now)
		e.updateHelpers()
		e.reportHealth(hosts, now)
		e.evacuations.update(e.directory.Evacuations(), now)
		e.updateStewards(hosts, now)
		select {
		case <-ctx.Done():
			e.stopStewards()
			return
		case now = <-ticker.C:
		}
	}
}

// standalone reports whether the host has no links to or from other hosts by its
// settings. An empty list of readers is not enough, since it may be filled later.
func (e *Edge) standalone() bool { return e.opts.PeerAddr == "" && len(e.opts.Readers()) == 0 }

// aloneSettleTime returns how long the host waits for a first link before it assumes the
// size of the fleet.
func (e *Edge) aloneSettleTime() time.Duration {
	if len(e.opts.Readers()) == 0 || e.source.IsReader() {
		return sizeSettleTime
	}
	return aloneSettleTime
}

// View returns the host's current view of the store.
func (e *Edge) View() *catalog.View { return e.follower.View() }
