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

// controlConn is a pool's connection for cancellations and probes, which can't use
// the connections that are busy with exchanges.
type controlConn struct {
	p *pool
	// enabled is false if the quota leaves no connection beyond those of the slots.
	enabled bool
	wake    chan struct{}

	// pending are the ids of the sub-requests to cancel.
	pendingMu sync.Mutex
	pending   []uint64

	// connMu is held during I/O on conn. Submitting and cancelling a sub-request
	// never wait for it.
	connMu sync.Mutex
	conn   target.Conn
}

func newControlConn(p *pool, enabled bool) *controlConn {
	return &controlConn{p: p, enabled: enabled, wake: make(chan struct{}, 1)}
}

// cancel queues a cancellation of the sub-request for the target. It does not
// block.
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

// loop sends cancellations until the pool closes. On the target's owner it also
// probes the target to keep the connection open, except between a failure and the
// recovery. There are two reasons to keep it open: a cancellation must not wait for a
// dial, and if a worker's connection broke and this one too, the target's process
// crashed, which distinguishes a crash from the loss of a single connection.
func (c *controlConn) loop() {
	probeTimer := time.NewTimer(0)
	defer probeTimer.Stop()
	for {
		select {
		case <-c.p.ctx.Done():
			c.connMu.Lock()
			c.disconnect()
			c.connMu.Unlock()
			return
		case <-c.wake:
			c.flush()
		case <-probeTimer.C:
			// Any slot but 0 keeps its connection under the same conditions as the
			// control connection.
			if c.enabled && c.p.keepsIdleConn(1, time.Now()) {
				_, _ = c.probe()
			}
			probeTimer.Reset(c.p.l.limits.IdleProbe)
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
		c.p.applyProbe(&load)
	}
	return load, err
}

// use runs f on the connection, which it opens if needed. The error wraps
// errNoAnswer if there was no answer in time, or if the dial timed out, exceeded the
// quota or was ended by closing the pool. A failed connection is closed.
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
		c.disconnect()
	}
	return err
}

// disconnect closes the connection. connMu must be held.
func (c *controlConn) disconnect() {
	if c.conn != nil {
		c.p.closeConn(c.conn)
		c.conn = nil
	}
}
