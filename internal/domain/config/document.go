// Package config defines the configuration document that the platform
// publishes, validates documents and computes the differences between revisions.
//
// A document is a set of keys with JSON values. The keys are "defaults",
// "workloads/NAME", "index/WORKLOAD", "targets/ID", "exceptions/NAME" and
// "evacuated_domains".
//
// The package starts no goroutines. A checked document is immutable and safe for
// concurrent use.
package config

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Document is one revision of the published configuration, not yet checked.
type Document struct {
	Revision model.Revision             `json:"revision"`
	Keys     map[string]json.RawMessage `json:"keys"`
}

// Workload is the value of a "workloads/NAME" key.
type Workload struct {
	Description string `json:"description"`
	// Idempotent is the default of whether a query may be executed more than
	// once, for queries that do not state it.
	Idempotent bool `json:"idempotent"`
}

// Exception overrides defaults for a workload, optionally limited to one service
// and one caller.
type Exception struct {
	Name     string             `json:"-"`
	Workload model.WorkloadName `json:"workload" validate:"required"`
	// Service limits the exception to one service; empty means all.
	Service model.ServiceName `json:"service,omitempty"`
	// Caller limits the exception to one caller; empty means all.
	Caller model.CallerID `json:"caller,omitempty"`
	Policy PolicyPatch    `json:"policy"`
	Reason string         `json:"reason" validate:"required,min=10"`
	Owner  string         `json:"owner" validate:"required"`
	// Expires is the last day, UTC, on which the exception applies.
	Expires string `json:"expires" validate:"required,datetime=2006-01-02"`

	// expiry is the time from which the exception no longer applies.
	expiry time.Time
}

// Fleet is the fleet's configuration: a checked document. It is immutable.
type Fleet struct {
	Revision   model.Revision
	Digest     uint64
	Defaults   Policy
	Workloads  map[model.WorkloadName]*Workload
	Indexes    map[model.WorkloadName]*model.Index
	Targets    map[model.TargetID]*model.Target
	Exceptions []Exception
	// EvacuatedDomains are the failure domains to whose targets nothing is sent.
	EvacuatedDomains []EvacuatedDomain
	// EvacuatedTargets are the targets in EvacuatedDomains.
	EvacuatedTargets map[model.TargetID]struct{}
	// source holds the document's raw keys. ParseIncremental compares them with
	// those of the next document to find the changed ones.
	source map[string]json.RawMessage
}
