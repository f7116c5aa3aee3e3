package scatter

import (
	"sync"
	"sync/atomic"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Table holds the TargetStats of every target. Reads take no lock.
type Table struct {
	targets atomic.Pointer[map[model.TargetID]*TargetStats]
	// grow serializes additions, which happen once for each new target.
	grow sync.Mutex
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.targets.Store(&map[model.TargetID]*TargetStats{})
	return t
}

// Get returns the stats of a target, adding it if it is new.
func (t *Table) Get(id model.TargetID) *TargetStats {
	if s, ok := (*t.targets.Load())[id]; ok {
		return s
	}
	return t.add([]model.TargetID{id})[id]
}

// Ensure adds every replica of the shards that is missing.
func (t *Table) Ensure(shards []model.Shard) {
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

func (t *Table) add(ids []model.TargetID) map[model.TargetID]*TargetStats {
	t.grow.Lock()
	defer t.grow.Unlock()
	old := *t.targets.Load()
	grown := make(map[model.TargetID]*TargetStats, len(old)+len(ids))
	for id, s := range old {
		grown[id] = s
	}
	for _, id := range ids {
		if _, ok := grown[id]; !ok {
			grown[id] = &TargetStats{}
		}
	}
	t.targets.Store(&grown)
	return grown
}

// Retain drops the targets that known does not report.
func (t *Table) Retain(known func(model.TargetID) bool) {
	t.grow.Lock()
	defer t.grow.Unlock()
	kept := make(map[model.TargetID]*TargetStats)
	for id, s := range *t.targets.Load() {
		if known(id) {
			kept[id] = s
		}
	}
	t.targets.Store(&kept)
}
