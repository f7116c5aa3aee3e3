package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/targets/target"
	"github.com/swiftvane/swiftvane/test/harness"
)

// startBrokenTarget starts a target whose replies, one in four of its load reports among them, have
// heads with random errors. What can be read of them is that each query failed.
func startBrokenTarget(t *testing.T, seed uint64) *rawserver.Server {
	t.Helper()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	server, err := rawserver.Start(func(r *http.Request, body []byte) ([]byte, bool) {
		mu.Lock()
		defer mu.Unlock()
		isLoad := r.URL.Path == target.PathLoad
		reply := failedReply(isLoad, body, target.AnswerItem{Status: target.StatusFailed, Reason: verdict.TargetFailed, Message: "\xe9\xff"})
		raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Other: \xe9\xff\r\nContent-Length: %d\r\n\r\n%s", target.ContentType, len(reply), reply)
		if isLoad && random.IntN(4) > 0 {
			return raw, false
		}
		return rawserver.Mutate(raw, random), true
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// failedReply returns the body of a load report, or of answers to a search that are all the given one.
func failedReply(isLoad bool, search []byte, answer target.AnswerItem) []byte {
	var items []target.SearchItem
	var reply any = answer.Load
	if !isLoad && target.Decode(search, &items) == nil {
		answers := make([]target.AnswerItem, len(items))
		for i := range items {
			answers[i] = answer
			answers[i].ExchangeID = items[i].ExchangeID
		}
		reply = answers
	}
	encoded, err := target.Encode(reply)
	if err != nil {
		panic(err) // the types can be encoded
	}
	return encoded
}

// TestBrokenHeadsOfTargetsCostNoOtherShard replaces the targets of a shard by ones that send broken heads.
// It guards against replies that end a host's process or the answers of other shards.
func TestBrokenHeadsOfTargetsCostNoOtherShard(t *testing.T) {
	const lasts = 2 * time.Second
	f := harness.Start(t, harness.Options{Shape: fixture.DiffReview(), Hosts: 2})
	awaitCompleteAnswer(t, f, f.Hosts[0])
	broken := replaceTargets(t, f, func(replica int) *rawserver.Server { return startBrokenTarget(t, uint64(replica)) })
	requireOtherShards(t, f, lasts)
	t.Logf("requests at the broken targets: %d and %d", broken[0].Requests(), broken[1].Requests())
	require.Positive(t, broken[0].Requests())
	for _, host := range f.Hosts {
		require.False(t, host.Exited(), host.ID)
	}
}

// replaceTargets replaces the targets of the first shard.
func replaceTargets(t *testing.T, f *harness.Fleet, start func(replica int) *rawserver.Server) []*rawserver.Server {
	t.Helper()
	const replicas = 2
	var servers []*rawserver.Server
	targets := map[string]any{}
	for replica := range replicas {
		id := f.Shape.Target(0, replica)
		servers = append(servers, start(replica))
		targets["targets/"+string(id)] = model.Target{
			ID: id, Addr: servers[replica].Addr(), Region: fixture.Region,
			FailureDomain: fixture.Domain(slices.Index(f.Shape.TargetIDs(), id)), Slots: f.Shape.Slots, MaxConnections: f.Shape.MaxConnections,
		}
	}
	revision := f.Platform.Publish(t, targets)
	for _, host := range f.Hosts {
		_, err := host.Admin().WaitConfig(revision, time.Minute)
		require.NoError(t, err)
	}
	return servers
}

// requireOtherShards sends queries for the given time. Each must be answered, and may lack the first shard
// only.
func requireOtherShards(t *testing.T, f *harness.Fleet, lasts time.Duration) {
	t.Helper()
	const askers = 4
	end := time.Now().Add(lasts)
	var all sync.WaitGroup
	for k := range askers {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if err := askOtherShards(t, f, k, n); err != nil {
					t.Errorf("query %d: %v", n, err)
					return
				}
			}
		})
	}
	all.Wait()
}

// askOtherShards sends the nth query of an asker.
func askOtherShards(t *testing.T, f *harness.Fleet, asker, n int) error {
	body := harness.Body(asker*100_000 + n)
	answer, err := f.Hosts[asker%len(f.Hosts)].Ask(t, f.Shape.Workload, body)
	if err == nil {
		err = f.Verify(body, answer)
	}
	if err != nil {
		return err
	}
	for _, missing := range answer.Coverage.Missing {
		if missing.Shard != f.Shape.Shard(0) {
			return fmt.Errorf("shard %s is missing: %s", missing.Shard, missing.Reason)
		}
	}
	return nil
}
