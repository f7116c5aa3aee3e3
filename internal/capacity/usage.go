package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usedMemory returns the bytes in live heap objects and goroutine stacks.
func usedMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuPer runs work and returns the processor time of one of n units, in
// microseconds.
func cpuPer(n int, work func() error) (float64, error) {
	before := cpuTime()
	if err := work(); err != nil {
		return 0, err
	}
	return microseconds(cpuTime()-before) / float64(n), nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
