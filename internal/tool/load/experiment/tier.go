package experiment

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/tool/embedded"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// readyTimeout bounds the start of an arm's hosts.
const readyTimeout = 30 * time.Second

// tierArm runs complete hosts in this process and queries them over HTTP.
type tierArm struct {
	*load.HTTPClient
	tier *embedded.Tier
}

func startTier(ctx context.Context, plan *Plan, arm *Arm) (runningArm, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tier, err := embedded.Start(ctx, embedded.Options{Hosts: arm.Hosts, Cluster: plan.standins(), Log: log})
	if err != nil {
		return nil, err
	}
	a := &tierArm{tier: tier}
	if err := publishPolicy(tier.Cluster, plan.Policy); err != nil {
		a.Close()
		return nil, err
	}
	a.HTTPClient, err = load.NewHTTPClient(tier.CallerURLs(), plan.Load.MaxInflight)
	if err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// Standins implements runningArm.
func (a *tierArm) Standins() *cluster.Cluster { return a.tier.Cluster }

// Close implements runningArm.
func (a *tierArm) Close() {
	if a.HTTPClient != nil {
		a.HTTPClient.Close()
	}
	a.tier.Close()
}
