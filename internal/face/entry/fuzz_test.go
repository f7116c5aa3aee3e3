package entry

import (
	"testing"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// FuzzDecode checks that the decoder accepts no input without a workload and a
// body, and that every refusal has verdict not_run and names a field.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"workload":"w","body":1}`, `{"workload":"w","body":{}, "services":["a"]}`, `{`, `[]`, `null`,
		`{"workload":"w","body":1,"deadline_ms":1e99}`, `{"workload":"","body":null}`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, refusal := Decode(body)
		if refusal == nil {
			if req.Workload == "" || len(req.Body) == 0 {
				t.Fatalf("accepted without workload or body: %q", body)
			}
			return
		}
		if refusal.Verdict != verdict.NotRun || refusal.Field == "" {
			t.Fatalf("refusal without field or with verdict %s: %v", refusal.Verdict, refusal)
		}
	})
}
