package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/admin"
	"github.com/swiftvane/swiftvane/internal/face/entry"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/support/listener"
	"github.com/swiftvane/swiftvane/internal/support/settings"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
	"github.com/swiftvane/swiftvane/internal/targets/quarantine"
)

// Daemon is one host of the tier.
type Daemon struct {
	settings    *settings.Settings
	incarnation model.Incarnation
	startedAt   time.Time
	telemetry   *instruments
	mesh        *peer.Mesh
	fleet       *fleet.Fleet
	claims      *claim.Service
	quarantine  *quarantine.Service
	local       *dispatch.Local
	receiver    *dispatch.Receiver
	entry       *entry.Server
	admin       *admin.Server
	readiness   *readiness
	adminListen net.Listener

	// background tracks the daemon's goroutines; cancel stops the control loops.
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	draining   atomic.Bool
	// drainRequested is closed when an operator requests a graceful stop.
	drainRequested chan struct{}
}

// New builds a daemon without starting it. It returns an error if a component
// rejects its settings.
func New(s *settings.Settings, log logrus.FieldLogger) (*Daemon, error) {
	startedAt := time.Now()
	d := &Daemon{
		settings:       s,
		incarnation:    model.Incarnation(startedAt.UnixMilli()),
		startedAt:      startedAt,
		drainRequested: make(chan struct{}),
	}
	injector := newInjector(s, log, d.incarnation)
	if _, err := do.Invoke[*query.Executor](injector); err != nil {
		return nil, eris.Wrap(err, "daemon")
	}
	server, err := do.Invoke[*entry.Server](injector)
	if err != nil {
		return nil, eris.Wrap(err, "daemon")
	}
	d.entry = server
	d.telemetry = do.MustInvoke[*instruments](injector)
	d.mesh = do.MustInvoke[*peer.Mesh](injector)
	d.fleet = do.MustInvoke[*fleet.Fleet](injector)
	d.readiness = do.MustInvoke[*readiness](injector)
	d.claims = do.MustInvoke[*claim.Service](injector)
	d.quarantine = do.MustInvoke[*quarantine.Service](injector)
	d.local = do.MustInvoke[*dispatch.Local](injector)
	d.receiver = do.MustInvoke[*dispatch.Receiver](injector)
	d.admin = admin.New(d.adminOptions())
	return d, nil
}

// CallerAddr returns the address on which the host serves callers.
func (d *Daemon) CallerAddr() string { return d.entry.Addr() }

// AdminAddr returns the address of the administration API.
func (d *Daemon) AdminAddr() string { return d.adminListen.Addr().String() }

// Ready reports whether the host serves queries.
func (d *Daemon) Ready() bool { return d.readiness.refusal() == nil && !d.draining.Load() }

// DrainRequested returns a channel that is closed once an operator has requested a
// graceful stop.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }

// Start opens the listeners and starts the control loops. If it fails, it stops
// whatever it has started.
func (d *Daemon) Start(ctx context.Context) error {
	d.ctx, d.cancel = context.WithCancel(ctx)
	if err := d.start(d.ctx); err != nil {
		d.abort()
		return err
	}
	return nil
}

func (d *Daemon) start(ctx context.Context) error {
	opened, err := listener.Listen(d.settings.Listen.Admin, d.telemetry.log)
	if err != nil {
		return eris.Wrap(err, "administration listener")
	}
	d.adminListen = opened
	d.background.Go(func() { d.logEnd("administration listener", d.admin.Serve(opened)) })
	if err := d.mesh.Start(ctx); err != nil {
		return err
	}
	d.background.Go(func() { d.logEnd("fleet", d.fleet.Run(ctx)) })
	d.background.Go(func() { d.logEnd("claims", d.claims.Run(ctx)) })
	d.background.Go(func() { d.logEnd("quarantine", d.quarantine.Run(ctx)) })
	d.local.Start()
	return d.entry.Listen()
}

func (d *Daemon) logEnd(what string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.telemetry.log.WithError(err).Errorf("%s ended", what)
	}
}

// abort stops whatever a failed start has started.
func (d *Daemon) abort() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.local.Stop(ctx)
	d.close()
}
