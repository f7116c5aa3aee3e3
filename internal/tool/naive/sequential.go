package naive

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// Sequential queries the selected shards of x one after the other, the first
// replica of each, on a new connection each time.
func Sequential(ctx context.Context, dialer target.Dialer, x *Index, q *Query) []Result {
	var results []Result
	for i, shard := range x.shards(q) {
		replica := shard.Replicas[0]
		conn, err := dialer.Dial(ctx, x.Targets[replica], time.Until(q.Deadline))
		if err != nil {
			results = append(results, missing(&shard, verdict.TargetUnreachable))
			continue
		}
		results = append(results, ask(ctx, conn, uint64(i), q, &shard, replica, x.ShardMap.Snapshot))
		_ = conn.Close()
	}
	return results
}
