package catalogsync

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// coldAgainMargin is by how much the stated end of a warm-up must rise to count as a new one.
// A target that rewrites its entry while it warms up states nearly the same end.
const coldAgainMargin = time.Second

// coldAgain reports whether a rewritten entry says that its target has become cold again, of a
// service that bounds the requests to cold targets. Only then must the view change for it.
func (s *state) coldAgain(old, t *catalog.Target) bool {
	if s.config == nil || s.config.Services[t.Service].WarmupPerSecond <= 0 {
		return false
	}
	return t.Revision != old.Revision && t.WarmUntil.Sub(old.WarmUntil) > coldAgainMargin
}
