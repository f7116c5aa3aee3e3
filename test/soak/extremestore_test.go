package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/platform"
	"github.com/swiftvane/swiftvane/test/harness"
)

// extremeVersion is the version of the first configuration with an extreme number.
const extremeVersion = 1000

// document is a part of a configuration as JSON has it.
type document map[string]any

// extremeConfig is a configuration in which some numbers are replaced.
type extremeConfig struct {
	name                    string
	limits, routes, service document
}

// extremeConfigs returns configurations with numbers by which nothing is bounded any more.
func extremeConfigs() []extremeConfig {
	most, mostFloat := json.Number(maxInt64), json.Number(maxFloat)
	return []extremeConfig{
		{name: "limits", limits: document{"max_header_bytes": most, "max_body_bytes": most, "header_timeout_ms": most, "idle_timeout_ms": most}},
		{name: "no limit of bodies", limits: document{"max_body_bytes": 0}},
		{name: "attempts", routes: document{"attempts": most}},
		{name: "records", routes: document{"top_k": most}},
		{name: "records that fit no memory", routes: document{"top_k": 1 << 40}},
		{name: "times", routes: document{"timeout_ms": most, "slo_ms": mostFloat, "priority": json.Number(minInt64)}},
		{
			name: "amounts",
			routes: document{"attempts": 1 << 40, "priority": most, "traffic_split": []document{
				{"service": deployment.Single, "weight": mostFloat}, {"service": deployment.Single, "weight": mostFloat},
			}},
			service: document{"max_conns": most, "warmup_s": mostFloat, "warmup_per_s": mostFloat},
		},
	}
}

// negativeConfigs returns configurations whose numbers are below all that make sense.
func negativeConfigs() []extremeConfig {
	least := json.Number(minInt64)
	return []extremeConfig{
		{name: "negative route", routes: document{"timeout_ms": least, "slo_ms": json.Number("-" + maxFloat), "attempts": least, "top_k": least, "oldest_version": json.Number("-" + maxFloat)}},
		{name: "negative limits", limits: document{"max_header_bytes": least, "max_body_bytes": least, "header_timeout_ms": least, "idle_timeout_ms": least}},
		{name: "negative service", service: document{"max_conns": least}},
		{name: "coverage", routes: document{"oldest_version": json.Number(maxFloat)}},
	}
}

// TestExtremeNumberOfStoreEndsNoProcess guards against a number in an entry of the store by which a host
// allocates, counts or waits, and that ends its process.
func TestExtremeNumberOfStoreEndsNoProcess(t *testing.T) {
	e := newExtremeEnvironment(t, nil)
	e.putExtremeTargets()
	version := int64(extremeVersion)
	e.runBeside(func(<-chan struct{}) {
		for _, c := range extremeConfigs() {
			version++
			e.putConfig(c, version)
			for _, h := range e.hosts {
				e.askLarge(h)
			}
			e.awaitRecovery(c.name)
		}
	})
	require.Empty(t, e.failures())
	e.stopAll()
}

// TestNegativeNumberOfStoreEndsNoProcess is the same for negative numbers, under which requests may fail.
func TestNegativeNumberOfStoreEndsNoProcess(t *testing.T) {
	e := newExtremeEnvironment(t, nil)
	e.runBeside(func(<-chan struct{}) {
		for i, c := range negativeConfigs() {
			e.putConfig(c, int64(extremeVersion+i))
			time.Sleep(extremePause)
			e.tryAllRoutes(newClient(), e.anyHost(), c.name)
		}
		e.putConfig(extremeConfig{}, extremeVersion+int64(len(negativeConfigs())))
		e.awaitRecovery("a sound configuration")
	})
	e.stopAll()
}

// putConfig writes the configuration with the replaced numbers and waits until it is in force.
func (e *environment) putConfig(c extremeConfig, version int64) {
	raw, err := platform.EncodeConfig(e.platform.Config())
	require.NoError(e.t, err)
	var config document
	require.NoError(e.t, json.Unmarshal(raw, &config))
	config["version"] = version
	maps.Copy(config["limits"].(map[string]any), c.limits)
	for _, route := range config["routes"].([]any) {
		maps.Copy(route.(map[string]any), c.routes)
	}
	for _, service := range config["services"].([]any) {
		maps.Copy(service.(map[string]any), c.service)
	}
	raw, err = json.Marshal(config)
	require.NoError(e.t, err)
	e.platform.Store.Put(platform.ConfigKey, raw)
	for _, h := range e.hosts {
		harness.Eventually(e.t, fmt.Sprintf("%s has the configuration %q", h.name, c.name), func() bool {
			scraped, err := h.metrics()
			require.NoError(e.t, err)
			return harness.Metric(scraped, "swiftvane_config_version") == float64(version)
		})
	}
}

// putExtremeTargets writes entries of targets that nobody reaches, with extreme numbers.
func (e *environment) putExtremeTargets() {
	for i, numbers := range []string{
		`"concurrency":1000000,"warmup_left_ms":86400000,"born":1`,
		`"concurrency":1,"warmup_left_ms":` + minInt64 + `,"born":` + maxInt64,
		`"concurrency":1,"warmup_left_ms":` + maxInt64 + `,"born":` + minInt64,
		`"concurrency":` + maxInt64 + `,"born":0`,
	} {
		entry := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":%q,"state":"ready","sequence":%s,%s}`, deployment.Shard(0), deployment.FailureDomain, maxInt64, numbers)
		e.platform.Store.Put(fmt.Sprintf("%sextreme-%d", platform.TargetPrefix, i), []byte(entry))
	}
}

// askLarge sends a request with a header beyond the usual buffer, and ones that state bodies beyond any
// memory. Each must be answered.
func (e *environment) askLarge(h *host) {
	header := extremeRequest{fields: "X-Large: " + strings.Repeat("x", 20<<10) + "\r\n"}
	status, err := e.sendExtreme(h, "read", "read-of-large-header", header)
	if err != nil || status != http.StatusOK && status != http.StatusRequestHeaderFieldsTooLarge {
		e.t.Errorf("large header: status %d, error %v", status, err)
	}
	for _, length := range []string{"1099511627776", "4611686018427387904"} {
		body := extremeRequest{fields: "Content-Length: " + length + "\r\n"}
		status, err := e.sendExtreme(h, "read", "read-of-large-body", body)
		if err != nil || status != http.StatusRequestEntityTooLarge {
			e.t.Errorf("body of %s bytes: status %d, error %v", length, status, err)
		}
	}
}
