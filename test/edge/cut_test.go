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

// asked is what became of requests through some hosts.
type asked struct {
	served, all int
	// orders has the status of each order, 0 without an answer.
	orders map[string]int
}

// askAll sends requests of each kind through the hosts, one after the other.
func askAll(t *testing.T, hosts []*host, id string) *asked {
	a := &asked{orders: map[string]int{}}
	for k, h := range hosts {
		caller := h.caller()
		for n := range cutAsked {
			for _, kind := range []string{"sweep", "read", "order"} {
				a.ask(t, caller, kind, fmt.Sprintf("%s-%s-%d-%d", id, kind, k, n))
			}
		}
	}
	return a
}

// ask sends a request of a kind.
func (a *asked) ask(t *testing.T, caller *caller, kind, id string) {
	method := http.MethodGet
	if kind == "order" {
		method = http.MethodPost
		a.orders[id] = 0
	}
	a.all++
	r, err := caller.ask(method, "/"+kind+"/x", id, nil)
	if err != nil {
		return
	}
	if kind == "order" {
		a.orders[id] = r.status
	}
	if r.status == http.StatusOK && (kind != "sweep" || requireValidSweep(t, id, r) == 0) {
		a.served++
	}
}

// runs returns how often each request ran on the searchers for single requests.
func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, s := range c.Searchers[deployment.Single] {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	return runs
}

// requireOrders requires that orders ran once at most, those that were served ran, and those
// that were refused did not.
func (c *cluster) requireOrders(statuses map[string]int) {
	c.t.Helper()
	runs := c.runs()
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
			during := make(chan *asked)
			go func() { during <- askAll(t, cut, "during") }()
			time.Sleep(cutSettles)
			a := askAll(t, cut, "cut")
			require.GreaterOrEqual(t, 3*a.served, 2*a.all, "%d of %d served", a.served, a.all)
			for _, h := range cut {
				h.dialer.cut(linkUp)
			}
			time.Sleep(cutSettles)
			healed := askAll(t, c.hosts, "healed")
			require.Equal(t, healed.all, healed.served)
			for _, group := range []*asked{<-during, a, healed} {
				c.requireOrders(group.orders)
			}
		})
	}
}

// TestLostLinksAreNotReportedAsCrashesOfTargets guards against callers whose requests are
// refused everywhere since a host took the loss of its links for crashes.
func TestLostLinksAreNotReportedAsCrashesOfTargets(t *testing.T) {
	for name, form := range map[string]cutForm{"reset": linkReset, "hangs": linkHangs} {
		t.Run(name, func(t *testing.T) {
			c := start(t, options{work: 30 * time.Millisecond, hosts: 3, linked: true, cuttable: true})
			go flood(c.hosts, "/sweep/x", "crash", 4*time.Second, 10*time.Millisecond)
			for range 2 {
				time.Sleep(time.Second)
				c.hosts[1].dialer.cut(form)
				time.Sleep(time.Second)
				c.hosts[1].dialer.cut(linkUp)
			}
			for _, h := range c.hosts {
				require.NotContains(t, h.log.String(), "a target crashed while it had this request")
				r, err := h.caller().ask(http.MethodGet, "/sweep/x", "after", nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, r.status)
			}
		})
	}
}

// TestRequestInFlightAtTheCutIsServedByAnotherHost guards against callers that wait for replies
// which can't come, or have to ask again.
func TestRequestInFlightAtTheCutIsServedByAnotherHost(t *testing.T) {
	c := start(t, options{work: time.Millisecond, hosts: 3, linked: true, cuttable: true})
	flood(c.hosts, "/sweep/x", "warm", 2*time.Second, 10*time.Millisecond)
	c.hosts[1].dialer.cut(linkHangs)
	r, err := c.hosts[1].caller().ask(http.MethodGet, "/sweep/x", "in-flight", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status)
	require.Zero(t, requireValidSweep(t, "in-flight", r))
}
