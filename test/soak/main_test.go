package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/test/harness"
)

var (
	freshRuns   = flag.Int("soak.runs", 0, "number of fresh seeds to run")
	firstSeed   = flag.Uint64("soak.seed", 1, "first of the fresh seeds")
	faultPeriod = flag.Duration("soak.lasting", 6*time.Second, "time during which faults are injected")
	hostCount   = flag.Int("soak.hosts", 3, "number of hosts")
)

// ciFaultPeriod is the time during which faults are injected in CI runs.
const ciFaultPeriod = 3 * time.Second

func TestMain(m *testing.M) { harness.Main(m) }

// TestGuaranteesHoldForRecordedSeeds runs the seeds that have failed and two others.
func TestGuaranteesHoldForRecordedSeeds(t *testing.T) {
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) { runSeed(t, s.seed, 3, ciFaultPeriod) })
	}
}

// TestGuaranteesHoldForFreshSeeds runs as many seeds as -soak.runs asks for, by
// default none.
func TestGuaranteesHoldForFreshSeeds(t *testing.T) {
	forFreshSeeds(t, func(t *testing.T, seed uint64) { runSeed(t, seed, *hostCount, *faultPeriod) })
}

// forFreshSeeds runs a test in parallel for as many seeds as -soak.runs asks for.
func forFreshSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range *freshRuns {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}
