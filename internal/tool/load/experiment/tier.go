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

// tierSubject is whole hosts in this process, asked over HTTP.
type tierSubject struct {
	*load.HTTPAsker
	tier *embedded.Tier
}

func startTier(ctx context.Context, plan *Plan, arm *Arm) (subject, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tier, err := embedded.Start(ctx, embedded.Options{Hosts: arm.Hosts, Cluster: plan.standins(), Log: log})
	if err != nil {
		return nil, err
	}
	s := &tierSubject{tier: tier}
	if err := publishPolicy(tier.Cluster, plan.Policy); err != nil {
		s.Close()
		return nil, err
	}
	s.HTTPAsker, err = load.NewHTTPAsker(tier.CallerURLs(), plan.Load.MaxInflight)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Standins implements subject.
func (s *tierSubject) Standins() *cluster.Cluster { return s.tier.Cluster }

// Close implements subject.
func (s *tierSubject) Close() {
	if s.HTTPAsker != nil {
		s.HTTPAsker.Close()
	}
	s.tier.Close()
}
