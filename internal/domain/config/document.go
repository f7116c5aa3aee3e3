// Package config defines the configuration document that the platform
// publishes, checks it whole, and computes differences between revisions.
//
// A document is a set of keys with JSON values. The keys are "defaults",
// "workloads/NAME", "index/WORKLOAD", "targets/ID" and "exceptions/NAME".
//
// It starts no goroutine; a checked document is immutable and safe for concurrent
// use.
package config

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Document is a published configuration at one revision, not yet checked.
type Document struct {
	Revision model.Revision             `json:"revision"`
	Keys     map[string]json.RawMessage `json:"keys"`
}

// Workload is the value of a "workloads/NAME" key.
type Workload struct {
	Description string `json:"description"`
	// Idempotent says whether a query may be repeated where the query itself
	// does not say.
	Idempotent bool `json:"idempotent"`
}

// Exception overrides defaults for a scope and says why.
type Exception struct {
	Name     string             `json:"-"`
	Workload model.WorkloadName `json:"workload" validate:"required"`
	// Service narrows the exception to one service; empty means all.
	Service model.ServiceName `json:"service,omitempty"`
	// Caller narrows the exception to one caller; empty means all.
	Caller model.CallerID `json:"caller,omitempty"`
	Policy PolicyPatch    `json:"policy"`
	Reason string         `json:"reason" validate:"required,min=10"`
	Owner  string         `json:"owner" validate:"required"`
	// Expires is the last day, UTC, on which the exception holds.
	Expires string `json:"expires" validate:"required,datetime=2006-01-02"`

	// expiry is the moment from which the exception no longer applies.
	expiry time.Time
}

// Fleet is a checked document. It is immutable.
type Fleet struct {
	Revision   model.Revision
	Digest     uint64
	Defaults   Policy
	Workloads  map[model.WorkloadName]*Workload
	Indexes    map[model.WorkloadName]*model.Index
	Targets    map[model.TargetID]*model.Target
	Exceptions []Exception

	// source is the document's keys, from which the next one is told apart.
	source map[string]json.RawMessage
}
