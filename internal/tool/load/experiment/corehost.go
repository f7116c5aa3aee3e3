package experiment

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/ownership"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

const (
	// stopTimeout bounds the wait for running exchanges when an arm ends.
	stopTimeout = 5 * time.Second
	// peerKey is the key with which the hosts of an arm authenticate each other.
	peerKey = "experiment peer key of 32 bytes!!"
)

// coreHost runs the entry and dispatch roles of one host.
type coreHost struct {
	mesh     *peer.Mesh
	local    *dispatch.Local
	executor *query.Executor
}

// fixedView is a view.Source whose view does not change.
type fixedView struct{ view *view.View }

// Current implements view.Source.
func (f *fixedView) Current() *view.View { return f.view }

// startCoreHost starts self, one of hosts. If direct is set, the host sends all
// sub-requests to the targets itself; otherwise it routes each to the owner of its
// target.
func startCoreHost(ctx context.Context, fleet *config.Fleet, hosts *model.HostList, self *model.Host, direct bool) (*coreHost, error) {
	views := &fixedView{view: &view.View{
		Self: *self, Fleet: fleet, Hosts: hosts,
		Owners:         ownership.Build(hosts.Hosts, fleet.Targets),
		LeavingTargets: make(map[model.TargetID]struct{}),
		BuiltAt:        time.Now(),
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	mesh, err := peer.NewMesh(peer.Options{
		Self: self.ID, ListenAddr: self.PeerAddr, Keys: [][]byte{[]byte(peerKey)},
		Lookup: lookup(hosts), Scope: tally.NoopScope, Log: log,
	})
	if err != nil {
		return nil, err
	}
	h := &coreHost{mesh: mesh, local: dispatch.NewLocal(dispatch.Options{
		Views: views, Dialer: target.NewHTTPDialer(), Scope: tally.NoopScope, Log: log, Direct: direct,
	})}
	dispatch.RegisterHandler(mesh, h.local)
	var dispatcher subquery.Dispatcher = h.local
	if !direct {
		dispatcher = dispatch.NewRouter(dispatch.RouterOptions{
			Views: views, Local: h.local, Remote: dispatch.NewRemote(mesh), Scope: tally.NoopScope,
		})
	}
	h.executor = query.New(query.Options{Views: views, Dispatcher: dispatcher, Scope: tally.NoopScope, Log: log})
	if err := mesh.Start(ctx); err != nil {
		return nil, err
	}
	h.local.Start()
	return h, nil
}

func (h *coreHost) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	h.local.Stop(ctx)
	_ = h.mesh.Close()
}

// lookup returns a function that looks up peer addresses in a fixed host list.
func lookup(hosts *model.HostList) func(model.HostID) (string, bool) {
	addrs := make(map[model.HostID]string, len(hosts.Hosts))
	for i := range hosts.Hosts {
		addrs[hosts.Hosts[i].ID] = hosts.Hosts[i].PeerAddr
	}
	return func(id model.HostID) (string, bool) {
		addr, ok := addrs[id]
		return addr, ok
	}
}
