package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/store"
)

const (
	// meanFaultInterval is roughly the mean time between the starts of two faults.
	meanFaultInterval = 250 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 1500 * time.Millisecond
	// maxLostWrites bounds the writes that a restore of the store loses.
	maxLostWrites = 8
)

// fault starts a fault and returns a function that clears it.
type fault func(e *environment) (end func())

func noop() {}

// faults are the faults that injectFaults chooses from.
var faults = []fault{
	// A daemon is killed and later restarted.
	func(e *environment) func() {
		h := e.anyHost()
		h.kill()
		return h.start
	},
	// A daemon stops gracefully and is later restarted.
	func(e *environment) func() {
		h := e.anyHost()
		h.terminate()
		return h.start
	},
	// A daemon is paused.
	func(e *environment) func() {
		h := e.anyHost()
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	},
	// All daemons are killed and later restarted.
	func(e *environment) func() {
		for _, h := range e.hosts {
			h.kill()
		}
		return func() {
			for _, h := range e.hosts {
				h.start()
			}
		}
	},
	// A daemon reloads unreadable settings, and later valid ones.
	func(e *environment) func() {
		h := e.anyHost()
		if !h.corruptSettings() {
			return noop
		}
		h.reload()
		return func() {
			h.setFile(h.validSettings)
			h.reload()
		}
	},
	// The store fails for all hosts.
	func(e *environment) func() {
		kinds := []store.Fault{store.Busy, store.TooMany, store.Silent, store.Garbled}
		e.platform.Store.SetFault(kinds[e.pick(len(kinds))])
		return func() { e.platform.Store.SetFault(store.None) }
	},
	// The store discards its change history.
	func(e *environment) func() {
		e.platform.Store.Compact()
		return noop
	},
	// The store comes back from a copy that lacks the last writes, which operator and
	// targets write again.
	func(e *environment) func() {
		e.platform.Store.Restore(max(e.platform.Store.Revision()-int64(e.pick(maxLostWrites)), 1))
		return e.writeAgain
	},
	// A link fails: between one host and the store, between hosts, or to a target.
	func(e *environment) func() { return e.breakLink(e.anyHost().store) },
	func(e *environment) func() { return e.breakLink(e.anyHost().peer) },
	func(e *environment) func() { return e.breakLink(e.anyTarget().proxy) },
	func(e *environment) func() { return e.breakLink(e.anyTarget().proxy) },
	// A target is paused, or replaced by another one at the same address.
	func(e *environment) func() {
		t := e.anyTarget()
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.current.Pause()
	},
	func(e *environment) func() {
		e.anyTarget().replace()
		return noop
	},
	// A target answers that it is leaving and is then replaced.
	func(e *environment) func() {
		t := e.anyTarget()
		t.running().Leave()
		return t.replace
	},
	// A target asks for a pause.
	func(e *environment) func() {
		e.anyTarget().running().RefuseFor(e.between(minFaultDuration, maxFaultDuration))
		return noop
	},
	// Targets shed requests, fail, and truncate, lose or duplicate answers.
	func(e *environment) func() {
		e.setFaultShare(0.3)
		return func() { e.setFaultShare(0) }
	},
	// The configuration is published again, one to four times.
	func(e *environment) func() {
		for range 1 + e.pick(4) {
			e.publish()
		}
		return noop
	},
}

// breakLink injects a random network fault into a link: bytes held back in both or one
// direction, a delay, or refused connections. Half of the time it also cuts the open
// connections.
func (e *environment) breakLink(p *faultproxy.Proxy) func() {
	rules := []faultproxy.Rule{
		faultproxy.Blackhole(),
		faultproxy.Delay(e.between(5*time.Millisecond, 200*time.Millisecond)),
		{ToServer: faultproxy.Flow{Hold: true}},
		{ToClient: faultproxy.Flow{Hold: true}},
		{Refuse: true},
	}
	p.SetRule(rules[e.pick(len(rules))])
	if e.pick(2) == 0 {
		p.Cut()
	}
	return func() { p.SetRule(faultproxy.Rule{}) }
}

// writeAgain lets the operator and all targets write again what a restore lost.
func (e *environment) writeAgain() {
	e.publish()
	e.writeEvacuationAgain()
	for _, t := range e.targets {
		t.registerAgain()
	}
}

func (e *environment) anyHost() *host { return e.hosts[e.pick(len(e.hosts))] }

func (e *environment) anyTarget() *target { return e.targets[e.pick(len(e.targets))] }

// injectFaults starts random faults, which may overlap, for the given period, and
// waits until all are cleared.
func (e *environment) injectFaults(period time.Duration) {
	done := make(chan struct{})
	time.AfterFunc(period, func() { close(done) })
	e.injectFaultsUntil(done)
}

// injectFaultsUntil is injectFaults until done is closed.
func (e *environment) injectFaultsUntil(done <-chan struct{}) {
	var active sync.WaitGroup
	for !isClosed(done) {
		f := faults[e.pick(len(faults))]
		duration := e.between(minFaultDuration, maxFaultDuration)
		active.Go(func() {
			clearFault := f(e)
			time.Sleep(duration)
			clearFault()
		})
		time.Sleep(e.between(meanFaultInterval/4, 2*meanFaultInterval))
	}
	active.Wait()
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
