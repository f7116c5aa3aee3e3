package soak

import (
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// checkInterval is the time between two readiness checks of the balancer.
	checkInterval = keptGrace / 6
	// missesUntilOut is the number of failed checks in a row that take a host out.
	missesUntilOut = 2
)

// balancer chooses the host of each new connection, as the users' balancer does: hosts that
// fail two readiness checks in a row get none, unless less than half of all hosts are left.
type balancer struct {
	hosts []*host

	mu     sync.Mutex
	misses map[*host]int
}

func newBalancer(hosts []*host) *balancer { return &balancer{hosts: hosts, misses: map[*host]int{}} }

// run checks the hosts until done is closed.
func (b *balancer) run(done <-chan struct{}) {
	for !isClosed(done) {
		for _, h := range b.hosts {
			b.note(h, h.isReady())
		}
		time.Sleep(checkInterval)
	}
}

func (b *balancer) note(h *host, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[h]++
	if ready {
		b.misses[h] = 0
	}
}

// choose returns the host for a new connection; pick returns a random number below n.
func (b *balancer) choose(pick func(n int) int) *host {
	b.mu.Lock()
	in := lo.Filter(b.hosts, func(h *host, _ int) bool { return b.misses[h] < missesUntilOut })
	b.mu.Unlock()
	if 2*len(in) < len(b.hosts) {
		in = b.hosts
	}
	return in[pick(len(in))]
}
