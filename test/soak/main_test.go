package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/test/harness"
)

var (
	runs    = flag.Int("soak.runs", 0, "number of fresh seeds to run by hand")
	first   = flag.Uint64("soak.seed", 1, "the first of them")
	lasting = flag.Duration("soak.lasting", 6*time.Second, "time in which faults come")
	fleet   = flag.Int("soak.hosts", 3, "number of hosts")
)

// ciLasting is the time in which faults come in the runs of the CI.
const ciLasting = 3 * time.Second

func TestMain(m *testing.M) { harness.Main(m) }

// TestSeeds runs the seeds that failed once and two others.
func TestSeeds(t *testing.T) {
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) { soak(t, s.seed, 3, ciLasting) })
	}
}

// TestFresh runs seeds by hand.
func TestFresh(t *testing.T) {
	for i := range *runs {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *fleet, *lasting)
		})
	}
}
