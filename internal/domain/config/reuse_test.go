package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestParseIncrementalRepeatsChecksBetweenKeys guards against a reused value that is no
// longer valid: a change to one key can invalidate an unchanged one. The result or the
// error must be that of Parse.
func TestParseIncrementalRepeatsChecksBetweenKeys(t *testing.T) {
	base, err := Parse(testDocument(nil))
	require.NoError(t, err)
	for name, changes := range map[string]map[string]string{
		"no change":                                   {},
		"defaults with trailing blank":                {"defaults": testDefaults + " "},
		"target changed":                              {"targets/t1": `{"id":"t1","addr":"127.0.0.1:9","region":"r","failure_domain":"d1","slots":3,"max_connections":25}`},
		"replica target removed":                      {"targets/t2": ""},
		"duplicate address":                           {"targets/t1": `{"id":"t1","addr":"127.0.0.1:2","region":"r","failure_domain":"d1","slots":2,"max_connections":25}`},
		"index removed":                               {"index/review": ""},
		"service of exception removed":                {"index/review": `{"snapshots":[{"snapshot":2,"shards":[{"id":"s1","service":"maps","replicas":["t1"]}]}]}`},
		"exception removed":                           {"exceptions/slow": ""},
		"default deadline above maximum of exception": {"defaults": `{"deadline_default_ms":9500,"deadline_max_ms":9600,"straggler_wait_ms":100,"min_coverage":0.9,"hedge_quantile":0.95,"hedge_budget":0.05,"retry_budget":0.05,"caller_rate":100,"caller_burst":10,"caller_inflight":10,"max_body_bytes":65536}`},
		"new invalid key":                             {"targets/t3": `{}`},
	} {
		t.Run(name, func(t *testing.T) {
			doc := testDocument(changes)
			whole, wholeErr := Parse(doc)
			after, afterErr := ParseIncremental(doc, base, Digest(doc.Keys))
			if wholeErr != nil {
				require.EqualError(t, afterErr, wholeErr.Error())
				return
			}
			require.NoError(t, afterErr)
			require.Equal(t, whole, after)
		})
	}
}
