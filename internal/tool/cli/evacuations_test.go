package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

// TestEvacuationsOfHostAreListed guards against an operator who sees an empty table while
// a domain is evacuated, or a table although the host did not answer.
func TestEvacuationsOfHostAreListed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/evacuations" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`[{"domain":"z-1","revision":7,"since":"2026-12-04T09:00:00Z","targets":3,"calls_in_flight":2}]`))
	}))
	defer server.Close()
	ask := func(args ...string) (exitcode.Code, string) {
		var out, errs bytes.Buffer
		code := Execute(append([]string{"evacuations"}, args...), Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		return code, out.String()
	}
	addr := strings.TrimPrefix(server.URL, "http://")
	code, out := ask("--host", addr)
	require.Equal(t, exitcode.OK, code)
	require.Contains(t, out, "z-1")
	require.Contains(t, out, "2026-12-04T09:00:00Z")
	code, out = ask("--host", addr, "-o", "json")
	require.Equal(t, exitcode.OK, code)
	require.Contains(t, out, `"calls_in_flight": 2`)
	code, out = ask()
	require.Equal(t, exitcode.Usage, code)
	require.Empty(t, out)
	code, out = ask("--host", addr+"1")
	require.NotEqual(t, exitcode.OK, code)
	require.Empty(t, out)
}
