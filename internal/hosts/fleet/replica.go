package fleet

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

// outcome is the result of offering a document to a replica.
type outcome string

const (
	accepted outcome = "accepted"
	known    outcome = "known"
	stale    outcome = "stale"
	conflict outcome = "conflict"
	rejected outcome = "rejected"
)

// replica is the control goroutine's copy of one replicated document. Its version
// only moves forward, to documents that pass the check.
type replica struct {
	kind documentKind
	// check validates a document and returns the function that puts it in force.
	check func(doc *config.Document, digest uint64) (commit func(), err error)

	doc        *config.Document
	version    version
	source     string
	at         time.Time
	deltas     []*config.Delta
	rejections rejectionLog
}

// wants reports whether a document of version v is newer than the replica's and
// was not rejected before.
func (r *replica) wants(v version) bool {
	return v.newer(r.version) && !r.rejections.has(v)
}

// offer puts doc in force if it is newer and valid. The error is the reason of a
// rejection.
func (r *replica) offer(doc *config.Document, source string, now time.Time) (outcome, error) {
	return r.offerVersion(doc, config.Digest(doc.Keys), nil, source, now)
}

// offerVersion is like offer for a document whose digest is known. delta, if not
// nil, is the change from the document in force to doc.
func (r *replica) offerVersion(doc *config.Document, digest uint64, delta *config.Delta, source string, now time.Time) (outcome, error) {
	v := version{Revision: doc.Revision, Digest: digest}
	if v == r.version {
		return known, nil
	}
	if r.rejections.has(v) {
		return rejected, nil
	}
	if !v.newer(r.version) {
		if v.conflicts(r.version) {
			return conflict, nil
		}
		return stale, nil
	}
	commit, err := r.check(doc, digest)
	if err != nil {
		r.rejections.add(rejection{version: v, reason: err.Error(), source: source, at: now})
		return rejected, err
	}
	conflicting := v.conflicts(r.version)
	if delta == nil && r.doc != nil {
		delta = config.DiffWithDigests(r.doc, doc, r.version.Digest, digest)
	}
	if delta != nil {
		r.deltas = appendDelta(r.deltas, delta)
	}
	r.doc, r.version, r.source, r.at = doc, v, source, now
	commit()
	if conflicting {
		return conflict, nil
	}
	return accepted, nil
}

// apply applies a delta to the document in force and offers the result. It
// returns false if the delta is based on another version or cannot be applied.
func (r *replica) apply(d *config.Delta, source string, now time.Time) (outcome, bool, error) {
	if r.doc == nil || r.version != (version{d.From, d.FromDigest}) {
		return "", false, nil
	}
	doc, err := d.ApplyWithDigest(r.doc, r.version.Digest)
	if err != nil {
		return "", false, err
	}
	result, err := r.offerVersion(doc, d.ToDigest, d, source, now)
	return result, true, err
}
