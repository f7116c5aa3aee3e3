package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/drain"
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
)

const maxBody = 4096

// fakes implements all components that a Server under test depends on.
type fakes struct {
	mu       sync.Mutex
	executed []*query.Request
	failure  *verdict.Error
	claimErr error
	// unresolved is the number of claims that find the id held without an outcome
	// before claimErr applies.
	unresolved int
	recorded   map[string]claim.Outcome
	released   []string
	ready      *verdict.Error
	// running, if set, is told of each execution, which then lasts until its context ends.
	running chan struct{}
}

func (f *fakes) Execute(ctx context.Context, req *query.Request) (*query.Answer, *verdict.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running != nil {
		f.running <- struct{}{}
		<-ctx.Done()
	}
	f.executed = append(f.executed, req)
	if f.failure != nil {
		return nil, f.failure
	}
	return &query.Answer{
		Snapshot: 7,
		Coverage: gather.Coverage{
			Total:    2,
			Answered: []gather.Answered{{Shard: "a", Service: "a"}},
			Missing:  []gather.Missing{{Shard: "b", Service: "b", Reason: verdict.StragglerSkipped}},
		},
		Results: []gather.Result{{Shard: "a", Service: "a", Body: []byte(`{"x":1}`)}},
		Verdict: verdict.Ran,
	}, nil
}

func (f *fakes) Admit(model.CallerID, *config.Policy) (func(), *verdict.Error) {
	return func() {}, nil
}

func (f *fakes) CheckQuery(caller model.CallerID, _ model.WorkloadName, _ []byte) *verdict.Error {
	if caller == "poison" {
		return verdict.Refuse(verdict.Quarantined, time.Minute, "crashed targets")
	}
	return nil
}

func (f *fakes) Claim(context.Context, requestid.ID, uint64, time.Time) error {
	if f.unresolved > 0 {
		f.unresolved--
		return &claim.Duplicate{}
	}
	return f.claimErr
}

func (f *fakes) Record(id requestid.ID, outcome claim.Outcome) { f.recorded[id.Value] = outcome }

func (f *fakes) Release(id requestid.ID) { f.released = append(f.released, id.Value) }

func (f *fakes) Current() *view.View {
	return &view.View{Fleet: &config.Fleet{
		Defaults: fixture.Defaults(),
		Workloads: map[model.WorkloadName]*config.Workload{
			"search": {Idempotent: true},
			"orders": {Idempotent: false},
		},
	}}
}

func newTestServer(f *fakes) *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.recorded = map[string]claim.Outcome{}
	return NewServer(Options{
		Views: f, Executor: f, Admission: f, Quarantine: f, Claims: f,
		Ready:        func() *verdict.Error { return f.ready },
		MaxBodyBytes: maxBody, MaxDeadline: time.Minute,
		Scope: tally.NoopScope, Log: log,
	})
}

// post sends body as a query and returns the status, Retry-After and the body.
func post(t *testing.T, s *Server, body string, headers ...string) (int, string, []byte) {
	t.Helper()
	req := httptest.NewRequest(http.MethodPost, "/v1/query", bytes.NewBufferString(body))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.app.Test(req, -1)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header.Get("Retry-After"), raw
}

func decodeFailure(t *testing.T, raw []byte) callerapi.Error {
	t.Helper()
	var answer callerapi.Error
	require.NoError(t, json.Unmarshal(raw, &answer), string(raw))
	return answer
}

func TestInvalidInputIsRefusedBeforeExecution(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		reason     verdict.Reason
		field      string
	}{
		{"malformed", `{"workload":`, 400, verdict.BadRequest, wholeRequest},
		{"not an object", `[]`, 400, verdict.BadRequest, wholeRequest},
		{"trailing data", `{"workload":"search","body":1} {}`, 400, verdict.BadRequest, wholeRequest},
		{"wrong type", `{"workload":"search","body":1,"deadline_ms":"soon"}`, 400, verdict.BadRequest, "deadline_ms"},
		{"unknown field", `{"workload":"search","body":1,"idempotant":false}`, 400, verdict.BadRequest, "idempotant"},
		{"no workload", `{"body":1}`, 400, verdict.BadRequest, "workload"},
		{"no body", `{"workload":"search"}`, 400, verdict.BadRequest, "body"},
		{"unknown workload", `{"workload":"sarch","body":1}`, 404, verdict.UnknownWorkload, "workload"},
		{"deadline not positive", `{"workload":"search","body":1,"deadline_ms":0}`, 400, verdict.DeadlineInvalid, "deadline_ms"},
		{"deadline above the limit", `{"workload":"search","body":1,"deadline_ms":10001}`, 400, verdict.DeadlineInvalid, "deadline_ms"},
		{"weaker than published", `{"workload":"orders","body":1,"idempotent":true}`, 400, verdict.BadRequest, "idempotent"},
		{"id without a time", `{"workload":"orders","body":1,"request_id":"order-1"}`, 410, verdict.RequestIDExpired, callerapi.HeaderIssuedAt},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakes{}
			status, _, raw := post(t, newTestServer(f), c.body)
			failure := decodeFailure(t, raw)
			require.Equal(t, c.status, status)
			require.Equal(t, verdict.NotRun, failure.Verdict)
			require.Equal(t, c.reason, failure.Reason)
			require.Equal(t, c.field, failure.Field)
			require.NotEmpty(t, failure.Message)
			require.Empty(t, f.executed)
		})
	}
}

