package bytebudget

import "time"

// Account counts the bytes of one transfer after the other, as on one connection. Its
// methods may be called on one goroutine at a time. A nil Account takes all.
type Account struct {
	budget *Budget
	// end ends the transfer; it is called without locks and must not block.
	end func()

	// The remaining fields are guarded by the budget's lock.

	since    time.Time
	priority int
	held     int64
	// exposed is set while the transfer may be shed, shed once it was.
	exposed bool
	shed    bool
}

// NewAccount returns an account without bytes. end is called, on the goroutine of another
// account, if its transfer is shed; it must not block.
func (b *Budget) NewAccount(end func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, end: end, since: never}
}

// Begin begins a transfer of the given priority, lower being more urgent. It may be shed
// if exposed is set.
func (a *Account) Begin(now time.Time, priority int, exposed bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.since, a.priority, a.exposed, a.shed = now, priority, exposed, false
	a.register()
}

// Take adds n bytes to the transfer and reports whether there is room for them. At the
// limit it sheds slower transfers; if this one is the slowest, it gets nothing.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	for {
		victim, ok := a.take(int64(n))
		if victim == nil {
			return ok
		}
		victim.end()
	}
}

// take adds the bytes, or takes those of a slower account and returns that. It returns
// false if there is neither room nor a slower account.
func (a *Account) take(n int64) (victim *Account, ok bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.shed {
		return nil, false
	}
	if b.held+n <= b.opts.Limit {
		b.held += n
		a.held += n
		a.register()
		return nil, true
	}
	victim = b.slowest(a)
	if victim == nil {
		b.refused(ReasonFull, n, b.held, time.Now())
		return nil, false
	}
	b.refused(ReasonShed, victim.held, b.held, time.Now())
	victim.drop()
	victim.shed = true
	return victim, true
}

// Force adds n bytes to the transfer even beyond the limit.
func (a *Account) Force(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.shed {
		return
	}
	a.budget.held += int64(n)
	a.held += int64(n)
	a.register()
}

// End ends the transfer and gives its bytes back.
func (a *Account) End() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop()
	a.since, a.exposed, a.shed = never, false, false
}

// drop gives the bytes back. The caller holds the lock.
func (a *Account) drop() {
	a.budget.held -= a.held
	a.held = 0
	delete(a.budget.large, a)
}

// register adds the account to those that can be shed once it is large. The caller holds
// the lock.
func (a *Account) register() {
	if a.exposed && !a.shed && a.held >= largeBytes {
		a.budget.large[a] = true
	}
}

// worse reports whether the transfer is slower than the other's or, if they are equally
// slow, less urgent. The caller holds the lock.
func (a *Account) worse(other *Account) bool {
	older := other.since.Sub(a.since)
	if older > -sameAge && older < sameAge {
		return a.priority > other.priority
	}
	return older > 0
}
