package experiment

import (
	"context"
	"errors"

	"github.com/swiftvane/swiftvane/internal/standin/cluster"
)

func startTier(context.Context, *Plan, *cluster.Cluster, *Arm) (subject, error) {
	return nil, errors.New("not yet")
}
