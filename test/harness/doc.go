// Package harness builds the programs and runs them as processes on loopback for
// tests: a platform, targets and hosts, optionally with fault proxies between them.
//
// Every process is killed when its test ends, whether it passes or fails; on Linux
// the kernel also kills it if the test binary dies. Waits poll a condition with a
// generous timeout; no function asserts how long something took.
package harness
