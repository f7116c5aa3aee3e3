package capacity

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

const (
	witnesses      = 5
	claimsMeasured = 4000
	claimDeadline  = 10 * time.Second
	// startupMargin is the wait after the witnesses have started: they do not vote
	// on ids issued up to requestid.ClockMargin after their start.
	startupMargin = requestid.ClockMargin + time.Second
)

// claimCost is the processor time of claiming and recording one id, all hosts
// together, and the memory of its entry on one witness.
type claimCost struct{ cpuUS, entryBytes float64 }

// claimFleet holds hosts that are witnesses of each other's ids.
type claimFleet struct {
	services []*claim.Service
	meshes   []*peer.Mesh
	cancel   context.CancelFunc
	done     chan struct{}
}

// measureClaims measures claiming ids one after the other and recording an outcome
// for each.
func measureClaims(ctx context.Context, log logrus.FieldLogger) (claimCost, error) {
	f, err := startClaimFleet(ctx, log)
	if err != nil {
		return claimCost{}, err
	}
	defer f.stop()
	sleep(ctx, startupMargin)
	before := usedMemory()
	cpu, err := cpuPer(claimsMeasured, func() error {
		for range claimsMeasured {
			if err := f.claimOne(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	return claimCost{cpuUS: cpu, entryBytes: (usedMemory() - before) / (claimsMeasured * witnesses)}, err
}

func (f *claimFleet) claimOne(ctx context.Context) error {
	id, err := requestid.Mint()
	if err != nil {
		return err
	}
	id.Minted = false // treated as an id chosen by the caller
	if err := f.services[0].Claim(ctx, id, 1, time.Now().Add(claimDeadline)); err != nil {
		return eris.Wrap(err, "measured claim")
	}
	f.services[0].Record(id, claim.Outcome{Verdict: verdict.Ran, Status: 200, Answer: []byte(`{"filed":true}`)})
	return nil
}

// startClaimFleet starts the hosts with links to each other on loopback.
func startClaimFleet(ctx context.Context, log logrus.FieldLogger) (*claimFleet, error) {
	size := DesignSize()
	list := &model.HostList{Revision: 1}
	addrs := map[model.HostID]string{}
	for i, addr := range loopback.Addrs(witnesses) {
		host := hostAt(i, addr, &size)
		list.Hosts = append(list.Hosts, host)
		addrs[host.ID] = addr
	}
	f := &claimFleet{done: make(chan struct{}, witnesses)}
	ctx, f.cancel = context.WithCancel(ctx)
	for _, host := range list.Hosts {
		mesh, err := newMesh(host.ID, addrs, tally.NoopScope, log)
		if err != nil {
			return nil, err
		}
		views := &fixedView{}
		views.v.Store(&view.View{Self: host, Hosts: list})
		service := claim.New(claim.Options{
			Self: host, Incarnation: model.Incarnation(time.Now().UnixMilli()), Views: views,
			Transport: mesh, Registrar: mesh, Scope: tally.NoopScope, Log: log,
		})
		if err := mesh.Start(ctx); err != nil {
			return nil, err
		}
		f.meshes, f.services = append(f.meshes, mesh), append(f.services, service)
		go func() {
			_ = service.Run(ctx) // ends with ctx
			f.done <- struct{}{}
		}()
	}
	return f, nil
}

func (f *claimFleet) stop() {
	f.cancel()
	for range f.services {
		<-f.done
	}
	for _, m := range f.meshes {
		_ = m.Close()
	}
}
