package fleet

import "time"

// maxRefused bounds the rejected versions that are remembered.
const maxRefused = 32

// refusedVersion is a document that did not pass its check.
type refusedVersion struct {
	version version
	reason  string
	source  string
	at      time.Time
}

// refusedVersions remembers rejected versions, so that a document that a peer or
// the platform offers again and again is neither pulled nor checked again.
type refusedVersions struct {
	list []refusedVersion
}

func (r *refusedVersions) has(v version) bool {
	for i := range r.list {
		if r.list[i].version == v {
			return true
		}
	}
	return false
}

func (r *refusedVersions) add(v refusedVersion) {
	if len(r.list) == maxRefused {
		r.list = append(r.list[:0], r.list[1:]...)
	}
	r.list = append(r.list, v)
}

// newest returns the rejected version of the highest revision, and false if
// there is none.
func (r *refusedVersions) newest() (refusedVersion, bool) {
	var best refusedVersion
	for _, v := range r.list {
		if v.version.Revision >= best.version.Revision {
			best = v
		}
	}
	return best, len(r.list) > 0
}
