package configcheck

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

const defaults = `"defaults":{"deadline_default_ms":1000,"deadline_max_ms":2000,"straggler_wait_ms":100,
"min_coverage":0.9,"hedge_quantile":0.95,"hedge_budget":0.05,"retry_budget":0.1,"caller_rate":100,
"caller_burst":10,"caller_inflight":10,"max_body_bytes":1024}`

func TestCheckReportsProblemPaths(t *testing.T) {
	for name, c := range map[string]struct {
		document string
		paths    []string
	}{
		"valid":           {`{"revision":1,"keys":{` + defaults + `}}`, []string{}},
		"not JSON":        {`{`, []string{"document"}},
		"two documents":   {`{"revision":1,"keys":{` + defaults + `}} {}`, []string{"document"}},
		"unknown field":   {`{"revision":1,"key":{}}`, []string{"document"}},
		"several at once": {`{"keys":{"nonsense":1}}`, []string{"defaults", "nonsense", "revision"}},
		"no reason": {`{"revision":1,"keys":{` + defaults + `,"exceptions/x":{"workload":"w","policy":{},"owner":"o","expires":"2099-01-01"}}}`,
			[]string{"exceptions/x.reason"}},
	} {
		t.Run(name, func(t *testing.T) {
			found := lo.Uniq(lo.Map(Check([]byte(c.document)), func(p config.Problem, _ int) string { return p.Path }))
			require.Subset(t, found, c.paths)
			require.Equal(t, len(c.paths) == 0, len(found) == 0, found)
		})
	}
}
