package harness

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
)

// Target is a target process.
type Target struct {
	*Process
	ID model.TargetID
	// Proxy is the fault proxy between the hosts and the target, or nil.
	Proxy *faultproxy.Proxy

	addr      string
	adminAddr string
	args      []string
	http      *httpjson.Client
}

// startTarget starts the target with the given index in a fixture's workload.
func startTarget(tb testing.TB, client *httpjson.Client, fixture string, index int) *Target {
	tb.Helper()
	addr := loopback.Addr()
	t := &Target{addr: addr, http: client, args: []string{
		"targets", "--fixture", fixture, "--first", strconv.Itoa(index), "--count", "1", "--addr", addr,
	}}
	t.Restart(tb)
	return t
}

// Restart starts the target's process without faults. The previous process, if any,
// must have exited.
func (t *Target) Restart(tb testing.TB) {
	tb.Helper()
	process, stdout := start(tb, "target", "standin", t.args...)
	var ready struct {
		Targets []struct {
			ID        model.TargetID `json:"id"`
			AdminAddr string         `json:"admin_addr"`
		} `json:"targets"`
	}
	process.readReadyLine(tb, stdout, &ready)
	require.Len(tb, ready.Targets, 1)
	t.Process, t.ID, t.adminAddr = process, ready.Targets[0].ID, ready.Targets[0].AdminAddr
	process.Name = string(t.ID)
}

// Addr returns the address that the platform publishes for the target.
func (t *Target) Addr() string {
	if t.Proxy != nil {
		return t.Proxy.Addr()
	}
	return t.addr
}

// Runs returns the target's runs of the request with the given id, or of all requests
// if id is "*".
func (t *Target) Runs(tb testing.TB, id string) target.RunReport {
	tb.Helper()
	var report target.RunReport
	get(tb, t.http, "http://"+t.adminAddr+target.PathRuns+"?request_id="+id, &report)
	return report
}

// SetFaults merges faults into those that the target already injects.
func (t *Target) SetFaults(tb testing.TB, faults target.Faults) {
	tb.Helper()
	post(tb, t.http, "http://"+t.adminAddr+target.PathFaults, faults, nil)
}
