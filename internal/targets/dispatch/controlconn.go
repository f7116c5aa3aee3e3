package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// controlConn is the connection on which a pool cancels and probes while its
// slots are busy.
type controlConn struct {
	p       *pool
	enabled bool
	wake    chan struct{}

	// pending are exchange ids to cancel.
	pendingMu sync.Mutex
	pending   []uint64

	// connMu is held over I/O on conn, which nothing on the path of a request
	// waits for.
	connMu sync.Mutex
	conn   target.Conn
}

func newControlConn(p *pool, enabled bool) *controlConn {
	return &controlConn{p: p, enabled: enabled, wake: make(chan struct{}, 1)}
}

// cancel asks the target to give the exchange up. It does not block.
func (c *controlConn) cancel(id uint64) {
	if !c.enabled {
		return
	}
	c.pendingMu.Lock()
	c.pending = append(c.pending, id)
	c.pendingMu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// loop sends cancellations until the pool closes, and keeps the connection warm
// in between: a cancellation must not wait for a new connection, and a
// connection that dies together with others tells a crash from a cut.
func (c *controlConn) loop() {
	warm := time.NewTimer(0)
	defer warm.Stop()
	for {
		select {
		case <-c.p.ctx.Done():
			c.connMu.Lock()
			c.drop()
			c.connMu.Unlock()
			return
		case <-c.wake:
			c.flush()
		case <-warm.C:
			if c.enabled && c.p.wantsWarm(1, time.Now()) {
				_, _ = c.probe()
			}
			warm.Reset(c.p.l.limits.IdleProbe)
		}
	}
}

// flush sends the pending cancellations in one message.
func (c *controlConn) flush() {
	c.pendingMu.Lock()
	ids := c.pending
	c.pending = nil
	c.pendingMu.Unlock()
	if len(ids) == 0 {
		return
	}
	_ = c.use(func(ctx context.Context, conn target.Conn) error { return conn.Cancel(ctx, ids) })
}

// probe asks the target for its load.
func (c *controlConn) probe() (subquery.Load, error) {
	var load subquery.Load
	err := c.use(func(ctx context.Context, conn target.Conn) error {
		var err error
		load, err = conn.Probe(ctx)
		return err
	})
	if err == nil {
		c.p.probed(&load)
	}
	return load, err
}

// use runs f on the connection, which it opens if there is none.
func (c *controlConn) use(f func(context.Context, target.Conn) error) error {
	if !c.enabled {
		return errNoControlConn
	}
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.p.ctx.Err() != nil {
		return c.p.ctx.Err()
	}
	if c.conn == nil {
		conn, err := c.p.dial(c.p.l.limits.ProbeTimeout)
		if err != nil && !errors.Is(err, errRefused) {
			return fmt.Errorf("%w: %w", errNoAnswer, err)
		}
		if err != nil {
			return err
		}
		c.conn = conn
	}
	ctx, cancel := context.WithTimeout(c.p.ctx, c.p.l.limits.ProbeTimeout)
	defer cancel()
	err := f(ctx, c.conn)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if err != nil || c.conn.Broken() {
		c.drop()
	}
	return err
}

// drop closes the connection. connMu must be held.
func (c *controlConn) drop() {
	if c.conn != nil {
		c.p.hangUp(c.conn)
		c.conn = nil
	}
}
