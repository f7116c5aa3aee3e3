// Package edge wires one host of the tier on the users' platform: the follower
// of the store, the pools of targets, the executor and the listeners. It owns
// the order in which they start and stop.
package edge

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/face/front"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogshare"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
	"github.com/swiftvane/swiftvane/internal/querypath/relay"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// Options are a host's settings and its adapters to the platform.
type Options struct {
	Host          string
	FailureDomain string
	CallerAddr    string
	ReadyAddr     string
	ReadyPath     string
	// StopWithin is the time from the stop signal to the forced end.
	StopWithin time.Duration
	// Extra bounds the extra sub-requests of a service over all hosts.
	Extra extrabudget.Limit
	// PeerAddr is where other hosts follow this one; empty for nowhere. Readers
	// returns the addresses of the hosts that read the store for the others.
	PeerAddr string
	Readers  func() []string
	// Policy is the adaptive one but for measurements.
	Policy relay.Policy
	// FirstStart is set where the whole fleet starts and no caller waits yet.
	FirstStart bool
	// Store and Decode read the platform's store.
	Store       catalogsync.Source
	Decode      catalogshare.Decoder
	CallerCodec exchange.CallerCodec
	TargetCodec exchange.TargetCodec
	// MetricsAddr is where scrapers read metrics; empty for nowhere.
	MetricsAddr string
	Log         logrus.FieldLogger
}

const (
	// extraSafety is the part of the allowed ratio that a host uses, since its
	// windows and those of the bound don't begin together.
	extraSafety = 0.9
	// retireAfter is the part of the stop time in which connections stay open,
	// so that the balancer has stopped sending new ones.
	retireAfter = 0.4
	// closeIdleAfter is the part after which idle connections are closed.
	closeIdleAfter = 0.65
	// closeIdleEvery is how often connections that became idle are closed.
	closeIdleEvery = 50 * time.Millisecond
	// firstStartWait lets the first readers come up, so that a fleet that starts
	// reads the store few times.
	firstStartWait = 900 * time.Millisecond
	// stopReserve is kept between the last connection's end and the forced one.
	stopReserve = 600 * time.Millisecond
)

// Edge is one host.
type Edge struct {
	opts      Options
	follower  *catalogsync.Follower
	hub       *catalogshare.Hub
	source    *catalogshare.Source
	directory *targetpool.Directory
	server    *front.Server
	ready     *readiness
	metrics   *metricsServer
	callers   net.Listener
	cancel    context.CancelFunc
	// reported is when targets were last reported on; one goroutine uses it.
	reported time.Time
	warnings *logging.Budget
}

// New builds a host; nothing runs yet.
func New(opts Options) *Edge {
	e := &Edge{opts: opts, metrics: newMetricsServer(opts.Log), warnings: logging.NewBudget(warningLines)}
	e.directory = targetpool.NewDirectory(targetpool.Options{
		Codec:  opts.TargetCodec,
		Dialer: targetpool.TCPDialer{},
		Log:    opts.Log,
		Extra: extrabudget.Limit{
			Ratio:  opts.Extra.Ratio * extraSafety,
			Slack:  opts.Extra.Slack,
			Window: opts.Extra.Window,
		},
		Host: opts.Host, FailureDomain: opts.FailureDomain,
		OnCrash: e.crashed,
	})
	guard := crashguard.New()
	e.hub = catalogshare.NewHub(opts.FailureDomain, guard, opts.Log)
	e.hub.OnBad(e.distrust)
	firstWait := time.Duration(0)
	if opts.FirstStart {
		firstWait = firstStartWait
	}
	e.source = catalogshare.NewSource(catalogshare.Options{
		Store: opts.Store, Decode: opts.Decode, Hub: e.hub, Self: opts.PeerAddr, Readers: opts.Readers, FirstWait: firstWait, Log: opts.Log,
	})
	e.follower = catalogsync.New(e.source, opts.Log, catalogsync.Hooks{OnView: e.directory.Update, OnBatch: e.hub.Publish})
	executor := relay.NewExecutor(relay.Options{
		Snapshots: e.directory, FailureDomain: opts.FailureDomain, Guard: guard, Policy: opts.Policy,
	})
	e.server = front.New(front.Options{
		Codec: opts.CallerCodec, Handler: executor, Observer: newObserver(opts.Log, e.metrics.scope), Log: opts.Log,
	})
	e.ready = newReadiness(opts.ReadyPath, e.follower)
	return e
}

