package naive

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// Scatter queries all shards concurrently over reused connections. It limits
// itself to its host's even share of each target's connection limit.
type Scatter struct {
	index  *Index
	dialer target.Dialer
	ids    atomic.Uint64
	pools  map[model.TargetID]*pool
}

// pool holds one target's idle connections. A nil entry in conns is a permit to
// dial a new connection.
type pool struct {
	target *model.Target
	conns  chan target.Conn
}

// NewScatter returns a Scatter for one host of a fleet of the given number of
// hosts. Each target gets at least one connection.
func NewScatter(dialer target.Dialer, x *Index, hosts int) *Scatter {
	s := &Scatter{index: x, dialer: dialer, pools: make(map[model.TargetID]*pool, len(x.Targets))}
	for id, t := range x.Targets {
		share := max(t.MaxConnections/max(hosts, 1), 1)
		p := &pool{target: t, conns: make(chan target.Conn, share)}
		for range share {
			p.conns <- nil
		}
		s.pools[id] = p
	}
	return s
}

// Query sends the query to a random replica of every selected shard and returns
// once all have a result or the deadline has passed.
func (s *Scatter) Query(ctx context.Context, q *Query) []Result {
	shards := s.index.shards(q)
	results := make([]Result, len(shards))
	var group sync.WaitGroup
	for i := range shards {
		group.Go(func() {
			shard := &shards[i]
			replica := shard.Replicas[rand.IntN(len(shard.Replicas))]
			results[i] = s.queryShard(ctx, q, shard, replica)
		})
	}
	group.Wait()
	return results
}

func (s *Scatter) queryShard(ctx context.Context, q *Query, shard *model.Shard, replica model.TargetID) Result {
	p := s.pools[replica]
	conn, reason := p.take(ctx, s.dialer, q.Deadline)
	if reason != "" {
		return missing(shard, reason)
	}
	result := ask(ctx, conn, s.ids.Add(1), q, shard, replica, s.index.ShardMap.Snapshot)
	p.put(conn)
	return result
}

// take waits for one of the pool's entries and dials a connection if it is a
// permit.
func (p *pool) take(ctx context.Context, dialer target.Dialer, deadline time.Time) (target.Conn, verdict.Reason) {
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	var conn target.Conn
	select {
	case conn = <-p.conns:
	case <-expired.C:
		return nil, verdict.DeadlinePassed
	case <-ctx.Done():
		return nil, verdict.Cancelled
	}
	if conn != nil {
		return conn, ""
	}
	conn, err := dialer.Dial(ctx, p.target, time.Until(deadline))
	if err != nil {
		p.conns <- nil
		return nil, verdict.TargetUnreachable
	}
	return conn, ""
}

// put returns a connection to the pool, or a permit to dial a new one if it is
// broken.
func (p *pool) put(conn target.Conn) {
	if conn.Broken() {
		_ = conn.Close()
		conn = nil
	}
	p.conns <- conn
}

// Close closes all connections. No query may be running.
func (s *Scatter) Close() {
	for _, p := range s.pools {
		for range cap(p.conns) {
			if conn := <-p.conns; conn != nil {
				_ = conn.Close()
			}
		}
	}
}
