package target

import (
	"bytes"
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/content"
	"github.com/swiftvane/swiftvane/internal/support/wait"
	wire "github.com/swiftvane/swiftvane/internal/targets/target"
)

// run runs one exchange and returns its answer. The exchange's time left counts
// from received.
func (t *Target) run(item *wire.SearchItem, received time.Time) wire.AnswerItem {
	deadline := received.Add(time.Duration(item.TimeLeftMicros) * time.Microsecond)
	state := t.faults.Load()
	if reason := t.refusal(item, state, deadline); reason != "" {
		return t.refuse(item, reason)
	}
	ctx, done := t.track(item.ExchangeID)
	defer done()
	if reason := t.acquire(ctx, deadline); reason != "" {
		return t.refuse(item, reason)
	}
	defer t.release()
	key := runKey{request: item.RequestID, workload: item.Workload, shard: item.Shard}
	t.runs.start(key)
	if state.CrashBody != "" && bytes.Contains(item.Body, []byte(state.CrashBody)) {
		t.Crash()
		return t.failed(item, verdict.TargetFailed)
	}
	if !wait.For(ctx, t.random.latency(&state.Faults, state.since)) {
		t.runs.cancel()
		return t.failed(item, verdict.Cancelled)
	}
	t.runs.finish(key)
	if t.random.chance(state.FailShare) {
		return t.failed(item, verdict.TargetFailed)
	}
	return t.succeeded(item, state.WrongSnapshot)
}

// refusal returns why the exchange is refused before it queues, or "" if it is
// not.
func (t *Target) refusal(item *wire.SearchItem, state *faultState, deadline time.Time) verdict.Reason {
	switch {
	case state.Leaving:
		return verdict.TargetLeaving
	case t.random.chance(state.ShedShare):
		return verdict.TargetShed
	case !time.Now().Before(deadline):
		return verdict.DeadlinePassed
	case state.WrongSnapshot == 0 && !t.hasSnapshot(item.Snapshot):
		return verdict.SnapshotUnavailable
	default:
		return ""
	}
}

// acquire waits for a slot. It returns why it got none, or "" if it holds one.
func (t *Target) acquire(ctx context.Context, deadline time.Time) verdict.Reason {
	select {
	case t.slots <- struct{}{}:
		t.inflight.Add(1)
		return ""
	default:
	}
	if t.queued.Add(1) > int64(t.settings.QueueLimit) {
		t.queued.Add(-1)
		return verdict.TargetShed
	}
	defer t.queued.Add(-1)
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	select {
	case t.slots <- struct{}{}:
		t.inflight.Add(1)
		return ""
	case <-ctx.Done():
		t.runs.cancel()
		return verdict.Cancelled
	case <-expired.C:
		return verdict.DeadlinePassed
	}
}

func (t *Target) release() {
	t.inflight.Add(-1)
	<-t.slots
}

func (t *Target) refuse(item *wire.SearchItem, reason verdict.Reason) wire.AnswerItem {
	t.runs.refuse()
	answer := wire.AnswerItem{ExchangeID: item.ExchangeID, Status: wire.StatusRefused, Reason: reason, Load: t.load()}
	if reason == verdict.TargetShed {
		answer.RetryAfterMS = t.Faults().RetryAfterMS
	}
	return answer
}

func (t *Target) failed(item *wire.SearchItem, reason verdict.Reason) wire.AnswerItem {
	return wire.AnswerItem{ExchangeID: item.ExchangeID, Status: wire.StatusFailed, Reason: reason, Load: t.load()}
}

// succeeded answers from the requested snapshot, or from wrong if it is set.
func (t *Target) succeeded(item *wire.SearchItem, wrong model.SnapshotID) wire.AnswerItem {
	snapshot := item.Snapshot
	if wrong != 0 {
		snapshot = wrong
	}
	return wire.AnswerItem{
		ExchangeID: item.ExchangeID,
		Status:     wire.StatusOK,
		Snapshot:   snapshot,
		Body:       content.Answer(item.Workload, item.Shard, snapshot, item.Body),
		Load:       t.load(),
	}
}

// reportedLoad returns the load that the load endpoint reports. The Health fault
// overrides the true load.
func (t *Target) reportedLoad() subquery.Load {
	load := t.load()
	switch t.Faults().Health {
	case AlwaysHealthy:
		load.Inflight, load.Queued, load.Leaving = 0, 0, false
	case AlwaysUnhealthy:
		load.Inflight, load.Queued, load.Leaving = t.settings.Slots, t.settings.QueueLimit, true
	}
	return load
}
