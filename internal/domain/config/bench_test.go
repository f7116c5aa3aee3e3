package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// largeDocument returns a document with 7,900 targets in one workload, two per
// shard.
func largeDocument(tb testing.TB) *Document {
	tb.Helper()
	const targets = 7900
	doc := &Document{Revision: 1, Keys: map[string]json.RawMessage{}}
	set := func(key string, value any) {
		raw, err := json.Marshal(value)
		require.NoError(tb, err)
		doc.Keys[key] = raw
	}
	set(KeyDefaults, Policy{
		DeadlineDefaultMS: 1000, DeadlineMaxMS: 10_000, StragglerWaitMS: 500, MinCoverage: 0.9, HedgeQuantile: 0.95,
		HedgeBudget: 0.05, RetryBudget: 0.1, CallerRate: 100, CallerBurst: 10, CallerInflight: 10, MaxBodyBytes: 1 << 20,
	})
	set(PrefixWorkload+"sweep", Workload{Idempotent: true})
	shards := model.ShardMap{Snapshot: 1}
	for i := range targets {
		id := model.TargetID(fmt.Sprintf("target-%05d", i))
		set(PrefixTarget+string(id), model.Target{
			ID: id, Addr: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&0xff), Region: "r", FailureDomain: "d", Slots: 2, MaxConnections: 25,
		})
		if i%2 == 0 {
			name := fmt.Sprintf("s%05d", i)
			shards.Shards = append(shards.Shards, model.Shard{ID: model.ShardID(name), Service: model.ServiceName(name)})
		}
		last := &shards.Shards[len(shards.Shards)-1]
		last.Replicas = append(last.Replicas, id)
	}
	set(PrefixIndex+"sweep", model.Index{Snapshots: []model.ShardMap{shards}})
	return doc
}

func BenchmarkParse7900Targets(b *testing.B) {
	doc := largeDocument(b)
	for b.Loop() {
		if _, err := Parse(doc); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDigest7900Targets(b *testing.B) {
	doc := largeDocument(b)
	for b.Loop() {
		Digest(doc.Keys)
	}
}

// BenchmarkChange7900Targets measures the cost of one changed key for a host that
// receives it as a delta.
func BenchmarkChange7900Targets(b *testing.B) {
	doc := largeDocument(b)
	digest := Digest(doc.Keys)
	fleet, err := ParseIncremental(doc, nil, digest)
	require.NoError(b, err)
	next := &Document{Revision: 2, Keys: maps.Clone(doc.Keys)}
	next.Keys[PrefixWorkload+"sweep"] = json.RawMessage(`{"idempotent":false}`)
	delta := Diff(doc, next)
	for b.Loop() {
		changed, err := delta.ApplyWithDigest(doc, digest)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ParseIncremental(changed, fleet, delta.ToDigest); err != nil {
			b.Fatal(err)
		}
	}
}
