// Package bytebudget bounds the bytes that a process holds for its peers: what slow ones
// have not read, and what senders without end have sent. It has no goroutines and does no
// I/O; accounts are shed by functions that must not block.
package bytebudget

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// largeBytes is what an account holds at least to be shed for others. Shedding
	// smaller ones would end many transfers for little memory.
	largeBytes = 64 << 10
	// sameAge is the difference in age below which transfers count as equally slow.
	sameAge = 100 * time.Millisecond
	// linesPerSecond bounds the log lines of each reason.
	linesPerSecond = 1
)

// Options configure a Budget.
type Options struct {
	// Limit is the number of bytes that may be held at once.
	Limit int64
	// Scope gets the counters; nil for none.
	Scope metrics.Scope
	Log   logrus.FieldLogger
}

// Budget is the limit of one process. It is safe for concurrent use. A nil Budget has no
// limit and counts nothing.
type Budget struct {
	opts  Options
	lines *logging.Budget

	mu sync.Mutex
	// held is the sum of all accounts and of what Hold added.
	held int64
	// large has the accounts that can be shed.
	large map[*Account]bool
}

// New returns a budget, nil if the limit is not positive.
func New(opts Options) *Budget {
	if opts.Limit <= 0 {
		return nil
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Budget{opts: opts, lines: logging.NewBudget(linesPerSecond), large: map[*Account]bool{}}
}

// Limit returns the limit in bytes, 0 for none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.opts.Limit
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Hold counts bytes that are held anyway, even beyond the limit; Release ends that.
func (b *Budget) Hold(n int) { b.add(int64(n)) }

// Release ends a Hold of n bytes.
func (b *Budget) Release(n int) { b.add(-int64(n)) }

func (b *Budget) add(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
}

// slowest returns the large account whose transfer has lasted longest; among equally slow
// ones the least urgent. It returns nil if that is a itself, or if there is none. The
// caller holds the lock.
func (b *Budget) slowest(a *Account) *Account {
	worst := a
	for other := range b.large {
		if other.worse(worst) {
			worst = other
		}
	}
	if worst == a {
		return nil
	}
	return worst
}

// refused counts and logs bytes that were refused or shed.
func (b *Budget) refused(why Reason, bytes, held int64, now time.Time) {
	b.opts.Scope.Tagged(map[string]string{"reason": string(why)}).Counter("bytes_refused").Inc(max(bytes, 1))
	ok, omitted := b.lines.Take(string(why), now)
	if !ok || b.opts.Log == nil {
		return
	}
	b.opts.Log.WithFields(logrus.Fields{
		"reason": why, "bytes": bytes, "bytes_held": held, "bytes_limit": b.opts.Limit, "lines_left_out": omitted,
	}).Warn("memory limit reached")
}

// Refused counts and logs bytes that were refused for a limit other than the budget's.
func (b *Budget) Refused(why Reason, bytes int64) {
	if b != nil {
		b.refused(why, bytes, b.Held(), time.Now())
	}
}

// Reason is why bytes were refused.
type Reason string

// Reasons for refused bytes.
const (
	// ReasonFull means that the taker itself was the slowest at the limit.
	ReasonFull Reason = "full"
	// ReasonShed means that a slower transfer was ended to make room.
	ReasonShed Reason = "shed"
	// ReasonReplyTooLarge means that a reply exceeded its own limit.
	ReasonReplyTooLarge Reason = "reply_too_large"
)

// never is the start of an account without a transfer.
var never = time.Unix(0, math.MaxInt64)
