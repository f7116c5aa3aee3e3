package harness

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/platform"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// Platform is a platform process.
type Platform struct {
	*Process
	// Addr is the address of the API that hosts read.
	Addr      string
	adminAddr string
	http      *httpjson.Client
}

// startPlatform starts a platform that publishes document and hosts, and waits until
// it is ready.
func startPlatform(tb testing.TB, client *httpjson.Client, document *config.Document, hosts *model.HostList) *Platform {
	tb.Helper()
	dir := tb.TempDir()
	documentFile := writeJSON(tb, filepath.Join(dir, "document.json"), document)
	hostsFile := writeJSON(tb, filepath.Join(dir, "hosts.json"), hosts)
	process, stdout := start(tb, "platform", "standin", "platform", "--document", documentFile, "--hosts", hostsFile)
	var ready struct {
		Addr      string `json:"addr"`
		AdminAddr string `json:"admin_addr"`
	}
	process.readReadyLine(tb, stdout, &ready)
	return &Platform{Process: process, Addr: ready.Addr, adminAddr: ready.AdminAddr, http: client}
}

// Publish sets and removes keys of the document and returns its new revision.
func (p *Platform) Publish(tb testing.TB, set map[string]any, remove ...string) model.Revision {
	tb.Helper()
	request := platform.PublishRequest{Set: map[string]json.RawMessage{}, Remove: remove}
	for key, value := range set {
		request.Set[key] = marshal(tb, value)
	}
	var response platform.RevisionResponse
	post(tb, p.http, "http://"+p.adminAddr+platform.PathPublish, request, &response)
	return response.Revision
}

// SetHosts replaces the host list and the leaving targets, and returns the new
// revision.
func (p *Platform) SetHosts(tb testing.TB, hosts []model.Host, leaving ...model.TargetID) model.Revision {
	tb.Helper()
	var response platform.RevisionResponse
	post(tb, p.http, "http://"+p.adminAddr+platform.PathHosts, platform.HostsRequest{Hosts: hosts, LeavingTargets: leaving}, &response)
	return response.Revision
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(tb testing.TB, faults platform.Faults) {
	tb.Helper()
	post(tb, p.http, "http://"+p.adminAddr+platform.PathFaults, faults, &platform.Faults{})
}

// Calls returns the number of reads the platform has received.
func (p *Platform) Calls(tb testing.TB) platform.Calls {
	tb.Helper()
	var calls platform.Calls
	get(tb, p.http, "http://"+p.adminAddr+platform.PathCalls, &calls)
	return calls
}

func marshal(tb testing.TB, value any) []byte {
	tb.Helper()
	raw, err := json.Marshal(value)
	require.NoError(tb, err)
	return raw
}

func writeJSON(tb testing.TB, path string, value any) string {
	tb.Helper()
	require.NoError(tb, os.WriteFile(path, marshal(tb, value), 0o600))
	return path
}

func post(tb testing.TB, client *httpjson.Client, url string, body, reply any) {
	tb.Helper()
	doJSON(tb, client, &httpjson.Request{Method: http.MethodPost, URL: url, Body: body}, reply)
}

func get(tb testing.TB, client *httpjson.Client, url string, reply any) {
	tb.Helper()
	doJSON(tb, client, &httpjson.Request{Method: http.MethodGet, URL: url}, reply)
}

func doJSON(tb testing.TB, client *httpjson.Client, request *httpjson.Request, reply any) {
	tb.Helper()
	response, err := client.Do(request)
	require.NoError(tb, err)
	require.Equal(tb, http.StatusOK, response.Status, "%s: %s", request.URL, response.Body)
	if reply != nil {
		require.NoError(tb, json.Unmarshal(response.Body, reply))
	}
}
