package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

const token = "token-token-token-token"

// run executes a command against a host that answers each path in bodies with a
// fixed body and all other paths with 404.
func run(t *testing.T, bodies map[string]string, stdin string, args ...string) (code exitcode.Code, stdout, stderr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, known := bodies[r.Method+" "+r.URL.Path]
		if !known || r.Header.Get("Authorization") != "Bearer "+token {
			w.WriteHeader(http.StatusNotFound)
			body = `{"reason":"not_found","message":"no such path"}`
		}
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte(token+"\n"), 0o600))
	var out, errs bytes.Buffer
	args = append(args, "--admin", server.URL, "--token-file", file)
	code = Execute(args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

func TestBadUsageExitsWithUsageCodeAndPrintsToStderr(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"}, {"config", "nonsense"}, {"quarantine", "nonsense"}, {"status", "extra"}, {"query"},
		{"status", "--nonsense"}, {"status", "--output", "xml"}, {"query", "w", "--body", "{"},
		{"query", "w", "--attempts", "0"}, {"config", "wait"}, {"config", "check", "/nonexistent"},
		{"quarantine", "release"}, {"load"}, {"demo", "extra"},
	} {
		code, stdout, stderr := run(t, nil, "", args...)
		require.Equal(t, exitcode.Usage, code, "%v: %s", args, stderr)
		require.Empty(t, stdout, args)
		require.NotEmpty(t, stderr, args)
	}
}

func TestRefusedCommandFailsWithReason(t *testing.T) {
	code, stdout, stderr := run(t, nil, "", "status")
	require.Equal(t, exitcode.Failure, code)
	require.Empty(t, stdout)
	require.Contains(t, stderr, "not_found")
}

// TestUnreachableHostErrorNamesPlatformModeTools: hosts on the users' platform
// have no administration API, so the error must name the tools to use there.
func TestUnreachableHostErrorNamesPlatformModeTools(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("secret"), 0o600))
	for _, args := range [][]string{{"status"}, {"targets"}, {"quarantine", "list"}, {"drain"}} {
		var out, errs bytes.Buffer
		args = append(args, "--admin", "http://"+loopback.Addr(), "--token-file", file)
		code := Execute(args, Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		require.NotEqual(t, exitcode.OK, code)
		require.Contains(t, errs.String(), "explain reads its logs", "%v", args)
	}
}

func TestStatusAsJSONAndAsTable(t *testing.T) {
	bodies := map[string]string{"GET " + adminapi.PathStatus: `{
		"self":{"id":"h1","state":"live"},"config":{"revision":7,"digest":"00000000000000aa"},
		"hosts":[{"id":"h2","state":"leaving","config":{"revision":6},"age_ms":1500}]}`}
	code, stdout, _ := run(t, bodies, "", "status", "--output", "json")
	require.Equal(t, exitcode.OK, code)
	var status adminapi.Status
	require.NoError(t, json.Unmarshal([]byte(stdout), &status))
	require.EqualValues(t, 7, status.Config.Revision)

	_, stdout, _ = run(t, bodies, "", "status")
	require.Contains(t, stdout, "h2")
	require.Contains(t, stdout, "leaving")
	require.Contains(t, stdout, "1.5s")
}

func TestConfigDiffListsChangedKeys(t *testing.T) {
	bodies := map[string]string{"GET " + adminapi.PathConfig: `{"revision":1,"keys":{"defaults":{"a":1,"b":2},"targets/t1":{},"targets/t2":{}}}`}
	code, stdout, _ := run(t, bodies, `{"revision":2,"keys":{"defaults":{"b":2,"a":1},"targets/t2":{"x":1},"targets/t3":{}}}`,
		"config", "diff", "-", "-o", "json")
	require.Equal(t, exitcode.Invalid, code)
	var diff difference
	require.NoError(t, json.Unmarshal([]byte(stdout), &diff))
	require.Len(t, diff.Keys, 3)
	require.Equal(t, "targets/t1", diff.Keys[0].Key)

	code, _, _ = run(t, bodies, bodies["GET "+adminapi.PathConfig], "config", "diff", "-")
	require.Equal(t, exitcode.OK, code)
}

func TestConfigCheckGivesSameResultOfflineAndOnHost(t *testing.T) {
	const document = `{"revision":1,"keys":{"nonsense":1}}`
	code, offline, _ := run(t, nil, document, "config", "check", "-", "-o", "json")
	require.Equal(t, exitcode.Invalid, code)
	require.Contains(t, offline, "nonsense")
	bodies := map[string]string{"POST " + adminapi.PathConfigCheck: offline}
	code, onHost, _ := run(t, bodies, document, "config", "check", "-", "--ask-host", "-o", "json")
	require.Equal(t, exitcode.Invalid, code)
	require.Equal(t, offline, onHost)
}

func TestConfigWaitTimeoutHasItsExitCode(t *testing.T) {
	path := "GET " + adminapi.PathConfigWait
	code, stdout, _ := run(t, map[string]string{path: `{"revision":7,"in_force":false,"hosts":[{"id":"h2","revision":6}]}`},
		"", "config", "wait", "--revision", "7", "--timeout", "1ms")
	require.Equal(t, exitcode.Timeout, code)
	require.Contains(t, stdout, "h2")
	code, _, _ = run(t, map[string]string{path: `{"revision":7,"in_force":true}`}, "", "config", "wait", "--revision", "7")
	require.Equal(t, exitcode.OK, code)
}

func TestQueryExitCodeMatchesVerdict(t *testing.T) {
	for body, want := range map[string]exitcode.Code{
		`{"verdict":"not_run","reason":"queue_full"}`:    exitcode.NotRun,
		`{"verdict":"unknown","reason":"target_silent"}`: exitcode.Unknown,
		`{"verdict":"ran","reason":"internal"}`:          exitcode.Ran,
		`<html>bad gateway</html>`:                       exitcode.Unknown,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(body))
		}))
		code, stdout, stderr := run(t, nil, "", "query", "w", "--caller-url", server.URL, "--request-id", "r-1")
		server.Close()
		require.Equal(t, want, code, body)
		require.Empty(t, stdout)
		require.Contains(t, stderr, "r-1")
	}
}
