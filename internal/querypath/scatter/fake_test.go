package scatter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDispatcher is a subquery.Dispatcher that calls answer for each sub-request,
// which returns the answer and the delay before it.
type fakeDispatcher struct {
	answer func(req *subquery.Request) (*subquery.Answer, time.Duration)

	mu        sync.Mutex
	sent      []*subquery.Request
	sentAt    []time.Time
	cancelled []model.TargetID
}

func (s *fakeDispatcher) Submit(req *subquery.Request, done func(*subquery.Answer)) func() {
	s.mu.Lock()
	s.sent = append(s.sent, req)
	s.sentAt = append(s.sentAt, time.Now())
	s.mu.Unlock()
	a, delay := s.answer(req)
	var once sync.Once
	timer := time.AfterFunc(delay, func() { once.Do(func() { done(a) }) })
	return func() {
		timer.Stop()
		once.Do(func() {
			s.mu.Lock()
			s.cancelled = append(s.cancelled, req.Target)
			s.mu.Unlock()
			done(&subquery.Answer{Verdict: verdict.Unknown, Reason: verdict.Cancelled})
		})
	}
}

// submitFunc adapts a function to subquery.Dispatcher.
type submitFunc func(req *subquery.Request, done func(*subquery.Answer)) func()

func (f submitFunc) Submit(req *subquery.Request, done func(*subquery.Answer)) func() {
	return f(req, done)
}

// sentTo returns the number of sub-requests sent to target t.
func (s *fakeDispatcher) sentTo(t model.TargetID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, req := range s.sent {
		if req.Target == t {
			n++
		}
	}
	return n
}

// noAnswerDelay is longer than every deadline of these tests.
const noAnswerDelay = time.Hour

func okAnswer(req *subquery.Request) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Ran, Snapshot: req.Snapshot, Body: []byte(req.Shard)}
}

func failedAnswer(v verdict.Verdict, r verdict.Reason) *subquery.Answer {
	return &subquery.Answer{Verdict: v, Reason: r}
}

// replica returns the id of the n-th replica of a shard of testPlan, both counted
// from 0.
func replica(shard, n int) model.TargetID {
	return model.TargetID(fmt.Sprintf("t%d-%d", shard, n))
}

// testPlan returns a plan for snapshot 1 with the given numbers of shards and of
// replicas per shard. Each shard has its own service.
func testPlan(shards, replicas int, policy config.Policy) *plan.Plan {
	p := &plan.Plan{View: &view.View{}, Workload: "w", Snapshot: 1, Policy: policy}
	for i := range shards {
		sh := model.Shard{ID: model.ShardID(fmt.Sprintf("s%d", i)), Service: model.ServiceName(fmt.Sprintf("svc%d", i))}
		for n := range replicas {
			sh.Replicas = append(sh.Replicas, replica(i, n))
		}
		p.Shards = append(p.Shards, sh)
	}
	return p
}

func testPolicy() config.Policy {
	return config.Policy{
		StragglerWaitMS: 60000, MinCoverage: 1, HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.1,
	}
}

// newTestScatterer returns a Scatterer with a fakeDispatcher.
func newTestScatterer(answer func(req *subquery.Request) (*subquery.Answer, time.Duration)) (*Scatterer, *fakeDispatcher, tally.TestScope) {
	d := &fakeDispatcher{answer: answer}
	scope := tally.NewTestScope("", nil)
	s := New(Options{
		Dispatcher: d, Holdings: plan.NewHoldings(), Gather: gather.NewCounters(scope), Scope: scope,
	})
	return s, d, scope
}

func runQuery(s *Scatterer, p *plan.Plan, idempotent bool, timeout time.Duration) *Outcome {
	return s.Run(context.Background(), &Request{
		RequestID: "r", Body: []byte("q"), Deadline: time.Now().Add(timeout), Idempotent: idempotent, Plan: p,
	})
}
