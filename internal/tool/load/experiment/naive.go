package experiment

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/internal/tool/load"
	"github.com/swiftvane/swiftvane/internal/tool/naive"
)

// naiveArm runs hosts that send every query's sub-requests directly to the
// targets. A query counts as answered only if all shards answered.
type naiveArm struct {
	standins *cluster.Cluster
	hosts    []*naive.Scatter
	next     atomic.Uint64
}

func startNaive(plan *Plan, arm *Arm) (runningArm, error) {
	standins, err := startStandins(plan)
	if err != nil {
		return nil, err
	}
	fleet, err := readFleet(standins)
	if err != nil {
		standins.Close()
		return nil, err
	}
	index := &naive.Index{ShardMap: fleet.Indexes["sweep"].Newest(), Targets: make(map[model.TargetID]*model.Target)}
	for id, t := range fleet.Targets {
		index.Targets[id] = t
	}
	a := &naiveArm{standins: standins}
	for range arm.Hosts {
		a.hosts = append(a.hosts, naive.NewScatter(target.NewHTTPDialer(), index, arm.Hosts))
	}
	return a, nil
}

// Ask implements load.Client.
func (a *naiveArm) Ask(ctx context.Context, q *load.Query) load.Outcome {
	number := a.next.Add(1)
	host := a.hosts[number%uint64(len(a.hosts))]
	results := host.Query(ctx, &naive.Query{
		RequestID: fmt.Sprint(number), Caller: q.Caller, Workload: q.Workload, Body: q.Body,
		Deadline: time.Now().Add(q.Deadline), Idempotent: true,
	})
	outcome := load.Outcome{Verdict: verdict.Ran, Shards: len(results), Missing: make(map[verdict.Reason]int)}
	for _, result := range results {
		if result.Reason == "" {
			outcome.Covered++
		} else {
			outcome.Missing[result.Reason]++
		}
	}
	outcome.Answered = outcome.Covered == outcome.Shards
	if !outcome.Answered {
		outcome.Verdict, outcome.Reason = verdict.Unknown, verdict.CoverageTooLow
	}
	return outcome
}

// Standins implements runningArm.
func (a *naiveArm) Standins() *cluster.Cluster { return a.standins }

// Close implements runningArm.
func (a *naiveArm) Close() {
	for _, host := range a.hosts {
		host.Close()
	}
	a.standins.Close()
}
