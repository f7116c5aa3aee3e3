package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/test/harness"
)

// upgradePause is the time between the replacements of two hosts.
const upgradePause = 300 * time.Millisecond

// TestGuaranteesHoldDuringUpgrades replaces the hosts of the last landed build one after the
// other by this one's, back and forth again, under load and faults.
func TestGuaranteesHoldDuringUpgrades(t *testing.T) {
	runUpgrade(t, 1, 3)
}

// TestGuaranteesHoldDuringFreshUpgrades runs as many seeds as -soak.runs asks for, by
// default none.
func TestGuaranteesHoldDuringFreshUpgrades(t *testing.T) {
	for i := range *freshRuns {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runUpgrade(t, seed, *hostCount) })
	}
}

func runUpgrade(t *testing.T, seed uint64, hosts int) {
	harness.BuildLandedDaemon(t)
	e := newEnvironment(t, seed)
	e.landed = true
	e.run(hosts, func() {
		done := make(chan struct{})
		var faulty sync.WaitGroup
		faulty.Go(func() { e.injectFaultsUntil(done) })
		for _, landed := range []bool{false, true, false} {
			e.replaceHosts(landed)
		}
		close(done)
		faulty.Wait()
	})
}

// replaceHosts stops the hosts one after the other and starts them with the other build.
func (e *environment) replaceHosts(landed bool) {
	for _, h := range e.hosts {
		h.setLanded(landed)
		h.terminate()
		h.start()
		time.Sleep(upgradePause)
	}
}

// setLanded sets which build the host starts with.
func (h *host) setLanded(landed bool) {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	h.landed = landed
}
