package daemon

import (
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/targets/quarantine"
)

// quarantineStore lists and releases quarantined requests.
type quarantineStore struct{ service *quarantine.Service }

// Entries implements admin.QuarantineStore.
func (s quarantineStore) Entries() []adminapi.QuarantineEntry {
	return lo.Map(s.service.Entries(), func(e quarantine.Entry, _ int) adminapi.QuarantineEntry {
		return adminapi.QuarantineEntry{
			Fingerprint: e.Fingerprint.String(),
			Caller:      e.Caller,
			Workload:    e.Workload,
			Service:     e.Service,
			Crashes:     e.Crashes,
			Targets:     e.Targets,
			AgeMS:       e.Age.Milliseconds(),
			ExpiresInMS: e.ExpiresIn.Milliseconds(),
		}
	})
}

// Release implements admin.QuarantineStore.
func (s quarantineStore) Release(fingerprint uint64) bool { return s.service.Release(fingerprint) }
