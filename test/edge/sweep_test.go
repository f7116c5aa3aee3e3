package edge_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// requireValidSweep checks a sweep's reply against the result computed from the
// contents of the parts that it names. It returns the number of missing parts.
func requireValidSweep(t *testing.T, id string, r *reply) (missing int) {
	t.Helper()
	require.Equal(t, 200, r.status)
	signatures := strings.Split(r.header.Get("Part-Stamps"), ", ")
	missing, err := strconv.Atoi(r.header.Get("Missing-Parts"))
	require.NoError(t, err)
	require.Equal(t, shards, len(signatures)+missing)
	name := shardName
	if strings.Contains(signatures[0], ".new-") {
		name = newShardName
	}
	targets := map[string][]string{}
	for i := range shards {
		for k := range replicas {
			targets[name(i)] = append(targets[name(i)], fmt.Sprintf("%s-%d", name(i), k))
		}
	}
	sweep := searcher.Sweep{ID: id, Signatures: signatures, Missing: missing, Body: r.body}
	require.NoError(t, sweep.Check(targets, topK, records))
	return missing
}

// newShardName returns the name of a shard after a repartition.
func newShardName(i int) string { return "new-" + strconv.Itoa(i) }

func TestSweepReturnsGreatestRecordsOfAllShards(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	caller := c.hosts[0].caller()
	for i := range 20 {
		id := fmt.Sprintf("calm-%d", i)
		r, err := caller.ask("GET", "/sweep/x?q=1", id, nil)
		require.NoError(t, err)
		require.Zero(t, requireValidSweep(t, id, r))
		require.Equal(t, id, r.header.Get("Request-Id"))
	}
}

func TestSweepMissesAtMostOneShardWhileOneShardFails(t *testing.T) {
	faults := []searcher.Fault{
		searcher.Shed, searcher.FailRun, searcher.LoseAnswer, searcher.CutAnswer, searcher.CutHead, searcher.TwoAnswers, searcher.NoLength,
	}
	c := start(t, options{work: time.Millisecond, fault: func(service, id string) searcher.Fault {
		n, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
		if service == shardName(n%shards) {
			return faults[n%len(faults)]
		}
		return searcher.None
	}})
	caller := c.hosts[0].caller()
	for i := range 60 {
		id := fmt.Sprintf("lie-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.LessOrEqual(t, requireValidSweep(t, id, r), 1)
	}
}

func TestPausedTargetIsHedged(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	caller := c.hosts[0].caller()
	resume := c.Searchers[shardName(3)][0].Pause()
	defer resume()
	for i := range 10 {
		id := fmt.Sprintf("pause-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Zero(t, requireValidSweep(t, id, r), "the other replica must answer for the shard")
	}
}

func TestShardWithoutTargetsIsReportedMissing(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	for _, s := range c.Searchers[shardName(5)] {
		s.Close()
	}
	caller := c.hosts[0].caller()
	for i := range 5 {
		id := fmt.Sprintf("lost-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Equal(t, 1, requireValidSweep(t, id, r))
	}
}

func TestSweepBelowMinimumCoverageIsRefusedBeforeDispatch(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	for i := range 3 {
		for _, s := range c.Searchers[shardName(i)] {
			s.Close()
		}
	}
	caller := c.hosts[0].caller()
	require.Eventually(t, func() bool {
		r, err := caller.ask("GET", "/sweep/x", "probe", nil)
		return err == nil && r.status == 503
	}, waitLimit, 20*time.Millisecond)
	r, err := caller.ask("GET", "/sweep/x", "refused-1", nil)
	require.NoError(t, err)
	require.Equal(t, 503, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	for _, list := range c.Searchers {
		for _, s := range list {
			require.Zero(t, s.Arrivals()["refused-1"], "a refused sweep must not reach a target")
		}
	}
}

func TestRepartitionNeverMixesOldAndNewShards(t *testing.T) {
	c := start(t, options{work: time.Millisecond})
	next := c.Config()
	gather := []catalog.ServiceName{}
	for i := range shards {
		name := newShardName(i)
		require.NoError(t, c.AddService(name, replicas))
		gather = append(gather, catalog.ServiceName(name))
	}
	next.Routes[0].Shards = gather
	caller := c.hosts[0].caller()
	switched := false
	for i := range 200 {
		if i == 20 {
			c.publish(next)
		}
		id := fmt.Sprintf("part-%d", i)
		r, err := caller.ask("GET", "/sweep/x", id, nil)
		require.NoError(t, err)
		require.Zero(t, requireValidSweep(t, id, r))
		onNewShards := strings.Contains(r.header.Get("Part-Stamps"), ".new-")
		require.NotEqual(t, onNewShards, strings.Contains(r.header.Get("Part-Stamps"), ".shard-"))
		require.False(t, switched && !onNewShards, "an answer from the old shards after one from the new shards")
		switched = onNewShards
		if !switched {
			time.Sleep(10 * time.Millisecond)
		}
	}
	require.True(t, switched)
}
