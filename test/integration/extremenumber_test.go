package integration

import (
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

// extremeLengths are lengths of a body that no int64 sums up, or that exceed one.
var extremeLengths = []string{"9223372036854775807", "4611686018427387904", "99999999999999999999", "18446744073709551616"}

// startExtremeTarget starts a target whose replies state extreme numbers: lengths, and the load and the
// retry hint of a failure.
func startExtremeTarget(t *testing.T) *rawserver.Server {
	t.Helper()
	extremes := []int64{math.MaxInt64, math.MinInt64, 1 << 62, -1}
	var sent atomic.Int64
	server, err := rawserver.Start(func(r *http.Request, body []byte) ([]byte, bool) {
		i := int(sent.Add(1))
		if i%3 == 0 {
			length := extremeLengths[i/3%len(extremeLengths)]
			return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %s\r\n\r\n", target.ContentType, length), false
		}
		n := extremes[i%len(extremes)]
		reply := failedReply(r.URL.Path == target.PathLoad, body, target.AnswerItem{
			Status: target.StatusRefused, Reason: verdict.TargetShed, RetryAfterMS: n, Load: subquery.Load{Inflight: int(n), Queued: int(n)},
		})
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", target.ContentType, len(reply), reply), false
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// TestExtremeNumbersOfTargetsCostNoOtherShard replaces the targets of a shard by ones that state extreme
// numbers. It guards against a number that ends a host's process, where it is read or reported.
func TestExtremeNumbersOfTargetsCostNoOtherShard(t *testing.T) {
	const lasts = 3 * time.Second
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 2})
	awaitCompleteAnswer(t, f, f.Hosts[0])
	servers := replaceTargets(t, f, func(int) *rawserver.Server { return startExtremeTarget(t) })
	requireOtherShards(t, f, lasts)
	require.Positive(t, servers[0].Requests()+servers[1].Requests())
	for _, host := range f.Hosts {
		require.NotEmpty(t, host.Metrics(t))
		host.Terminate(t)
		require.Zero(t, host.ExitCode(t), host.ID)
	}
}
