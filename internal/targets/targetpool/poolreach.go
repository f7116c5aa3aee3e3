package targetpool

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
)

// probeInterval is the mean time between two attempts to connect to a lost target.
const probeInterval = 600 * time.Millisecond

// poolReach is whether a pool's target is reached. The pool's lock guards it.
type poolReach struct {
	reach.Target
	// expected is the usual duration of the last call that was sent.
	expected time.Duration
	probing  bool
	// links belongs to the directory; nil for a pool without one.
	links *Links
}

// noteHeard records that the target has answered or accepted a connection. The caller holds
// the lock.
func (p *Pool) noteHeard(now time.Time) {
	p.heardAt = now
	p.links.Heard(now)
	p.links.links.noteHeard(now)
}

// noteUnreachable records that the target can't be reached if there is no connection to it.
// The caller holds the lock.
func (p *Pool) noteUnreachable() {
	if p.unreachable() {
		p.setLost()
	}
}

// setLost records that the target can't be reached, and probes it until it can. The caller
// holds the lock.
func (p *Pool) setLost() {
	p.links.Failed()
	if p.links.probing || p.links.links == nil {
		return
	}
	p.links.probing = true
	p.scheduleProbe()
}

func (p *Pool) scheduleProbe() {
	time.AfterFunc(probeInterval/2+rand.N(probeInterval), p.probe)
}

// markLost is setLost for a caller that doesn't hold the lock.
func (p *Pool) markLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLost()
}

// noteSilence records that the target is lost if it has been silent for long, and reports
// whether it counts as lost in case all others are silent too.
func (p *Pool) noteSilence(now time.Time) (overdue bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse() == 0 || p.links.Lost() {
		return false
	}
	load := p.stats.Load(now)
	p.addForeseen(&load, now)
	if reach.Silent(load.Stalled, p.links.expected) {
		p.setLost()
	}
	return reach.Overdue(load.Stalled, p.links.expected)
}

// reach returns whether the target is reached and whether it is lost; neither, if that isn't
// known.
func (p *Pool) reach(now time.Time) (reached, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal(now) != nil {
		return false, false
	}
	return p.links.Reached(now), p.links.Lost()
}

// probe tries to connect to a lost target, whose open connections may be dead without a sign.
func (p *Pool) probe() {
	p.mu.Lock()
	if p.closed || !p.links.Lost() {
		p.links.probing = false
		p.mu.Unlock()
		return
	}
	blocked := p.refusal(time.Now()) != nil
	p.mu.Unlock()
	if !blocked {
		p.probeOnce()
	}
	p.scheduleProbe()
}

// probeOnce opens and closes a connection. If that succeeds, the pool may dial again at once.
func (p *Pool) probeOnce() {
	raw, err := p.dialer.Dial(p.target.Addr, dialTimeout)
	if err != nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	p.noteHeard(now)
	p.noteAccepted()
	p.retryDial = time.Time{}
	p.mu.Unlock()
	p.closeProbe(raw)
	p.redial()
}

// closeProbe closes a connection that was opened to see whether the target accepts it.
func (p *Pool) closeProbe(raw net.Conn) {
	if err := raw.Close(); err != nil {
		p.log.WithError(err).Debug("closing a probe's connection failed")
	}
}
