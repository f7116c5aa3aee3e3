package fleet

import "time"

// maxRejections limits the rejected versions that a rejectionLog stores.
const maxRejections = 32

// rejection describes a document that failed validation.
type rejection struct {
	version version
	reason  string
	source  string
	at      time.Time
}

// rejectionLog stores the last rejected versions, so that a document that a peer
// or the platform offers repeatedly is not pulled or validated again.
type rejectionLog struct {
	list []rejection
}

func (r *rejectionLog) has(v version) bool {
	for i := range r.list {
		if r.list[i].version == v {
			return true
		}
	}
	return false
}

func (r *rejectionLog) add(v rejection) {
	if len(r.list) == maxRejections {
		r.list = append(r.list[:0], r.list[1:]...)
	}
	r.list = append(r.list, v)
}

// newest returns the rejection with the highest revision, and false if there is
// none.
func (r *rejectionLog) newest() (rejection, bool) {
	var best rejection
	for _, v := range r.list {
		if v.version.Revision >= best.version.Revision {
			best = v
		}
	}
	return best, len(r.list) > 0
}
