package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/support/loopback"
	"github.com/swiftvane/swiftvane/platform"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// grace is the time a host may take to exit after SIGTERM.
	grace = 3 * time.Second
	// drain is the time within which hosts must stop using a leaving target.
	drain = 2 * time.Second
	// readers is the number of hosts that the settings list as seeds, the readers of the
	// store.
	readers = 2
)

// host is one daemon with its settings, addresses and fault proxies.
type host struct {
	env  *environment
	name string
	// caller and ready are the addresses of its listeners for callers and readiness.
	caller        string
	ready         string
	file          string
	validSettings []byte
	// store is the fault proxy between the host and the store, peer the one in front
	// of its peer listener.
	store *faultproxy.Proxy
	peer  *faultproxy.Proxy

	// lifecycle is held while the daemon is started or stopped. Sending a signal does
	// not need it: a daemon that is asked to stop may be paused by SIGSTOP and must
	// still receive SIGCONT.
	lifecycle sync.Mutex
	started   bool
	// landed is set if the daemon starts with the last landed build.
	landed bool

	mu        sync.Mutex
	process   *harness.Process
	processes []*harness.Process
}

func (e *environment) addHosts(n int) {
	control := loopback.Addrs(n)
	for i := range n {
		addrs := loopback.Addrs(2)
		h := &host{env: e, landed: e.landed, name: fmt.Sprintf("host-%d", i), caller: addrs[0], ready: addrs[1]}
		h.store = e.proxy(e.platform.Store.Addr())
		h.peer = e.proxy(control[i])
		h.file = filepath.Join(e.t.TempDir(), "node.json")
		e.hosts = append(e.hosts, h)
	}
	for i, h := range e.hosts {
		h.writeSettings(control[i])
		h.start()
	}
}

func (e *environment) proxy(server string) *faultproxy.Proxy {
	p, err := faultproxy.Start(server)
	require.NoError(e.t, err)
	e.t.Cleanup(p.Close)
	return p
}

func (h *host) writeSettings(control string) {
	ip, _, err := net.SplitHostPort(h.caller)
	require.NoError(h.env.t, err)
	var seeds []string
	for _, other := range h.env.hosts[:min(readers, len(h.env.hosts))] {
		seeds = append(seeds, other.peer.Addr())
	}
	if len(h.env.seeds) > 0 {
		seeds = h.env.seeds
	}
	raw, err := json.Marshal(map[string]any{
		"node_name": h.name, "ip": ip, "zone": deployment.FailureDomain, "seeds": seeds, "bootstrap": false,
		"listen_addrs": map[string]string{"front": h.caller, "ready": h.ready, "control": control},
		"limits":       map[string]any{"memory_mb": h.env.memoryMB},
		"bounds": map[string]any{
			"grace_s": h.env.grace.Seconds(), "drain_ms": drain.Milliseconds(), "retry_budget_ratio": ratio, "budget_window_s": window.Seconds(), "retry_budget_slack": slack,
		},
		"platform": map[string]any{"address": h.store.Addr()},
	})
	require.NoError(h.env.t, err)
	h.validSettings = raw
	h.setFile(raw)
}

func (h *host) setFile(raw []byte) { require.NoError(h.env.t, os.WriteFile(h.file, raw, 0o600)) }

// start starts the daemon with valid settings unless it is running.
func (h *host) start() {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if h.started {
		return
	}
	h.setFile(h.validSettings)
	startDaemon := harness.StartDaemon
	switch {
	case h.landed:
		startDaemon = harness.StartLandedDaemon
	case h.env.piped:
		startDaemon = harness.StartPipedDaemon
	case h.env.measured:
		startDaemon = harness.StartMeasuredDaemon
	}
	process := startDaemon(h.env.t, h.name, platform.SettingsVariable+"="+h.file)
	h.started = true
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = process
	h.processes = append(h.processes, process)
}

// kill kills the daemon if it is running.
func (h *host) kill() {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if !h.started {
		return
	}
	h.requireRunning()
	h.process.Kill(h.env.t)
	h.started = false
}

// terminate stops the daemon gracefully if it is running, and waits until it has
// exited.
func (h *host) terminate() {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if !h.started {
		return
	}
	h.requireRunning()
	h.process.Terminate(h.env.t)
	code := h.process.ExitCode(h.env.t)
	h.started = false
	// A SIGTERM that arrives before the daemon installs its signal handler kills it
	// with a nonzero code. It has served no request by then.
	if h.hasLoggedStart() {
		require.Zero(h.env.t, code, "%s after SIGTERM", h.name)
	}
}

// terminateWithin asks the daemon to stop, kills it once the grace has passed, and waits until
// it has exited.
func (h *host) terminateWithin(grace time.Duration) {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	h.requireRunning()
	h.process.Terminate(h.env.t)
	kill := time.AfterFunc(grace, func() { h.process.SignalIfRunning(h.env.t, syscall.SIGKILL) })
	defer kill.Stop()
	h.process.ExitCode(h.env.t)
	h.started = false
}

// requireRunning fails the test if the daemon exited on its own.
func (h *host) requireRunning() {
	state := h.process.State()
	require.Equal(h.env.t, "runs", state, "%s exited on its own; its log: %s", h.name, h.process.Log())
}

// reload sends SIGHUP to the daemon if it has logged that it started. SIGHUP kills a
// process that has not yet installed a handler for it (seeds 705, 715, 716: signal:
// hangup, with an empty log).
func (h *host) reload() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hasLoggedStart() {
		h.process.SignalIfRunning(h.env.t, syscall.SIGHUP)
	}
}

func (h *host) hasLoggedStart() bool { return strings.Contains(h.process.Log(), `"started"`) }

// corruptSettings makes the settings file unreadable and reports whether it did. It
// leaves the file alone unless the daemon has started, because a daemon that reads
// unreadable settings at startup correctly exits with an error (seed 741).
func (h *host) corruptSettings() bool {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if !h.started || !h.hasLoggedStart() {
		return false
	}
	h.setFile([]byte("{"))
	return true
}

// signal sends a signal to the daemon if it is running.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.SignalIfRunning(h.env.t, s)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *environment) allReady() bool {
	for _, h := range e.hosts {
		if !h.isReady() {
			return false
		}
	}
	return true
}

// checkProcesses checks that no daemon exited on its own and that each logged only
// lines of JSON. The last line of a log may be cut off.
func (e *environment) checkProcesses() {
	for _, h := range e.hosts {
		h.requireRunning()
		for _, p := range h.processes {
			lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
			for i, line := range lines {
				last := i == len(lines)-1
				require.True(e.t, json.Valid([]byte(line)) || last, "%s wrote: %s", h.name, line)
			}
		}
	}
}
