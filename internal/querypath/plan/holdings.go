package plan

import (
	"sync"
	"sync/atomic"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
)

// Holdings tracks the range of snapshots of each workload that each target last
// reported. Reads take no lock. It is safe for concurrent use.
type Holdings struct {
	// spans maps holdingKey to *holding.
	spans   sync.Map
	changes atomic.Uint64
}

type holdingKey struct {
	workload model.WorkloadName
	target   model.TargetID
}

// holding is the last reported span. Its pointer is replaced only if the span
// changes.
type holding struct {
	span atomic.Pointer[span]
}

// span is an inclusive range of snapshots.
type span struct {
	oldest, newest model.SnapshotID
}

// NewHoldings returns a Holdings without reports.
func NewHoldings() *Holdings { return &Holdings{} }

// Observe records the load report of an answer. It ignores a report without
// snapshots.
func (h *Holdings) Observe(w model.WorkloadName, t model.TargetID, load *subquery.Load) {
	if load.Newest == 0 {
		return
	}
	key := holdingKey{workload: w, target: t}
	entry, ok := h.spans.Load(key)
	if !ok {
		entry, _ = h.spans.LoadOrStore(key, &holding{})
	}
	held := entry.(*holding)
	now := span{oldest: load.Oldest, newest: load.Newest}
	if old := held.span.Load(); old != nil && *old == now {
		return
	}
	held.span.Store(&now)
	h.changes.Add(1)
}

// Holds reports whether target t may hold the snapshot. This is true for a target
// without a report.
func (h *Holdings) Holds(w model.WorkloadName, t model.TargetID, s model.SnapshotID) bool {
	entry, ok := h.spans.Load(holdingKey{workload: w, target: t})
	if !ok {
		return true
	}
	held := entry.(*holding).span.Load()
	return held == nil || (held.oldest <= s && s <= held.newest)
}

// Changes returns the number of changed reports so far.
func (h *Holdings) Changes() uint64 { return h.changes.Load() }

// Forget removes the reports of targets for which known returns false, so that
// memory use is bounded by the published targets.
func (h *Holdings) Forget(known func(model.TargetID) bool) {
	h.spans.Range(func(key, _ any) bool {
		if !known(key.(holdingKey).target) {
			h.spans.Delete(key)
		}
		return true
	})
}
