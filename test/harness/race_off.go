//go:build !race

package harness

// raceEnabled reports whether the test binary is built with the race detector.
const raceEnabled = false
