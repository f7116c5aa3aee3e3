package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
)

const (
	// cutSettles is the time that hosts have to notice that their links are cut.
	cutSettles = 4 * time.Second
	// cutAsked is the number of requests of each kind to each host that is cut off.
	cutAsked = 20
)

// askAll sends requests of each kind through the hosts, one after the other, and returns how
// many were served. It requires that orders run once at most, and not at all if refused.
func (c *cluster) askAll(hosts []*host, id string) (served, asked int) {
	orders := map[string]int{}
	for k, h := range hosts {
		caller := h.caller()
		for n := range cutAsked {
			for _, kind := range []string{"sweep", "read", "order"} {
				request := fmt.Sprintf("%s-%s-%d-%d", id, kind, k, n)
				method := http.MethodGet
				if kind == "order" {
					method = http.MethodPost
				}
				r, err := caller.ask(method, "/"+kind+"/x", request, nil)
				asked++
				if err != nil {
					continue
				}
				if kind == "order" {
					orders[request] = r.status
				}
				if r.status == http.StatusOK && (kind != "sweep" || requireValidSweep(c.t, request, r) == 0) {
					served++
				}
			}
		}
	}
	c.requireOrders(orders)
	return served, asked
}

// requireOrders requires that orders ran once at most, those that were served ran, and those
// that were refused did not.
func (c *cluster) requireOrders(statuses map[string]int) {
	c.t.Helper()
	runs := map[string]int{}
	for _, s := range c.Searchers[deployment.Single] {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	for id, status := range statuses {
		require.LessOrEqual(c.t, runs[id], 1, "%s ran more than once", id)
		switch status {
		case http.StatusOK:
			require.Equal(c.t, 1, runs[id], "%s was served", id)
		case http.StatusServiceUnavailable:
			require.Zero(c.t, runs[id], "%s was refused", id)
		}
	}
}

// TestCallersOfHostsWithoutLinksToTargetsAreServed guards against hosts that refuse or lose
// their callers' requests while other hosts reach the targets.
func TestCallersOfHostsWithoutLinksToTargetsAreServed(t *testing.T) {
	for name, form := range map[string]cutForm{"hangs": linkHangs, "reset": linkReset, "closed to new": linkClosedToNew} {
		t.Run(name, func(t *testing.T) {
			c := start(t, options{work: time.Millisecond, hosts: 4, linked: true, cuttable: true})
			flood(c.hosts, "/sweep/x", "warm", time.Second, 20*time.Millisecond)
			cut := c.hosts[:2]
			for _, h := range cut {
				h.dialer.cut(form)
			}
			go flood(cut, "/sweep/x", "cut", cutSettles, 20*time.Millisecond)
			time.Sleep(cutSettles)
			served, asked := c.askAll(cut, "cut")
			require.GreaterOrEqual(t, 3*served, 2*asked, "%d of %d served", served, asked)
			for _, h := range cut {
				h.dialer.cut(linkUp)
			}
			time.Sleep(cutSettles)
			served, asked = c.askAll(c.hosts, "healed")
			require.Equal(t, asked, served)
		})
	}
}
