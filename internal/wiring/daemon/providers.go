package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/entry"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/hosts/fleet"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/hosts/platform"
	"github.com/swiftvane/swiftvane/internal/querypath/admission"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
	"github.com/swiftvane/swiftvane/internal/support/settings"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
	"github.com/swiftvane/swiftvane/internal/targets/quarantine"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// instruments holds the log and the metrics that all components write to.
type instruments struct {
	scope   metrics.Scope
	handler http.Handler
	closer  io.Closer
	log     logrus.FieldLogger
}

// newInjector registers the constructors of all components; each component is
// built when it is first needed.
func newInjector(s *settings.Settings, log logrus.FieldLogger, incarnation model.Incarnation) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, incarnation)
	do.ProvideValue(injector, selfOf(s))
	do.Provide(injector, func(do.Injector) (*instruments, error) {
		scope, handler, closer := metrics.New(log)
		return &instruments{scope: scope, handler: handler, closer: closer, log: log}, nil
	})
	do.Provide(injector, provideDirectory)
	do.Provide(injector, provideMesh)
	do.Provide(injector, provideFleet)
	do.Provide(injector, provideQuarantine)
	do.Provide(injector, provideLocal)
	do.Provide(injector, provideGuard)
	do.Provide(injector, provideReceiver)
	do.Provide(injector, provideExecutor)
	do.Provide(injector, provideClaims)
	do.Provide(injector, provideEntry)
	do.Provide(injector, func(i do.Injector) (*readiness, error) {
		views, mesh := do.MustInvoke[*fleet.Fleet](i), do.MustInvoke[*peer.Mesh](i)
		return &readiness{fleetReady: views.Ready, view: views, ensureLink: mesh.EnsureLink}, nil
	})
	return injector
}

func selfOf(s *settings.Settings) model.Host {
	return model.Host{
		ID:            s.Host.ID,
		PeerAddr:      s.Listen.AdvertisedPeer,
		Region:        s.Host.Region,
		FailureDomain: s.Host.FailureDomain,
		State:         model.Live,
	}
}

func provideDirectory(i do.Injector) (*fleet.Directory, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return fleet.NewDirectory(lo.Map(s.Peers.Seeds, func(seed settings.Seed, _ int) model.Host {
		return model.Host{ID: seed.ID, PeerAddr: seed.Addr, State: model.Live}
	})), nil
}

func provideMesh(i do.Injector) (*peer.Mesh, error) {
	s, in := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*instruments](i)
	return peer.NewMesh(peer.Options{
		Self:       s.Host.ID,
		ListenAddr: s.Listen.Peer,
		Keys:       s.Secrets.PeerKeys,
		Lookup:     do.MustInvoke[*fleet.Directory](i).Lookup,
		Scope:      in.scope,
		Log:        in.log,
	})
}

func provideFleet(i do.Injector) (*fleet.Fleet, error) {
	s, in, mesh := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*instruments](i), do.MustInvoke[*peer.Mesh](i)
	client, err := platform.NewHTTPClientFromURL(s.Platform.BaseURL)
	if err != nil {
		return nil, err
	}
	return fleet.New(fleet.Options{
		Self:      do.MustInvoke[model.Host](i),
		Platform:  client,
		Transport: mesh,
		Registrar: mesh,
		Directory: do.MustInvoke[*fleet.Directory](i),
		Scope:     in.scope,
		Log:       in.log,
	})
}

func provideQuarantine(i do.Injector) (*quarantine.Service, error) {
	in, mesh := do.MustInvoke[*instruments](i), do.MustInvoke[*peer.Mesh](i)
	return quarantine.New(quarantine.Options{
		Self:        do.MustInvoke[model.Host](i),
		Incarnation: do.MustInvoke[model.Incarnation](i),
		Views:       do.MustInvoke[*fleet.Fleet](i),
		Transport:   mesh,
		Registrar:   mesh,
		Scope:       in.scope.SubScope("quarantine"),
		Log:         in.log,
	}), nil
}

