package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
)

const (
	// slowWork is the work of the requests under test: so much more than that of the others that a
	// host sends a second attempt of those that may be repeated.
	slowWork = 250 * time.Millisecond
	// handedOver is the number of requests that are handed over in a test.
	handedOver = 40
	// moved is the service of the newer configuration.
	moved = "moved"
)

// startWithOlderHosts starts three hosts, of which the first gets a newer configuration and is then
// cut off from the targets, while the last ones keep the older one since they are cut off from the
// store.
func startWithOlderHosts(t *testing.T, older int, change func(*catalog.Config)) *cluster {
	c := start(t, options{
		hosts: 3, readers: 3, linked: true, cuttable: true, storeCuttable: true,
		workOf: func(id string) time.Duration {
			if strings.HasPrefix(id, "slow-") {
				return slowWork
			}
			return 5 * time.Millisecond
		},
	})
	require.NoError(t, c.AddService(moved, 3))
	flood(c.hosts, "/read/x", "warm", 2*time.Second, 10*time.Millisecond)
	for _, h := range c.hosts[len(c.hosts)-older:] {
		h.toStore.SetRule(faultproxy.Blackhole())
	}
	next := c.Config()
	next.Services[moved] = catalog.Service{Name: moved, MaxConns: 20}
	change(next)
	c.publish(next)
	c.hosts[0].dialer.cut(linkReset)
	flood(c.hosts[:1], "/sweep/x", "cut", time.Second, 20*time.Millisecond)
	return c
}

// TestUnsafeRequestHandedToHostWithOlderConfigurationRunsOnce guards against a host that serves the
// requests of another one by a route of its own, in which they may be repeated.
func TestUnsafeRequestHandedToHostWithOlderConfigurationRunsOnce(t *testing.T) {
	c := startWithOlderHosts(t, 1, addFileRoute)
	c.requireServedOnce(c.askSlow("/read/file/x"))
}

// TestUnsafeRequestIsServedOnceWhileAllOtherHostsHaveAnOlderConfiguration guards against callers of a
// host without links to targets who are refused while a configuration spreads.
func TestUnsafeRequestIsServedOnceWhileAllOtherHostsHaveAnOlderConfiguration(t *testing.T) {
	c := startWithOlderHosts(t, 2, addFileRoute)
	c.requireServedOnce(c.askSlow("/read/file/x"))
}

// addFileRoute adds an unsafe route below the prefix of a safe one.
func addFileRoute(config *catalog.Config) {
	file := *config.Routes[2]
	file.Name, file.Prefix = "file", "/read/file/"
	config.Routes = append(config.Routes, &file)
}

// requireServedOnce requires that most of the orders were served, and that none ran twice.
func (c *cluster) requireServedOnce(statuses map[string]int) {
	c.t.Helper()
	served := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	require.GreaterOrEqual(c.t, 3*served, 2*handedOver, "%d of %d served", served, handedOver)
	c.requireOrders(statuses)
}

// TestRequestHandedToHostWithOlderConfigurationRunsByTheNewerOne guards against a request that runs
// at the service of an older configuration, after its host has taken over a newer one.
func TestRequestHandedToHostWithOlderConfigurationRunsByTheNewerOne(t *testing.T) {
	c := startWithOlderHosts(t, 1, func(config *catalog.Config) {
		config.Routes[1].Split = []catalog.WeightedService{{Service: moved, Weight: 1}}
	})
	statuses := c.askSlow("/read/x")
	for _, s := range c.Searchers[deployment.Single] {
		for id := range s.Runs() {
			require.NotContains(t, statuses, id, "it ran at the service of the older configuration")
		}
	}
	require.NotEmpty(t, c.Searchers[moved][0].Runs())
}

// askSlow sends requests to the first host side by side and returns their statuses by id.
func (c *cluster) askSlow(path string) map[string]int {
	type result struct {
		id     string
		status int
	}
	results := make(chan result)
	for i := range handedOver {
		time.Sleep(20 * time.Millisecond)
		go func() {
			id := fmt.Sprintf("slow-%d", i)
			r, err := c.hosts[0].caller().ask(http.MethodPost, path, id, nil)
			if err != nil {
				results <- result{id: id}
				return
			}
			results <- result{id: id, status: r.status}
		}()
	}
	statuses := map[string]int{}
	for range handedOver {
		r := <-results
		statuses[r.id] = r.status
	}
	return statuses
}
