package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/store"
)

const (
	// faultEvery is the mean time between the starts of two faults.
	faultEvery = 250 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 100 * time.Millisecond
	longest  = 1500 * time.Millisecond
)

// fault begins a fault and returns what ends it.
type fault func(w *world) (end func())

func nothing() {}

// faults are what a seed chooses from.
var faults = []fault{
	// A daemon is killed and starts again.
	func(w *world) func() {
		h := w.anyHost()
		h.kill()
		return h.start
	},
	// It is asked to end.
	func(w *world) func() {
		h := w.anyHost()
		h.terminate()
		return h.start
	},
	// It stands still.
	func(w *world) func() {
		h := w.anyHost()
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	},
	// All daemons are killed.
	func(w *world) func() {
		for _, h := range w.hosts {
			h.kill()
		}
		return func() {
			for _, h := range w.hosts {
				h.start()
			}
		}
	},
	// The settings are unreadable for a while.
	func(w *world) func() {
		h := w.anyHost()
		if !h.spoilSettings() {
			return nothing
		}
		h.reload()
		return func() {
			h.setFile(h.good)
			h.reload()
		}
	},
	// The store fails for all.
	func(w *world) func() {
		kinds := []store.Fault{store.Busy, store.TooMany, store.Silent, store.Garbled}
		w.platform.Store.SetFault(kinds[w.pick(len(kinds))])
		return func() { w.platform.Store.SetFault(store.None) }
	},
	// The store forgets its history.
	func(w *world) func() {
		w.platform.Store.Compact()
		return nothing
	},
	// Links break: one host's to the store, hosts' among each other, a target's.
	func(w *world) func() { return w.breakLink(w.anyHost().store) },
	func(w *world) func() { return w.breakLink(w.anyHost().peer) },
	func(w *world) func() { return w.breakLink(w.anyTarget().proxy) },
	func(w *world) func() { return w.breakLink(w.anyTarget().proxy) },
	// A target stands still, or another one starts at its address.
	func(w *world) func() {
		t := w.anyTarget()
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.current.Pause()
	},
	func(w *world) func() {
		w.anyTarget().replace()
		return nothing
	},
	// Targets fail, cut, lose and double answers.
	func(w *world) func() {
		w.setLies(0.3)
		return func() { w.setLies(0) }
	},
	// The configuration changes several times.
	func(w *world) func() {
		for range 1 + w.pick(4) {
			w.publish()
		}
		return nothing
	},
}

// breakLink does to a link what a network does.
func (w *world) breakLink(p *faultproxy.Proxy) func() {
	rules := []faultproxy.Rule{
		faultproxy.Blackhole(),
		faultproxy.Delay(w.between(5*time.Millisecond, 200*time.Millisecond)),
		{ToServer: faultproxy.Flow{Hold: true}},
		{ToClient: faultproxy.Flow{Hold: true}},
		{Refuse: true},
	}
	p.SetRule(rules[w.pick(len(rules))])
	if w.pick(2) == 0 {
		p.Cut()
	}
	return func() { p.SetRule(faultproxy.Rule{}) }
}

func (w *world) anyHost() *host { return w.hosts[w.pick(len(w.hosts))] }

func (w *world) anyTarget() *target { return w.targets[w.pick(len(w.targets))] }

// playFaults lets faults begin for a time, one after the other or at once, and
// waits for their end.
func (w *world) playFaults(lasting time.Duration) {
	var open sync.WaitGroup
	for end := time.Now().Add(lasting); time.Now().Before(end); {
		f := faults[w.pick(len(faults))]
		length := w.between(shortest, longest)
		open.Go(func() {
			heal := f(w)
			time.Sleep(length)
			heal()
		})
		time.Sleep(w.between(faultEvery/4, 2*faultEvery))
	}
	open.Wait()
}
