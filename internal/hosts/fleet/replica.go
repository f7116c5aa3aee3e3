package fleet

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

// outcome is what became of an offered document.
type outcome string

const (
	accepted outcome = "accepted"
	known    outcome = "known"
	stale    outcome = "stale"
	conflict outcome = "conflict"
	rejected outcome = "rejected"
)

// replica is the control goroutine's copy of one replicated document. It only
// moves to newer versions that pass the check.
type replica struct {
	kind documentKind
	// check validates a document and returns what puts it in force.
	check func(doc *config.Document, digest uint64) (commit func(), err error)

	doc     *config.Document
	version version
	source  string
	at      time.Time
	deltas  []*config.Delta
	refused refusedVersions
}

// wants reports whether the replica would take a document of version v.
func (r *replica) wants(v version) bool {
	return v.newer(r.version) && !r.refused.has(v)
}

// offer takes doc if it is newer and valid. The error says why it was rejected.
func (r *replica) offer(doc *config.Document, source string, now time.Time) (outcome, error) {
	return r.offerVersion(doc, config.Digest(doc.Keys), nil, source, now)
}

// offerVersion is offer for a document with a known digest and, if made is not
// nil, the delta that made it of the one in force.
func (r *replica) offerVersion(doc *config.Document, digest uint64, made *config.Delta, source string, now time.Time) (outcome, error) {
	v := version{Revision: doc.Revision, Digest: digest}
	if v == r.version {
		return known, nil
	}
	if r.refused.has(v) {
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
		r.refused.add(refusedVersion{version: v, reason: err.Error(), source: source, at: now})
		return rejected, err
	}
	clashed := v.conflicts(r.version)
	if made == nil && r.doc != nil {
		made = config.DiffKnown(r.doc, doc, r.version.Digest, digest)
	}
	if made != nil {
		r.deltas = appendDelta(r.deltas, made)
	}
	r.doc, r.version, r.source, r.at = doc, v, source, now
	commit()
	if clashed {
		return conflict, nil
	}
	return accepted, nil
}

// apply takes a delta on the document in force. It returns false if the delta
// does not fit it.
func (r *replica) apply(d *config.Delta, source string, now time.Time) (outcome, bool, error) {
	if r.doc == nil || r.version != (version{d.From, d.FromDigest}) {
		return "", false, nil
	}
	doc, err := d.ApplyKnown(r.doc, r.version.Digest)
	if err != nil {
		return "", false, err
	}
	result, err := r.offerVersion(doc, d.ToDigest, d, source, now)
	return result, true, err
}