func TestTooLargeRequestIsRefused(t *testing.T) {
	f := &fakes{}
	s := newTestServer(f)
	s.opts.ListenAddr = "127.0.0.1:0"
	require.NoError(t, s.Listen())
	defer func() { require.NoError(t, s.Shutdown(t.Context())) }()
	resp, err := http.Post("http://"+s.Addr()+"/v1/query", "application/json", bytes.NewReader(make([]byte, maxBody+1)))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, 413, resp.StatusCode)
	require.Equal(t, verdict.BodyTooLarge, decodeFailure(t, raw).Reason)
	require.Equal(t, verdict.NotRun, decodeFailure(t, raw).Verdict)
	require.Empty(t, f.executed)
}

func TestAnswerContainsSnapshotAndCoverage(t *testing.T) {
	f := &fakes{}
	status, _, raw := post(t, newTestServer(f), `{"workload":"search","body":{"q":1},"request_id":"r1"}`, callerapi.HeaderCaller, "desk")
	require.Equal(t, 200, status)
	var answer callerapi.Answer
	require.NoError(t, json.Unmarshal(raw, &answer))
	require.Equal(t, "r1", answer.RequestID)
	require.EqualValues(t, 7, answer.Snapshot)
	require.Equal(t, 2, answer.Coverage.Shards)
	require.Equal(t, 1, answer.Coverage.Answered)
	require.Equal(t, []callerapi.Missing{{Shard: "b", Service: "b", Reason: verdict.StragglerSkipped}}, answer.Coverage.Missing)
	require.JSONEq(t, `{"x":1}`, string(answer.Results[0].Body))
	require.Equal(t, model.CallerID("desk"), f.executed[0].Caller)
}

func TestFailedQueryReturnsRetryAfter(t *testing.T) {
	f := &fakes{failure: verdict.Refuse(verdict.CoverageTooLow, 1500*time.Millisecond, "1 of 2 shards")}
	status, retryAfter, raw := post(t, newTestServer(f), `{"workload":"search","body":1}`)
	failure := decodeFailure(t, raw)
	require.Equal(t, 503, status)
	require.Equal(t, "2", retryAfter)
	require.EqualValues(t, 1500, failure.RetryAfterMS)
	require.Equal(t, verdict.NotRun, failure.Verdict)
}

func TestQuarantinedRequestIsRefused(t *testing.T) {
	f := &fakes{}
	status, retryAfter, raw := post(t, newTestServer(f), `{"workload":"search","body":1}`, callerapi.HeaderCaller, "poison")
	require.Equal(t, 422, status)
	require.Equal(t, "60", retryAfter)
	require.Equal(t, verdict.Quarantined, decodeFailure(t, raw).Reason)
	require.Empty(t, f.executed)
}

func TestStoppingAndUnreadyHostsRefuseQueries(t *testing.T) {
	f := &fakes{ready: verdict.Refuse(verdict.HostNotReady, time.Second, "starting")}
	s := newTestServer(f)
	status, _, raw := post(t, s, `{"workload":"search","body":1}`)
	require.Equal(t, 503, status)
	require.Equal(t, verdict.HostNotReady, decodeFailure(t, raw).Reason)
	f.ready = nil
	s.closed.Store(true)
	status, _, raw = post(t, s, `{"workload":"search","body":1}`)
	require.Equal(t, 503, status)
	require.Equal(t, verdict.HostStopping, decodeFailure(t, raw).Reason)
	require.Empty(t, f.executed)
}

// TestQueryThatOutlastsTheStopIsRefused guards against taking a query that the stop would
// end although another host can finish it.
func TestQueryThatOutlastsTheStopIsRefused(t *testing.T) {
	f := &fakes{}
	s := newTestServer(f)
	s.Drain(drain.NewSchedule(time.Now(), time.Second, time.Second))
	status, retryAfter, raw := post(t, s, `{"workload":"orders","body":1,"deadline_ms":9000}`)
	require.Equal(t, 503, status)
	require.Equal(t, "1", retryAfter)
	require.Equal(t, verdict.HostStopping, decodeFailure(t, raw).Reason)
	require.Equal(t, verdict.NotRun, decodeFailure(t, raw).Verdict)
	require.Empty(t, f.executed)

	s.Drain(drain.NewSchedule(time.Now(), time.Minute, time.Minute))
	status, _, _ = post(t, s, `{"workload":"orders","body":1,"deadline_ms":9000}`)
	require.Equal(t, 200, status, "its deadline fits")
}

// TestUnfinishedQueriesAreAnsweredByStop guards against queries that end without an answer
// at the drain limit, and against a false verdict about them.
func TestUnfinishedQueriesAreAnsweredByStop(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.Unknown} {
		f := &fakes{running: make(chan struct{}), failure: &verdict.Error{Verdict: v, Reason: verdict.Cancelled}}
		s := newTestServer(f)
		go func() {
			<-f.running
			s.AnswerUnfinished()
		}()
		_, retryAfter, raw := post(t, s, `{"workload":"orders","body":1,"deadline_ms":9000}`)
		require.Equal(t, v, decodeFailure(t, raw).Verdict)
		require.Equal(t, verdict.HostStopping, decodeFailure(t, raw).Reason)
		require.Equal(t, "1", retryAfter)
		require.EqualValues(t, 1, s.Unfinished())
		require.Equal(t, v == verdict.NotRun, len(f.released) == 1, "the id of a query that has not run is free again")
		require.Equal(t, v == verdict.Unknown, len(f.recorded) == 1)
	}
}
