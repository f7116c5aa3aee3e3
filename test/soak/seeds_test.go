package soak

// seeds are run in CI; cause is why a run with the seed failed, empty if none has.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{seed: 1},
	{seed: 2},
}
