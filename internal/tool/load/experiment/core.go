package experiment

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// coreArm runs the entry and dispatch roles of hosts in this process, without
// the callers' HTTP. The hosts are connected by peer links.
type coreArm struct {
	standins *cluster.Cluster
	hosts    []*coreHost
	next     atomic.Uint64
}

// readFleet parses the document that the stand-ins publish.
func readFleet(standins *cluster.Cluster) (*config.Fleet, error) {
	return config.Parse(standins.Platform.Document())
}

func startCore(ctx context.Context, plan *Plan, arm *Arm) (runningArm, error) {
	standins, err := startStandins(plan)
	if err != nil {
		return nil, err
	}
	a := &coreArm{standins: standins}
	if err := a.start(ctx, arm); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (a *coreArm) start(ctx context.Context, arm *Arm) error {
	fleet, err := readFleet(a.standins)
	if err != nil {
		return err
	}
	for _, hosts := range splitHosts(fixture.Hosts(loopback.Addrs(arm.Hosts)...), arm.Groups) {
		for i := range hosts.Hosts {
			host, err := startCoreHost(ctx, fleet, hosts, &hosts.Hosts[i], arm.Direct)
			if err != nil {
				return err
			}
			a.hosts = append(a.hosts, host)
		}
	}
	return nil
}

// splitHosts distributes the hosts over n lists in turn. Zero yields one list.
func splitHosts(all *model.HostList, n int) []*model.HostList {
	lists := make([]*model.HostList, max(n, 1))
	for i := range lists {
		lists[i] = &model.HostList{Revision: all.Revision}
	}
	for i, host := range all.Hosts {
		list := lists[i%len(lists)]
		list.Hosts = append(list.Hosts, host)
	}
	return lists
}

// Ask implements load.Client.
func (a *coreArm) Ask(ctx context.Context, q *load.Query) load.Outcome {
	number := a.next.Add(1)
	host := a.hosts[number%uint64(len(a.hosts))]
	answer, failure := host.executor.Execute(ctx, &query.Request{
		RequestID: fmt.Sprint(number), Caller: q.Caller, Workload: q.Workload, Body: q.Body,
		Deadline: time.Now().Add(q.Deadline), Idempotent: true,
	})
	if failure != nil {
		return load.Outcome{Verdict: failure.Verdict, Reason: failure.Reason, RetryAfter: failure.RetryAfter}
	}
	outcome := load.Outcome{
		Answered: true, Verdict: verdict.Ran, Extra: answer.ExtraSubrequests,
		Covered: len(answer.Coverage.Answered),
		Shards:  len(answer.Coverage.Answered) + len(answer.Coverage.Missing),
		Missing: make(map[verdict.Reason]int),
	}
	for _, missing := range answer.Coverage.Missing {
		outcome.Missing[missing.Reason]++
	}
	return outcome
}

// Standins implements runningArm.
func (a *coreArm) Standins() *cluster.Cluster { return a.standins }

// Close implements runningArm.
func (a *coreArm) Close() {
	for _, host := range a.hosts {
		host.close()
	}
	a.standins.Close()
}
