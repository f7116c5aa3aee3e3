// Package harness builds the programs and runs them as processes on loopback,
// for tests only: a platform, targets and hosts, with fault proxies between
// them where a test asks for it.
//
// Whatever it starts is ended with the test, whatever becomes of the test; on
// Linux the kernel ends it also if the test binary dies. Waits are by condition,
// with a generous limit; nothing here asserts how long something took.
package harness
