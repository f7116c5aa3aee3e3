package targetpool

import "time"

// usableConns returns the number of connections that may carry calls as of now.
func (p *Pool) usableConns(now time.Time) int { return p.stats.UsableConns(p.connLimit(now)) }

// inUse returns the number of connections that carry a call.
func (p *Pool) inUse() int { return len(p.conns) - len(p.idle) }

// dialForWaiting starts a connection attempt if calls wait that no connection can take.
// The caller holds the lock.
func (p *Pool) dialForWaiting(now time.Time) {
	if len(p.idle) == 0 && p.dialing < len(p.waiting) && p.inUse()+p.dialing < p.usableConns(now) {
		p.dial(now)
	}
}

// takeFree returns an idle connection, nil if there is none or as many are in use as may
// be. The caller holds the lock.
func (p *Pool) takeFree(now time.Time) *conn {
	if p.inUse() >= p.usableConns(now) {
		return nil
	}
	return p.takeIdle(now)
}

// takeFreeFor returns an idle connection for a call, nil if the call has to wait. The
// caller holds the lock.
func (p *Pool) takeFreeFor(call *Call, now time.Time) *conn {
	if !p.memory.fits(call) {
		return nil
	}
	return p.takeFree(now)
}

// takeIdle returns the most recently used idle connection and closes those that
// the target may be about to close. The caller holds the lock.
func (p *Pool) takeIdle(now time.Time) *conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.reusable(now) {
			return c
		}
		delete(p.conns, c)
		go c.close()
	}
	return nil
}

// assign binds the connection to the call and sets its deadline, so that a cancellation
// that comes before the call is sent shortens it. The caller holds the lock and sends
// the call after releasing it.
func (p *Pool) assign(c *conn, call *Call, now time.Time) {
	call.waiting = false
	call.conn = c
	call.sent = now
	c.call = call
	p.memory.held += requestBytes(call)
	c.used = true
	c.setDeadline(call)
	p.stats.Sent(now)
	p.links.expected = call.Expected
	p.countCold(now)
	p.countLimited(now)
}

// unassign ends the binding of the connection to its call, if it has one. The caller
// holds the lock.
func (p *Pool) unassign(c *conn) {
	if c.call != nil {
		p.memory.held -= requestBytes(c.call)
		c.call = nil
	}
}

// release assigns an open connection to the next waiting call or makes it idle. It
// closes the connection if the pool is closed or the target evacuated.
func (p *Pool) release(c *conn) {
	now := time.Now()
	p.mu.Lock()
	p.unassign(c)
	if p.closed || p.evacuated {
		delete(p.conns, c)
		p.mu.Unlock()
		c.close()
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
	assigned := p.assignWaiting(now)
	p.scheduleTrim()
	p.mu.Unlock()
	sendAll(assigned)
}

// assignWaiting assigns waiting calls to idle connections as far as these may be used,
// and returns the calls. The caller holds the lock and sends them after releasing it.
func (p *Pool) assignWaiting(now time.Time) []*Call {
	var assigned []*Call
	if held := p.takeHeld(now); len(held) > 0 {
		go endAll(held, ErrWarming, now)
	}
	if held := p.takeOverLimit(now); len(held) > 0 {
		go endAll(held, ErrLimited, now)
	}
	for len(p.waiting) > 0 {
		c := p.takeFree(now)
		if c == nil {
			break
		}
		call := p.nextWaiting(now)
		if call == nil {
			p.idle = append(p.idle, c)
			break
		}
		if !p.memory.fits(call) {
			call.waiting = true
			p.enqueueFirst(call)
			p.idle = append(p.idle, c)
			break
		}
		p.assign(c, call, now)
		assigned = append(assigned, call)
	}
	return assigned
}

// sendAll sends calls that were assigned to connections.
func sendAll(calls []*Call) {
	for _, call := range calls {
		call.conn.send(call)
	}
}
