package experiment

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/config"
	"github.com/swiftvane/swiftvane/internal/dispatch"
	"github.com/swiftvane/swiftvane/internal/load"
	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/ownership"
	"github.com/swiftvane/swiftvane/internal/query"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/target"
	"github.com/swiftvane/swiftvane/internal/verdict"
	"github.com/swiftvane/swiftvane/internal/view"
)

// stopTimeout bounds the wait for exchanges when an arm ends.
const stopTimeout = 5 * time.Second

// coreSubject is the entry and dispatch roles of one host, without HTTP.
type coreSubject struct {
	executor *query.Executor
	local    *dispatch.Local
	next     atomic.Uint64
}

// fixedView is a view.Source whose view does not change.
type fixedView struct{ view *view.View }

// Current implements view.Source.
func (f *fixedView) Current() *view.View { return f.view }

// readFleet checks the published document.
func readFleet(standins *cluster.Cluster) (*config.Fleet, error) {
	return config.Parse(standins.Platform.Document())
}

func startCore(standins *cluster.Cluster, arm *Arm) (subject, error) {
	if arm.Hosts != 1 {
		return nil, fmt.Errorf("hosts: %d, a core arm has one", arm.Hosts)
	}
	fleet, err := readFleet(standins)
	if err != nil {
		return nil, err
	}
	hosts := fixture.Hosts("127.0.0.1:1")
	views := &fixedView{view: &view.View{
		Self: hosts.Hosts[0], Fleet: fleet, Hosts: hosts,
		Owners:         ownership.Build(hosts.Hosts, fleet.Targets),
		LeavingTargets: make(map[model.TargetID]struct{}),
		BuiltAt:        time.Now(),
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &coreSubject{local: dispatch.NewLocal(dispatch.Options{
		Views: views, Dialer: target.NewHTTPDialer(), Scope: tally.NoopScope, Log: log, Direct: arm.Direct,
	})}
	s.local.Start()
	router := dispatch.NewRouter(dispatch.RouterOptions{Views: views, Local: s.local, Scope: tally.NoopScope})
	s.executor = query.New(query.Options{Views: views, Dispatcher: router, Scope: tally.NoopScope, Log: log})
	return s, nil
}

// Ask implements load.Asker.
func (s *coreSubject) Ask(ctx context.Context, q *load.Query) load.Outcome {
	answer, failure := s.executor.Execute(ctx, &query.Request{
		RequestID: fmt.Sprint(s.next.Add(1)), Caller: q.Caller, Workload: q.Workload, Body: q.Body,
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

// Close implements subject.
func (s *coreSubject) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.local.Stop(ctx)
}