func provideLocal(i do.Injector) (*dispatch.Local, error) {
	s, in, views := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*instruments](i), do.MustInvoke[*fleet.Fleet](i)
	dialer := target.NewHTTPDialer()
	dialer.Memory = bytebudget.New(bytebudget.Options{
		Limit: int64(s.Limits.ReplyBytes), Scope: in.scope.SubScope("dispatch"), Log: in.log,
	})
	return dispatch.NewLocal(dispatch.Options{
		Views:     views,
		Dialer:    dialer,
		Scope:     in.scope.SubScope("dispatch"),
		Log:       in.log,
		OnLeaving: views.MarkTargetLeaving,
	}), nil
}

// provideGuard places the quarantine guard in front of this host's targets, for its
// own queries as well as for sub-requests from other hosts.
func provideGuard(i do.Injector) (*quarantine.Guard, error) {
	return quarantine.NewGuard(do.MustInvoke[*quarantine.Service](i), do.MustInvoke[*dispatch.Local](i)), nil
}

func provideReceiver(i do.Injector) (*dispatch.Receiver, error) {
	return dispatch.RegisterHandler(do.MustInvoke[*peer.Mesh](i), do.MustInvoke[*quarantine.Guard](i)), nil
}

func provideExecutor(i do.Injector) (*query.Executor, error) {
	in, mesh, views := do.MustInvoke[*instruments](i), do.MustInvoke[*peer.Mesh](i), do.MustInvoke[*fleet.Fleet](i)
	router := dispatch.NewRouter(dispatch.RouterOptions{
		Views:  views,
		Local:  do.MustInvoke[*quarantine.Guard](i),
		Remote: dispatch.NewRemote(mesh),
		Scope:  in.scope.SubScope("router"),
	})
	return query.New(query.Options{
		Views:      views,
		Dispatcher: router,
		MaxFanOut:  do.MustInvoke[*settings.Settings](i).Limits.MaxFanOut,
		Scope:      in.scope.SubScope("query"),
		Log:        in.log,
	}), nil
}

func provideClaims(i do.Injector) (*claim.Service, error) {
	s, in, mesh, views := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*instruments](i), do.MustInvoke[*peer.Mesh](i), do.MustInvoke[*fleet.Fleet](i)
	return claim.New(claim.Options{
		Self:            do.MustInvoke[model.Host](i),
		Incarnation:     do.MustInvoke[model.Incarnation](i),
		Views:           views,
		HostLists:       hostLists(views),
		ListConfirmedAt: views.ListConfirmedAt,
		Transport:       mesh,
		Registrar:       mesh,
		HistoryWait:     historyWait(s),
		MaxEntries:      s.Limits.ClaimEntries,
		Scope:           in.scope.SubScope("claim"),
		Log:             in.log,
	}), nil
}

func provideEntry(i do.Injector) (*entry.Server, error) {
	s, in, views := do.MustInvoke[*settings.Settings](i), do.MustInvoke[*instruments](i), do.MustInvoke[*fleet.Fleet](i)
	return entry.NewServer(entry.Options{
		ListenAddr: s.Listen.Caller,
		Views:      views,
		Executor:   do.MustInvoke[*query.Executor](i),
		Admission: admission.New(admission.Options{
			MaxInflight: s.Limits.MaxInflightQueries,
			Scope:       in.scope.SubScope("admission"),
		}),
		Quarantine:   do.MustInvoke[*quarantine.Service](i),
		Claims:       do.MustInvoke[*claim.Service](i),
		Ready:        do.MustInvoke[*readiness](i).refusal,
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		MaxDeadline:  time.Duration(s.Limits.DeadlineMaxMS) * time.Millisecond,
		Scope:        in.scope.SubScope("entry"),
		Log:          in.log,
	}), nil
}
