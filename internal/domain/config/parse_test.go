package config

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testDefaults = `{"deadline_default_ms":1000,"deadline_max_ms":5000,"straggler_wait_ms":100,"min_coverage":0.9,
"hedge_quantile":0.95,"hedge_budget":0.05,"retry_budget":0.05,"caller_rate":100,"caller_burst":10,"caller_inflight":10,"max_body_bytes":65536}`

// testDocument returns a valid document with the keys in changes replaced; an
// empty value removes the key.
func testDocument(changes map[string]string) *Document {
	values := map[string]string{
		"defaults":         testDefaults,
		"workloads/review": `{"description":"diff review","idempotent":true}`,
		"index/review":     `{"snapshots":[{"snapshot":1,"shards":[{"id":"s1","service":"forms","replicas":["t1","t2"]}]}]}`,
		"targets/t1":       `{"id":"t1","addr":"127.0.0.1:1","region":"r","failure_domain":"d1","slots":2,"max_connections":25}`,
		"targets/t2":       `{"id":"t2","addr":"127.0.0.1:2","region":"r","failure_domain":"d2","slots":2,"max_connections":25}`,
		"exceptions/slow":  `{"workload":"review","caller":"desk","policy":{"deadline_max_ms":9000},"reason":"the desk sweeps wide","owner":"ops","expires":"2030-01-31"}`,
	}
	for key, value := range changes {
		values[key] = value
	}
	doc := &Document{Revision: 7, Keys: make(map[string]json.RawMessage)}
	for key, value := range values {
		if value != "" {
			doc.Keys[key] = json.RawMessage(value)
		}
	}
	return doc
}

func TestParseAcceptsValidDocument(t *testing.T) {
	fleet, err := Parse(testDocument(nil))
	require.NoError(t, err)
	require.Len(t, fleet.Targets, 2)
	before := time.Date(2030, 1, 31, 23, 59, 0, 0, time.UTC)
	require.Equal(t, 9000, fleet.Policy("review", "forms", "desk", before).DeadlineMaxMS)
	require.Equal(t, 5000, fleet.Policy("review", "forms", "desk", before.Add(time.Minute)).DeadlineMaxMS)
	require.Equal(t, 5000, fleet.Policy("review", "forms", "other", before).DeadlineMaxMS)
}

