package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/adminclient"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// Secrets shared by all test fleets.
const (
	peerKey    = "integration-test-peer-key-of-32-bytes-or-more"
	readToken  = "integration-test-read-token"
	writeToken = "integration-test-write-token"
)

// settingsTemplate is the format of a host's settings file.
const settingsTemplate = `
[host]
id = %q
region = %q
failure_domain = %q
[listen]
caller = %q
admin = %q
peer = %q
advertised_peer = %q
[platform]
base_url = "http://%s"
[peers]
key_files = [%q]
seeds = [%s]
[admin]
read_token_file = %q
write_token_file = %q
[limits]
%s%s
`

// firstStartSettings disables the wait for earlier claims. It is valid only for hosts
// that start while no earlier fleet is running.
const firstStartSettings = "claim_history_wait_ms = 0"

// Host is a daemon process.
type Host struct {
	*Process
	model.Host
	// Proxy is the fault proxy in front of this host's peer listener, or nil.
	Proxy *faultproxy.Proxy

	caller, admin, peer string
	settings            string
	program             string
	http                *httpjson.Client
}

// URL returns the base URL of the host's caller API.
func (h *Host) URL() string { return "http://" + h.caller }

// Admin returns a client of the host's administration API with write access.
func (h *Host) Admin() *adminclient.Client {
	return &adminclient.Client{BaseURL: "http://" + h.admin, Token: writeToken, HTTP: h.http}
}

// Ask sends one query of all services to this host. The error is a
// *verdict.Error.
func (h *Host) Ask(tb testing.TB, workload model.WorkloadName, body json.RawMessage) (*callerapi.Answer, error) {
	tb.Helper()
	client := &callerclient.Client{URLs: []string{h.URL()}, Caller: "integration", HTTP: h.http}
	return client.Ask(tb.Context(), callerapi.Query{Workload: workload, Body: body})
}

// Ready reports whether the host's readiness endpoint reports that it accepts queries.
func (h *Host) Ready() bool {
	health, err := h.Admin().Ready()
	return err == nil && health.OK
}

// Restart starts the host's process. The previous process, if any, must have exited.
func (h *Host) Restart(tb testing.TB) {
	tb.Helper()
	h.Process, _ = start(tb, string(h.ID), h.program, "--settings", h.settings)
	h.reap()
}

// RestartPiped is Restart with a pipe as the process's output, see CloseLog.
func (h *Host) RestartPiped(tb testing.TB) {
	tb.Helper()
	var logFile *os.File
	h.Process, logFile = newProcess(tb, string(h.ID), h.program, "--settings", h.settings)
	h.launchPiped(tb, logFile)
}

// Metrics returns the host's metrics as a scraper receives them.
func (h *Host) Metrics(tb testing.TB) string {
	tb.Helper()
	response, err := h.http.Do(&httpjson.Request{
		Method: http.MethodGet, URL: "http://" + h.admin + "/metrics",
		Header: map[string]string{"Authorization": "Bearer " + readToken},
	})
	require.NoError(tb, err)
	require.Equal(tb, http.StatusOK, response.Status)
	return string(response.Body)
}

// writeSettings writes the host's settings file and the secret files it refers to.
// limits and extra are the lines of the [limits] section.
func (h *Host) writeSettings(tb testing.TB, f *Fleet, limits, extra string) {
	tb.Helper()
	dir := tb.TempDir()
	secret := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(tb, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	var seeds []string
	for _, other := range f.Hosts {
		if other.ID != h.ID {
			seeds = append(seeds, fmt.Sprintf("%q", string(other.ID)+"="+other.PeerAddr))
		}
	}
	content := fmt.Sprintf(settingsTemplate, h.ID, h.Region, h.FailureDomain,
		h.caller, h.admin, h.peer, h.PeerAddr, f.Platform.Addr,
		secret("peer.key", peerKey), strings.Join(seeds, ", "),
		secret("read", readToken), secret("write", writeToken), limits, extra)
	h.settings = filepath.Join(dir, "settings.toml")
	require.NoError(tb, os.WriteFile(h.settings, []byte(content), 0o600))
}
