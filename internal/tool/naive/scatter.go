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

// Scatter asks all shards at once on warm connections, as a host does that
// shares each target's connection limit evenly with the other hosts.
type Scatter struct {
	index  *Index
	dialer target.Dialer
	ids    atomic.Uint64
	pools  map[model.TargetID]*pool
}

// pool holds one target's connections. A nil entry is leave to dial one.
type pool struct {
	target *model.Target
	conns  chan target.Conn
}

// NewScatter returns a scatter for one of hosts hosts. Each target gets at least
// one connection.
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

// Query asks every shard, one replica each, and returns once all have an
// outcome or the deadline has passed.
func (s *Scatter) Query(ctx context.Context, q *Query) []Result {
	shards := s.index.shards(q)
	results := make([]Result, len(shards))
	var group sync.WaitGroup
	for i := range shards {
		group.Go(func() {
			shard := &shards[i]
			replica := shard.Replicas[rand.IntN(len(shard.Replicas))]
			results[i] = s.one(ctx, q, shard, replica)
		})
	}
	group.Wait()
	return results
}

func (s *Scatter) one(ctx context.Context, q *Query, shard *model.Shard, replica model.TargetID) Result {
	p := s.pools[replica]
	conn, reason := p.take(ctx, s.dialer, q.Deadline)
	if reason != "" {
		return missing(shard, reason)
	}
	result := ask(ctx, conn, s.ids.Add(1), q, shard, replica, s.index.ShardMap.Snapshot)
	p.put(conn)
	return result
}

// take waits for one of the pool's connections, dialled if need be.
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

// put gives a connection back, or leave to dial another if it is broken.
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
