//go:build race

package harness

// raceEnabled says that the test has the race detector.
const raceEnabled = true
