package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
)

const (
	keyDefaults   = "defaults"
	shardReplicas = 2
)

// documentOf returns a document with the given number of targets in one workload,
// two per shard, spread over the regions of size.
func documentOf(revision model.Revision, targets int, size *Size) (*config.Document, error) {
	m := model.ShardMap{Snapshot: 1}
	values := map[string]any{
		keyDefaults:       defaultsOf(revision),
		"workloads/sweep": config.Workload{Description: "measured", Idempotent: true},
	}
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("target-%05d", i))
		host := hostAt(i, "", size)
		values["targets/"+string(id)] = model.Target{
			ID: id, Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&0xff, i>>8&0xff, i&0xff),
			Region: host.Region, FailureDomain: host.FailureDomain, Slots: size.TargetSlots, MaxConnections: 25,
		}
		if i%shardReplicas == 0 {
			name := fmt.Sprintf("service-%05d", i/shardReplicas)
			m.Shards = append(m.Shards, model.Shard{ID: model.ShardID(name), Service: model.ServiceName(name)})
		}
		last := &m.Shards[len(m.Shards)-1]
		last.Replicas = append(last.Replicas, id)
	}
	values["index/sweep"] = model.Index{Snapshots: []model.ShardMap{m}}
	doc := &config.Document{Revision: revision, Keys: make(map[string]json.RawMessage, len(values))}
	for key, value := range values {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		doc.Keys[key] = raw
	}
	return doc, nil
}

// defaultsOf returns default policies that differ from one revision to the next.
func defaultsOf(revision model.Revision) config.Policy {
	policy := fixture.Defaults()
	policy.CallerBurst = int(revision)
	return policy
}

// nextDocument returns doc at the next revision with one key changed.
func nextDocument(doc *config.Document) (*config.Document, error) {
	next := &config.Document{Revision: doc.Revision + 1, Keys: make(map[string]json.RawMessage, len(doc.Keys))}
	for key, value := range doc.Keys {
		next.Keys[key] = value
	}
	raw, err := json.Marshal(defaultsOf(next.Revision))
	if err != nil {
		return nil, err
	}
	next.Keys[keyDefaults] = raw
	return next, nil
}
