package fleet

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
)

// ListConfirmedAt returns when the platform last returned the host list in force
// as its newest, either to this host or to a peer that reported it to this host.
// It is the zero time if there was no such confirmation.
func (f *Fleet) ListConfirmedAt() time.Time {
	at := f.listConfirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// confirmList records a confirmation at the given time, unless a later one is
// recorded. Only the control goroutine calls it.
func (f *Fleet) confirmList(at time.Time) {
	if nanos := at.UnixNano(); nanos > f.listConfirmed.Load() {
		f.listConfirmed.Store(nanos)
	}
}

// listConfirmedAgo returns the value of digestMessage.ListConfirmedAgoMS.
func (f *Fleet) listConfirmedAgo() int64 {
	at := f.ListConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return max(f.opts.Clock().Sub(at).Milliseconds(), 0) + 1
}

// confirmListFrom records a peer's confirmation if it is for the same list.
func (c *control) confirmListFrom(msg *digestMessage) {
	if msg.ListConfirmedAgoMS <= 0 || msg.Hosts != c.hosts.version {
		return
	}
	ago := bounds.Period(msg.ListConfirmedAgoMS, time.Millisecond)
	c.fleet.confirmList(c.now().Add(-ago))
}
