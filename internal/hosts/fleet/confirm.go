package fleet

import "time"

// ListConfirmedAt returns when the platform last named the host list in force as
// its newest, to this host or to one that this host heard of it from. It is the
// zero time if it never did.
func (f *Fleet) ListConfirmedAt() time.Time {
	at := f.listConfirmed.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// confirmList notes a confirmation; an older one than known changes nothing.
// Only the control goroutine calls it.
func (f *Fleet) confirmList(at time.Time) {
	if nanos := at.UnixNano(); nanos > f.listConfirmed.Load() {
		f.listConfirmed.Store(nanos)
	}
}

// listConfirmedAgo is digestMessage.ListConfirmedAgoMS.
func (f *Fleet) listConfirmedAgo() int64 {
	at := f.ListConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return max(f.opts.Clock().Sub(at).Milliseconds(), 0) + 1
}

// confirmListFrom takes over a peer's confirmation if it is of the same list.
func (c *control) confirmListFrom(msg *digestMessage) {
	if msg.ListConfirmedAgoMS == 0 || msg.Hosts != c.hosts.version {
		return
	}
	ago := time.Duration(msg.ListConfirmedAgoMS) * time.Millisecond
	c.fleet.confirmList(c.now().Add(-ago))
}
