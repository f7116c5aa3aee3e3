package soak

// seeds are run in the CI; cause says why a run with the seed once failed.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{seed: 1},
	{seed: 2},
}
