package capacity

import (
	"context"
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/instant"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
)

const (
	// subrequestsMeasured is the approximate number of sub-requests per measurement.
	subrequestsMeasured = 200_000
	queryDeadline       = 30 * time.Second
)

var measuredBody = json.RawMessage(`{"form":"FJ-112","facings":[1,2,3,4]}`)

// measureLocal returns the processor time of one sub-request, in microseconds, for
// queries over the given number of shards.
func measureLocal(ctx context.Context, shards int, log logrus.FieldLogger) (float64, error) {
	views := oneHostView(measuredHost, measuredHost, shards)
	local := newLocal(views, log)
	defer local.Stop(ctx)
	router := dispatch.NewRouter(dispatch.RouterOptions{Views: views, Local: local, Scope: tally.NoopScope})
	return measureQueries(ctx, views, router, shards, log)
}

func newLocal(views view.Source, log logrus.FieldLogger) *dispatch.Local {
	local := dispatch.NewLocal(dispatch.Options{Views: views, Dialer: instant.Dialer{}, Scope: tally.NoopScope, Log: log})
	local.Start()
	return local
}

// measureQueries returns the processor time of one sub-request, in microseconds,
// of queries that router dispatches.
func measureQueries(ctx context.Context, views view.Source, router *dispatch.Router, shards int, log logrus.FieldLogger) (float64, error) {
	executor := query.New(query.Options{Views: views, Dispatcher: router, Scope: tally.NoopScope, Log: log})
	ask := func() error {
		_, failure := executor.Execute(ctx, &query.Request{
			RequestID: "measured", Caller: "measured", Workload: measuredWorkload,
			Body: measuredBody, Deadline: time.Now().Add(queryDeadline), Idempotent: true,
		})
		if failure != nil {
			return eris.Wrap(failure, "measured query")
		}
		return nil
	}
	if err := ask(); err != nil { // opens pools and links
		return 0, err
	}
	queries := max(subrequestsMeasured/shards, 1)
	return cpuPer(queries*shards, func() error {
		for range queries {
			if err := ask(); err != nil {
				return err
			}
		}
		return nil
	})
}

// remoteCost is the processor time in microseconds and the link traffic in bytes
// of one sub-request that another host dispatches.
type remoteCost struct{ cpuUS, bytes float64 }

// measureRemote runs the same queries as measureLocal, but another host dispatches
// the sub-requests, over a loopback link within this process.
func measureRemote(ctx context.Context, shards int, log logrus.FieldLogger) (remoteCost, error) {
	const owner model.HostID = "host-2"
	addrs := map[model.HostID]string{measuredHost: loopback.Addr(), owner: loopback.Addr()}
	scope := tally.NewTestScope("", nil)
	entryMesh, err := newMesh(measuredHost, addrs, scope, log)
	if err != nil {
		return remoteCost{}, err
	}
	defer func() { _ = entryMesh.Close() }()
	ownerMesh, err := newMesh(owner, addrs, tally.NoopScope, log)
	if err != nil {
		return remoteCost{}, err
	}
	defer func() { _ = ownerMesh.Close() }()

	ownerLocal := newLocal(oneHostView(owner, owner, shards), log)
	defer ownerLocal.Stop(ctx)
	dispatch.RegisterHandler(ownerMesh, ownerLocal)
	if err := startAll(ctx, entryMesh, ownerMesh); err != nil {
		return remoteCost{}, err
	}
	views := oneHostView(measuredHost, owner, shards)
	entryLocal := newLocal(views, log)
	defer entryLocal.Stop(ctx)
	router := dispatch.NewRouter(dispatch.RouterOptions{
		Views: views, Local: entryLocal, Remote: dispatch.NewRemote(entryMesh), Scope: tally.NoopScope,
	})
	cpu, err := measureQueries(ctx, views, router, shards, log)
	queries := float64(max(subrequestsMeasured/shards, 1) + 1)
	return remoteCost{cpuUS: cpu, bytes: float64(linkTraffic(scope).bytes) / queries / float64(shards)}, err
}

func newMesh(self model.HostID, addrs map[model.HostID]string, scope tally.Scope, log logrus.FieldLogger) (*peer.Mesh, error) {
	return peer.NewMesh(peer.Options{
		Self:       self,
		ListenAddr: addrs[self],
		Keys:       [][]byte{[]byte("a key for measurements on loopback only")},
		Lookup:     func(id model.HostID) (string, bool) { addr, ok := addrs[id]; return addr, ok },
		Scope:      scope,
		Log:        log,
	})
}

func startAll(ctx context.Context, meshes ...*peer.Mesh) error {
	for _, m := range meshes {
		if err := m.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}
