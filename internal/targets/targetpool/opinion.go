package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// span is the time through which a target is known to have run: connections overlap in it, each
// from its opening to its last reply.
type span struct {
	from, to time.Time
}

// extend records a reply on a connection.
func (s *span) extend(opened, replied time.Time) {
	if s.to.IsZero() || opened.After(s.to) {
		s.from = opened
	} else if opened.Before(s.from) {
		s.from = opened
	}
	s.to = replied
}

// covers reports whether the target ran from the one time to the other, by a reply that arrived
// aliveAfter the latter.
func (s *span) covers(from, to time.Time) bool {
	return !s.to.IsZero() && !from.Before(s.from) && s.to.Sub(to) >= aliveAfter
}

// Opinion returns what this host can say of a target that another host lost between two times.
func (d *Directory) Opinion(id catalog.TargetID, born int64, from, to time.Time) reach.Opinion {
	d.mu.Lock()
	pool, known := d.pools[id]
	d.mu.Unlock()
	if !known {
		return reach.Unknown
	}
	if pool.target.Born > born && born != 0 {
		return reach.Ended
	}
	return pool.opinion(from, to)
}

func (p *Pool) opinion(from, to time.Time) reach.Opinion {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.running.covers(from, to):
		return reach.Alive
	case p.moved || p.links.Lost() || p.unreachable():
		return reach.Ended
	default:
		return reach.Unknown
	}
}
