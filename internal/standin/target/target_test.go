package target

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/content"
	wire "github.com/swiftvane/swiftvane/internal/targets/target"
)

const (
	dialTimeout  = 5 * time.Second
	testDeadline = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, settings Settings) (*Target, wire.Conn) {
	t.Helper()
	settings.ID = "t1"
	settings.Seed = 1
	target, err := Start(settings)
	require.NoError(t, err)
	t.Cleanup(target.Close)
	return target, dial(t, target)
}

func dial(t *testing.T, target *Target) wire.Conn {
	t.Helper()
	conn, err := wire.NewHTTPDialer().Dial(t.Context(), targetModel(target), dialTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func targetModel(target *Target) *model.Target {
	return &model.Target{ID: target.ID(), Addr: target.Addr()}
}

func batchOf(n int) []wire.Exchange {
	batch := make([]wire.Exchange, n)
	for i := range batch {
		batch[i] = wire.Exchange{ID: uint64(i + 1), Request: &subquery.Request{
			RequestID: fmt.Sprint("r", i), Workload: "w", Service: "s", Shard: model.ShardID(fmt.Sprint("s", i)),
			Snapshot: 1, Body: []byte(`{"q":1}`), Idempotent: true, Deadline: time.Now().Add(testDeadline),
		}}
	}
	return batch
}

func TestSearchAnswersEachExchangeInOrder(t *testing.T) {
	target, conn := start(t, Settings{Faults: Faults{LatencyMedianUS: 100, LatencySigma: 0.5}})
	batch := batchOf(5)
	for i, answer := range conn.Search(t.Context(), batch) {
		require.True(t, answer.OK(), answer.Message)
		require.Equal(t, verdict.Ran, answer.Verdict)
		require.Equal(t, model.SnapshotID(1), answer.Snapshot)
		require.Equal(t, content.Answer("w", batch[i].Request.Shard, 1, batch[i].Request.Body), answer.Body)
	}
	require.False(t, conn.Broken())
	report := target.Runs("r3")
	require.Equal(t, 5, report.Finished)
	require.Equal(t, []Run{{RequestID: "r3", Workload: "w", Shard: "s3", Target: "t1", Started: 1, Finished: 1}}, report.Runs)
}

func TestDamagedReplyGivesUnknownAndBreaksConnection(t *testing.T) {
	for fault, want := range map[ReplyFault]verdict.Reason{
		ReplySwapped:   verdict.ReplyMismatch,
		ReplyRepeated:  verdict.ReplyMismatch,
		ReplyShort:     verdict.ReplyTruncated,
		ReplyTruncated: verdict.ReplyTruncated,
		ReplyCut:       verdict.ReplyTruncated,
	} {
		t.Run(string(fault), func(t *testing.T) {
			_, conn := start(t, Settings{Faults: Faults{Reply: fault, ReplyShare: 1}})
			for _, answer := range conn.Search(t.Context(), batchOf(3)) {
				require.Equal(t, verdict.Unknown, answer.Verdict)
				require.Equal(t, want, answer.Reason, answer.Message)
				require.Empty(t, answer.Body)
			}
			require.True(t, conn.Broken())
			again := conn.Search(t.Context(), batchOf(1))
			require.Equal(t, verdict.NotRun, again[0].Verdict, "a broken connection sends nothing")
		})
	}
}

func TestReplyOfAnotherRequestIsRejected(t *testing.T) {
	target, first := start(t, Settings{Faults: Faults{Reply: ReplyCrossed}})
	require.True(t, first.Search(t.Context(), batchOf(1))[0].OK())
	require.NoError(t, target.SetFaults(Faults{Reply: ReplyCrossed, ReplyShare: 1}))
	answer := dial(t, target).Search(t.Context(), batchOf(1))[0]
	require.Equal(t, verdict.ReplyMismatch, answer.Reason)
	require.Equal(t, verdict.Unknown, answer.Verdict)
}

func TestRefusedExchangeIsNotRun(t *testing.T) {
	for want, faults := range map[verdict.Reason]Faults{
		verdict.TargetShed:          {ShedShare: 1, RetryAfterMS: 70},
		verdict.TargetLeaving:       {Leaving: true},
		verdict.SnapshotUnavailable: {Snapshots: []model.SnapshotID{2}},
	} {
		t.Run(string(want), func(t *testing.T) {
			target, conn := start(t, Settings{Faults: faults})
			answer := conn.Search(t.Context(), batchOf(1))[0]
			require.Equal(t, verdict.NotRun, answer.Verdict)
			require.Equal(t, want, answer.Reason)
			require.Equal(t, time.Duration(faults.RetryAfterMS)*time.Millisecond, answer.RetryAfter)
			require.Equal(t, faults.Leaving, answer.Load.Leaving)
			require.False(t, conn.Broken())
			require.Zero(t, target.Runs("*").Started)
		})
	}
}

func TestExpiredExchangeIsNotSent(t *testing.T) {
	target, conn := start(t, Settings{})
	batch := batchOf(2)
	batch[0].Request.Deadline = time.Now().Add(-time.Second)
	answers := conn.Search(t.Context(), batch)
	require.Equal(t, verdict.DeadlinePassed, answers[0].Reason)
	require.Equal(t, verdict.NotRun, answers[0].Verdict)
	require.True(t, answers[1].OK())
	require.Equal(t, 1, target.Runs("*").Started)
}

func TestFailedExchangeIsReportedAsRan(t *testing.T) {
	_, conn := start(t, Settings{Faults: Faults{FailShare: 1}})
	answer := conn.Search(t.Context(), batchOf(1))[0]
	require.Equal(t, verdict.Ran, answer.Verdict)
	require.Equal(t, verdict.TargetFailed, answer.Reason)
}

func TestCancelStopsRunningExchangeOfSameDialer(t *testing.T) {
	// A latency of 60 s is longer than the test, so the exchange ends only when cancelled.
	target, err := Start(Settings{ID: "t1", Faults: Faults{LatencyMedianUS: 60_000_000}})
	require.NoError(t, err)
	t.Cleanup(target.Close)
	dialer := wire.NewHTTPDialer()
	searchConn, err := dialer.Dial(t.Context(), targetModel(target), dialTimeout)
	require.NoError(t, err)
	defer func() { _ = searchConn.Close() }()
	cancelConn, err := dialer.Dial(t.Context(), targetModel(target), dialTimeout)
	require.NoError(t, err)
	defer func() { _ = cancelConn.Close() }()

	answers := make(chan *subquery.Answer, 1)
	go func() { answers <- searchConn.Search(t.Context(), batchOf(1))[0] }()
	require.Eventually(t, func() bool { return target.Runs("*").Started == 1 }, testDeadline, time.Millisecond)
	otherDialerConn, err := wire.NewHTTPDialer().Dial(t.Context(), targetModel(target), dialTimeout)
	require.NoError(t, err)
	defer func() { _ = otherDialerConn.Close() }()
	require.NoError(t, otherDialerConn.Cancel(t.Context(), []uint64{1}), "exchange ids of another dialer are accepted without effect")
	require.Zero(t, target.Runs("*").Cancelled)
	require.NoError(t, cancelConn.Cancel(t.Context(), []uint64{1}))
	answer := <-answers
	require.Equal(t, verdict.Cancelled, answer.Reason)
	require.Equal(t, verdict.Ran, answer.Verdict)
	require.False(t, searchConn.Broken())
}

func TestContextEndBreaksConnectionOfFrozenExchange(t *testing.T) {
	target, conn := start(t, Settings{})
	require.NoError(t, target.SetFaults(Faults{Frozen: true}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	answer := conn.Search(ctx, batchOf(1))[0]
	require.Equal(t, verdict.Unknown, answer.Verdict)
	require.Equal(t, verdict.TargetSilent, answer.Reason)
	require.True(t, conn.Broken())
}

func TestSilentConnectionFailsWhileNewOnesWork(t *testing.T) {
	target, old := start(t, Settings{})
	target.SilenceConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, verdict.Unknown, old.Search(ctx, batchOf(1))[0].Verdict)
	require.True(t, dial(t, target).Search(t.Context(), batchOf(1))[0].OK())
}

func TestCrashClosesConnectionsAndTargetRestarts(t *testing.T) {
	target, conn := start(t, Settings{Faults: Faults{CrashBody: "boom", RestartMS: 50}})
	batch := batchOf(1)
	batch[0].Request.Body = []byte(`"boom"`)
	answer := conn.Search(t.Context(), batch)[0]
	require.Equal(t, verdict.Unknown, answer.Verdict)
	require.Equal(t, verdict.TargetUnreachable, answer.Reason)
	require.Eventually(t, func() bool {
		again, err := wire.NewHTTPDialer().Dial(t.Context(), targetModel(target), dialTimeout)
		if err != nil {
			return false
		}
		defer func() { _ = again.Close() }()
		return again.Search(t.Context(), batchOf(1))[0].OK()
	}, testDeadline, 10*time.Millisecond)
	require.Equal(t, 1, target.Runs("*").Crashes)
}

func TestConnectionClosedWhileIdleGivesNotRun(t *testing.T) {
	target, conn := start(t, Settings{Faults: Faults{RestartMS: 1}})
	target.Crash()
	// No request has the id "", so the report holds only totals.
	require.Eventually(t, func() bool { return target.Runs("").OpenConnections == 0 }, testDeadline, time.Millisecond)
	answer := conn.Search(t.Context(), batchOf(1))[0]
	require.Equal(t, verdict.NotRun, answer.Verdict)
	require.Equal(t, verdict.TargetUnreachable, answer.Reason)
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	target, _ := start(t, Settings{MaxConnections: 1})
	_, err := wire.NewHTTPDialer().Dial(t.Context(), targetModel(target), dialTimeout)
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	report := target.Runs("")
	require.Equal(t, 1, report.PeakConnections)
	require.Equal(t, 1, report.RefusedConnections)
}

func TestWrongSnapshotIsReportedInAnswer(t *testing.T) {
	_, conn := start(t, Settings{Faults: Faults{WrongSnapshot: 9}})
	answer := conn.Search(t.Context(), batchOf(1))[0]
	require.Equal(t, model.SnapshotID(9), answer.Snapshot)
	require.Equal(t, content.Answer("w", "s0", 9, []byte(`{"q":1}`)), answer.Body)
}

func TestHealthFaultOverridesProbeOnly(t *testing.T) {
	target, conn := start(t, Settings{Faults: Faults{Leaving: true, Health: AlwaysHealthy}})
	load, err := conn.Probe(t.Context())
	require.NoError(t, err)
	require.False(t, load.Leaving)
	require.Equal(t, verdict.TargetLeaving, conn.Search(t.Context(), batchOf(1))[0].Reason)
	require.NoError(t, target.SetFaults(Faults{Health: AlwaysUnhealthy}))
	load, err = conn.Probe(t.Context())
	require.NoError(t, err)
	require.True(t, load.Leaving)
	require.True(t, conn.Search(t.Context(), batchOf(1))[0].OK())
}

func TestInvalidFaultsAreRefused(t *testing.T) {
	target, _ := start(t, Settings{})
	require.ErrorContains(t, target.SetFaults(Faults{ShedShare: 2}), "shed_share")
	require.ErrorContains(t, target.SetFaults(Faults{Reply: "odd"}), "reply")
}

func TestDeadlinePassedDuringExchangeIsNotReportedAsLostConnection(t *testing.T) {
	target, conn := start(t, Settings{})
	require.NoError(t, target.SetFaults(Faults{Frozen: true}))
	batch := batchOf(1)
	batch[0].Request.Deadline = time.Now().Add(50 * time.Millisecond)
	answer := conn.Search(t.Context(), batch)[0]
	require.Equal(t, verdict.Unknown, answer.Verdict)
	require.Equal(t, verdict.DeadlinePassed, answer.Reason, "a lost connection would count as a crash of the target")
	require.True(t, conn.Broken())
}
