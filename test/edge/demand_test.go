package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinkedHostsUseTheFleetsSharesUnderOverload guards against hosts that limit admission
// each for itself although they are linked: the callers of both ask for several times what
// the targets serve within the objective.
func TestLinkedHostsUseTheFleetsSharesUnderOverload(t *testing.T) {
	const callers = 30
	c := start(t, options{hosts: 2, linked: true, work: 100 * time.Millisecond, objective: 400 * time.Millisecond})
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, h := range c.hosts {
		for k := range callers {
			all.Go(func() {
				caller := h.caller()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					_, _ = caller.ask("GET", "/sweep/x", fmt.Sprintf("demand-%d-%d-%d", i, k, n), nil) // refusals are expected
				}
			})
		}
	}
	for _, h := range c.hosts {
		require.Eventually(t, func() bool {
			log := h.log.String()
			return strings.Contains(log, "admission to a group of targets is limited") && strings.Contains(log, `"fleet_shares":true`)
		}, 2*waitLimit, 50*time.Millisecond)
	}
	close(stop)
	all.Wait()
}
