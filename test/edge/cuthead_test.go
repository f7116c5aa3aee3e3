package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// TestHeadThatIsCutOffIsNoAnswer lets targets close connections in order within the heads of
// their answers. It guards against callers that get a success with a part of the answer or none,
// and against orders that run again or are refused although they ran.
func TestHeadThatIsCutOffIsNoAnswer(t *testing.T) {
	const asked = 60
	c := start(t, options{work: time.Millisecond, fault: func(service, id string) searcher.Fault {
		if strings.HasPrefix(id, "cut") && (service == deployment.Single || service == shardName(3)) {
			return searcher.CutHead
		}
		return searcher.None
	}})
	caller := c.hosts[0].caller()
	orders, cut := map[string]int{}, 0
	for i := range asked {
		id := fmt.Sprintf("cut-sweep-%d", i)
		r, err := caller.ask(http.MethodGet, "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Equal(t, 1, requireValidSweep(t, id, r))
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			id, path := fmt.Sprintf("cut-%s-%d", method, i), "/read/x"
			if method == http.MethodPost {
				path = "/order/x"
			}
			r, err := caller.ask(method, path, id, nil)
			require.NoError(t, err)
			require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, r.status, id)
			if method == http.MethodPost {
				orders[id] = r.status
			}
			if r.status == http.StatusBadGateway {
				cut++
			}
		}
		id = fmt.Sprintf("whole-%d", i)
		if r, err = caller.ask(http.MethodGet, "/read/x", id, nil); err == nil && r.status == http.StatusOK {
			require.Equal(t, searcher.Records(deployment.Single, id, nil, records), r.body)
		}
	}
	require.Positive(t, cut)
	c.requireOrders(orders)
	t.Logf("%d of %d single requests got 502", cut, 3*asked)
}