func TestParseReportsPathOfInvalidValue(t *testing.T) {
	exception := func(policy, rest string) string {
		return `{"workload":"review","policy":` + policy + `,` + rest + `}`
	}
	const metadata = `"reason":"a reason that is long enough","owner":"ops","expires":"2030-01-31"`
	cases := map[string]struct{ key, value, path string }{
		"no defaults":          {"defaults", "", "defaults"},
		"incomplete defaults":  {"defaults", `{"deadline_default_ms":1}`, "defaults.min_coverage"},
		"unknown key":          {"limits", `{}`, "limits"},
		"unknown field":        {"workloads/review", `{"idempotent":true,"colour":1}`, "workloads/review.colour"},
		"repeated field":       {"workloads/review", `{"idempotent":true,"idempotent":false}`, "workloads/review.idempotent"},
		"wrong type":           {"workloads/review", `{"idempotent":"yes"}`, "workloads/review.idempotent"},
		"fraction":             {"targets/t1", `{"id":"t1","addr":"h:1","region":"r","failure_domain":"d","slots":1.5,"max_connections":25}`, "targets/t1.slots"},
		"out of range":         {"targets/t1", `{"id":"t1","addr":"h:1","region":"r","failure_domain":"d","slots":0,"max_connections":25}`, "targets/t1.slots"},
		"id differs from key":  {"targets/t1", `{"id":"tx","addr":"h:1","region":"r","failure_domain":"d","slots":1,"max_connections":25}`, "targets/t1.id"},
		"duplicate address":    {"targets/t1", `{"id":"t1","addr":"127.0.0.1:2","region":"r","failure_domain":"d","slots":1,"max_connections":25}`, "targets/t2.addr"},
		"unknown replica":      {"targets/t2", "", "index/review.snapshots[0].shards[0].replicas[1]"},
		"no index":             {"index/review", "", "workloads/review"},
		"trailing data":        {"workloads/review", `{"idempotent":true} {}`, "workloads/review"},
		"bad name":             {"targets/a b", `{}`, "targets/a b"},
		"duplicate shard":      {"index/review", `{"snapshots":[{"snapshot":1,"shards":[{"id":"s","service":"f","replicas":["t1"]},{"id":"s","service":"f","replicas":["t2"]}]}]}`, "index/review.snapshots[0].shards"},
		"snapshots decrease":   {"index/review", `{"snapshots":[{"snapshot":2,"shards":[{"id":"s","service":"f","replicas":["t1"]}]},{"snapshot":1,"shards":[{"id":"s","service":"f","replicas":["t2"]}]}]}`, "index/review.snapshots[1].snapshot"},
		"no reason":            {"exceptions/x", exception(`{"caller_burst":5}`, `"owner":"ops","expires":"2030-01-31"`), "exceptions/x.reason"},
		"no owner":             {"exceptions/x", exception(`{"caller_burst":5}`, `"reason":"a reason that is long enough","expires":"2030-01-31"`), "exceptions/x.owner"},
		"no expiry":            {"exceptions/x", exception(`{"caller_burst":5}`, `"reason":"a reason that is long enough","owner":"ops"`), "exceptions/x.expires"},
		"empty exception":      {"exceptions/x", exception(`{}`, metadata), "exceptions/x.policy"},
		"patch out of range":   {"exceptions/x", exception(`{"min_coverage":2}`, metadata), "exceptions/x.policy.min_coverage"},
		"max below default":    {"exceptions/x", exception(`{"deadline_max_ms":10}`, metadata), "exceptions/x.policy"},
		"max drops on expiry":  {"exceptions/x", exception(`{"deadline_default_ms":8000}`, `"caller":"desk","reason":"a reason that is long enough","owner":"ops","expires":"2031-01-31"`), "exceptions/x.policy"},
		"service not in index": {"exceptions/x", `{"workload":"review","service":"nope","policy":{"caller_burst":5},` + metadata + `}`, "exceptions/x.service"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(testDocument(map[string]string{c.key: c.value}))
			invalid, ok := errors.AsType[*InvalidError](err)
			require.True(t, ok, "accepted")
			paths := make([]string, 0, len(invalid.Problems))
			for _, p := range invalid.Problems {
				paths = append(paths, p.Path)
				require.NotEmpty(t, p.Allowed)
			}
			require.Contains(t, paths, c.path)
		})
	}
}

func TestParseListsSeveralProblems(t *testing.T) {
	_, err := Parse(testDocument(map[string]string{"targets/t1": `{"id":"t1","slots":0,"extra":1,"more":2}`, "extra": "1"}))
	invalid, ok := errors.AsType[*InvalidError](err)
	require.True(t, ok)
	require.GreaterOrEqual(t, len(invalid.Problems), 3)
}

func TestParseIncrementalMatchesParse(t *testing.T) {
	first := testDocument(nil)
	last, err := Parse(first)
	require.NoError(t, err)
	changes := []map[string]string{
		nil,
		{"targets/t2": `{"id":"t2","addr":"127.0.0.1:3","region":"r","failure_domain":"d3","slots":4,"max_connections":25}`},
		{"exceptions/slow": ""},
		{"targets/t2": ""},
		{"workloads/review": "", "index/review": ""},
		{"targets/t3": `{"id":"t3","addr":"127.0.0.1:1","region":"r","failure_domain":"d3","slots":4,"max_connections":25}`},
	}
	for _, change := range changes {
		doc := testDocument(change)
		want, wantErr := Parse(doc)
		got, gotErr := ParseIncremental(doc, last, Digest(doc.Keys))
		require.Equal(t, wantErr, gotErr)
		require.Equal(t, want, got)
	}
}
