package scatter

import (
	"sync"
	"sync/atomic"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// TargetTable holds the TargetStats of every target. Reads take no lock.
type TargetTable struct {
	targets atomic.Pointer[map[model.TargetID]*TargetStats]
	// writeMu serializes changes of the map, which is replaced as a whole. Additions
	// are rare: one for each new target.
	writeMu sync.Mutex
}

// NewTargetTable returns an empty table.
func NewTargetTable() *TargetTable {
	t := &TargetTable{}
	t.targets.Store(&map[model.TargetID]*TargetStats{})
	return t
}

// Get returns the stats of a target. It adds a target that is new.
func (t *TargetTable) Get(id model.TargetID) *TargetStats {
	if s, ok := (*t.targets.Load())[id]; ok {
		return s
	}
	return t.add([]model.TargetID{id})[id]
}

// Ensure adds the replicas of the shards that the table does not contain.
func (t *TargetTable) Ensure(shards []model.Shard) {
	known := *t.targets.Load()
	var missing []model.TargetID
	for i := range shards {
		for _, id := range shards[i].Replicas {
			if _, ok := known[id]; !ok {
				missing = append(missing, id)
			}
		}
	}
	if len(missing) > 0 {
		t.add(missing)
	}
}

// add adds the targets and returns the new map.
func (t *TargetTable) add(ids []model.TargetID) map[model.TargetID]*TargetStats {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	old := *t.targets.Load()
	updated := make(map[model.TargetID]*TargetStats, len(old)+len(ids))
	for id, s := range old {
		updated[id] = s
	}
	for _, id := range ids {
		if _, ok := updated[id]; !ok {
			updated[id] = &TargetStats{}
		}
	}
	t.targets.Store(&updated)
	return updated
}

// Retain drops the targets for which known returns false.
func (t *TargetTable) Retain(known func(model.TargetID) bool) {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	kept := make(map[model.TargetID]*TargetStats)
	for id, s := range *t.targets.Load() {
		if known(id) {
			kept[id] = s
		}
	}
	t.targets.Store(&kept)
}