// Start opens the listeners and begins to follow the store.
func (e *Edge) Start() error {
	callers, err := net.Listen("tcp", e.opts.CallerAddr)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	e.callers = callers
	if err := e.ready.listen(e.opts.ReadyAddr, e.opts.Log); err != nil {
		return err
	}
	if err := e.metrics.listen(e.opts.MetricsAddr); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	if err := e.listenPeers(ctx); err != nil {
		return err
	}
	go e.follower.Run(ctx)
	go func() {
		e.opts.Log.WithError(e.server.Serve(callers)).Info("callers' listener closed")
	}()
	return nil
}

// crashed tells the fleet of a request that a target had when it crashed. It is
// called on the goroutine of a dial.
func (e *Edge) crashed(r *exchange.Request, t *catalog.Target) {
	e.source.Tell(crashguard.CrashReport{Request: crashguard.FingerprintOf(r), Target: string(t.ID)})
}

// listenPeers lets other hosts follow this one.
func (e *Edge) listenPeers(ctx context.Context) error {
	go e.followSize(ctx)
	if e.opts.PeerAddr == "" {
		return nil
	}
	peers, err := net.Listen("tcp", e.opts.PeerAddr)
	if err != nil {
		return eris.Wrap(err, "listen for other hosts")
	}
	go e.hub.Run(ctx)
	go e.source.Observe(ctx)
	go func() {
		if err := e.hub.Serve(peers); err != nil {
			e.opts.Log.WithError(err).Info("other hosts' listener closed")
		}
	}()
	return nil
}

// followSize divides what targets allow anew as hosts come and go.
func (e *Edge) followSize(ctx context.Context) {
	ticker := time.NewTicker(sizeEvery)
	defer ticker.Stop()
	var size fleetSize
	var domains domainSizes
	now := time.Now()
	for {
		known, settled := e.hub.Hosts()
		hosts := size.see(known, settled || e.alone(), now)
		e.hub.Settle(hosts > 0)
		e.directory.SetFleet(targetpool.Fleet{Hosts: hosts, Domains: domains.see(e.hub.Domains(), now)})
		e.metrics.fleet(hosts, e.follower.View())
		e.reportHealth(hosts, now)
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
	}
}

// alone reports whether the settings leave no way to or from other hosts. An
// empty list of readers alone may be filled later.
func (e *Edge) alone() bool { return e.opts.PeerAddr == "" && len(e.opts.Readers()) == 0 }

// Stop ends the host in order: not ready, then connections close behind their
// next answer, then idle ones close. It reports whether no request was cut.
func (e *Edge) Stop() bool {
	began := time.Now()
	at := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(e.opts.StopWithin)))
	}
	e.ready.stop()
	time.Sleep(time.Until(at(retireAfter)))
	e.server.Retire()
	time.Sleep(time.Until(at(closeIdleAfter)))
	if err := e.callers.Close(); err != nil {
		e.opts.Log.WithError(err).Warn("callers' listener did not close")
	}
	end := began.Add(e.opts.StopWithin - stopReserve)
	clean := false
	for !clean && time.Now().Before(end) {
		e.server.CloseIdle()
		clean = e.server.Wait(time.Now().Add(closeIdleEvery))
	}
	e.cancel()
	e.metrics.close()
	return clean
}

// View returns what the host believes.
func (e *Edge) View() *catalog.View { return e.follower.View() }
