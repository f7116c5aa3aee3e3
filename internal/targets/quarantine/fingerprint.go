package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Fingerprint identifies repetitions of a request: the same caller sending the
// same body to the same workload.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. A query and its sub-requests
// share one.
func FingerprintOf(caller model.CallerID, workload model.WorkloadName, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	separator := [1]byte{}
	// The digest's writes never fail.
	_, _ = d.WriteString(string(caller))
	_, _ = d.Write(separator[:])
	_, _ = d.WriteString(string(workload))
	_, _ = d.Write(separator[:])
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
