package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/standin/httpserve"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

func TestMain(m *testing.M) {
	// fasthttp's connection cleaner goroutine ends up to 10 s after the client's
	// last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

const validRun = `
name = "steady"
urls = ["http://127.0.0.1:1"]
rate = 200.0
duration = "300ms"
deadline_ms = 1000
seed = 7
[[mix]]
workload = "diff-review"
weight = 3
caller = "desk"
body = '{"sweep":true}'
[[mix]]
workload = "audit-archive"
weight = 1
caller = "clerk"
body = '1'
idempotent = false
`

func parse(t *testing.T) *Run {
	t.Helper()
	run, err := ParseRun([]byte(validRun))
	require.NoError(t, err)
	return run
}

func TestInvalidRunErrorNamesField(t *testing.T) {
	for field, edit := range map[string][2]string{
		"unknown key": {"seed = 7", "speed = 7"},
		"Rate":        {"rate = 200.0", "rate = -1.0"},
		"Arrivals":    {"seed = 7", `arrivals = "sometimes"`},
		"Duration":    {`duration = "300ms"`, ""},
		"queries":     {`duration = "300ms"`, "duration = \"1h\"\nwarmup = \"1h\"\narrivals = \"constant\"\n"},
		"Weight":      {"weight = 3", "weight = 0"},
		"Body":        {"body = '1'", "body = '{'"},
		"2h":          {`"300ms"`, `"2h"`},
	} {
		t.Run(field, func(t *testing.T) {
			text := bytes.Replace([]byte(validRun), []byte(edit[0]), []byte(edit[1]), 1)
			if field == "queries" {
				text = bytes.Replace(text, []byte("rate = 200.0"), []byte("rate = 10000.0"), 1)
			}
			_, err := ParseRun(text)
			require.ErrorContains(t, err, field)
		})
	}
}

func TestCheckLoopbackRejectsOtherAddresses(t *testing.T) {
	run := parse(t)
	require.NoError(t, run.CheckLoopback())
	for _, url := range []string{"http://10.1.2.3:80", "http://example.org"} {
		run.URLs = []string{url}
		require.ErrorContains(t, run.CheckLoopback(), url)
	}
}

func TestArrivalsAreRepeatableForSeedAndKeepRate(t *testing.T) {
	run := parse(t)
	const n = 20_000
	sequence := func() (last time.Duration, reviews int) {
		a := newArrivals(run)
		for range n {
			last = a.next()
			if a.pick().Workload == "diff-review" {
				reviews++
			}
		}
		return last, reviews
	}
	last, reviews := sequence()
	lastAgain, reviewsAgain := sequence()
	require.Equal(t, last, lastAgain)
	require.Equal(t, reviews, reviewsAgain)
	require.InEpsilon(t, n/run.Rate, last.Seconds(), 0.05)
	require.InEpsilon(t, 0.75, float64(reviews)/n, 0.05)
}

// blockingClient answers no query until unblock is closed.
type blockingClient struct {
	unblock chan struct{}
	mu      sync.Mutex
	calls   int
	last    Query
}

func (b *blockingClient) Ask(_ context.Context, q *Query) Outcome {
	b.mu.Lock()
	b.calls++
	b.last = *q
	b.mu.Unlock()
	<-b.unblock
	return Outcome{Answered: true, Verdict: verdict.Ran, Shards: 4, Covered: 3, Extra: 1, Missing: map[verdict.Reason]int{verdict.TargetSilent: 1}}
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	run := parse(t)
	run.Arrivals = Constant
	run.MaxInflight = 40
	client := &blockingClient{unblock: make(chan struct{})}
	time.AfterFunc(2*time.Second, func() { close(client.unblock) })
	report, err := Generate(t.Context(), run, client, nil)
	require.NoError(t, err)
	require.Equal(t, 59, report.Offered, "one arrival every 5 ms within 300 ms")
	require.Equal(t, 40, report.Sent)
	require.Equal(t, 19, report.NotSent)
	require.Equal(t, 40, report.Summary.Answers)
	require.Greater(t, report.Summary.AnswerLatency.P50, 600.0, "latency is measured from the intended arrival")
	require.InDelta(t, 0.75, report.Summary.Coverage.Mean, 1e-9)
	require.InDelta(t, 0.25, report.Summary.ExtraLoad, 1e-9)
	require.Zero(t, report.Summary.Coverage.FullShare)
	require.Equal(t, map[verdict.Reason]int{verdict.TargetSilent: 40}, report.Summary.Missing)
	require.Equal(t, 40, report.Workloads["diff-review"].Answers+report.Workloads["audit-archive"].Answers)
}

func TestWarmupIsNotReported(t *testing.T) {
	run := parse(t)
	run.Arrivals = Constant
	run.Warmup = Duration(200 * time.Millisecond)
	run.Duration = Duration(100 * time.Millisecond)
	client := &blockingClient{unblock: make(chan struct{})}
	close(client.unblock)
	report, err := Generate(t.Context(), run, client, nil)
	require.NoError(t, err)
	require.Equal(t, 59, client.calls)
	require.Equal(t, 20, report.Offered)
	require.Equal(t, 20, report.Summary.Answers)
}

// serve runs an HTTP server with handler on a loopback port and returns its URL.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		httpserve.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			ctx.SetConnectionClose()
			handler(ctx)
		})
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return "http://" + listener.Addr().String()
}

func TestHTTPResponseIsDecodedToOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
		want   Outcome
	}{
		"answer": {200, `{"coverage":{"shards":3,"answered":2,"missing":[{"reason":"target_shed"}]},"extra_subrequests":4}`,
			Outcome{Answered: true, Verdict: verdict.Ran, Shards: 3, Covered: 2, Extra: 4, Missing: map[verdict.Reason]int{verdict.TargetShed: 1}}},
		"refusal": {429, `{"verdict":"not_run","reason":"caller_rate_limited","retry_after_ms":50}`,
			Outcome{Verdict: verdict.NotRun, Reason: verdict.CallerRateLimited, RetryAfter: 50 * time.Millisecond}},
		"malformed answer":     {200, `[`, Outcome{Reason: BadResponse}},
		"error without reason": {500, `{}`, Outcome{Reason: BadResponse}},
	} {
		t.Run(name, func(t *testing.T) {
			var got callerapi.Query
			url := serve(t, func(ctx *fasthttp.RequestCtx) {
				_ = json.Unmarshal(ctx.PostBody(), &got)
				ctx.SetStatusCode(test.status)
				ctx.SetBodyString(test.body)
			})
			client, err := NewHTTPClient([]string{url}, 1)
			require.NoError(t, err)
			defer client.Close()
			outcome := client.Ask(t.Context(), &Query{Workload: "w", Body: json.RawMessage(`{"q":1}`), Deadline: time.Minute})
			require.Equal(t, test.want, outcome)
			require.Equal(t, callerapi.Query{Workload: "w", Body: json.RawMessage(`{"q":1}`), DeadlineMS: callerapi.Deadline(time.Minute)}, got)
		})
	}
}

// TestBrokenAnswerYieldsNoResponse guards against reports that count as answered what the protocol
// forbids in an answer.
func TestBrokenAnswerYieldsNoResponse(t *testing.T) {
	for name, raw := range rawserver.Broken("", `{"coverage":{"shards":3,"answered":3}}`) {
		server, err := rawserver.Start(func(*http.Request, []byte) ([]byte, bool) { return raw, true })
		require.NoError(t, err)
		client, err := NewHTTPClient([]string{"http://" + server.Addr()}, 1)
		require.NoError(t, err)
		outcome := client.Ask(t.Context(), &Query{Body: json.RawMessage(`1`), Deadline: time.Minute})
		require.Equal(t, Outcome{Reason: NoResponse}, outcome, name)
		client.Close()
		server.Close()
	}
}

func TestUnreachableHostYieldsNoResponse(t *testing.T) {
	client, err := NewHTTPClient([]string{"http://127.0.0.1:1"}, 1)
	require.NoError(t, err)
	outcome := client.Ask(t.Context(), &Query{Body: json.RawMessage(`1`), Deadline: time.Second})
	require.Equal(t, Outcome{Reason: NoResponse}, outcome)
}

func TestCommandWritesReportAndPlot(t *testing.T) {
	url := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"coverage":{"shards":2,"answered":2}}`)
	})
	dir := t.TempDir()
	runFile := filepath.Join(dir, "run.toml")
	require.NoError(t, os.WriteFile(runFile, []byte(validRun), 0o600))
	out, plotFile := filepath.Join(dir, "report.json"), filepath.Join(dir, "report.svg")
	cmd := NewCommand()
	cmd.SetErr(new(bytes.Buffer))
	cmd.SetArgs([]string{runFile, "--url", url, "--out", out, "--plot", plotFile})
	require.NoError(t, cmd.ExecuteContext(t.Context()))
	raw, err := os.ReadFile(out)
	require.NoError(t, err)
	var report Report
	require.NoError(t, json.Unmarshal(raw, &report))
	require.Positive(t, report.Summary.Answers)
	require.Equal(t, report.Offered, report.Summary.Answers)
	svg, err := os.ReadFile(plotFile)
	require.NoError(t, err)
	require.Contains(t, string(svg), "<svg")
}
