package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseAfterJudgesLikeParse guards the values taken over from the document
// before: a change may make an unchanged key wrong.
func TestParseAfterJudgesLikeParse(t *testing.T) {
	base, err := Parse(testDocument(nil))
	require.NoError(t, err)
	for name, changes := range map[string]map[string]string{
		"nothing":                 {},
		"a default":               {"defaults": testDefaults + " "},
		"a target":                {"targets/t1": `{"id":"t1","addr":"127.0.0.1:9","region":"r","failure_domain":"d1","slots":3,"max_connections":25}`},
		"a replica's target gone": {"targets/t2": ""},
		"an address taken":        {"targets/t1": `{"id":"t1","addr":"127.0.0.1:2","region":"r","failure_domain":"d1","slots":2,"max_connections":25}`},
		"an index gone":           {"index/review": ""},
		"an exception's service":  {"index/review": `{"snapshots":[{"snapshot":2,"shards":[{"id":"s1","service":"maps","replicas":["t1"]}]}]}`},
		"an exception gone":       {"exceptions/slow": ""},
		"a default too high":      {"defaults": `{"deadline_default_ms":9500,"deadline_max_ms":9600,"straggler_wait_ms":100,"min_coverage":0.9,"hedge_quantile":0.95,"hedge_budget":0.05,"retry_budget":0.05,"caller_rate":100,"caller_burst":10,"caller_inflight":10,"max_body_bytes":65536}`},
		"a new bad key":           {"targets/t3": `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			doc := testDocument(changes)
			whole, wholeErr := Parse(doc)
			after, afterErr := ParseAfter(doc, base, Digest(doc.Keys))
			if wholeErr != nil {
				require.EqualError(t, afterErr, wholeErr.Error())
				return
			}
			require.NoError(t, afterErr)
			require.Equal(t, whole, after)
		})
	}
}
