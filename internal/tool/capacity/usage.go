package capacity

import (
	"runtime"
	"time"

	"github.com/swiftvane/swiftvane/internal/support/cputime"
)

// usedMemory returns the bytes in live heap objects and goroutine stacks after a
// garbage collection.
func usedMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuPer runs work, which consists of n units, and returns the processor time of
// one unit in microseconds.
func cpuPer(n int, work func() error) (float64, error) {
	before := cputime.Used()
	if err := work(); err != nil {
		return 0, err
	}
	return microseconds(cputime.Used()-before) / float64(n), nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
